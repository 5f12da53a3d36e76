//! The status report for operators.

use super::session::Peer;
use super::{Role, Service};
use crate::Millis;
use serde_json::{Value, json};

/// The maximum number of gateways in a status report.
const MAX_STATUS_GATEWAYS: usize = 1_500;

impl Service {
    /// Reports the connected gateways, the state of the rollout and the retained versions.
    pub fn status(&self, now: Millis) -> Value {
        let connected = self.peers.values().filter(|peer| peer.hello_received);
        let gateways = connected.clone().filter_map(|peer| self.gateway_status(peer, now));
        json!({
            "epoch": self.state.epoch,
            "stable": self.state.stable,
            "rollout": self.rollout_status(),
            "halted": self.state.halted,
            "versions": self.versions.values().map(|version| json!({
                "number": version.id.number, "digest": version.id.digest, "bytes": version.size()
            })).collect::<Vec<_>>(),
            "connected": connected.count(),
            "waiting": self.queue.len(),
            "gateways": gateways.take(MAX_STATUS_GATEWAYS).collect::<Vec<_>>(),
        })
    }

    fn gateway_status(&self, peer: &Peer, now: Millis) -> Option<Value> {
        let Role::Gateway(node) = &peer.role else { return None };
        let rejected = peer.rejected.as_ref();
        Some(json!({
            "node": node,
            "instance": peer.instance,
            "have": peer.in_force.as_ref().map(|id| id.number),
            "wanted": self.target_version(node).map(|version| version.id.number),
            "turned_down": rejected.map(|rejected| json!({
                "version": rejected.id.to_string(), "cause": rejected.cause
            })),
            "heard_ms_ago": now.saturating_sub(peer.last_received),
            "requests": peer.counts.requests,
            "failed": peer.counts.failed,
        }))
    }

    fn rollout_status(&self) -> Option<Value> {
        let (number, rollout) = self.state.candidate.as_ref()?;
        let health = self.stage_health(*number, rollout);
        Some(json!({
            "number": number,
            "share": rollout.percentage(),
            "stage": rollout.stage,
            "gateways": health.gateways,
            "have": health.updated,
            "turned_down": health.nacks,
        }))
    }
}
