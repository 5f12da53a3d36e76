//! The result of a run.

use super::checker::PhaseResult;
use super::cost::{Comparison, Cost, Growth};
use super::resources::ResourceEstimate;
use serde::Serialize;

/// What all roles cost in one phase.
#[derive(Clone, Debug, Serialize)]
pub struct PhaseCosts {
    /// The phase's name.
    #[serde(rename = "stretch")]
    pub phase: String,
    /// By role.
    pub costs: Vec<Cost>,
    /// The share of the whole machine that was busy.
    pub machine_busy: f64,
}

/// The result of one size.
#[derive(Clone, Debug, Serialize)]
pub struct SizeResult {
    /// How many gateways there are.
    pub gateways: usize,
    /// How many of them are real processes.
    pub real: usize,
    /// What the size was estimated to need.
    #[serde(rename = "takes")]
    pub resources: ResourceEstimate,
    /// From the start until all were ready.
    pub started_seconds: f64,
    /// Of the checker.
    #[serde(rename = "judged")]
    pub phases: Vec<PhaseResult>,
    /// Without events, and in the calm phase.
    pub costs: Vec<PhaseCosts>,
    /// Hollow gateways against real ones.
    pub comparison: Option<Comparison>,
    /// The most connections that the bus had.
    pub bus_connections: usize,
    /// Processes that did not end with success.
    #[serde(rename = "wrong_ends")]
    pub unclean_exits: Vec<String>,
    /// What the fleet did not keep to.
    #[serde(rename = "broken")]
    pub violations: Vec<String>,
}

/// A size that could not be run.
#[derive(Clone, Debug, Serialize)]
pub struct FailedSize(
    /// How many gateways it has.
    pub usize,
    /// Why it could not be run.
    pub String,
);

/// The result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct RunResult {
    /// Of all random numbers.
    pub seed: u64,
    /// How many relays there were.
    pub relays: Option<usize>,
    /// Sizes that were run.
    pub sizes: Vec<SizeResult>,
    /// Sizes that could not be run.
    #[serde(rename = "unplayed")]
    pub failed_sizes: Vec<FailedSize>,
    /// How costs in the calm phase grow with the size.
    pub growth: Vec<Growth>,
}

impl RunResult {
    /// Whether all sizes could be run and kept to their targets.
    pub fn holds(&self) -> bool {
        self.failed_sizes.is_empty() && self.sizes.iter().all(|size| size.violations.is_empty())
    }
}
