//! Quota client: the quota leases and local reserve of one gateway, and its requests for more quota.

use crate::{Amount, Grant, GrantRequest, Micros, ONE_CALL, QuotaParameters, TokenBucket};

/// Maximum number of requests during one grant lifetime.
const REQUESTS_PER_LIFETIME: Micros = 8;
/// Maximum number of quota leases held at a time.
const MAX_QUOTA_LEASES: usize = 16;
/// Maximum number of expected calls. No quota is requested for calls beyond it; they are paid for from the quota leases
/// and the reserve at hand.
const MAX_EXPECTED_CALLS: usize = 256;
/// Recent demand below this is not forecast to continue: a grant for it would expire unused, although other
/// gateways could have spent it.
const MIN_FORECAST_DEMAND: Amount = Amount::calls(4);
/// Divides the grant lifetime to give the horizon within which quota is requested for expected calls. Quota requested
/// earlier would expire before the call.
const EXPECTED_CALL_HORIZON_DIVISOR: Micros = 3;

/// Source from which a call was paid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Payment<A> {
    /// The gateway's local reserve.
    Reserve,
    /// A quota lease that was granted under this authority.
    Leased(A),
}

/// A granted amount that can be spent until it expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct QuotaLease<A> {
    /// The remaining amount.
    pub amount: Amount,
    /// The time at which the lease expires.
    pub until: Micros,
    /// The authority under which the lease was granted; the lease is void once it is fenced.
    pub authority: A,
}

/// The latest request sent to the allocator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct LatestRequest {
    number: u32,
    sent_at: Micros,
    /// Whether the answer was received; a duplicate of it is ignored.
    answered: bool,
}

/// Demand in the current and the previous window, each one grant lifetime long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct DemandWindows {
    /// The start of the current window.
    start: Micros,
    previous: Amount,
    current: Amount,
}

impl DemandWindows {
    fn new(now: Micros) -> DemandWindows {
        DemandWindows { start: now, previous: Amount::ZERO, current: Amount::ZERO }
    }

    /// Starts a new window if the current one has ended, and returns whether it did.
    fn roll(&mut self, now: Micros, length: Micros) -> bool {
        let passed = now.saturating_sub(self.start) / length;
        if passed == 0 {
            return false;
        }
        self.previous = if passed == 1 { self.current } else { Amount::ZERO };
        self.current = Amount::ZERO;
        self.start += passed * length;
        true
    }

    fn highest(&self) -> Amount {
        self.previous.max(self.current)
    }
}

/// The quota that one gateway holds of one budget. `A` is the authority under which grants are made, such as a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QuotaClient<A> {
    parameters: QuotaParameters,
    incarnation: u64,
    reserve: TokenBucket,
    leases: Vec<QuotaLease<A>>,
    latest_request_number: u32,
    latest_request: Option<LatestRequest>,
    demand: DemandWindows,
    /// The times at which expected calls are due.
    expected_calls: Vec<Micros>,
}

impl<A: Copy> QuotaClient<A> {
    /// Creates a client with an empty reserve. `incarnation` distinguishes this process from earlier ones of the same
    /// gateway.
    pub fn new(parameters: QuotaParameters, incarnation: u64, now: Micros) -> QuotaClient<A> {
        QuotaClient {
            parameters,
            incarnation,
            reserve: TokenBucket::new(parameters.reserve_capacity, now),
            leases: Vec::new(),
            latest_request_number: 0,
            latest_request: None,
            demand: DemandWindows::new(now),
            expected_calls: Vec::new(),
        }
    }

    fn roll_demand(&mut self, now: Micros) {
        let length = self.parameters.grant_lifetime.max(1);
        if self.demand.roll(now, length) {
            // Drops expected calls that were never made, so that quota is not requested for them repeatedly.
            self.expected_calls.retain(|due| now < *due + length);
        }
    }

