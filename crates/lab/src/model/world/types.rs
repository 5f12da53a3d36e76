//! Requests at stores, their answers, and what stores are like.

use crate::model::Micros;
use crate::model::cold::ColdRule;
use crate::model::copies::{Copy, Key};
use crate::participant::{ParticipantId, ParticipantKind};

/// The id of a request at a store.
pub type TaskId = u64;

/// What a request at a store asks for.
#[derive(Clone, Debug, PartialEq)]
#[allow(clippy::struct_excessive_bools, reason = "a request may have any of these properties together")]
pub struct Pull {
    /// The object and its part.
    pub key: Key,
    /// The group of objects that purges name.
    pub group: u8,
    /// Its length.
    pub bytes: u64,
    /// The greatest age of a copy that may be the answer.
    pub max_age: Micros,
    /// The store that a miss is filled from.
    pub source: Option<ParticipantId>,
    /// Whether it may wait for a fill of the same part that is under way.
    pub joins_fills: bool,
    /// Whether the source answers only out of its cache.
    pub held_only: bool,
    /// Whether a parent keeps no copy.
    pub through: bool,
    /// The rank of the copy in a cache.
    pub cache_rank: u8,
    /// Whether it runs at the origin each time, as its answer can't be cached.
    pub uncacheable: bool,
    /// How long its sender waits.
    pub timeout: Micros,
}

/// The status of an answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Status {
    /// With the copy.
    Ok(Copy),
    /// The store has no copy, and no source to fill it from.
    Nothing,
    /// The store or its source is full.
    Refused,
    /// The store or its source has died.
    Error,
    /// The sender waits no more.
    Stale,
}

/// How a store came to its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheResult {
    /// Not by its cache.
    None,
    /// Out of its cache.
    Hit,
    /// Filled from a parent.
    Miss,
    /// Filled from the origin.
    MissRoot,
    /// By a fill that was under way.
    Join,
    /// The source refused.
    SourceDenied,
    /// The source has died.
    SourceDead,
    /// The source has no copy.
    SourceLacks,
}

/// The answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Its status.
    pub status: Status,
    /// How the store came to it.
    pub result: CacheResult,
    /// How long the store waited for its source.
    pub waited: Micros,
}

/// What a store is like.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Cache, parent or origin.
    pub kind: ParticipantKind,
    /// The latency to the hub in one direction.
    pub distance: Micros,
    /// The site; within one the latency is small.
    pub site: String,
    /// Requests that it works on at once when warm.
    pub slots: usize,
    /// Requests that may wait.
    pub queue_limit: usize,
    /// The mean time of work on a request, which is exponentially distributed.
    pub service: Micros,
    /// The rate of its link in bytes a second.
    pub link: u64,
    /// How many copies its cache can have.
    pub copies: usize,
    /// Requests a second beyond which it refuses.
    pub rate: f64,
    /// How it starts.
    pub cold: ColdRule,
}

/// What happened in the world.
#[derive(Clone, Debug, PartialEq)]
pub enum WorldEvent {
    /// A request was answered.
    Answer(TaskId, Answer),
    /// A cold store has died of overload.
    Overloaded(ParticipantId),
}

/// The group of an object: the last two hexadecimal digits of its name.
pub fn group_of(object: &str) -> u8 {
    object.get(object.len().saturating_sub(2)..).and_then(|end| u8::from_str_radix(end, 16).ok()).unwrap_or(0)
}
