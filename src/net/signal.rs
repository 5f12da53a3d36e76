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
use std::sync::mpsc::sync_channel;
use std::time::Duration;

/// How often the flags are looked at where no socket can wake the thread: well within the 0.2 s in which new
/// connections still come after SIGTERM.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// Takes SIGHUP over at once, as it would end a process that has not finished its start, and has `reload` run on a
/// thread of its own, where files may be read: a file that can't be read to its end must not keep SIGTERM from being
/// heard. The flag is set once the process has been told to stop.
pub fn take(reload: impl Fn() + Send + 'static) -> io::Result<Arc<AtomicBool>> {
    let flag = Arc::new(AtomicBool::new(false));
    let reload = on_own_thread(reload)?;
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

/// Calls that come while one is under way are one more: it reads the file that stands then.
fn on_own_thread(reload: impl Fn() + Send + 'static) -> io::Result<impl Fn() + Send + 'static> {
    let (ask, asked) = sync_channel::<()>(1);
    let thread = std::thread::Builder::new().name("reload".into()).stack_size(1024 * 1024);
    thread.spawn(move || asked.iter().for_each(|()| reload()))?;
    Ok(move || {
        let _ = ask.try_send(());
    })
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
mod tests;