    /// Registers an expected call that is due at `due`, so that quota is requested for it in time.
    pub fn expect_call(&mut self, due: Micros) {
        if self.expected_calls.len() < MAX_EXPECTED_CALLS {
            self.expected_calls.push(due);
        }
    }

    fn expected_calls_due(&self, now: Micros) -> u64 {
        let horizon = now + self.parameters.grant_lifetime / EXPECTED_CALL_HORIZON_DIVISOR;
        self.expected_calls.iter().filter(|due| **due <= horizon).count() as u64
    }

    fn remove_earliest_expected_call(&mut self) {
        let earliest = (0..self.expected_calls.len()).min_by_key(|index| self.expected_calls[*index]);
        if let Some(index) = earliest {
            self.expected_calls.swap_remove(index);
        }
    }

    /// Pays for one call and returns the source, or `None` if neither a quota lease nor the reserve covers it. Quota
    /// leases are spent before the reserve, because they expire. Leases whose authority is void according to
    /// `is_fenced` are dropped.
    pub fn spend(&mut self, now: Micros, is_fenced: impl Fn(&A) -> bool) -> Option<Payment<A>> {
        self.roll_demand(now);
        self.demand.current += ONE_CALL;
        self.remove_earliest_expected_call();
        self.leases.retain(|lease| now < lease.until && !is_fenced(&lease.authority));
        self.reserve.refill(now, self.parameters.reserve_rate);
        // Remainders of several leases are not combined to pay for one call, because each lease expires separately.
        if let Some(lease) = self.leases.iter_mut().find(|lease| lease.amount >= ONE_CALL) {
            lease.amount -= ONE_CALL;
            return Some(Payment::Leased(lease.authority));
        }
        self.reserve.take(ONE_CALL).then_some(Payment::Reserve)
    }

    /// The remaining amount of all quota leases, without the reserve.
    pub fn balance(&self, now: Micros) -> Amount {
        self.balance_after(now)
    }

    /// The remaining amount of the quota leases that expire after `time`.
    fn balance_after(&self, time: Micros) -> Amount {
        self.leases.iter().filter(|lease| lease.until > time).map(|lease| lease.amount).sum()
    }

    /// Creates a request if the leases will not cover the recent demand or the expected calls. Returns `None` if they
    /// will, or if the latest request is too recent.
    pub fn request(&mut self, now: Micros) -> Option<GrantRequest> {
        self.roll_demand(now);
        let interval = self.parameters.grant_lifetime / REQUESTS_PER_LIFETIME;
        if self.latest_request.is_some_and(|request| now < request.sent_at + interval) {
            return None;
        }
        let recent = self.demand.highest();
        let forecast = if recent >= MIN_FORECAST_DEMAND { recent } else { Amount::ZERO };
        let required = forecast.max(Amount::calls(self.expected_calls_due(now)));
        let want = required.saturating_sub(self.balance_after(now + interval));
        if want < ONE_CALL {
            return None;
        }
        self.latest_request_number = self.latest_request_number.wrapping_add(1);
        self.latest_request =
            Some(LatestRequest { number: self.latest_request_number, sent_at: now, answered: false });
        Some(GrantRequest { number: self.latest_request_number, want })
    }

    /// Records a grant and returns whether it can be spent. Only the first answer to the latest request is accepted.
    /// The lifetime starts when that request was sent, so that a delayed answer does not extend it.
    pub fn receive(&mut self, now: Micros, grant: Grant, authority: A) -> bool {
        let Some(request) = &mut self.latest_request else { return false };
        if request.answered || (self.incarnation, request.number) != (grant.to, grant.number) {
            return false;
        }
        request.answered = true;
        let until = request.sent_at + self.parameters.grant_lifetime;
        self.leases.retain(|lease| now < lease.until && lease.amount >= ONE_CALL);
        let usable = now < until && self.leases.len() < MAX_QUOTA_LEASES;
        if usable {
            self.leases.push(QuotaLease { amount: grant.amount, until, authority });
        }
        usable
    }
}

#[cfg(test)]
mod tests;
