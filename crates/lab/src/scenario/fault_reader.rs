//! Reads the faults of a phase.

use super::{FaultKind, FaultSpec, LinkFaultKind, ProcessFault, SystemFaultKind};
use crate::participant::{ParticipantId, ParticipantKind, Roster};
use crate::value_range::{RangeError, ValueRange};
use sagearch_operators::Diagnostic;
use sagearch_operators::item::Item;
use std::collections::BTreeSet;
use std::time::Duration;

/// One fault of a phase, as it is written.
pub(super) struct FaultEntry<'a> {
    pub(super) item: &'a Item,
    pub(super) roster: &'a Roster,
}

const STORES: &[ParticipantKind] = &[ParticipantKind::Store, ParticipantKind::Parent];
const GATEWAYS: &[ParticipantKind] = &[ParticipantKind::Gateway];

impl FaultEntry<'_> {
    /// Participants under a property; commas stand between several names.
    fn participants(&self, property: &str) -> Result<BTreeSet<ParticipantId>, Diagnostic> {
        let text = self.item.optional_text(property)?;
        let text = text.ok_or_else(|| {
            self.item.diagnostic(format!("a fault of this kind lacks {property:?}: whom it affects"))
        })?;
        let mut all = BTreeSet::new();
        for name in text.split(',') {
            let found = self.roster.named(name.trim());
            all.extend(found.map_err(|cause| self.item.diagnostic_at(property, cause))?);
        }
        Ok(all)
    }

    /// The same, all of which must be of some kinds.
    fn participants_of(
        &self,
        property: &str,
        kinds: &[ParticipantKind],
        expected: &str,
    ) -> Result<BTreeSet<ParticipantId>, Diagnostic> {
        let found = self.participants(property)?;
        match found.iter().find(|id| !kinds.contains(&self.roster.get(**id).kind)) {
            None => Ok(found),
            Some(other) => {
                let cause = format!("{} is no {expected}", self.roster.get(*other));
                Err(self.item.diagnostic_at(property, cause))
            }
        }
    }

    fn gateways(&self) -> Result<BTreeSet<ParticipantId>, Diagnostic> {
        self.participants_of("who", GATEWAYS, "gateway")
    }

    fn stores(&self, property: &str) -> Result<BTreeSet<ParticipantId>, Diagnostic> {
        self.participants_of(property, STORES, "cache or parent")
    }

    fn range<T>(
        &self,
        property: &str,
        read: impl Fn(&str) -> Result<ValueRange<T>, RangeError>,
    ) -> Result<Option<ValueRange<T>>, Diagnostic> {
        let text = self.item.optional_text(property)?;
        text.map(|text| read(&text).map_err(|cause| self.item.diagnostic_at(property, cause))).transpose()
    }

    fn duration(&self, property: &str) -> Result<Option<ValueRange<Duration>>, Diagnostic> {
        self.range(property, ValueRange::of_times)
    }

    fn required<T>(&self, property: &str, read: Option<T>) -> Result<T, Diagnostic> {
        read.ok_or_else(|| self.item.diagnostic(format!("a fault of this kind lacks {property:?}")))
    }

    fn required_duration(&self, property: &str) -> Result<ValueRange<Duration>, Diagnostic> {
        self.required(property, self.duration(property)?)
    }

    fn share(&self) -> Result<ValueRange<f64>, Diagnostic> {
        self.required("share", self.range("share", ValueRange::of_shares)?)
    }

    fn link_kind(&self, kind: &str) -> Result<Option<LinkFaultKind>, Diagnostic> {
        Ok(Some(match kind {
            "cut" => LinkFaultKind::Cut,
            "silence" => LinkFaultKind::Silence,
            "reset" => LinkFaultKind::Reset,
            "stall" => LinkFaultKind::Stall,
            "delay" => LinkFaultKind::Delay {
                by: self.required_duration("by")?,
                jitter: self.duration("jitter")?.unwrap_or(ValueRange::ZERO),
            },
            "rate" => LinkFaultKind::Rate(self.required("rate", self.range("rate", ValueRange::of_bytes)?)?),
            "corrupt" => LinkFaultKind::Corrupt(self.share()?),
            "loss" => LinkFaultKind::Loss(self.share()?),
            "duplicate" => LinkFaultKind::Duplicate(self.share()?),
            "reorder" => LinkFaultKind::Reorder(self.share()?),
            _ => return Ok(None),
        }))
    }

    fn system_kind(&self, kind: &str) -> Result<Option<SystemFaultKind>, Diagnostic> {
        Ok(Some(match kind {
            "clock-step" => SystemFaultKind::ClockStep {
                by: self.required_duration("by")?,
                back: self.item.flag("back")?,
            },
            "syscalls" => SystemFaultKind::CallErrors(self.share()?),
            "disk" => SystemFaultKind::DiskErrors(self.share()?),
            _ => return Ok(None),
        }))
    }

    /// A signal to processes.
    fn process(&self, fault: ProcessFault) -> Result<FaultKind, Diagnostic> {
        let who = self.participants("who")?;
        match who.iter().find(|id| !self.roster.get(**id).kind.is_process()) {
            None => Ok(FaultKind::Process { who, fault }),
            Some(id) => {
                let cause = format!("{} is no process", self.roster.get(*id));
                Err(self.item.diagnostic_at("who", cause))
            }
        }
    }

    fn kind(&self, kind: &str) -> Result<FaultKind, Diagnostic> {
        if let Some(kind) = self.link_kind(kind)? {
            let (from, to) = (self.participants("from")?, self.participants("to")?);
            return Ok(FaultKind::Link { from, to, both: self.item.flag("both")?, kind });
        }
        if let Some(kind) = self.system_kind(kind)? {
            return Ok(FaultKind::System { who: self.gateways()?, kind });
        }
        match kind {
            "kill" => self.process(ProcessFault::Kill),
            "stop" => self.process(ProcessFault::Stop),
            "term" => self.process(ProcessFault::Term),
            "hup" => self.process(ProcessFault::Hup),
            "crash" => Ok(FaultKind::Crash { who: self.stores("who")? }),
            "drain" => Ok(FaultKind::Drain { who: self.stores("who")? }),
            "late-bus" => Ok(FaultKind::LateBus { who: self.gateways()?, by: self.required_duration("by")? }),
            "suspend" => Ok(FaultKind::Suspend { who: self.gateways()?, stores: self.stores("to")? }),
            "purge" => {
                let group = self.item.optional_number("group")?;
                Ok(FaultKind::Purge { group: group.map(|group| group as u8) })
            }
            _ => Err(self.item.unknown()),
        }
    }

    /// Reads the fault of a phase that lasts so long.
    pub(super) fn spec(&self, phase: Duration) -> Result<FaultSpec, Diagnostic> {
        let what = self.kind(&self.item.one_text()?)?;
        let candidates = what.candidates();
        let pick = self.item.optional_number("pick")?.map(|pick| pick as usize);
        if let Some(pick) = pick.filter(|pick| *pick > candidates) {
            return Err(self.item.diagnostic_at("pick", format!("{pick} of {candidates} can't be drawn")));
        }
        let at = self.duration("at")?.unwrap_or(ValueRange::ZERO);
        if at.max >= phase {
            return Err(self.item.diagnostic_at("at", "begins when the phase is over"));
        }
        let lasts = self.duration("for")?;
        Ok(FaultSpec { what, pick, times: self.item.number("times")? as usize, at, lasts })
    }
}
