//! Limits of connections to stores, as the settings state them. The routing policies don't use them.

use super::document::Limits;
use crate::interface::Micros;

/// Defaults for limits that the settings don't state.
const DEFAULT_STREAMS_PER_CONNECTION: usize = 100;
const DEFAULT_CONNECT_TIMEOUT: Micros = 400_000;
const DEFAULT_KEEPALIVE: Micros = 30_000_000;

/// Limits of connections to stores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// The maximum number of attempts in flight on one connection.
    pub streams_per_connection: usize,
    /// The time limit for opening a connection, in microseconds.
    pub connect_timeout: Micros,
    /// The idle time after which stores close a connection, in microseconds.
    pub keepalive: Micros,
    /// Whether the gateway may send health checks to stores.
    pub probes: bool,
}

impl From<&Limits> for ConnectionLimits {
    fn from(limits: &Limits) -> ConnectionLimits {
        let or_default = |duration: Micros, default| if duration > 0 { duration } else { default };
        ConnectionLimits {
            streams_per_connection: if limits.streams_per_conn > 0 {
                limits.streams_per_conn
            } else {
                DEFAULT_STREAMS_PER_CONNECTION
            },
            connect_timeout: or_default(limits.connect_timeout, DEFAULT_CONNECT_TIMEOUT),
            keepalive: or_default(limits.keepalive, DEFAULT_KEEPALIVE),
            probes: limits.probes,
        }
    }
}
