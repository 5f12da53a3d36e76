//! Start times of the listed stores. A start that is listed again keeps its estimated time, whatever the clocks show
//! later.

use super::{BatchAges, UnixMillis};
use crate::interface::{MemberId, Micros};
use std::collections::BTreeMap;

/// The maximum number of stores whose start is kept. Beyond it, the store that was listed longest ago is removed.
const MAX_STORES: usize = 16_384;

#[derive(Clone, Copy, Debug)]
struct StartRecord {
    /// The start time in the endpoint list.
    stated: UnixMillis,
    /// The start time on the monotonic clock; `None` if before the clock's origin.
    started_at: Option<Micros>,
    /// The time of the latest endpoint list that contained the store.
    last_listed_at: Micros,
}

/// The start times of the listed stores.
#[derive(Debug, Default)]
pub struct StoreStartTimes {
    by_store: BTreeMap<MemberId, StartRecord>,
}

impl StoreStartTimes {
    /// The start time of a listed store on the monotonic clock; `None` (long ago) if it is not stated or lies before
    /// the clock's origin. `stated` is the start time in the list, `event_index` the index of the list in the batch.
    pub fn start_time(
        &mut self,
        now: Micros,
        store: MemberId,
        stated: UnixMillis,
        ages: &BatchAges,
        event_index: usize,
    ) -> Option<Micros> {
        if stated == 0 {
            return None;
        }
        let known = self.by_store.get(&store).copied();
        let started_at = match known {
            Some(known) if known.stated == stated => known.started_at,
            // A restart is always later than the previous start, whatever the clocks show.
            Some(known) => {
                let estimate = now.checked_sub(ages.restart_age(event_index, stated));
                estimate.max(known.started_at.map(|previous| previous + 1))
            }
            None => now.checked_sub(ages.new_store_age(event_index, stated)),
        };
        self.by_store.insert(store, StartRecord { stated, started_at, last_listed_at: now });
        if self.by_store.len() > MAX_STORES {
            self.remove_oldest();
        }
        started_at
    }

    fn remove_oldest(&mut self) {
        let oldest =
            self.by_store.iter().min_by_key(|(_, start)| start.last_listed_at).map(|(store, _)| *store);
        if let Some(store) = oldest {
            self.by_store.remove(&store);
        }
    }
}
