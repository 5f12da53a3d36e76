//! Purges, as limits on the age of copies that may be served.

use super::Router;
use crate::interface::Micros;
use crate::state::RequestState;

/// Margin added to the time that a purge takes to reach all copies.
const PURGE_MARGIN: Micros = 1_000_000;

impl Router {
    /// Records a purge of an object or, without an object, of a group. The purge was made `ago` before now.
    pub(super) fn record_purge(&mut self, object: Option<&str>, group: Option<u64>, ago: Micros) {
        let purged_at = self.now.saturating_sub(ago);
        self.purges.enter(self.now, object, group, purged_at);
        self.purges.drop_before(self.now.saturating_sub(self.purge_window()));
    }

    /// Returns how long after a purge older copies may still exist.
    fn purge_window(&self) -> Micros {
        self.settings.purge_propagation + PURGE_MARGIN
    }

    /// Returns when the object was last purged, while older copies may still exist.
    pub(super) fn recent_purge(&self, state: &RequestState) -> Option<Micros> {
        let latest = self.purges.latest(state.object_hash, state.request.purge_group)?;
        (self.now < latest + self.purge_window()).then_some(latest)
    }
}
