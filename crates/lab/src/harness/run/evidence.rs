//! Collects what a run has shown, and makes the verdict of it.

use super::laboratory::Laboratory;
use super::playback::Played;
use super::{RunError, micros};
use crate::arrival_counts::ArrivalCounts;
use crate::check::Finding;
use crate::check::shared::{self, SharedStateSummary};
use crate::harness::clients::MAX_LATENESS;
use crate::harness::relay::{Lateness, RelayedBytes};
use crate::link_condition::LinkFault;
use crate::outcome::{Outcome, figures};
use crate::participant::{ParticipantId, ParticipantKind};
use crate::resources::ResourceNeeds;
use crate::scenario::Scenario;
use crate::schedule::{FaultAction, Schedule, ScheduledFault};
use crate::system_faults::InjectedFaults;
use crate::trace::Micros;
use crate::verdict::Verdict;
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::time::Duration;

/// How late 99 of 100 chunks may leave a relay before the laboratory itself is what is measured.
const MAX_RELAY_LATENESS: Duration = Duration::from_millis(50);
/// Findings on what is shared that are kept.
const MAX_FINDINGS: usize = 20;

/// What a run has shown.
pub(super) struct Evidence {
    pub(super) outcomes: Vec<Outcome>,
    pub(super) arrival_counts: ArrivalCounts,
    pub(super) schedule: Schedule,
    /// When the load began, on the trace's clock.
    pub(super) load_begin: Micros,
    seed: u64,
    findings: Vec<Finding>,
    counts: BTreeMap<&'static str, usize>,
    shared: Option<SharedStateSummary>,
    injected: Option<InjectedFaults>,
    process_failures: Vec<String>,
    /// Why the run says nothing.
    void: Vec<String>,
    events: u64,
    relayed: RelayedBytes,
    relay_lateness: Lateness,
    load_lateness_us: u64,
}

impl Laboratory {
    /// Ends all processes, and collects what the run has shown.
    pub(super) async fn end(self, scenario: &Scenario, played: &Played) -> Result<Evidence, RunError> {
        let Laboratory { begin, schedule, context, recording, injector, .. } = self;
        let logs = injector.fleet.logs();
        let injected = injector.fleet.injected_faults()?;
        let mut void = injector.failures;
        void.extend(injected.iter().flat_map(|injected| unstruck(&schedule, injected)));
        let process_failures = injector.fleet.end().await;
        let load_begin = micros(played.begin - begin);
        let recorded = recording.finish().await.ok_or(RunError::RecorderDied)?;
        let (findings, counts) = recorded.checker.finish(context.relay.now());
        let mut evidence = Evidence {
            outcomes: played.clients.outcomes(),
            arrival_counts: recorded.arrival_counts,
            schedule,
            load_begin,
            seed: context.seed,
            findings,
            counts,
            shared: None,
            injected,
            process_failures,
            void,
            events: recorded.events,
            relayed: context.relay.bytes(),
            relay_lateness: context.relay.lateness(),
            load_lateness_us: played.clients.lateness(),
        };
        evidence.check_shared_state(scenario, &logs, context.epoch);
        evidence.check_lateness();
        Ok(evidence)
    }
}

impl Evidence {
    /// Checks what the gateways share, where they share something.
    fn check_shared_state(&mut self, scenario: &Scenario, logs: &[(ParticipantId, PathBuf)], epoch: u64) {
        let Some(shared) = &scenario.shared else { return };
        let mut events = logged_events(scenario, logs);
        let healed = healed(scenario, &self.schedule).map(|at| epoch + self.load_begin + micros(at));
        let (summary, found) = shared::check(&mut events, shared, epoch, healed);
        for finding in &found {
            *self.counts.entry(finding.rule).or_default() += 1;
        }
        self.findings.extend(found.into_iter().take(MAX_FINDINGS));
        self.shared = Some(summary);
    }

    /// A run whose own parts were too slow says nothing.
    fn check_lateness(&mut self) {
        let mut check = |what: &str, late: u64, max: Duration| {
            if late > micros(max) {
                let (late, max) = (late / 1_000, max.as_millis());
                self.void.push(format!("{what} {late} ms late, {max} are allowed"));
            }
        };
        check("99 of 100 requests were sent up to", self.load_lateness_us, MAX_LATENESS);
        check("99 of 100 pieces left relays up to", self.relay_lateness.p99_us, MAX_RELAY_LATENESS);
    }

    /// The verdict on the run.
    pub(super) fn verdict(&self, scenario: &Scenario, needs: ResourceNeeds) -> Verdict {
        let describe = |transition| self.schedule.describe(&scenario.roster, transition);
        Verdict {
            seed: self.seed,
            gateways: scenario.gateways(),
            needs,
            schedule: self.schedule.transitions().into_iter().map(describe).collect(),
            figures: figures(scenario, &self.outcomes),
            findings: self.findings.clone(),
            shared: self.shared.clone(),
            system_faults: self.injected.clone(),
            counts: self.counts.iter().map(|(rule, count)| ((*rule).to_string(), *count)).collect(),
            process_failures: self.process_failures.clone(),
            void: self.void.clone(),
            events: self.events,
            relayed_bytes: (self.relayed.received, self.relayed.sent),
            relay_lateness_us: (self.relay_lateness.p99_us, self.relay_lateness.max_us),
            load_lateness_us: self.load_lateness_us,
        }
    }
}

/// Kinds of system faults that were scheduled and failed no call.
fn unstruck(schedule: &Schedule, injected: &InjectedFaults) -> Vec<String> {
    let faults = schedule.planned.iter().filter_map(|plan| match plan.action {
        FaultAction::System { fault, .. } => Some(fault),
        _ => None,
    });
    let missed = faults.filter(|fault| !injected.has_struck(*fault));
    missed.map(|fault| format!("{fault:?} has struck no call")).collect()
}

/// What gateways logged of what they share.
fn logged_events(scenario: &Scenario, logs: &[(ParticipantId, PathBuf)]) -> Vec<shared::LoggedEvent> {
    let mut events = Vec::new();
    for (id, path) in logs {
        let site = &scenario.roster.get(*id).site;
        // Bytes that are no text stand in no line of this.
        let text = std::fs::read(path).unwrap_or_default();
        let text = String::from_utf8_lossy(&text);
        events.extend(text.lines().filter_map(|line| shared::read_event(line, *id, site)));
    }
    events
}

/// The sites of the gateways among some participants.
fn gateway_sites<'a>(scenario: &'a Scenario, ids: &BTreeSet<ParticipantId>) -> BTreeSet<&'a str> {
    let participants = ids.iter().map(|id| scenario.roster.get(*id));
    let gateways = participants.filter(|participant| participant.kind == ParticipantKind::Gateway);
    gateways.map(|participant| participant.site.as_str()).collect()
}

/// When the last cut between gateways of two sites is over, from the load's begin.
fn healed(scenario: &Scenario, schedule: &Schedule) -> Option<Duration> {
    let is_between_sites = |plan: &&ScheduledFault| match &plan.action {
        FaultAction::Link(link) if link.fault == LinkFault::Cut => {
            let (from, to) = (gateway_sites(scenario, &link.from), gateway_sites(scenario, &link.to));
            !from.is_empty() && !to.is_empty() && from != to
        }
        _ => false,
    };
    schedule.planned.iter().filter(is_between_sites).map(|plan| plan.ends).max()
}
