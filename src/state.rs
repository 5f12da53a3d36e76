//! State of the router: the learned state, and the records of members and open requests. Contains no
//! decisions.
//!
//! Serialized names of learned values differ from the field names where processes of earlier versions read
//! them.

use crate::average::{Average, Pace};
use crate::counts::Counts;
use crate::interface::{Detail, Locality, Member, MemberId, Micros, Outcome, Request};
use serde::{Deserialize, Serialize};

/// Mean sending time of the requests of a class. Serialized as a pair.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct SendingTime {
    /// Mean sending time, in seconds.
    pub mean: f64,
    /// Number of requests in the mean.
    pub requests: f64,
}

impl From<(f64, f64)> for SendingTime {
    fn from((mean, requests): (f64, f64)) -> SendingTime {
        SendingTime { mean, requests }
    }
}

impl From<SendingTime> for (f64, f64) {
    fn from(SendingTime { mean, requests }: SendingTime) -> (f64, f64) {
        (mean, requests)
    }
}

/// Values that a router learns from its traffic. During an upgrade the next process continues with them.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct Learned {
    /// Recent number of requests of each object.
    #[serde(rename = "counts")]
    pub(crate) popularity: Counts,
    /// Mean sending time of each class.
    #[serde(rename = "mean_work")]
    pub(crate) sending_times: Vec<SendingTime>,
    /// Share of requests that missed, by cache rank; rank 0 stands for uncacheable requests.
    #[serde(rename = "misses")]
    pub(crate) miss_rates: [f64; 4],
    /// Usual load of caches, parents and origins, according to their load reports.
    pub(crate) usual_load: [f64; 3],
    /// Pace of hits at caches, which shows congested links.
    #[serde(rename = "hits")]
    pub(crate) hit_pace: Pace,
    /// Pace of all answers, including the time that they waited for fills.
    #[serde(rename = "served")]
    pub(crate) served_pace: Pace,
    /// Time that a fill takes in addition to its sending time, in seconds.
    #[serde(rename = "fill_extra")]
    pub(crate) fill_delay: f64,
    /// Ratio of fill wait to request slack: of all fills, and of fills that a source had cached.
    #[serde(rename = "fill_wait")]
    pub(crate) fill_wait_ratios: [f64; 2],
    /// Whether caches report which fills came from the origin.
    #[serde(rename = "tells_origin")]
    pub(crate) reports_origin_fills: bool,
    /// Share of requests whose first answer was late or lost.
    #[serde(rename = "lost")]
    pub(crate) lost_answers: f64,
}

/// Result of the passive health checks of a member.
#[derive(Clone, Copy, Default)]
pub struct Health {
    /// Share of failures among the latest answers.
    pub failure_rate: f64,
    /// Number of ejections in a row; each one lasts longer than the previous one.
    pub ejections: u32,
    /// When the ejection ends. After that, one request at a time probes the member.
    pub ejected_until: Option<Micros>,
    /// Whether a request that probes the member after an ejection is in flight.
    pub probe_in_flight: bool,
}

/// Load of a member according to its last report, without the attempts of this gateway.
#[derive(Clone, Copy, Debug)]
pub struct ReportedLoad {
    /// When the report was received.
    pub received_at: Micros,
    /// Number of requests of other gateways in flight.
    pub others_in_flight: f64,
}

/// Recent wait of fills from a member.
#[derive(Clone, Copy, Debug, Default)]
pub struct FillWait {
    /// When the wait was last measured.
    pub measured_at: Micros,
    /// Average wait, in seconds.
    pub seconds: f64,
}

/// Record of a listed member.
#[derive(Default)]
pub struct MemberRecord {
    /// The member as listed by discovery.
    pub member: Member,
    /// Number of attempts of this gateway in flight at the member.
    pub in_flight: u32,
    /// Average of `in_flight`, weighted towards recent values.
    pub average_in_flight: Average,
    /// Load according to the last load report.
    pub reported_load: Option<ReportedLoad>,
    /// Number of concurrent transfers that the member carries at full pace.
    pub capacity: f64,
    /// Recent wait of fills from the member.
    pub fill_wait: FillWait,
    /// Since when the member is missing from the list or listed as gone.
    pub gone_since: Option<Micros>,
    /// When the member last gave a good answer.
    pub last_success: Option<Micros>,
    /// When the member was last penalized for a broken attempt.
    pub last_break: Option<Micros>,
    /// Result of the passive health checks.
    pub health: Health,
    /// When the start of the member was reported to this gateway, or the member was first listed.
    pub start_notified: Micros,
    /// During slow start, when the next request is due at an even pace. Bursts may run ahead of this time.
    pub slow_start_due: Micros,
    /// Time by which the last request postponed `slow_start_due`.
    pub last_charge: Micros,
}

