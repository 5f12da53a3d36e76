//! A request at one store: queued, worked on, and answered over the link.

use super::schedule::Due;
use super::types::{Answer, CacheResult, Status, TaskId, WorldEvent};
use super::{Owner, World};
use crate::model::Micros;
use crate::model::copies::Copy;
use crate::model::station::Entry;
use crate::participant::{ParticipantId, ParticipantKind};
use rand::Rng;

impl World {
    /// A request arrives at its store.
    pub(super) fn enter(&mut self, now: Micros, id: TaskId) {
        let Some(task) = self.tasks.get(&id) else { return };
        let store = task.store;
        let Some(node) = self.nodes.get_mut(&store) else { return };
        if !node.alive {
            return self.end(now, id, None);
        }
        if !node.admits(now) {
            return self.refuse(now, id, CacheResult::None);
        }
        if node.is_overloaded_by_request(now) {
            self.crash(now, store);
            self.events.push(WorldEvent::Overloaded(store));
            return;
        }
        let slots = node.slots(now);
        let begun = node.station.set_slots(slots);
        let entry = node.station.enter(id);
        for task in begun {
            self.begin(now, store, task);
        }
        match entry {
            Entry::Begins => self.begin(now, store, id),
            Entry::Waits => {}
            Entry::Refused => self.refuse(now, id, CacheResult::None),
        }
    }

    /// A slot begins on a request.
    fn begin(&mut self, now: Micros, store: ParticipantId, id: TaskId) {
        let Some(node) = self.nodes.get(&store) else { return };
        let (incarnation, mean) = (node.incarnation, node.spec.service as f64);
        let late = self.tasks.get(&id).is_none_or(|task| now > task.deadline);
        let work = if late { 0.0 } else { -mean * (1.0 - self.random.random::<f64>()).ln() };
        self.schedule_at(now + work as Micros, Due::WorkDone { store, incarnation, task: id });
    }

    /// A slot has completed its work on a request.
    pub(super) fn work_done(&mut self, now: Micros, store: ParticipantId, incarnation: u64, id: TaskId) {
        let Some(node) = self.nodes.get_mut(&store).filter(|node| node.incarnation == incarnation) else {
            return;
        };
        if let Some(next) = node.station.leave() {
            self.begin(now, store, next);
        }
        if let Some(task) = self.tasks.get(&id) {
            if now > task.deadline {
                return self.end(
                    now,
                    id,
                    Some(Answer { status: Status::Stale, result: CacheResult::None, waited: 0 }),
                );
            }
            self.respond(now, id);
        }
    }

    /// A store answers a request that it has worked on, or fetches what it lacks.
    fn respond(&mut self, now: Micros, id: TaskId) {
        let Some(task) = self.tasks.get(&id).cloned() else { return };
        let (store, pull) = (task.store, task.pull);
        let Some(node) = self.nodes.get_mut(&store) else { return };
        if node.spec.kind == ParticipantKind::Origin {
            let copy = Copy { made: now, version: self.versions[usize::from(pull.group)] };
            return self.send(
                now,
                id,
                Answer { status: Status::Ok(copy), result: CacheResult::None, waited: 0 },
            );
        }
        let cached = if pull.uncacheable { None } else { node.copies.get(&pull.key) };
        if let Some(copy) = cached.filter(|copy| now.saturating_sub(copy.made) <= pull.max_age) {
            return self.send(
                now,
                id,
                Answer { status: Status::Ok(copy), result: CacheResult::Hit, waited: 0 },
            );
        }
        let Some(source) = pull.source.filter(|source| *source != store) else {
            return self.end(
                now,
                id,
                Some(Answer { status: Status::Nothing, result: CacheResult::None, waited: 0 }),
            );
        };
        let same_fill = node.fills.values_mut().find(|fill| fill.key == pull.key);
        if let Some(fill) = same_fill.filter(|_| pull.joins_fills && !pull.uncacheable) {
            fill.waiting.push(id);
            return;
        }
        self.fill(now, id, source, pull);
    }

    /// Sends an answer over the store's link.
    pub(super) fn send(&mut self, now: Micros, id: TaskId, answer: Answer) {
        let Some(task) = self.tasks.get_mut(&id) else { return };
        let (store, bytes) = (task.store, task.pull.bytes);
        task.result = Some(answer);
        if let Some(node) = self.nodes.get_mut(&store) {
            node.link.begin(now, id, bytes);
            self.link_due(store);
        }
    }

    /// Schedules the end of the next transfer.
    pub(super) fn link_due(&mut self, store: ParticipantId) {
        let Some(node) = self.nodes.get_mut(&store) else { return };
        if let (incarnation, Some(at)) = (node.incarnation, node.link.due()) {
            self.schedule_at(at, Due::Link { store, incarnation });
        }
    }

    /// Ends the transfers that are complete.
    pub(super) fn link(&mut self, now: Micros, store: ParticipantId, incarnation: u64) {
        let mut has_ended = false;
        while let Some(node) = self.nodes.get_mut(&store).filter(|node| node.incarnation == incarnation)
            && let Some(id) = node.link.ended(now)
        {
            has_ended = true;
            let answer = self.tasks.get_mut(&id).and_then(|task| task.result.take());
            if answer.is_some() {
                self.end(now, id, answer);
            }
        }
        if has_ended {
            self.link_due(store);
        }
    }

    fn refuse(&mut self, now: Micros, id: TaskId, result: CacheResult) {
        self.end(now, id, Some(Answer { status: Status::Refused, result, waited: 0 }));
    }

    /// A request has ended at its store. `None`: the store is dead.
    pub(super) fn end(&mut self, now: Micros, id: TaskId, answer: Option<Answer>) {
        let Some(task) = self.tasks.remove(&id) else { return };
        match task.owner {
            Owner::Outside => {
                let dead = Answer { status: Status::Error, result: CacheResult::None, waited: 0 };
                self.events.push(WorldEvent::Answer(id, answer.unwrap_or(dead)));
            }
            Owner::Fill(fill) => {
                let latency = self.latency(task.store, fill.store);
                self.schedule_at(now + latency, Due::FillAnswered { fill, answer });
            }
        }
    }
}
