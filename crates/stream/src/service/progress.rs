//! Periodic work: heartbeats, rollout stages and automatic rollbacks.

use super::{CloseReason, Notice, Output, Role, Service};
use crate::Millis;
use crate::message::FromService;
use crate::rollout::{Decision, RollbackCause, Rollout, StageHealth};
use crate::version::Version;
use std::sync::Arc;

/// The number of heartbeat intervals without a message after which a gateway's session is closed.
const MISSED_HEARTBEATS: Millis = 3;

impl Service {
    /// The health of the gateways that a rollout includes.
    pub(super) fn stage_health(&self, number: u64, rollout: &Rollout) -> StageHealth {
        let mut health = StageHealth::default();
        let Some(version) = self.versions.get(&number) else { return health };
        for peer in self.peers.values().filter(|peer| peer.hello_received) {
            let Role::Gateway(node) = &peer.role else { continue };
            if !rollout.includes(node) {
                continue;
            }
            health.gateways += 1;
            if peer.has_rejected(&version.id) {
                health.nacks += 1;
            } else if peer.in_force.as_ref() == Some(&version.id) {
                health.updated += 1;
                let since_update = peer.counts.since(peer.counts_at_update);
                health.requests += since_update.requests;
                health.failed += since_update.failed;
                health.requests_before += peer.counts_at_update.requests;
                health.failed_before += peer.counts_at_update.failed;
            }
        }
        health
    }

    /// Sends heartbeats, closes sessions that timed out and advances the rollout.
    pub fn tick(&mut self, now: Millis) -> Vec<Output> {
        let mut outputs = self.heartbeats(now);
        self.advance_rollout(now, &mut outputs);
        outputs
    }

    fn heartbeats(&mut self, now: Millis) -> Vec<Output> {
        let mut outputs = Vec::new();
        let heartbeat_interval = self.settings.heartbeat_interval;
        for (session, peer) in &mut self.peers {
            if now >= peer.last_received + MISSED_HEARTBEATS * heartbeat_interval
                && matches!(peer.role, Role::Gateway(_))
            {
                outputs.push(Output::Close(*session, CloseReason::HeartbeatTimeout));
            } else if now >= peer.last_sent + heartbeat_interval {
                peer.last_sent = now;
                outputs.push(Output::Send(*session, FromService::Heartbeat));
            }
        }
        outputs
    }

    fn advance_rollout(&mut self, now: Millis, outputs: &mut Vec<Output>) {
        let Some((number, mut rollout)) = self.state.candidate.clone() else { return };
        match rollout.evaluate(self.stage_health(number, &rollout), now) {
            Decision::Wait => {
                // Not stored: the start of the soak time need not survive a restart.
                self.state.candidate = Some((number, rollout));
                return;
            }
            Decision::NextStage => {
                outputs.push(Output::Notice(Notice::NextStage { number, percentage: rollout.percentage() }));
                self.state.candidate = Some((number, rollout));
            }
            Decision::Complete => {
                outputs.push(Output::Notice(Notice::Complete { number }));
                (self.state.stable, self.state.candidate) = (Some(number), None);
            }
            Decision::RollBack(cause) => self.roll_back(number, cause, outputs),
        }
        outputs.push(Output::StoreState(self.state.clone()));
        self.start_transfers(outputs);
    }

    /// Publishes the content of the stable version to all gateways under a new number.
    fn roll_back(&mut self, number: u64, cause: RollbackCause, outputs: &mut Vec<Output>) {
        self.state.candidate = None;
        let stable = self.state.stable.and_then(|stable| self.versions.get(&stable)).cloned();
        let notice = match stable {
            Some(stable) => {
                let next = self.state.last_number + 1;
                let version = Arc::new(Version::new(self.state.epoch, next, stable.documents.clone()));
                (self.state.last_number, self.state.stable) = (next, Some(next));
                self.versions.insert(next, version.clone());
                outputs.push(Output::StoreVersion(version));
                Notice::RolledBack { number, replacement: next, cause }
            }
            // There is no stable version to roll back to.
            None => Notice::Halted { number, cause },
        };
        self.state.halted = Some(notice.to_string());
        outputs.push(Output::Notice(notice));
        self.prune_versions();
    }
}
