//! The settings of a subscriber and their defaults.

use crate::{MILLISECOND, Micros, PerMille};

/// The settings of a subscriber.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The name of the subscriber, which must be unique.
    pub name: String,
    /// Distinguishes this process from earlier ones of the same name: each process has a higher incarnation.
    pub incarnation: u64,
    /// The names or addresses of the relays, in order of preference; at least one.
    pub relays: Vec<String>,
    /// How many of the first relays are polled in the given order, before the others by rendezvous hashing.
    pub preferred: usize,
    /// The hold that a poll requests.
    pub hold: Micros,
    /// The duration of a freshness lease.
    pub lease: Micros,
    /// The maximum drift of clocks, in thousandths.
    pub drift_per_mille: PerMille,
    /// Whether the peer is a plain bus without support for relays: no extended parameters, no lease, the first relay
    /// only.
    pub plain_bus: bool,
    /// Whether the peer is the event bus itself, so that an answer without an age is current.
    pub direct_bus: bool,
    /// How long another relay is used before the preferred one is retried.
    pub retry_preferred_after: Micros,
}

impl Settings {
    /// Returns the default settings for a gateway that polls these relays.
    pub fn new(name: &str, incarnation: u64, relays: Vec<String>) -> Settings {
        Settings {
            name: name.to_owned(),
            incarnation,
            relays,
            preferred: 0,
            hold: 500 * MILLISECOND,
            lease: 1_700 * MILLISECOND,
            drift_per_mille: 10,
            plain_bus: false,
            direct_bus: false,
            retry_preferred_after: 30_000 * MILLISECOND,
        }
    }
}
