//! SIGTERM and SIGINT, taken on a thread of their own: the worker must never wait for them.

use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Set once the process has been told to stop.
pub fn stop_flag() -> io::Result<Arc<AtomicBool>> {
    let flag = Arc::new(AtomicBool::new(false));
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let set = flag.clone();
    std::thread::Builder::new().name("signals".into()).stack_size(64 * 1024).spawn(move || {
        for signal in signals.forever() {
            log::info!("signal {signal}: finishing what has been taken");
            set.store(true, Ordering::SeqCst);
        }
    })?;
    Ok(flag)
}
