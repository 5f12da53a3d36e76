//! Selection of target versions and scheduling of transfers.

use super::session::Offered;
use super::{Output, Role, Service, SessionId, Transfer};
use crate::version::Version;
use std::collections::BTreeSet;
use std::sync::Arc;

impl Service {
    /// The version that a gateway should have.
    pub(super) fn target_version(&self, node: &str) -> Option<&Arc<Version>> {
        let candidate = self.state.candidate.as_ref().filter(|(_, rollout)| rollout.includes(node));
        let number = candidate.map(|(number, _)| *number).or(self.state.stable)?;
        self.versions.get(&number)
    }

    /// Offers the target version to outdated gateways, up to the limit of concurrent transfers.
    pub(super) fn start_transfers(&mut self, outputs: &mut Vec<Output>) {
        let outdated = self.outdated_sessions();
        // Sessions that are queued already keep their order, so that the longest waiting one is served first.
        let queued: BTreeSet<SessionId> = self.queue.iter().copied().collect();
        self.queue.retain(|session| outdated.contains(session));
        self.queue.extend(outdated.into_iter().filter(|session| !queued.contains(session)));
        while self.transferring.len() < self.settings.max_transfers.max(1) {
            let index = self.queue.iter().position(|session| !self.transferring.contains(session));
            let Some(session) = index.and_then(|index| self.queue.remove(index)) else { return };
            outputs.extend(self.start_transfer(session));
        }
    }

    /// The sessions of gateways that lack their target version and have neither been offered nor rejected it.
    fn outdated_sessions(&self) -> Vec<SessionId> {
        let mut outdated = Vec::new();
        for (session, peer) in &self.peers {
            let Role::Gateway(node) = &peer.role else { continue };
            let Some(target) = self.target_version(node).filter(|_| peer.hello_received) else { continue };
            let is_current = peer.in_force.as_ref() == Some(&target.id);
            let is_offered = peer.offered.as_ref().is_some_and(|offered| offered.id == target.id);
            if !is_current && !is_offered && !peer.has_rejected(&target.id) {
                outdated.push(*session);
            }
        }
        outdated
    }

    fn start_transfer(&mut self, session: SessionId) -> Option<Output> {
        let Role::Gateway(node) = self.peers.get(&session)?.role.clone() else { return None };
        let version = self.target_version(&node)?.clone();
        let peer = self.peers.get_mut(&session)?;
        self.nonce += 1;
        let base = peer.in_force.as_ref().and_then(|in_force| {
            self.versions.values().find(|version| version.id.digest == in_force.digest).cloned()
        });
        peer.offered = Some(Offered { nonce: self.nonce, id: version.id.clone() });
        self.transferring.insert(session);
        Some(Output::Transfer(session, Transfer::new(self.nonce, version, base)))
    }
}
