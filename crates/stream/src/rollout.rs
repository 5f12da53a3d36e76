//! Staged rollouts: a version goes to a growing share of the fleet while the gateways stay healthy, and is rolled back
//! automatically otherwise.
//!
//! A stable hash of a gateway's name decides which stage includes it first, so that every later stage includes it too.
//! A rollback publishes the previous content under a new number: numbers never decrease.

use crate::Millis;
use ring::digest::{SHA256, digest};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The error for a plan whose stages don't increase up to 100 percent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("stages are growing shares in percent, of which the last is 100")]
pub struct PlanError;

/// The stages of a rollout and the limits beyond which it is rolled back.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Shares of the fleet in percent, strictly increasing; the last one is 100.
    pub stages: Vec<u8>,
    /// The soak time of a stage, which starts once all of its connected gateways have the version.
    #[serde(rename = "hold_ms")]
    pub soak_ms: Millis,
    /// The time within which all gateways of a stage must have the version; the rollout is rolled back after it.
    #[serde(rename = "within_ms")]
    pub stage_timeout_ms: Millis,
    /// The number of gateways that may reject the version.
    #[serde(rename = "nacks")]
    pub max_nacks: u32,
    /// The allowed rise of the share of failed requests, in thousandths.
    #[serde(rename = "rise")]
    pub max_failure_rise_permille: u32,
    /// The minimum number of requests before the share of failed requests is evaluated.
    #[serde(rename = "requests")]
    pub min_requests: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            stages: vec![10, 50, 100],
            soak_ms: 30_000,
            stage_timeout_ms: 60_000,
            max_nacks: 0,
            max_failure_rise_permille: 50,
            min_requests: 100,
        }
    }
}

impl Plan {
    /// A rollout to all gateways at once.
    pub fn immediate() -> Plan {
        Plan { stages: vec![100], soak_ms: 0, ..Plan::default() }
    }

    /// Checks that the stages lead to all gateways.
    ///
    /// # Errors
    /// [`PlanError`] if the stages don't strictly increase from above 0 to 100.
    pub fn validate(&self) -> Result<(), PlanError> {
        let growing = self.stages.windows(2).all(|pair| pair[0] < pair[1]);
        match self.stages.last() {
            Some(100) if growing && self.stages[0] > 0 => Ok(()),
            _ => Err(PlanError),
        }
    }
}

/// The rank of a gateway from 0 to 99, by the hash of its name. A stage includes the ranks below its percentage.
pub fn rank(node: &str) -> u8 {
    let hash = digest(&SHA256, node.as_bytes());
    let head: [u8; 8] = hash.as_ref()[..8].try_into().unwrap_or_default();
    (u64::from_be_bytes(head) % 100) as u8
}

/// The health of the gateways of a stage.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StageHealth {
    /// The number of connected gateways of the stage.
    pub gateways: usize,
    /// The number of gateways that have the version.
    pub updated: usize,
    /// The number of gateways that rejected the version.
    pub nacks: usize,
    /// Requests of the updated gateways since their update.
    pub requests: u64,
    /// Failed requests of the updated gateways since their update.
    pub failed: u64,
    /// Requests of the updated gateways before their update.
    pub requests_before: u64,
    /// Failed requests of the updated gateways before their update.
    pub failed_before: u64,
}

/// The reason for a rollback. Its text is shown to operators and stored.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum RollbackCause {
    /// More gateways rejected the version than the plan allows.
    #[error("{nacks} gateways have turned it down")]
    Nacks {
        /// The number of gateways that rejected the version.
        nacks: usize,
    },
    /// The share of failed requests rose by more than the plan allows.
    #[error("{failed_percent:.1}% of requests fail, {failed_percent_before:.1}% did before")]
    FailureRise {
        /// The share of failed requests after the update, in percent.
        failed_percent: f64,
        /// The share of failed requests before the update, in percent.
        failed_percent_before: f64,
    },
    /// Not all gateways of the stage had the version within the stage timeout.
    #[error("only {updated} of {gateways} gateways have it in time")]
    StageTimedOut {
        /// The number of gateways that have the version.
        updated: usize,
        /// The number of connected gateways of the stage.
        gateways: usize,
    },
}

