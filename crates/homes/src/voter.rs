//! Voters. Each voter remembers its promises: the process to which it granted the lease on a slice, and the time until
//! which it grants that lease to no other process.

use crate::message::ProcessId;
use crate::{Epoch, LeaseConfig, Micros, Slice};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Promise {
    holder: ProcessId,
    epoch: Epoch,
    expires_at: Micros,
}

/// A voter's answer to a request for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Vote {
    /// The voter grants the lease.
    Granted,
    /// The voter denies the lease, and reports the latest epoch that it knows.
    Denied(Epoch),
    /// The voter does not answer yet: leases that it granted before a restart may not have expired.
    Abstained,
}

/// A voter of a region.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    config: LeaseConfig,
    abstains_until: Micros,
    promises: BTreeMap<Slice, Promise>,
    epochs: BTreeMap<Slice, Epoch>,
    minimum_epoch: Epoch,
}

impl Voter {
    /// Creates a voter that has just started and has lost its state. It abstains for the duration of one promise, as leases
    /// that it granted before may last that long.
    ///
    /// Epochs up to `minimum_epoch` count as used, so that epochs increase even if all members have lost their state.
    pub fn new(config: LeaseConfig, now: Micros, minimum_epoch: Epoch) -> Voter {
        let abstains_until = now + config.promise_duration();
        Voter { config, abstains_until, promises: BTreeMap::new(), epochs: BTreeMap::new(), minimum_epoch }
    }

    /// The latest known epoch of a slice.
    pub fn latest_epoch(&self, slice: Slice) -> Epoch {
        self.epochs.get(&slice).copied().unwrap_or(self.minimum_epoch)
    }

    /// Records an epoch reported by another member. An epoch that can't be valid is ignored.
    pub fn observe_epoch(&mut self, slice: Slice, epoch: Epoch) {
        let known = self.latest_epoch(slice);
        if slice.0 < self.config.slices && epoch > known && epoch.is_reachable_from(known) {
            self.epochs.insert(slice, epoch);
        }
    }

    /// Votes on a request from `holder` for the lease on a slice, or for its renewal.
    pub fn vote(&mut self, now: Micros, holder: ProcessId, slice: Slice, epoch: Epoch) -> Vote {
        let known = self.latest_epoch(slice);
        if slice.0 >= self.config.slices || !epoch.is_reachable_from(known) {
            return Vote::Denied(known);
        }
        if now < self.abstains_until {
            return Vote::Abstained;
        }
        // A renewal keeps its epoch. A new lease needs an epoch that has not been used.
        let promise = self.promises.get(&slice).copied();
        let is_renewal = promise.is_some_and(|promise| promise.holder == holder && promise.epoch == epoch);
        let is_free = promise.is_none_or(|promise| promise.holder == holder || now >= promise.expires_at);
        // A voter that has lost its state has no promise for a lease whose holder renews it. Granting the lease is safe, as
        // no other process can have been granted that epoch.
        if is_renewal || (is_free && epoch > known) {
            self.observe_epoch(slice, epoch);
            let expires_at = now + self.config.promise_duration();
            self.promises.insert(slice, Promise { holder, epoch, expires_at });
            return Vote::Granted;
        }
        Vote::Denied(known)
    }

    /// Ends the promise for a lease that its holder releases. The release of an earlier lease, or by another process, has
    /// no effect.
    pub fn release(&mut self, holder: ProcessId, slice: Slice, epoch: Epoch) {
        let current = self.promises.get(&slice);
        if current.is_some_and(|promise| promise.holder == holder && promise.epoch == epoch) {
            self.promises.remove(&slice);
        }
    }
}

#[cfg(test)]
mod tests;
