//! Shutdown and draining: how long the process stays after SIGTERM, and when client connections are closed meanwhile.

use super::Core;
use crate::interface::Micros;
use crate::net::service::ConnectionDraining;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// While operators drain the gateway, idle connections are closed after this. Four seconds after the drain began no client
/// may have a connection on which it sent a request in the two seconds before.
const DRAINED_IDLE_GRACE: Duration = Duration::from_secs(1);
/// While operators drain the gateway, connections without a complete request are closed after this, for the same reason.
const DRAINED_REQUEST_GRACE: Duration = Duration::from_millis(1_700);
/// The platform kills the process after the longest request wait of the settings, of which it counts this much at most
/// (in microseconds), and then [`KILL_DELAY`].
const MAX_REQUEST_WAIT: Micros = 3_000_000;
/// The platform's allowance beyond the longest request wait, in microseconds.
const KILL_DELAY: Micros = 700_000;
/// All requests are answered this many microseconds before the process is killed.
const ANSWER_MARGIN: Micros = 200_000;
/// The process exits by itself this many microseconds before it is killed, whatever is still open.
const EXIT_MARGIN: Micros = 100_000;
/// Idle connections are shut this many microseconds after SIGTERM, or sooner where the process is killed before that:
/// clients keep sending for 0.6 s, and are owed an answer to what they send within 0.7 s.
const IDLE_LINGER: Micros = 1_000_000;
/// A process that hands over closes idle connections after this. Clients close theirs after 4 s, so that with this grace
/// no request crosses with a close.
const HANDED_OVER_IDLE_GRACE: Duration = Duration::from_millis(4_200);
/// A process that hands over shortens that grace so that this many microseconds are left for a last request.
const LAST_REQUEST_MARGIN: Micros = 1_500_000;
/// A process that hands over stays at least this many microseconds: a connection that it accepted last may not be in
/// the table yet.
const HANDED_OVER_LINGER: Micros = 100_000;

impl Core {
    /// How many microseconds after SIGTERM the platform kills the process.
    fn termination_grace(&self) -> Micros {
        self.deployment().names.longest_deadline.min(MAX_REQUEST_WAIT) + KILL_DELAY
    }

    /// How many microseconds after SIGTERM idle connections are left open.
    fn idle_linger(&self) -> Micros {
        IDLE_LINGER.min(self.termination_grace() - KILL_DELAY / 2)
    }

    /// Begins the shutdown. The deadlines of open requests are brought forward to the time that the process has left.
    pub(in crate::net) fn stop(&self) {
        let now = self.clock.now();
        if self.stopping.set(now).is_ok() {
            self.broker().end_by(now, now + self.termination_grace() - ANSWER_MARGIN);
        }
    }

    /// Whether the process may exit: all requests are answered and the answers have arrived, or there is no time left.
    /// Where another process takes over, this one accepts nothing more, and waits until all its clients have left.
    pub(in crate::net) fn is_finished(&self) -> bool {
        let Some(stopped_at) = self.stopping.get() else { return false };
        let elapsed = self.clock.now() - stopped_at;
        let open = self.open_requests.load(Ordering::SeqCst);
        if elapsed + EXIT_MARGIN >= self.termination_grace() {
            log::warn!("ending with {open} requests open and {} clients", self.clients.connected());
            return true;
        }
        if self.socket_shared {
            return elapsed >= HANDED_OVER_LINGER && open == 0 && self.clients.connected() == 0;
        }
        // The open requests are counted once more: a connection may have taken one while the idle ones were shut.
        elapsed >= self.idle_linger()
            && self.clients.shut_idle() == 0
            && self.open_requests.load(Ordering::SeqCst) == 0
    }

    /// How many microseconds a request may still take; [`Micros::MAX`] before SIGTERM.
    pub(super) fn time_until_end(&self) -> Micros {
        let Some(stopped_at) = self.stopping.get() else { return Micros::MAX };
        (stopped_at + self.termination_grace()).saturating_sub(self.clock.now() + ANSWER_MARGIN)
    }

    /// The draining of client connections after SIGTERM, or while operators drain the gateway.
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

    /// How long after SIGTERM connections without a request stay open.
    fn shutdown_idle_grace(&self) -> Duration {
        if !self.socket_shared {
            return Duration::from_micros(self.idle_linger());
        }
        let time_left = Duration::from_micros(self.termination_grace().saturating_sub(LAST_REQUEST_MARGIN));
        HANDED_OVER_IDLE_GRACE.min(time_left)
    }

    fn elapsed_since(&self, start: Micros) -> Duration {
        Duration::from_micros(self.clock.now().saturating_sub(start))
    }
}
