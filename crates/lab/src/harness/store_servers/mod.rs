//! Caches, parents and the origin on sockets: the stores' line protocol before the model.

mod connection;
mod requests;
mod simulation;

use super::context::RunContext;
use super::network::Port;
use super::sync::lock;
use crate::model::world::{Spec, TaskId, World};
use crate::participant::ParticipantId;
use crate::settings::PURGE_TAKES;
use requests::OpenRequest;
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::{Notify, mpsc, watch};

/// An idle model is advanced this often all the same.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);

/// One store's port.
struct StoreServer {
    port: Port,
    name: String,
    /// The number of the incarnation that is alive; none while the store is dead.
    incarnation: watch::Sender<Option<u64>>,
}

/// All stores of a run.
pub struct StoreServers {
    world: Mutex<World>,
    open: Mutex<HashMap<TaskId, OpenRequest>>,
    wake: Notify,
    servers: BTreeMap<ParticipantId, StoreServer>,
    ids: HashMap<String, ParticipantId>,
    context: RunContext,
    /// Bytes of a part.
    part_bytes: u64,
    /// Numbers connections and incarnations.
    next_number: AtomicU64,
    failed: mpsc::UnboundedSender<ParticipantId>,
}

/// The name by which gateways know a store.
pub fn store_name(id: ParticipantId) -> String {
    format!("s-{:08x}", u32::from(id.0) + 1)
}

impl StoreServers {
    /// All stores, listening. Those that fail under their load are told by the channel.
    ///
    /// # Errors
    ///
    /// Where a port can't be had.
    pub fn start(
        specs: Vec<(ParticipantId, Spec)>,
        part_bytes: usize,
        context: &RunContext,
        failed: mpsc::UnboundedSender<ParticipantId>,
    ) -> io::Result<Arc<StoreServers>> {
        let mut servers = BTreeMap::new();
        for (id, _) in &specs {
            let (port, name) = (Port::take()?, store_name(*id));
            servers.insert(*id, StoreServer { port, name, incarnation: watch::channel(Some(0)).0 });
        }
        let stores = Arc::new(StoreServers {
            ids: servers.iter().map(|(id, server)| (server.name.clone(), *id)).collect(),
            world: Mutex::new(World::new(specs, PURGE_TAKES, context.seed)),
            open: Mutex::default(),
            wake: Notify::new(),
            servers,
            context: context.clone(),
            part_bytes: part_bytes as u64,
            next_number: AtomicU64::new(0),
            failed,
        });
        for id in stores.servers.keys().copied() {
            tokio::spawn(stores.clone().listen(id));
        }
        tokio::spawn(stores.clone().simulate());
        Ok(stores)
    }

    /// The port of a store, the same in all its incarnations.
    pub fn port(&self, store: ParticipantId) -> Option<u16> {
        self.servers.get(&store).map(|server| server.port.number())
    }

    /// Ends a store: its connections are reset, and new ones refused.
    pub fn crash(&self, store: ParticipantId) {
        let Some(server) = self.servers.get(&store) else { return };
        self.lose_requests(store);
        server.incarnation.send_replace(None);
    }

    /// Starts a dead store with nothing cached; says whether it was dead.
    pub fn restart(&self, store: ParticipantId) -> bool {
        let Some(server) = self.servers.get(&store) else { return false };
        let mut world = lock(&self.world);
        if world.is_alive(store) {
            return false;
        }
        world.start(self.context.relay.now(), store);
        server.incarnation.send_replace(Some(self.next_number.fetch_add(1, Ordering::Relaxed) + 1));
        true
    }

    /// Whether a store is alive.
    pub fn is_alive(&self, store: ParticipantId) -> bool {
        lock(&self.world).is_alive(store)
    }

    /// Voids the copies of a group of objects at all stores.
    pub fn purge(&self, group: u8) {
        lock(&self.world).purge(self.context.relay.now(), group);
        self.wake.notify_one();
    }
}
