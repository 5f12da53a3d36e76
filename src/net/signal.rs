//! SIGTERM, SIGINT and SIGHUP, taken on a thread of their own: the worker must never wait for them.

use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Takes SIGHUP over at once, as it would end a process that has not finished its start, and hands each one
/// to `reload` on the signals' thread, where files may be read. The flag is set once the process has been
/// told to stop.
pub fn take(reload: impl Fn() + Send + 'static) -> io::Result<Arc<AtomicBool>> {
    let flag = Arc::new(AtomicBool::new(false));
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
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
