//! Total amount issued from a budget, as a grow-only counter (G-Counter CRDT) with one total per issuer, merged by
//! maximum. Duplicated, late or indirectly received reports change nothing, and the amount issued by an allocator that
//! later lost its claim is still counted.

use crate::Amount;
use std::collections::BTreeMap;

/// Maximum number of issuers with a total of their own. The oldest totals beyond it are folded into one sum, which no
/// longer accepts reports.
const MAX_ISSUERS: usize = 256;

/// An allocator during one term of its lease. Issuers are ordered by term, then region, then process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Issuer {
    /// The term of the claim under which the allocator issues grants.
    pub term: u64,
    /// The number of the allocator's region.
    pub region: u8,
    /// The incarnation of the allocator's process.
    pub incarnation: u64,
}

/// Grow-only counter of issued amounts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct IssuedCounter {
    totals: BTreeMap<Issuer, Amount>,
    folded_total: Amount,
    /// The latest issuer whose total was folded.
    folded_up_to: Option<Issuer>,
}

impl IssuedCounter {
    /// Records the total that an issuer has reported. A total below the recorded one, or from a folded issuer, changes
    /// nothing.
    pub fn record(&mut self, issuer: Issuer, total: Amount) {
        if self.folded_up_to.is_some_and(|last| issuer <= last) {
            return;
        }
        let recorded = self.totals.entry(issuer).or_default();
        *recorded = (*recorded).max(total);
        while self.totals.len() > MAX_ISSUERS {
            let Some((oldest, amount)) = self.totals.pop_first() else { return };
            self.folded_total += amount;
            self.folded_up_to = Some(oldest);
        }
    }

    /// Merges the totals of another counter into this one.
    pub fn merge(&mut self, other: &IssuedCounter) {
        for (issuer, total) in &other.totals {
            self.record(*issuer, *total);
        }
    }

    /// The sum over all issuers.
    pub fn total(&self) -> Amount {
        self.folded_total + self.totals.values().copied().sum()
    }

    /// The totals of the latest issuers, at most `count`, for reports to other processes.
    pub fn latest(&self, count: usize) -> impl Iterator<Item = (Issuer, Amount)> + '_ {
        self.totals.iter().rev().take(count).map(|(issuer, amount)| (*issuer, *amount))
    }
}

#[cfg(test)]
mod tests;
