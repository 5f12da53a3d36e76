//! Quota allocator: grants amounts of a budget at the gateway that holds the budget's lease.

use crate::token_bucket::amount_micros;
use crate::{Amount, Grant, GrantRequest, MICROS_PER_SECOND, Micros, ONE_CALL, QuotaParameters, TokenBucket};
use std::collections::BTreeMap;

/// Maximum number of rate transfers in force in each direction.
const MAX_RATE_TRANSFERS: usize = 64;
/// Time for which an answered request is kept to recognize duplicates, in grant lifetimes.
const ANSWER_RETENTION_LIFETIMES: u64 = 8;

/// Identity of a quota client: a gateway and its process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Requester {
    /// The gateway's number in the fleet.
    pub member: u16,
    /// The incarnation of the gateway's process.
    pub incarnation: u64,
}

/// The quota allocator of another region, as the other side of a rate transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Counterparty(pub u64);

/// A part of the rate that is transferred to or from another region's allocator for a limited time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct RateTransfer {
    counterparty: Counterparty,
    rate: Amount,
    from: Micros,
    until: Micros,
}

impl RateTransfer {
    /// The time within `from..until` during which the transfer is in force.
    fn overlap(&self, from: Micros, until: Micros) -> Micros {
        self.until.min(until).saturating_sub(self.from.max(from))
    }
}

/// The latest answered request of a gateway, kept to recognize duplicates and to divide the quota by demand.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct AnsweredRequest {
    incarnation: u64,
    number: u32,
    granted: Amount,
    wanted: Amount,
    answered_at: Micros,
}

/// Classification of a request by the latest answer to the same client.
enum RequestStatus {
    /// The request is new.
    New,
    /// The request was already answered with this amount.
    Duplicate(Amount),
    /// A later request was already answered.
    Outdated,
}

/// Grants amounts of a budget on behalf of one lease holder in one epoch. It starts empty, because the amounts granted
/// by earlier allocators may still be spent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QuotaAllocator {
    parameters: QuotaParameters,
    bucket: TokenBucket,
    /// The latest answered request of each gateway, by its number in the fleet.
    answered: BTreeMap<u16, AnsweredRequest>,
    transferred_out: Vec<RateTransfer>,
    transferred_in: Vec<RateTransfer>,
    issued: Amount,
}

impl QuotaAllocator {
    /// Creates an empty allocator.
    pub fn new(parameters: QuotaParameters, now: Micros) -> QuotaAllocator {
        QuotaAllocator {
            parameters,
            bucket: TokenBucket::new(parameters.capacity, now),
            answered: BTreeMap::new(),
            transferred_out: Vec::new(),
            transferred_in: Vec::new(),
            issued: Amount::ZERO,
        }
    }

    /// The total amount that this allocator has granted.
    pub fn issued(&self) -> Amount {
        self.issued
    }

    /// The amount available for grants as of the last refill.
    pub fn level(&self) -> Amount {
        self.bucket.level()
    }

    /// The amount that the rate transferred out yields between two times, in the unit of [`amount_micros`].
    fn transferred_out_between(&self, from: Micros, until: Micros) -> u128 {
        let ends = self.transferred_out.iter().flat_map(|transfer| [transfer.from, transfer.until]);
        let mut boundaries: Vec<Micros> = ends.chain([from, until]).collect();
        boundaries.retain(|time| (from..=until).contains(time));
        boundaries.sort_unstable();
        let segment_yield = |segment: &[Micros]| {
            let in_force =
                self.transferred_out.iter().filter(|transfer| transfer.overlap(segment[0], segment[1]) > 0);
            amount_micros(highest_rates(in_force), segment[1] - segment[0])
        };
        boundaries.windows(2).map(segment_yield).sum()
    }

    fn refill(&mut self, now: Micros) {
        let from = self.bucket.refilled_until();
        let own_yield = amount_micros(self.parameters.rate, now.saturating_sub(from));
        let transfer_yield =
            |transfer: &RateTransfer| amount_micros(transfer.rate, transfer.overlap(from, now));
        let transferred_in: u128 = self.transferred_in.iter().map(transfer_yield).sum();
        let transferred_out = self.transferred_out_between(from, now.max(from));
        self.bucket.refill(now, Amount::ZERO);
        self.bucket.add((own_yield + transferred_in).saturating_sub(transferred_out));
        self.transferred_out.retain(|transfer| now < transfer.until);
        self.transferred_in.retain(|transfer| now < transfer.until);
    }

