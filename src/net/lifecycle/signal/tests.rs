use super::*;
use std::sync::atomic::AtomicUsize;
use std::time::Instant;

fn holds_within(timeout: Duration, condition: impl Fn() -> bool) -> bool {
    let start = Instant::now();
    while !condition() && start.elapsed() < timeout {
        std::thread::sleep(Duration::from_millis(5));
    }
    condition()
}

/// Where the platform refuses Unix sockets, SIGHUP still reloads and SIGTERM still sets the stop flag, and neither signal
/// terminates the process at once.
#[test]
fn signals_without_a_descriptor_reload_and_stop() {
    let (stop, reloads) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let reload_count = reloads.clone();
    poll_flags(stop.clone(), move || {
        reload_count.fetch_add(1, Ordering::SeqCst);
    })
    .unwrap();
    signal_hook::low_level::raise(SIGHUP).unwrap();
    assert!(holds_within(Duration::from_secs(5), || reloads.load(Ordering::SeqCst) == 1));
    assert!(!stop.load(Ordering::SeqCst), "SIGHUP must not set the stop flag");
    signal_hook::low_level::raise(SIGTERM).unwrap();
    assert!(holds_within(Duration::from_secs(5), || stop.load(Ordering::SeqCst)));
    assert_eq!(reloads.load(Ordering::SeqCst), 1);
}
