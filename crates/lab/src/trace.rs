//! What each participant observed, with the time of one clock: microseconds from the run's begin.
//!
//! The names of variants and fields are those of the trace file.

use crate::participant::ParticipantId;
use serde::{Deserialize, Serialize};

/// Microseconds.
pub type Micros = u64;

/// How a class may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// It may run twice.
    Free,
    /// It carries an idempotency key.
    Keyed,
    /// It must not run twice.
    Once,
}

/// A body, as it says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Body {
    /// Which object.
    pub object: String,
    /// Which part of it.
    pub part: String,
    /// Which version of it.
    pub version: u64,
    /// When the origin gave it out.
    pub made: Micros,
}

/// How an attempt ended, in the stores' protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AttemptStatus {
    /// With a body.
    Ok,
    /// The gateway has the same body.
    Current,
    /// The store has no copy, and was not to fill one.
    Nothing,
    /// The store would not take it.
    Refused,
    /// It ran, and failed.
    Error,
    /// Its time was over before it ran.
    Stale,
}

impl AttemptStatus {
    /// Whether it proves that the request never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, AttemptStatus::Nothing | AttemptStatus::Refused | AttemptStatus::Stale)
    }
}

/// What the event bus says of a store or of copies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BusChange {
    /// A store takes requests.
    Up {
        /// Which one.
        store: ParticipantId,
        /// When it started, if that was in this run.
        started: Option<Micros>,
    },
    /// A store takes no new requests.
    Draining {
        /// Which one.
        store: ParticipantId,
    },
    /// A store is gone.
    Removed {
        /// Which one.
        store: ParticipantId,
    },
    /// Copies of a group of objects are void.
    Purge {
        /// Which group.
        group: u8,
    },
}

/// What became of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProcessEvent {
    /// It was started.
    Started,
    /// It answers.
    Ready,
    /// A fault has ended or stopped it.
    Struck,
    /// It has ended, and no fault had asked for that.
    Died,
}

/// What a participant observed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "what")]
pub enum EventKind {
    /// A client has written the last byte of a request.
    Asked {
        /// The request's number.
        id: u64,
        /// Whom it was sent to.
        gateway: ParticipantId,
        /// Whose request it is.
        clients: ParticipantId,
        /// How it may be sent again.
        effect: Effect,
        /// Which object it is about.
        object: String,
        /// Which part of it.
        part: String,
        /// How long the client waits.
        wait: Micros,
        /// The oldest copy that the class allows. None: nothing of it is kept.
        fresh: Option<Micros>,
    },
    /// The connection was closed as this was written on it, idle before: it is asked again on another one.
    Withdrawn {
        /// The request.
        id: u64,
    },
    /// A whole answer has come. No body: it was not 200.
    Answered {
        /// The request.
        id: u64,
        /// As HTTP numbers it.
        status: u16,
        /// Whether it says when to come again.
        retry_after: bool,
        /// What its bytes say of themselves.
        body: Option<Body>,
        /// Whether it could be read.
        whole: bool,
    },
    /// The connection ended without a whole answer.
    Broke {
        /// The request.
        id: u64,
    },
    /// The client has waited as long as it said.
    Left {
        /// The request.
        id: u64,
    },
    /// A request has come whole to a store.
    Arrived {
        /// The request.
        id: u64,
        /// The attempt's number.
        attempt: u64,
        /// Who sent it.
        gateway: ParticipantId,
        /// Whom it was sent to.
        store: ParticipantId,
        /// When its first byte left the gateway.
        sent: Micros,
    },
    /// The store has begun to write its answer.
    Ended {
        /// The attempt.
        attempt: u64,
        /// What it answers.
        word: AttemptStatus,
    },
    /// Given up by the gateway; or its connection has closed.
    GivenUp {
        /// The attempt.
        attempt: u64,
        /// When the gateway sent that.
        sent: Micros,
    },
    /// The store died with it.
    Lost {
        /// The attempt.
        attempt: u64,
    },
    /// It is published on the event bus.
    Stands {
        /// What is published.
        change: BusChange,
    },
    /// A store was sent too much while it was cold, and has died of it.
    Fell {
        /// Which one.
        store: ParticipantId,
    },
    /// Something became of a process.
    Process {
        /// Whose process.
        whom: ParticipantId,
        /// What.
        life: ProcessEvent,
    },
    /// A gateway has acknowledged to an operator that it sends a store nothing more.
    Suspended {
        /// Which gateway.
        gateway: ParticipantId,
        /// Which store.
        store: ParticipantId,
    },
    /// An operator asks a gateway to use a store again.
    ResumeAsked {
        /// Which gateway.
        gateway: ParticipantId,
        /// Which store.
        store: ParticipantId,
    },
    /// A fault begins or ends.
    Fault {
        /// Its place in the schedule.
        number: usize,
        /// Whether it begins.
        begins: bool,
    },
}

/// What was observed, with its time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TraceEvent {
    /// From the run's begin.
    pub at: Micros,
    /// What was observed.
    #[serde(flatten)]
    pub what: EventKind,
}
