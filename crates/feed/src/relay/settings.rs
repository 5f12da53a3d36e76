//! The settings of a relay and their defaults.

use crate::{MILLISECOND, Micros, PerMille};

/// The settings of a relay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The name of the relay, unique among the relays.
    pub name: String,
    /// The names of all peer relays. Without a report of each, events become complete only by lease expiry.
    pub peers: Vec<String>,
    /// How long purges are batched before pending polls are answered.
    pub batch_delay: Micros,
    /// The hold that this relay requests in its polls of the upstream.
    pub upstream_hold: Micros,
    /// The duration of a freshness lease.
    pub lease: Micros,
    /// The maximum drift of clocks, in thousandths.
    pub drift_per_mille: PerMille,
    /// How long purges are part of snapshots, which must be longer than any copy is used.
    pub purge_retention: Micros,
    /// The maximum number of purges that are stored individually; older ones are folded into floors.
    pub max_purges: usize,
    /// The maximum number of events in the log.
    pub max_log_events: usize,
    /// The maximum number of sessions.
    pub max_sessions: usize,
    /// The maximum number of sessions of one client address.
    pub max_sessions_per_address: usize,
    /// How long a subscriber that does not poll is remembered.
    pub forget_after: Micros,
}

impl Settings {
    /// Returns the default settings for a relay with these peers.
    pub fn new(name: &str, peers: Vec<String>) -> Settings {
        Settings {
            name: name.to_owned(),
            peers,
            batch_delay: 100 * MILLISECOND,
            upstream_hold: 100 * MILLISECOND,
            lease: 1_700 * MILLISECOND,
            drift_per_mille: 10,
            purge_retention: 600_000 * MILLISECOND,
            max_purges: 20_000,
            max_log_events: 20_000,
            max_sessions: 4_096,
            max_sessions_per_address: 1_024,
            forget_after: 60_000 * MILLISECOND,
        }
    }
}