    /// Answers a request with a share of the available amount, in proportion to the recent requests of all clients.
    /// Returns `None` if the request is outdated.
    pub fn grant(&mut self, now: Micros, requester: Requester, request: GrantRequest) -> Option<Grant> {
        self.refill(now);
        let retention = self.parameters.grant_lifetime * ANSWER_RETENTION_LIFETIMES;
        self.answered.retain(|_, answered| now < answered.answered_at + retention);
        let Requester { member, incarnation } = requester;
        let answer = |amount| Grant { to: incarnation, number: request.number, amount };
        match self.request_status(requester, request.number) {
            RequestStatus::Duplicate(granted) => return Some(answer(granted)),
            RequestStatus::Outdated => return None,
            RequestStatus::New => {}
        }
        let granted = self.fair_amount(now, member, request.want);
        if !self.bucket.take(granted) {
            return None;
        }
        self.issued += granted;
        let (number, wanted) = (request.number, request.want);
        let answered = AnsweredRequest { incarnation, number, granted, wanted, answered_at: now };
        self.answered.insert(member, answered);
        Some(answer(granted))
    }

    fn request_status(&self, requester: Requester, number: u32) -> RequestStatus {
        let answered = self.answered.get(&requester.member);
        let Some(answered) = answered.filter(|answered| answered.incarnation == requester.incarnation) else {
            return RequestStatus::New;
        };
        if number == answered.number {
            return RequestStatus::Duplicate(answered.granted);
        }
        // Request numbers wrap around: a number is older if it lies less than half of the number space behind.
        if number.wrapping_sub(answered.number) > u32::MAX / 2 {
            return RequestStatus::Outdated;
        }
        RequestStatus::New
    }

    /// A client's share of the available amount, in whole calls, since a fraction of a call could not be spent and
    /// would expire. If fewer calls are available than clients request, calls are granted one each in the order of
    /// requests.
    fn fair_amount(&self, now: Micros, member: u16, want: Amount) -> Amount {
        let lifetime = self.parameters.grant_lifetime;
        let wanted_by_others: u128 = self
            .answered
            .iter()
            .filter(|(other, answered)| **other != member && now < answered.answered_at + lifetime)
            .map(|(_, answered)| u128::from(answered.wanted.thousandths()))
            .sum();
        let wanted = u128::from(want.thousandths());
        let level = self.bucket.level();
        let share = level.scaled(wanted, wanted_by_others + wanted);
        want.min(share.max(level.min(ONE_CALL))).whole_calls()
    }

    /// The recent demand of this region's clients, per second.
    pub fn demand(&self, now: Micros) -> Amount {
        let lifetime = self.parameters.grant_lifetime;
        let recent = self.answered.values().filter(|answered| now < answered.answered_at + lifetime);
        let wanted: Amount = recent.map(|answered| answered.wanted).sum();
        wanted.scaled(u128::from(MICROS_PER_SECOND), u128::from(lifetime))
    }

    /// The rate currently transferred to other regions.
    pub fn transferred_out(&self, now: Micros) -> Amount {
        Amount::from_thousandths(self.transferred_out_between(now, now + 1) as u64)
    }

    /// Transfers a part of the rate to another region's allocator for `duration` of this clock, and returns the rate
    /// that was transferred. Earlier transfers to the same allocator remain in force until they end, and the recent
    /// demand of this region's own clients is withheld.
    pub fn transfer_out(&mut self, now: Micros, to: Counterparty, want: Amount, duration: Micros) -> Amount {
        self.refill(now);
        let own_demand = self.demand(now);
        let transferred_to_others =
            highest_rates(self.transferred_out.iter().filter(|transfer| transfer.counterparty != to));
        let rate = want.min(self.parameters.rate.saturating_sub(own_demand + transferred_to_others));
        if rate == Amount::ZERO || self.transferred_out.len() >= MAX_RATE_TRANSFERS {
            return Amount::ZERO;
        }
        let transfer = RateTransfer { counterparty: to, rate, from: now, until: now + duration };
        self.transferred_out.push(transfer);
        rate
    }

    /// Records a rate that another region's allocator has transferred, which replaces the previous transfer from the
    /// same counterparty. `until` is measured from the time of the request, so that a delayed answer does not extend
    /// it.
    pub fn transfer_in(&mut self, now: Micros, from: Counterparty, rate: Amount, until: Micros) {
        self.refill(now);
        self.transferred_in.retain(|transfer| transfer.counterparty != from);
        if now < until && self.transferred_in.len() < MAX_RATE_TRANSFERS {
            self.transferred_in.push(RateTransfer { counterparty: from, rate, from: now, until });
        }
    }
}

/// The sum of the highest rate of each counterparty, which may have received any of several overlapping transfers.
fn highest_rates<'a>(transfers: impl Iterator<Item = &'a RateTransfer>) -> Amount {
    let mut highest: BTreeMap<Counterparty, Amount> = BTreeMap::new();
    for transfer in transfers {
        let rate = highest.entry(transfer.counterparty).or_default();
        *rate = (*rate).max(transfer.rate);
    }
    highest.into_values().sum()
}

#[cfg(test)]
mod tests;
