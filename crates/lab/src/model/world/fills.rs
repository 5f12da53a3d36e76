//! Fills: copies that a store lacks, fetched from its source.

use super::node::Fill;
use super::schedule::Due;
use super::types::{Answer, CacheResult, Pull, Status, TaskId};
use super::{FillOf, Owner, Task, World};
use crate::model::Micros;
use crate::participant::{ParticipantId, ParticipantKind};

/// The latency within a site in one direction.
const SITE_LATENCY: Micros = 100;

impl World {
    /// Sends a request to a source for what another request needs.
    pub(super) fn fill(&mut self, now: Micros, id: TaskId, source: ParticipantId, pull: Pull) {
        let Some(store) = self.tasks.get(&id).map(|task| task.store) else { return };
        let from_origin =
            self.nodes.get(&source).is_some_and(|node| node.spec.kind == ParticipantKind::Origin);
        let is_kept = !(pull.uncacheable || (pull.through && self.is_parent(store)));
        let cache_rank = is_kept.then_some(pull.cache_rank);
        let number = self.next_number();
        let fill = Fill { key: pull.key.clone(), began: now, waiting: vec![id], cache_rank, from_origin };
        let Some(node) = self.nodes.get_mut(&store) else { return };
        let incarnation = node.incarnation;
        node.fills.insert(number, fill);
        // A parent that lacks it asks the origin in turn; a cache, or one asked for what it holds, does not.
        let next_source = (self.is_parent(source) && !pull.held_only).then(|| self.origin()).flatten();
        let latency = self.latency(store, source);
        let child = Pull { source: next_source, held_only: false, ..pull };
        let task = Task {
            store: source,
            deadline: now + latency + child.timeout,
            pull: child,
            owner: Owner::Fill(FillOf { store, incarnation, fill: number }),
            result: None,
        };
        let child = self.next_number();
        self.tasks.insert(child, task);
        self.schedule_at(now + latency, Due::Enter(child));
    }

    /// The answer of a source has arrived. `None`: it has died.
    pub(super) fn fill_answered(&mut self, now: Micros, filled: FillOf, answer: Option<&Answer>) {
        let FillOf { store, incarnation, fill } = filled;
        let node = self.nodes.get_mut(&store).filter(|node| node.incarnation == incarnation);
        let Some(node) = node else { return };
        let Some(fill) = node.fills.remove(&fill) else { return };
        if let (Some(Answer { status: Status::Ok(copy), .. }), Some(rank)) = (answer, fill.cache_rank) {
            node.copies.keep(fill.key.clone(), copy.clone(), rank);
        }
        let waited = now.saturating_sub(fill.began);
        for (place, id) in fill.waiting.iter().enumerate() {
            let failed = |status, result| Answer { status, result, waited };
            match answer.map(|answer| &answer.status) {
                Some(Status::Ok(copy)) => {
                    let result = match (place, fill.from_origin) {
                        (0, true) => CacheResult::MissRoot,
                        (0, false) => CacheResult::Miss,
                        _ => CacheResult::Join,
                    };
                    self.send(now, *id, Answer { status: Status::Ok(copy.clone()), result, waited });
                }
                Some(Status::Nothing) => {
                    self.end(now, *id, Some(failed(Status::Nothing, CacheResult::SourceLacks)));
                }
                Some(Status::Refused | Status::Stale) => {
                    self.end(now, *id, Some(failed(Status::Refused, CacheResult::SourceDenied)));
                }
                Some(Status::Error) | None => {
                    self.end(now, *id, Some(failed(Status::Error, CacheResult::SourceDead)));
                }
            }
        }
    }

    fn is_parent(&self, store: ParticipantId) -> bool {
        self.nodes.get(&store).is_some_and(|node| node.spec.kind == ParticipantKind::Parent)
    }

    fn origin(&self) -> Option<ParticipantId> {
        self.nodes.iter().find(|(_, node)| node.spec.kind == ParticipantKind::Origin).map(|(id, _)| *id)
    }

    /// The latency between two stores in one direction.
    pub(super) fn latency(&self, one: ParticipantId, other: ParticipantId) -> Micros {
        let (Some(one), Some(other)) = (self.nodes.get(&one), self.nodes.get(&other)) else { return 0 };
        if one.spec.site == other.spec.site { SITE_LATENCY } else { one.spec.distance + other.spec.distance }
    }
}
