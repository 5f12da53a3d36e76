//! What a run has shown, for those who write and draw it.

use crate::check::Finding;
use crate::check::shared::SharedStateSummary;
use crate::outcome::Figures;
use crate::resources::ResourceNeeds;
use crate::system_faults::InjectedFaults;
use serde::Serialize;
use std::collections::BTreeMap;

/// What a run has shown.
#[derive(Debug, Serialize)]
pub struct Verdict {
    /// What drew the schedule and the load.
    pub seed: u64,
    /// How many gateways took part.
    pub gateways: usize,
    /// What the fleet needed of the machine.
    #[serde(rename = "takes")]
    pub needs: ResourceNeeds,
    /// All transitions of faults, a line each.
    pub schedule: Vec<String>,
    /// Of each phase.
    pub figures: Vec<Figures>,
    /// What rules have against the run.
    pub findings: Vec<Finding>,
    /// Where gateways share something.
    pub shared: Option<SharedStateSummary>,
    /// Where gateways run under the fault shim: what it counted.
    pub system_faults: Option<InjectedFaults>,
    /// Findings by rule, those included that were not kept.
    pub counts: BTreeMap<String, usize>,
    /// What went wrong at the end of processes.
    #[serde(rename = "ends")]
    pub process_failures: Vec<String>,
    /// Why the run says nothing, where the laboratory or the machine was too slow.
    pub void: Vec<String>,
    /// Events of the trace.
    #[serde(rename = "entries")]
    pub events: u64,
    /// What relays received and sent.
    pub relayed_bytes: (u64, u64),
    /// How late chunks left relays: 99 of 100, and the latest.
    #[serde(rename = "relay_late_us")]
    pub relay_lateness_us: (u64, u64),
    /// How late 99 of 100 requests were sent.
    #[serde(rename = "load_late_us")]
    pub load_lateness_us: u64,
}

impl Verdict {
    /// Whether all rules and expectations hold, and all processes ended as they should.
    pub fn holds(&self) -> bool {
        self.findings.is_empty()
            && self.process_failures.is_empty()
            && self.figures.iter().all(|figures| figures.unmet.is_empty())
    }
}
