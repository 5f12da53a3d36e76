//! Faults of a scenario, before a seed has drawn what is left open.

use crate::participant::ParticipantId;
use crate::value_range::ValueRange;
use std::collections::BTreeSet;
use std::time::Duration;

/// A signal that a process gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ProcessFault {
    /// SIGKILL; started again at the end.
    Kill,
    /// SIGSTOP; SIGCONT at the end.
    Stop,
    /// SIGTERM; started again at the end.
    Term,
    /// SIGHUP, which has no end.
    Hup,
}

/// The kind of a fault on links, with what may be drawn.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkFaultKind {
    /// Nothing passes; what is sent is held.
    Cut,
    /// What is sent is lost, and nobody is told.
    Silence,
    /// Connections are reset.
    Reset,
    /// Connections come up, and nothing answers on them.
    Stall,
    /// Bytes come later.
    Delay {
        /// By how much.
        by: ValueRange<Duration>,
        /// Up to how much more.
        jitter: ValueRange<Duration>,
    },
    /// Bytes a second.
    Rate(ValueRange<f64>),
    /// The share of chunks of which one bit is changed.
    Corrupt(ValueRange<f64>),
    /// The share of datagrams that are lost.
    Loss(ValueRange<f64>),
    /// The share of datagrams that come twice.
    Duplicate(ValueRange<f64>),
    /// The share of datagrams that others overtake.
    Reorder(ValueRange<f64>),
}

/// The kind of a fault under the shim, with what may be drawn.
#[derive(Clone, Debug, PartialEq)]
pub enum SystemFaultKind {
    /// The wall clock is stepped.
    ClockStep {
        /// By how much.
        by: ValueRange<Duration>,
        /// Whether it is set back.
        back: bool,
    },
    /// The share of calls on sockets that fail.
    CallErrors(ValueRange<f64>),
    /// The share of calls on stored files that fail.
    DiskErrors(ValueRange<f64>),
}

/// What goes wrong, and at whom.
#[derive(Clone, Debug, PartialEq)]
pub enum FaultKind {
    /// Of the bytes between participants.
    Link {
        /// Whose bytes.
        from: BTreeSet<ParticipantId>,
        /// Where they go.
        to: BTreeSet<ParticipantId>,
        /// On what goes back, too.
        both: bool,
        /// What happens to them.
        kind: LinkFaultKind,
    },
    /// A process gets a signal.
    Process {
        /// Whose process.
        who: BTreeSet<ParticipantId>,
        /// Which signal.
        fault: ProcessFault,
    },
    /// A cache or parent dies, resets its connections and refuses new ones; at the end it starts cold.
    Crash {
        /// Which one.
        who: BTreeSet<ParticipantId>,
    },
    /// A cache or parent is to be sent nothing new.
    Drain {
        /// Which one.
        who: BTreeSet<ParticipantId>,
    },
    /// Gateways hear later of what is published on the event bus.
    LateBus {
        /// Which ones.
        who: BTreeSet<ParticipantId>,
        /// By how much.
        by: ValueRange<Duration>,
    },
    /// Copies of a group of objects are void.
    Purge {
        /// Drawn where it is not told.
        group: Option<u8>,
    },
    /// System calls of gateways fail, or their wall clock is stepped.
    System {
        /// Which ones.
        who: BTreeSet<ParticipantId>,
        /// What fails.
        kind: SystemFaultKind,
    },
    /// An operator has gateways send nothing to stores; they may again at the end.
    Suspend {
        /// Which gateways.
        who: BTreeSet<ParticipantId>,
        /// Which stores.
        stores: BTreeSet<ParticipantId>,
    },
}

impl FaultKind {
    /// How many participants it can be drawn from.
    pub(super) fn candidates(&self) -> usize {
        match self {
            FaultKind::Link { from, .. } => from.len(),
            FaultKind::Process { who, .. }
            | FaultKind::Crash { who }
            | FaultKind::Drain { who }
            | FaultKind::LateBus { who, .. }
            | FaultKind::System { who, .. }
            | FaultKind::Suspend { who, .. } => who.len(),
            FaultKind::Purge { .. } => usize::MAX,
        }
    }
}

/// A fault, before the seed has drawn what is left open.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultSpec {
    /// What goes wrong.
    pub what: FaultKind,
    /// So many of the participants, drawn; all where it is not told.
    pub pick: Option<usize>,
    /// How often it comes, each drawn anew.
    pub times: usize,
    /// When it begins, from the phase's begin.
    pub at: ValueRange<Duration>,
    /// To the phase's end where it is not told.
    pub lasts: Option<ValueRange<Duration>>,
}
