//! The requests that gateways have open at stores.

use super::StoreServers;
use super::connection::Connection;
use crate::arrivals::Class;
use crate::harness::sync::lock;
use crate::model::world::{Pull, TaskId, group_of};
use crate::participant::ParticipantId;
use crate::store_protocol::PullRequest;
use crate::trace::{EventKind, Micros};
use tokio::sync::mpsc;

/// A request that a gateway has open at a store.
pub(super) struct OpenRequest {
    /// As the gateway numbers it.
    pub(super) id: u64,
    pub(super) connection: u64,
    pub(super) answers: mpsc::UnboundedSender<Vec<u8>>,
    pub(super) pull: PullRequest,
}

impl StoreServers {
    /// What a request asks of the model. `None`: its class or source is unknown.
    fn model_request(&self, pull: &PullRequest) -> Option<Pull> {
        let class = Class::named(&pull.class)?;
        let source = match &pull.source {
            None => None,
            Some(name) => Some(*self.ids.get(name)?),
        };
        Some(Pull {
            key: (pull.object.clone(), pull.part.clone()),
            group: group_of(&pull.object),
            bytes: self.part_bytes,
            max_age: pull.max_age.map(|ms| ms * 1_000).or(class.fresh()).unwrap_or(0),
            source,
            joins_fills: pull.ride,
            held_only: pull.held_only,
            through: pull.through,
            cache_rank: pull.keep,
            uncacheable: class.fresh().is_none(),
            timeout: pull.wait * 1_000,
        })
    }

    /// Opens a request that was sent at a time. False: it could not be understood.
    pub(super) fn pull(&self, connection: &Connection, id: u64, pull: PullRequest, sent: Micros) -> bool {
        let Some(asked) = self.model_request(&pull) else { return false };
        let (store, gateway) = (connection.store, connection.gateway);
        let now = self.context.relay.now();
        let mut open = lock(&self.open);
        let attempt = lock(&self.world).pull(now, store, asked);
        let answers = connection.answers.clone();
        open.insert(attempt, OpenRequest { id, connection: connection.number, answers, pull });
        let arrived = EventKind::Arrived { id, attempt, gateway, store, sent };
        self.context.recorder.record_at(now, arrived);
        drop(open);
        self.wake.notify_one();
        true
    }

    /// Gives up a request of a connection, if it is still open.
    pub(super) fn cancel(&self, connection: u64, id: u64, sent: Micros) {
        let mut open = lock(&self.open);
        let is_meant = |request: &OpenRequest| request.connection == connection && request.id == id;
        let found = open.iter().find(|(_, request)| is_meant(request)).map(|(attempt, _)| *attempt);
        if let Some(attempt) = found {
            open.remove(&attempt);
            lock(&self.world).kill(self.context.relay.now(), attempt);
            self.context.recorder.record(EventKind::GivenUp { attempt, sent });
        }
    }

    /// A connection has closed, which gives up all that is open on it.
    pub(super) fn close(&self, connection: u64) {
        let mut open = lock(&self.open);
        let of_connection = open.iter().filter(|(_, request)| request.connection == connection);
        let gone: Vec<TaskId> = of_connection.map(|(attempt, _)| *attempt).collect();
        let now = self.context.relay.now();
        for attempt in gone {
            open.remove(&attempt);
            lock(&self.world).kill(now, attempt);
            self.context.recorder.record_at(now, EventKind::GivenUp { attempt, sent: now });
        }
    }

    /// A store has died with all requests that are open at it.
    pub(super) fn lose_requests(&self, store: ParticipantId) {
        let mut open = lock(&self.open);
        let mut world = lock(&self.world);
        // Which request is at which store the model alone knows: those that it has forgotten were here.
        world.crash(self.context.relay.now(), store);
        let gone: Vec<TaskId> = open.keys().filter(|id| !world.knows(**id)).copied().collect();
        drop(world);
        for attempt in gone {
            open.remove(&attempt);
            self.context.recorder.record(EventKind::Lost { attempt });
        }
    }
}
