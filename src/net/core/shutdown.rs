//! Graceful shutdown and draining: when the process exits after SIGTERM, and when client connections are closed.

use super::Core;
use crate::interface::Micros;
use crate::net::service::ConnectionDraining;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Idle connections are closed this long after operators begin to drain the gateway. Four seconds after the drain began
/// no client may have a connection on which it sent a request in the two seconds before.
const DRAINED_IDLE_GRACE: Duration = Duration::from_secs(1);
/// Connections without a complete request are closed this long after operators begin to drain the gateway, for the same
/// reason as [`DRAINED_IDLE_GRACE`].
const DRAINED_REQUEST_GRACE: Duration = Duration::from_millis(1_700);
/// The platform kills the process after the longest request timeout of the settings plus [`KILL_DELAY_MICROS`]. It counts
/// at most this much of the timeout.
const MAX_REQUEST_TIMEOUT_MICROS: Micros = 3_000_000;
/// How long the platform waits beyond the longest request timeout before it kills the process.
const KILL_DELAY_MICROS: Micros = 700_000;
/// All requests are answered this long before the process is killed.
const ANSWER_MARGIN_MICROS: Micros = 200_000;
/// The process exits this long before it is killed, even with requests or connections open.
const EXIT_MARGIN_MICROS: Micros = 100_000;
/// Idle connections are closed this long after SIGTERM, or sooner where the process is killed before that: clients keep
/// sending for 0.6 s, and must get answers to requests that they send within 0.7 s.
const IDLE_GRACE_MICROS: Micros = 1_000_000;
/// A process that hands over closes idle connections after this grace period. Clients close idle connections after 4 s,
/// so no request is sent while the gateway closes its connection.
const HANDED_OVER_IDLE_GRACE: Duration = Duration::from_millis(4_200);
/// A process that hands over shortens [`HANDED_OVER_IDLE_GRACE`] so that this much time remains for a last request.
const LAST_REQUEST_MARGIN_MICROS: Micros = 1_500_000;
/// A process that hands over runs at least this long after SIGTERM: the connection that it accepted last may not be in
/// the client table yet.
const HANDED_OVER_MIN_RUNTIME_MICROS: Micros = 100_000;

impl Core {
    /// The time from SIGTERM until the platform kills the process, in microseconds.
    fn termination_grace_micros(&self) -> Micros {
        self.deployment().names.longest_deadline.min(MAX_REQUEST_TIMEOUT_MICROS) + KILL_DELAY_MICROS
    }

    /// How long idle connections stay open after SIGTERM, in microseconds.
    fn idle_grace_micros(&self) -> Micros {
        IDLE_GRACE_MICROS.min(self.termination_grace_micros() - KILL_DELAY_MICROS / 2)
    }

    /// Begins graceful shutdown. Deadlines of open requests that exceed the shutdown deadline are brought forward to it.
    pub(in crate::net) fn stop(&self) {
        let now = self.clock.now();
        if self.stopping.set(now).is_ok() {
            self.broker().end_by(now, now + self.termination_grace_micros() - ANSWER_MARGIN_MICROS);
        }
    }

    /// Whether the process may exit: all requests are answered and the answers have arrived, or the termination grace
    /// period is about to expire. If another process takes over, this one accepts no further connections and waits until
    /// all its clients have disconnected.
    pub(in crate::net) fn is_finished(&self) -> bool {
        let Some(stopped_at) = self.stopping.get() else { return false };
        let elapsed = self.clock.now() - stopped_at;
        let open = self.open_requests.load(Ordering::SeqCst);
        if elapsed + EXIT_MARGIN_MICROS >= self.termination_grace_micros() {
            log::warn!("ending with {open} requests open and {} clients", self.clients.connected());
            return true;
        }
        if self.socket_shared {
            return elapsed >= HANDED_OVER_MIN_RUNTIME_MICROS && open == 0 && self.clients.connected() == 0;
        }
        // Open requests are counted again: a connection may have received one while the idle connections were closed.
        elapsed >= self.idle_grace_micros()
            && self.clients.shut_idle() == 0
            && self.open_requests.load(Ordering::SeqCst) == 0
    }

    /// The remaining time for requests in microseconds; [`Micros::MAX`] before SIGTERM.
    pub(super) fn remaining_request_time(&self) -> Micros {
        let Some(stopped_at) = self.stopping.get() else { return Micros::MAX };
        (stopped_at + self.termination_grace_micros()).saturating_sub(self.clock.now() + ANSWER_MARGIN_MICROS)
    }

    /// The draining state of client connections after SIGTERM, or while operators drain the gateway; `None` otherwise.
    pub(super) fn draining_state(&self) -> Option<ConnectionDraining> {
        if let Some(stopped_at) = self.stopping.get() {
            let idle_grace = self.shutdown_idle_grace();
            let elapsed = self.elapsed_since(*stopped_at);
            return Some(ConnectionDraining { elapsed, idle_grace, request_grace: idle_grace });
        }
        let drained_at = self.broker().draining_since()?;
        Some(ConnectionDraining {
            elapsed: self.elapsed_since(drained_at),
            idle_grace: DRAINED_IDLE_GRACE,
            request_grace: DRAINED_REQUEST_GRACE,
        })
    }

    /// How long connections without a request stay open after SIGTERM.
    fn shutdown_idle_grace(&self) -> Duration {
        if !self.socket_shared {
            return Duration::from_micros(self.idle_grace_micros());
        }
        let remaining =
            Duration::from_micros(self.termination_grace_micros().saturating_sub(LAST_REQUEST_MARGIN_MICROS));
        HANDED_OVER_IDLE_GRACE.min(remaining)
    }

    fn elapsed_since(&self, start: Micros) -> Duration {
        Duration::from_micros(self.clock.now().saturating_sub(start))
    }
}
