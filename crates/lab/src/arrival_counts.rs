//! Requests by store and time, counted as they come, so that no trace need be held in memory.

use crate::participant::ParticipantId;
use crate::trace::{BusChange, EventKind, Micros, TraceEvent};
use std::collections::BTreeMap;

/// The width of a column, in microseconds.
pub const COLUMN: Micros = 500_000;
/// Columns that are kept: beyond, a run of hours counts in the last one.
const MAX_COLUMNS: usize = 20_000;

/// Requests by store and time.
#[derive(Clone, Debug, Default)]
pub struct ArrivalCounts {
    /// Requests that came to each store, by column.
    pub all: BTreeMap<ParticipantId, Vec<u32>>,
    /// Those of them that came within the time of warming up after its start.
    pub cold: BTreeMap<ParticipantId, Vec<u32>>,
    warm_up: Micros,
    started: BTreeMap<ParticipantId, Micros>,
}

fn add(row: &mut Vec<u32>, at: Micros) {
    let column = ((at / COLUMN) as usize).min(MAX_COLUMNS - 1);
    if row.len() <= column {
        row.resize(column + 1, 0);
    }
    row[column] += 1;
}

impl ArrivalCounts {
    /// No requests; stores warm up for so long.
    pub fn new(warm_up: Micros) -> ArrivalCounts {
        ArrivalCounts { warm_up, ..ArrivalCounts::default() }
    }

    /// Counts an event, if it is the arrival of a request.
    pub fn count(&mut self, seen: &TraceEvent) {
        match &seen.what {
            EventKind::Arrived { store, .. } => {
                add(self.all.entry(*store).or_default(), seen.at);
                let cold = self.started.get(store).is_some_and(|at| seen.at < at + self.warm_up);
                if cold {
                    add(self.cold.entry(*store).or_default(), seen.at);
                }
            }
            EventKind::Stands { change: BusChange::Up { store, started: Some(at) } } => {
                self.started.insert(*store, *at);
            }
            _ => {}
        }
    }

    /// All requests that came to a store.
    pub fn total(&self, store: ParticipantId) -> u64 {
        self.all.get(&store).map_or(0, |row| row.iter().map(|count| u64::from(*count)).sum())
    }
}

#[cfg(test)]
mod tests;
