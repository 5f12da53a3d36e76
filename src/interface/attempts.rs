//! Attempts: what a member does on a miss, how an attempt ended, and what its answer reported.

use super::{MemberId, Micros};

/// A member's load report.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// Number of requests that the member has in flight.
    pub inflight: Option<f64>,
    /// Share of the member's processor time in use, from 0 to 1.
    pub busy: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The member answered the request.
    Served,
    /// The member answered with an error; the request may have run.
    Failed,
    /// The member rejected the request before it ran.
    Rejected,
    /// No answer arrived before the timeout; the request may have run.
    TimedOut,
    /// No connection could be set up; the request never ran.
    Unreachable,
    /// The connection broke; the request may have run.
    Reset,
    /// This gateway cancelled the attempt; the request may have run.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
    /// The member has no usable copy and did not fill one; the request never ran.
    Miss,
    /// The member picked for a lookup passed its health check and may be sent the work that follows; no request of this
    /// gateway ran.
    Checked,
    /// The status code is unknown to this version; the request may have run.
    Unknown,
}

impl Outcome {
    /// Whether the request may have run. The other outcomes prove that it never ran.
    pub fn may_have_run(self) -> bool {
        !matches!(self, Outcome::Rejected | Outcome::Unreachable | Outcome::NotSent | Outcome::Miss)
    }
}

/// How a member obtained its answer, or why it could not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Detail {
    /// The answer does not say.
    #[default]
    Unspecified,
    /// The member had a fresh copy.
    Hit,
    /// The member filled a copy for this attempt.
    Filled,
    /// The member filled a copy for this attempt, and the object came from the origin.
    FilledByOrigin,
    /// The attempt joined a fill in progress.
    Joined,
    /// The member served a stale copy, which it revalidates.
    Stale,
    /// The fill source rejected the fill.
    SourceRefused,
    /// The fill source was unreachable or its connection broke.
    SourceLost,
    /// The fill source has no copy and was asked not to fetch one.
    SourceLacks,
    /// The member has no free fill slot.
    NoFillPlace,
    /// The origin failed the fill.
    OriginFailed,
}

impl Detail {
    /// Whether the answer came from a copy that the member had cached.
    pub fn hit(self) -> bool {
        matches!(self, Detail::Hit | Detail::Stale)
    }

    /// Whether the member filled a copy for this attempt.
    pub fn filled(self) -> bool {
        matches!(self, Detail::Filled | Detail::FilledByOrigin)
    }

    /// Whether the fill source failed. A source without a copy has not failed.
    pub fn source_failed(self) -> bool {
        matches!(self, Detail::SourceRefused | Detail::SourceLost | Detail::OriginFailed)
    }
}

/// What a member does on a miss.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fill {
    /// The fill source; `None`: the member does not fill and answers only from its cache.
    pub source: Option<MemberId>,
    /// The cache rank of the copy, from 1 to 3; 0: the copy is not cached.
    pub cache_rank: u8,
    /// Maximum age of a usable copy, never zero; `None`: the limit of the class applies.
    pub max_age: Option<Micros>,
    /// Whether the request may join a fill in progress.
    pub join: bool,
    /// Whether the fill source answers only from its cache, without a fill of its own.
    pub cached_only: bool,
    /// Whether an ageing copy is revalidated in the background while it is served.
    pub background_refresh: bool,
}