/// One attempt of a request.
#[derive(Clone, Default)]
pub struct Attempt {
    /// The member to which the attempt was sent.
    pub member: MemberId,
    /// The locality of the member when the attempt was sent. The list may change it afterwards.
    pub locality: Locality,
    /// The member named as source of a fill.
    pub source: Option<MemberId>,
    /// Charge to the slow-start budget of the source, refunded if the source is not used.
    pub slow_start_charge: Micros,
    /// Whether no fetch was requested. A miss then shows that neither the member nor the source has a copy.
    pub lookup_only: bool,
    /// Whether the source is another cache of the location, which answers only from its cache.
    pub from_sibling: bool,
    /// Whether the attempt was charged to the revalidation budget.
    pub revalidates: bool,
    /// Probability that the member has no copy.
    pub miss_probability: f64,
    /// When the attempt was sent.
    pub sent_at: Micros,
    /// When a hedged request may follow.
    pub hedge_at: Option<Micros>,
    /// How the attempt ended; `None` while it is in flight.
    pub outcome: Option<Outcome>,
    /// Details of the answer, such as a hit or a fill.
    pub detail: Detail,
    /// Duration of the attempt, in seconds.
    pub duration: f64,
}

impl Attempt {
    /// Whether the attempt may have run. An attempt in flight may have.
    pub fn may_have_run(&self) -> bool {
        self.outcome.is_none_or(Outcome::may_have_run)
    }

    /// Whether the attempt ended with an error, or its connection broke while it was in flight.
    pub fn broke(&self) -> bool {
        matches!(self.outcome, Some(Outcome::Failed | Outcome::Reset))
    }

    /// Whether the answer came from a fill, either the attempt's own or one that it joined.
    pub fn brought_by_fill(&self) -> bool {
        self.detail.filled() || self.detail == Detail::Joined
    }

    /// Whether neither the member nor the source had a copy and no fetch was requested.
    pub fn missed_lookup(&self) -> bool {
        self.lookup_only && self.outcome == Some(Outcome::Miss)
    }

    /// Whether the fetch failed at the origin, or the source has no copy and was not allowed to fetch one.
    pub fn fetch_failed(&self) -> bool {
        let source_lacks = self.missed_lookup() && self.source.is_some() && !self.from_sibling;
        self.detail == Detail::OriginFailed || source_lacks
    }
}

/// Penalty of a member for a broken attempt, kept so that it can be reversed.
pub struct Penalty {
    /// The penalized member.
    pub member: MemberId,
    /// Health of the member before the penalty.
    pub previous_health: Health,
    /// When the member was penalized.
    pub penalized_at: Micros,
}

/// An open request.
#[derive(Default)]
pub struct RequestState {
    /// The request as received from the client.
    pub request: Request,
    /// Index of the request's class in the settings.
    pub class: usize,
    /// Key for the rendezvous order of members; the same at all gateways.
    pub routing_key: u64,
    /// Hash by which purges of the object are found.
    pub object_hash: u64,
    /// Rank at which the copy is cached; 0 if it is not cached.
    pub cache_rank: u8,
    /// Expected sending time of the answer, in seconds.
    pub send_seconds: f64,
    /// When the final answer is due.
    pub deadline: Micros,
    /// Attempts of the request, indexed by attempt number.
    pub attempts: Vec<Attempt>,
    /// Sources that failed a fill for the request.
    pub failed_sources: Vec<MemberId>,
    /// Penalties of members for the first broken attempts of the request.
    pub penalties: Vec<Penalty>,
    /// When the backoff before the next attempt ends.
    pub retry_at: Option<Micros>,
    /// Whether the request has its final answer. Attempts may still be in flight.
    pub finished: bool,
}
