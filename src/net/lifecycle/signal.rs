//! Handles SIGTERM, SIGINT and SIGHUP on a dedicated thread, so that the worker never blocks on them.
//!
//! The iterator of `signal_hook` wakes its thread through a pair of Unix sockets. On a platform that refuses Unix sockets,
//! each signal sets a flag instead, and the thread polls the flags every `FLAG_POLL_INTERVAL`.

use sagearch_operators::files::PARSER_STACK_BYTES;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::sync_channel;
use std::time::Duration;

/// The stack size of the thread that handles signals.
const STACK_BYTES: usize = 256 * 1024;
/// How often the flags are polled where no socket can wake the thread: much shorter than the 0.2 s during which new
/// connections still arrive after SIGTERM.
const FLAG_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Starts to handle signals: SIGTERM and SIGINT set the returned flag, and SIGHUP runs `reload`.
///
/// SIGHUP is handled from this call on, because it would otherwise terminate a process that is still starting. `reload` runs
/// on a separate thread, where it may read files: a read that blocks must not delay SIGTERM.
///
/// # Errors
///
/// Returns an error if a thread can't be started or a handler can't be registered.
pub fn handle_signals(reload: impl Fn() + Send + 'static) -> io::Result<Arc<AtomicBool>> {
    let stop = Arc::new(AtomicBool::new(false));
    let reload = spawn_reload_thread(reload)?;
    let mut signals = match Signals::new([SIGTERM, SIGINT, SIGHUP]) {
        Ok(signals) => signals,
        Err(refused) => {
            log::warn!("signals: {refused}; polling signal flags every {FLAG_POLL_INTERVAL:?} instead");
            poll_flags(stop.clone(), reload)?;
            return Ok(stop);
        }
    };
    let stop_requested = stop.clone();
    std::thread::Builder::new().name("signals".into()).stack_size(STACK_BYTES).spawn(move || {
        for signal in signals.forever() {
            if signal == SIGHUP {
                reload();
                continue;
            }
            log::info!("signal {signal}: finishing what has been taken");
            stop_requested.store(true, Ordering::SeqCst);
        }
    })?;
    Ok(stop)
}

/// Starts the thread that runs `reload`, and returns a function that requests a run. Requests during a run result in one
/// more run, which reads the file in its state at that time.
fn spawn_reload_thread(reload: impl Fn() + Send + 'static) -> io::Result<impl Fn() + Send + 'static> {
    let (request, requests) = sync_channel::<()>(1);
    let thread = std::thread::Builder::new().name("reload".into()).stack_size(PARSER_STACK_BYTES);
    thread.spawn(move || requests.iter().for_each(|()| reload()))?;
    Ok(move || {
        let _ = request.try_send(());
    })
}

/// Handles signals without a descriptor: the handlers only set flags, as few other operations are safe in a signal handler,
/// and a thread polls them. Several signals of one kind between two polls count as one, since a reload reads the file in its
/// state at that time.
fn poll_flags(stop: Arc<AtomicBool>, reload: impl Fn() + Send + 'static) -> io::Result<()> {
    let (terminated, hung_up) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, terminated.clone())?;
    }
    signal_hook::flag::register(SIGHUP, hung_up.clone())?;
    std::thread::Builder::new().name("signals".into()).stack_size(STACK_BYTES).spawn(move || {
        loop {
            std::thread::sleep(FLAG_POLL_INTERVAL);
            if hung_up.swap(false, Ordering::SeqCst) {
                reload();
            }
            if terminated.swap(false, Ordering::SeqCst) && !stop.swap(true, Ordering::SeqCst) {
                log::info!("signal to end: finishing what has been taken");
            }
        }
    })?;
    Ok(())
}

#[cfg(test)]
mod tests;
