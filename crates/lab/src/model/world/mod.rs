//! Caches, parents and the origin, and each request at them.
//!
//! `types` has requests and answers, `node` a store, `schedule` what is due; `serving` answers a request at one store, `fills`
//! fetches what that lacks from another.

mod fills;
mod node;
mod schedule;
mod serving;
mod types;

#[cfg(test)]
mod tests;

pub use types::{Answer, CacheResult, Pull, Spec, Status, TaskId, WorldEvent, group_of};

use super::Micros;
use super::cold::OverloadDetector;
use crate::participant::ParticipantId;
use node::Node;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use schedule::{Due, FillOf, Schedule};
use std::collections::{BTreeMap, HashMap};

/// Who sent a request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Owner {
    /// A gateway.
    Outside,
    /// The fill of another store.
    Fill(FillOf),
}

/// A request at a store.
#[derive(Clone, Debug)]
struct Task {
    store: ParticipantId,
    pull: Pull,
    owner: Owner,
    deadline: Micros,
    /// Its answer while the bytes are sent.
    result: Option<Answer>,
}

/// All stores, in virtual time.
pub struct World {
    nodes: BTreeMap<ParticipantId, Node>,
    tasks: HashMap<TaskId, Task>,
    schedule: Schedule,
    last_number: u64,
    /// Counts purges by group.
    versions: [u64; 256],
    /// A purge takes effect at a store within this time.
    max_purge_delay: Micros,
    random: Pcg64Mcg,
    events: Vec<WorldEvent>,
}

impl World {
    /// A world with these stores. `max_purge_delay`: a purge takes effect at a store within this time.
    pub fn new(
        stores: impl IntoIterator<Item = (ParticipantId, Spec)>,
        max_purge_delay: Micros,
        seed: u64,
    ) -> World {
        World {
            nodes: stores.into_iter().map(|(id, spec)| (id, Node::new(spec))).collect(),
            tasks: HashMap::new(),
            schedule: Schedule::default(),
            last_number: 0,
            versions: [0; 256],
            max_purge_delay,
            random: Pcg64Mcg::seed_from_u64(seed),
            events: Vec::new(),
        }
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn schedule_at(&mut self, at: Micros, due: Due) {
        let number = self.next_number();
        self.schedule.push(at, number, due);
    }

    /// When something is due next.
    pub fn next(&self) -> Option<Micros> {
        self.schedule.next()
    }

    /// Handles all that is due by now, and returns what happened.
    pub fn advance(&mut self, now: Micros) -> Vec<WorldEvent> {
        while let Some((at, due)) = self.schedule.pop(now) {
            self.handle(at, due);
        }
        std::mem::take(&mut self.events)
    }

    /// Whether a store runs.
    pub fn is_alive(&self, store: ParticipantId) -> bool {
        self.nodes.get(&store).is_some_and(|node| node.alive)
    }

    /// Whether a request is still open.
    pub fn knows(&self, id: TaskId) -> bool {
        self.tasks.contains_key(&id)
    }

    /// Requests at a store that are queued or worked on.
    pub fn jobs(&self, store: ParticipantId) -> usize {
        self.nodes.get(&store).map_or(0, |node| node.station.jobs())
    }

    /// How often a group has been purged.
    pub fn version(&self, group: u8) -> u64 {
        self.versions[usize::from(group)]
    }

    /// A gateway sends a request to a store.
    pub fn pull(&mut self, now: Micros, store: ParticipantId, pull: Pull) -> TaskId {
        let id = self.next_number();
        let deadline = now + pull.timeout;
        self.tasks.insert(id, Task { store, pull, owner: Owner::Outside, deadline, result: None });
        self.enter(now, id);
        id
    }

    /// The gateway cancels a request. A fill that it began goes on.
    pub fn kill(&mut self, now: Micros, id: TaskId) {
        let Some(task) = self.tasks.remove(&id) else { return };
        if let Some(node) = self.nodes.get_mut(&task.store) {
            node.station.withdraw(&id);
            if task.result.is_some() {
                node.link.cancel(now, id);
            }
            self.link_due(task.store);
        }
    }

    /// A store dies: its requests end, and its copies are lost.
    pub fn crash(&mut self, now: Micros, store: ParticipantId) {
        let Some(node) = self.nodes.get_mut(&store).filter(|node| node.alive) else { return };
        node.die();
        let at_store = |(id, task): (&TaskId, &Task)| (task.store == store).then_some(*id);
        let mut open: Vec<TaskId> = self.tasks.iter().filter_map(at_store).collect();
        open.sort_unstable();
        for id in open {
            let Some(task) = self.tasks.remove(&id) else { continue };
            if let Owner::Fill(fill) = task.owner {
                let latency = self.latency(store, fill.store);
                self.schedule_at(now + latency, Due::FillAnswered { fill, answer: None });
            }
        }
    }

    /// Starts a dead store, with an empty cache.
    pub fn start(&mut self, now: Micros, store: ParticipantId) {
        if let Some(node) = self.nodes.get_mut(&store).filter(|node| !node.alive) {
            (node.alive, node.started, node.overload) = (true, Some(now), OverloadDetector::default());
        }
    }

    /// Purges all copies of a group that are older than now; it takes effect at each store after a time of its own.
    pub fn purge(&mut self, now: Micros, group: u8) {
        self.versions[usize::from(group)] += 1;
        let stores: Vec<ParticipantId> = self.nodes.keys().copied().collect();
        for store in stores {
            let delay = self.random.random_range(0..=self.max_purge_delay);
            self.schedule_at(now + delay, Due::Purge { store, group, before: now });
        }
    }

    fn handle(&mut self, now: Micros, due: Due) {
        match due {
            Due::Enter(id) => self.enter(now, id),
            Due::WorkDone { store, incarnation, task } => self.work_done(now, store, incarnation, task),
            Due::Link { store, incarnation } => self.link(now, store, incarnation),
            Due::FillAnswered { fill, answer } => self.fill_answered(now, fill, answer.as_ref()),
            Due::Purge { store, group, before } => {
                if let Some(node) = self.nodes.get_mut(&store) {
                    node.copies.purge(|key, copy| group_of(&key.0) == group && copy.made < before);
                }
            }
        }
    }
}
