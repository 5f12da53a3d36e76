//! Applies events to the broker and to the table of connections to the listed stores.

use crate::broker::Broker;
use crate::events::{self, Batch, Event, Instance, Purge, Topology};
use crate::interface::{ListKind, Member};
use crate::net::clock::Clock;
use crate::net::configuration::identity::ActiveVersion;
use crate::net::discovery::addresses::Addresses;
use crate::net::discovery::event_times::{BatchAges, EventAgeEstimator, StoreStartTimes};
use crate::net::lock;
use crate::net::mailbox::Mailbox;
use sagearch_feed::lease::Lease;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// Receives events and the freshness lease. A host process may wrap a sink to observe when events are applied.
pub trait EventSink: Send + Sync {
    /// Applies events. They are in effect when this returns.
    fn apply(&self, batch: Batch);

    /// Replaces the freshness lease after events were applied, and sets how many revalidations per second are allowed
    /// while it is expired. Only called if the gateway polls relays.
    fn renew_freshness(&self, lease: Lease, revalidations: u32);

    /// Called if a poll failed because the process is out of file descriptors.
    fn out_of_descriptors(&self);
}

/// The table of connections to the listed stores.
pub trait StoreTable {
    /// Marks all stores as removed. A complete list follows, and stores that it does not contain stay marked.
    fn mark_all_removed(&self);

    /// Adds or updates the store of a listed instance; `member` is the instance converted for the policies.
    fn update_store(&self, instance: &Instance, member: &Member);
}

/// The store table of a gateway that has no connections to stores.
struct NoStores;

impl StoreTable for NoStores {
    fn mark_all_removed(&self) {}

    fn update_store(&self, _: &Instance, _: &Member) {}
}

/// Applies events to a gateway's broker.
pub struct BrokerEvents {
    clock: Clock,
    broker: Arc<Mutex<Broker<Mailbox>>>,
    version: Arc<ActiveVersion>,
    /// Whether an endpoint list has been applied.
    has_endpoint_list: AtomicBool,
    age_estimator: Mutex<EventAgeEstimator>,
    start_times: Mutex<StoreStartTimes>,
    addresses: Mutex<Addresses>,
}

impl BrokerEvents {
    /// Creates a sink that applies events to `broker`, with the names of the active deployment.
    pub(in crate::net) fn new(
        clock: Clock,
        broker: Arc<Mutex<Broker<Mailbox>>>,
        version: Arc<ActiveVersion>,
    ) -> BrokerEvents {
        BrokerEvents {
            clock,
            broker,
            version,
            has_endpoint_list: AtomicBool::new(false),
            age_estimator: Mutex::default(),
            start_times: Mutex::default(),
            addresses: Mutex::default(),
        }
    }

    /// Applies the events of a batch in order to the broker and to a table of stores.
    pub fn apply_to(&self, stores: &dyn StoreTable, batch: Batch) {
        let stamps: Vec<Option<u64>> = batch.batch.iter().map(Event::latest_stamp).collect();
        let ages = lock(&self.age_estimator).record_batch(self.clock.reading(), batch.snapshot, &stamps);
        for (event_index, Event { topology, purge, .. }) in batch.batch.into_iter().enumerate() {
            if let Some(topology) = &topology {
                self.apply_topology(stores, topology, &ages, event_index);
            }
            if let Some(purge) = purge {
                self.apply_purge(purge, &ages, event_index);
            }
        }
    }

    /// Applies an endpoint list. `event_index` is the index of its event in the batch.
    fn apply_topology(
        &self,
        stores: &dyn StoreTable,
        topology: &Topology,
        ages: &BatchAges,
        event_index: usize,
    ) {
        let is_first = !self.has_endpoint_list.swap(true, Ordering::SeqCst);
        let kind = topology.list_kind(is_first);
        let mut addresses = lock(&self.addresses);
        if kind == ListKind::Complete {
            stores.mark_all_removed();
            addresses.clear();
        }
        let instances = addresses.apply(&topology.instances);
        drop(addresses);
        let deployment = self.version.snapshot().deployment.clone();
        let mut members = Vec::new();
        for instance in &instances {
            let store = events::member_id(&instance.instance_id);
            let now = self.clock.now();
            let started =
                lock(&self.start_times).start_time(now, store, instance.started_at_ms, ages, event_index);
            let member = instance.member(&deployment.names, started);
            stores.update_store(instance, &member);
            log::info!(
                "listed store {} is {}: {} in {}, weight {}, cell {}, started {}",
                instance.instance_id,
                instance.lifecycle,
                instance.machine_type,
                instance.zone,
                instance.weight,
                instance.cell,
                instance.started_at_ms,
            );
            members.push(member);
        }
        lock(&self.broker).members(self.clock.now(), kind, members);
    }

    /// Applies a purge. `event_index` is the index of its event in the batch.
    fn apply_purge(&self, purge: Purge, ages: &BatchAges, event_index: usize) {
        let age = ages.purge_age(event_index, purge.unix_ms);
        if let (Some(slice), Some(slices)) = (purge.slice, purge.slices) {
            log::debug!("applying purge of slice {slice} of {slices}");
            return lock(&self.broker).slice_purged(self.clock.now(), slice, slices, age);
        }
        log::debug!("applying purge of object {:?}, group {:?}", purge.object, purge.group);
        lock(&self.broker).purged(self.clock.now(), purge.object, purge.group, age);
    }
}

/// The sink of a gateway without clients, which applies events to its broker only.
impl EventSink for BrokerEvents {
    fn apply(&self, batch: Batch) {
        self.apply_to(&NoStores, batch);
    }

    fn renew_freshness(&self, lease: Lease, revalidations: u32) {
        lock(&self.broker).renew_freshness(self.clock.now(), lease, revalidations);
    }

    fn out_of_descriptors(&self) {}
}
