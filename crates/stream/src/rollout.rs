//! A version's way through the fleet: a share of gateways first, more of them as long as all goes well, and back by
//! itself when it does not.
//!
//! Which gateways go first follows from a stable hash of their names, so that a gateway is in every larger share too.
//! A version is taken back by a new number with the content of before: numbers never go back.

use crate::Millis;
use ring::digest::{SHA256, digest};
use serde::{Deserialize, Serialize};

/// How a version is rolled out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Shares of the fleet in percent, growing; the last one is 100.
    pub stages: Vec<u8>,
    /// How long a stage is watched once all of its gateways that are connected have the version.
    pub hold_ms: Millis,
    /// A stage whose gateways don't all have the version after this is taken back.
    pub within_ms: Millis,
    /// Gateways that may turn it down.
    pub nacks: u32,
    /// By how much the share of failed requests may rise, in thousandths.
    pub rise: u32,
    /// Requests that a share of failures is judged by.
    pub requests: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Plan {
            stages: vec![10, 50, 100],
            hold_ms: 30_000,
            within_ms: 60_000,
            nacks: 0,
            rise: 50,
            requests: 100,
        }
    }
}

impl Plan {
    /// To all at once.
    pub fn at_once() -> Plan {
        Plan { stages: vec![100], hold_ms: 0, ..Plan::default() }
    }

    pub fn check(&self) -> Result<(), String> {
        let growing = self.stages.windows(2).all(|pair| pair[0] < pair[1]);
        match self.stages.last() {
            Some(100) if growing && self.stages[0] > 0 => Ok(()),
            _ => Err("stages are growing shares in percent, of which the last is 100".into()),
        }
    }
}

/// A gateway's place in the order of all, from 0 to 99.
pub fn place(node: &str) -> u8 {
    let hash = digest(&SHA256, node.as_bytes());
    let head: [u8; 8] = hash.as_ref()[..8].try_into().unwrap_or_default();
    (u64::from_be_bytes(head) % 100) as u8
}

/// How the gateways of a stage fare.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fares {
    /// Connected gateways of the stage, those that have the version, and those that have turned it down.
    pub gateways: usize,
    pub have: usize,
    pub nacks: usize,
    /// Their requests since they have it, and failed ones of these.
    pub requests: u64,
    pub failed: u64,
    /// Those of the time before, for comparison.
    pub requests_before: u64,
    pub failed_before: u64,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Verdict {
    /// As it is.
    Wait,
    NextStage,
    /// All have it, and nothing is left to be watched.
    Complete,
    TakeBack(String),
}

/// Where a version is on its way.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rollout {
    pub plan: Plan,
    pub stage: usize,
    /// When the stage began, and since when all of it have the version.
    began: Millis,
    whole: Option<Millis>,
}

impl Rollout {
    pub fn new(plan: Plan, now: Millis) -> Rollout {
        Rollout { plan, stage: 0, began: now, whole: None }
    }

    /// The share of this stage, in percent.
    pub fn share(&self) -> u8 {
        self.plan.stages.get(self.stage).copied().unwrap_or(100)
    }

    pub fn includes(&self, node: &str) -> bool {
        place(node) < self.share()
    }

    /// A service that comes back does not know how long it was away: the stage begins anew.
    pub fn resume(&mut self, now: Millis) {
        (self.began, self.whole) = (now, None);
    }

    pub fn judge(&mut self, fares: Fares, now: Millis) -> Verdict {
        let plan = &self.plan;
        if fares.nacks > plan.nacks as usize {
            return Verdict::TakeBack(format!("{} gateways have turned it down", fares.nacks));
        }
        let share = |failed: u64, of: u64| if of == 0 { 0.0 } else { failed as f64 / of as f64 };
        let (now_failed, before) =
            (share(fares.failed, fares.requests), share(fares.failed_before, fares.requests_before));
        if fares.requests >= plan.requests && now_failed > before + f64::from(plan.rise) / 1_000.0 {
            let (now_failed, before) = (now_failed * 100.0, before * 100.0);
            return Verdict::TakeBack(format!("{now_failed:.1}% of requests fail, {before:.1}% did before"));
        }
        if fares.have + fares.nacks < fares.gateways {
            self.whole = None;
            let late = now >= self.began + plan.within_ms;
            return match late {
                true => Verdict::TakeBack(format!(
                    "only {} of {} gateways have it in time",
                    fares.have, fares.gateways
                )),
                false => Verdict::Wait,
            };
        }
        let whole = *self.whole.get_or_insert(now);
        if now < whole + plan.hold_ms {
            return Verdict::Wait;
        }
        if self.stage + 1 < plan.stages.len() {
            self.stage += 1;
            (self.began, self.whole) = (now, None);
            return Verdict::NextStage;
        }
        Verdict::Complete
    }
}
