//! SIGTERM, SIGINT and SIGHUP, taken on a thread of their own: the worker must never wait for them.
//!
//! signal_hook's iterator wakes its thread through a pair of Unix sockets. A platform that refuses Unix
//! sockets would then keep the gateway from starting at all; there, each signal sets a flag of its own and the
//! thread looks at the flags every `LOOK_EVERY`, waiting in between.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// How often the flags are looked at where no socket can wake the thread: well within the 0.2 s in which new
/// connections still come after SIGTERM.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Takes SIGHUP over at once, as it would end a process that has not finished its start, and hands each one
/// to `reload` on the signals' thread, where files may be read. The flag is set once the process has been
/// told to stop.
pub fn take(reload: impl Fn() + Send + 'static) -> io::Result<Arc<AtomicBool>> {
    let flag = Arc::new(AtomicBool::new(false));
    let mut signals = match Signals::new([SIGTERM, SIGINT, SIGHUP]) {
        Ok(signals) => signals,
        Err(refused) => {
            log::warn!("signals: {refused}; their flags are looked at every {LOOK_EVERY:?} in its place");
            by_flags(flag.clone(), reload)?;
            return Ok(flag);
        }
    };
    let set = flag.clone();
    std::thread::Builder::new().name("signals".into()).stack_size(256 * 1024).spawn(move || {
        for signal in signals.forever() {
            if signal == SIGHUP {
                reload();
                continue;
            }
            log::info!("signal {signal}: finishing what has been taken");
            set.store(true, Ordering::SeqCst);
        }
    })?;
    Ok(flag)
}

/// The same without a descriptor: the handlers only set flags, which is all that a handler may safely do.
/// Several signals of one kind between two looks count as one, as a reload reads the file that stands then.
fn by_flags(stop: Arc<AtomicBool>, reload: impl Fn() + Send + 'static) -> io::Result<()> {
    let (ending, hung_up) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, ending.clone())?;
    }
    signal_hook::flag::register(SIGHUP, hung_up.clone())?;
    std::thread::Builder::new().name("signals".into()).stack_size(256 * 1024).spawn(move || {
        loop {
            std::thread::sleep(LOOK_EVERY);
            if hung_up.swap(false, Ordering::SeqCst) {
                reload();
            }
            if ending.swap(false, Ordering::SeqCst) && !stop.swap(true, Ordering::SeqCst) {
                log::info!("signal to end: finishing what has been taken");
            }
        }
    })?;
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::sync::atomic::AtomicUsize;
    use std::time::Instant;

    fn within(span: Duration, what: impl Fn() -> bool) -> bool {
        let began = Instant::now();
        while !what() && began.elapsed() < span {
            std::thread::sleep(Duration::from_millis(5));
        }
        what()
    }

    /// Without a socket to wake it, SIGHUP still reloads and SIGTERM still ends, and neither ends the process.
    #[test]
    fn signals_are_taken_without_a_descriptor() {
        let (stop, reloads) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let counted = reloads.clone();
        by_flags(stop.clone(), move || {
            counted.fetch_add(1, Ordering::SeqCst);
        })
        .unwrap();
        signal_hook::low_level::raise(SIGHUP).unwrap();
        assert!(within(Duration::from_secs(5), || reloads.load(Ordering::SeqCst) == 1));
        assert!(!stop.load(Ordering::SeqCst), "a reload is no end");
        signal_hook::low_level::raise(SIGTERM).unwrap();
        assert!(within(Duration::from_secs(5), || stop.load(Ordering::SeqCst)));
        assert_eq!(reloads.load(Ordering::SeqCst), 1);
    }
}