/// The decision on a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// The stage continues.
    Wait,
    /// The next stage begins.
    NextStage,
    /// The last stage has soaked, and the rollout is complete.
    Complete,
    /// The version is rolled back for this cause.
    RollBack(RollbackCause),
}

/// The progress of a rollout.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    /// The plan of the rollout.
    pub plan: Plan,
    /// The index of the current stage.
    pub stage: usize,
    /// When the current stage started.
    #[serde(rename = "began")]
    stage_started: Millis,
    /// Since when all gateways of the current stage have the version, if they do.
    #[serde(rename = "whole")]
    complete_since: Option<Millis>,
}

impl Rollout {
    /// Starts a rollout.
    pub fn new(plan: Plan, now: Millis) -> Rollout {
        Rollout { plan, stage: 0, stage_started: now, complete_since: None }
    }

    /// The share of the fleet that the current stage includes, in percent.
    pub fn percentage(&self) -> u8 {
        self.plan.stages.get(self.stage).copied().unwrap_or(100)
    }

    /// Whether the current stage includes a gateway.
    pub fn includes(&self, node: &str) -> bool {
        rank(node) < self.percentage()
    }

    /// Restarts the current stage after a restart of the service, which does not know how long it was down.
    pub fn resume(&mut self, now: Millis) {
        (self.stage_started, self.complete_since) = (now, None);
    }

    /// Decides by the health of the current stage's gateways, and advances to the next stage after the soak time.
    pub fn evaluate(&mut self, health: StageHealth, now: Millis) -> Decision {
        let failed = self.too_many_nacks(health).or_else(|| self.failure_rise(health));
        if let Some(cause) = failed {
            return Decision::RollBack(cause);
        }
        if health.updated + health.nacks < health.gateways {
            self.complete_since = None;
            return self.evaluate_incomplete_stage(health, now);
        }
        let complete_since = *self.complete_since.get_or_insert(now);
        if now < complete_since + self.plan.soak_ms {
            return Decision::Wait;
        }
        if self.stage + 1 < self.plan.stages.len() {
            self.stage += 1;
            (self.stage_started, self.complete_since) = (now, None);
            return Decision::NextStage;
        }
        Decision::Complete
    }

    fn too_many_nacks(&self, health: StageHealth) -> Option<RollbackCause> {
        let too_many = health.nacks > self.plan.max_nacks as usize;
        too_many.then_some(RollbackCause::Nacks { nacks: health.nacks })
    }

    fn failure_rise(&self, health: StageHealth) -> Option<RollbackCause> {
        let failed = failure_ratio(health.failed, health.requests);
        let failed_before = failure_ratio(health.failed_before, health.requests_before);
        let max_rise = f64::from(self.plan.max_failure_rise_permille) / 1_000.0;
        if health.requests < self.plan.min_requests || failed <= failed_before + max_rise {
            return None;
        }
        Some(RollbackCause::FailureRise {
            failed_percent: failed * 100.0,
            failed_percent_before: failed_before * 100.0,
        })
    }

    fn evaluate_incomplete_stage(&self, health: StageHealth, now: Millis) -> Decision {
        if now < self.stage_started + self.plan.stage_timeout_ms {
            return Decision::Wait;
        }
        let StageHealth { updated, gateways, .. } = health;
        Decision::RollBack(RollbackCause::StageTimedOut { updated, gateways })
    }
}

/// The ratio of failed requests, or zero if there were no requests.
fn failure_ratio(failed: u64, requests: u64) -> f64 {
    if requests == 0 { 0.0 } else { failed as f64 / requests as f64 }
}
