//! A deterministic simulation of subscribers and the service in one thread and virtual time. Its faults are lost
//! connections, duplicated, late and conflicting messages, invalid versions, full disks, and crashes of both sides at
//! any step.
//!
//! `SAGEARCH_SEEDS=100000 cargo test --release -p sagearch-stream --test simulation` runs more seeds. A failure reports
//! its seed, which reproduces it.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg32;
use sagearch_stream::message::{FromGateway, FromService};
use sagearch_stream::rollout::Plan;
use sagearch_stream::service::{Output as ServiceOutput, Prepared, Role, Service, Settings, State};
use sagearch_stream::subscriber::{
    Input, Notice, Output, Settings as SubscriberSettings, StepError, Subscriber,
};
use sagearch_stream::version::{Documents, Version, VersionId};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

const GATEWAYS: usize = 4;

struct Node {
    subscriber: Subscriber,
    /// The stored versions, which survive a crash.
    disk: Vec<Version>,
    disk_full: bool,
    store_failed: Option<VersionId>,
    in_force: Option<VersionId>,
    acked: Option<VersionId>,
    session: Option<u64>,
    to_gateway: VecDeque<FromService>,
    to_service: VecDeque<FromGateway>,
    /// Earlier messages that may be delivered again.
    earlier_messages: Vec<FromService>,
    /// The action that is running on the gateway's own threads.
    pending_action: Option<Output>,
}

struct World {
    random: Pcg32,
    now: u64,
    nodes: Vec<Node>,
    service: Option<Service>,
    /// The stored state of the service.
    state: State,
    stored: BTreeMap<u64, Version>,
    published: Vec<Arc<Version>>,
    last_session: u64,
    faults: bool,
    steps: u64,
}

fn service_settings() -> Settings {
    Settings {
        heartbeat_interval: 500,
        reconnect_window: 300,
        max_transfers: 2,
        max_sessions: 20,
        max_versions: 4,
        max_version_bytes: 400_000,
    }
}

fn subscriber_settings(index: usize) -> SubscriberSettings {
    SubscriberSettings {
        node: format!("n{index}"),
        instance: 1,
        address_count: 2,
        max_version_bytes: 400_000,
        heartbeat_interval: 500,
        reconnect_window: 300,
    }
}

impl World {
    fn new(seed: u64) -> World {
        let node = |node_index| Node {
            subscriber: Subscriber::new(subscriber_settings(node_index), None, seed + node_index as u64, 0),
            disk: Vec::new(),
            disk_full: false,
            store_failed: None,
            in_force: None,
            acked: None,
            session: None,
            to_gateway: VecDeque::new(),
            to_service: VecDeque::new(),
            earlier_messages: Vec::new(),
            pending_action: None,
        };
        World {
            random: Pcg32::seed_from_u64(seed),
            now: 0,
            nodes: (0..GATEWAYS).map(node).collect(),
            service: Some(Service::new(service_settings(), State::default(), Vec::new(), 0)),
            state: State::default(),
            stored: BTreeMap::new(),
            published: Vec::new(),
            last_session: 0,
            faults: true,
            steps: 0,
        }
    }

    fn chance_of_one_in(&mut self, count: u32) -> bool {
        self.random.random_range(0..count) == 0
    }

    /// Carries out actions of the service. Versions and the state are stored before any message is delivered.
    fn run_service_outputs(&mut self, outputs: Vec<ServiceOutput>) {
        for output in outputs {
            match output {
                ServiceOutput::Send(session, message) => self.send(session, message),
                ServiceOutput::Transfer(session, transfer) => {
                    transfer.for_each(|message| self.send(session, message));
                    let next = self.service.as_mut().map(|service| service.transfer_written(session));
                    self.run_service_outputs(next.unwrap_or_default());
                }
                ServiceOutput::Close(session, _) => {
                    if let Some(node_index) = self.nodes.iter().position(|node| node.session == Some(session))
                    {
                        self.close_connection(node_index);
                    }
                }
                ServiceOutput::StoreState(state) => self.state = state,
                ServiceOutput::StoreVersion(version) => {
                    self.published.push(version.clone());
                    self.stored.insert(version.id.number, (*version).clone());
                }
                ServiceOutput::Publish(..) | ServiceOutput::Rollback(..) | ServiceOutput::Notice(_) => {}
            }
        }
    }

    fn send(&mut self, session: u64, message: FromService) {
        let node = self.nodes.iter_mut().find(|node| node.session == Some(session));
        if let Some(node) = node {
            node.to_gateway.push_back(message);
        }
    }

    /// Closes a connection on both sides and drops the messages in flight. Those to the gateway may be
    /// delivered again later.
    fn close_connection(&mut self, node_index: usize) {
        let node = &mut self.nodes[node_index];
        let Some(session) = node.session.take() else { return };
        node.earlier_messages.extend(node.to_gateway.drain(..));
        let excess = node.earlier_messages.len().saturating_sub(50);
        node.earlier_messages.drain(..excess);
        node.to_service.clear();
        let closed = self.service.as_mut().map(|service| service.session_closed(session));
        self.run_service_outputs(closed.unwrap_or_default());
        let outputs = self.nodes[node_index].subscriber.handle(self.now, Input::Disconnected);
        self.run_gateway_outputs(node_index, outputs);
    }

    /// Carries out actions of a gateway. Staging, storing and committing finish later, and a crash may interrupt them.
    fn run_gateway_outputs(&mut self, node_index: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Connect { .. } => {
                    let (is_reachable, is_running) =
                        (!self.faults || !self.chance_of_one_in(4), self.service.is_some());
                    if !(is_reachable && is_running) {
                        let outputs = self.nodes[node_index].subscriber.handle(self.now, Input::Disconnected);
                        self.run_gateway_outputs(node_index, outputs);
                        continue;
                    }
                    self.last_session += 1;
                    let session = self.last_session;
                    self.nodes[node_index].session = Some(session);
                    let role = Role::Gateway(format!("n{node_index}"));
                    let opened =
                        self.service.as_mut().map(|service| service.session_opened(session, role, self.now));
                    self.run_service_outputs(opened.unwrap_or_default());
                    let outputs = self.nodes[node_index].subscriber.handle(self.now, Input::Connected);
                    self.run_gateway_outputs(node_index, outputs);
                }
                Output::Disconnect(_) => {
                    let node = &mut self.nodes[node_index];
                    node.to_gateway.clear();
                    if let Some(session) = node.session.take() {
                        node.to_service.clear();
                        let closed = self.service.as_mut().map(|service| service.session_closed(session));
                        self.run_service_outputs(closed.unwrap_or_default());
                    }
                }
                Output::Send(message) => {
                    let node = &mut self.nodes[node_index];
                    if let FromGateway::Ack { id, .. } = &message {
                        assert_eq!(node.in_force.as_ref(), Some(id), "acknowledged before it is in force");
                        assert!(node.acked.as_ref().is_none_or(|acked| acked.sequence() <= id.sequence()));
                        node.acked = Some(id.clone());
                    }
                    if node.session.is_some() {
                        node.to_service.push_back(message);
                    }
                }
                action @ (Output::Stage(_) | Output::Store(_) | Output::Commit(_)) => {
                    assert!(
                        self.nodes[node_index].pending_action.is_none(),
                        "two versions are applied at once"
                    );
                    self.nodes[node_index].pending_action = Some(action);
                }
                Output::Notice(Notice::StoreFailed(id, _)) => self.nodes[node_index].store_failed = Some(id),
                Output::Notice(_) => {}
            }
        }
    }

    fn finish_action(&mut self, node_index: usize) {
        let Some(action) = self.nodes[node_index].pending_action.take() else { return };
        let node = &mut self.nodes[node_index];
        let input = match action {
            Output::Stage(version) => {
                assert!(version.is_intact());
                let invalid = version.documents.values().any(|text| text.contains("bad"));
                Input::Staged(if invalid { Err(StepError::new(&"d.kdl:1:1: it is bad")) } else { Ok(()) })
            }
            Output::Store(version) => {
                if node.disk_full {
                    Input::Stored(Err(StepError::new(&"the disk is full")))
                } else {
                    node.disk.retain(|stored| stored.id != version.id);
                    node.disk.push((*version).clone());
                    Input::Stored(Ok(()))
                }
            }
            Output::Commit(version) => {
                if let Some(previous) = &node.in_force {
                    assert!(
                        previous.sequence() < version.id.sequence(),
                        "version in force was replaced by an older one"
                    );
                }
                node.in_force = Some(version.id.clone());
                Input::Committed
            }
            other => panic!("{other:?}"),
        };
        let outputs = node.subscriber.handle(self.now, input);
        self.run_gateway_outputs(node_index, outputs);
    }

    /// Crashes a gateway and restarts it with the versions on its disk.
    fn crash_gateway(&mut self, node_index: usize) {
        self.close_connection(node_index);
        let node = &mut self.nodes[node_index];
        node.pending_action = None;
        node.to_gateway.clear();
        node.disk.sort_by_key(|version| version.id.sequence());
        let newest = node.disk.last().cloned().map(Arc::new);
        // A version acknowledged while the disk was full is lost. That was reported, and the service sends it again.
        let newest_stored = newest.as_ref().map(|version| version.id.sequence());
        if let Some(acked) = &node.acked
            && node.store_failed.as_ref() != Some(acked)
        {
            assert!(newest_stored >= Some(acked.sequence()), "an acknowledged version was lost");
        }
        node.in_force = newest.as_ref().map(|version| version.id.clone());
        node.acked = node.acked.take().filter(|acked| newest_stored >= Some(acked.sequence()));
        node.subscriber =
            Subscriber::new(subscriber_settings(node_index), newest, self.now + node_index as u64, self.now);
    }

    fn crash_service(&mut self) {
        for node_index in 0..GATEWAYS {
            self.close_connection(node_index);
        }
        let stored = self.stored.values().cloned().collect();
        self.service = Some(Service::new(service_settings(), self.state.clone(), stored, self.now));
    }

    fn publish(&mut self, text: String) {
        let Some(service) = &mut self.service else { return };
        let large = "x".repeat(self.random.random_range(0..150_000));
        let documents = Documents::from([("d.kdl".into(), text), ("keys".into(), large)]);
        let stages = if self.random.random_range(0..2) == 0 { vec![100] } else { vec![40, 100] };
        let plan = Plan { stages, soak_ms: 200, stage_timeout_ms: 3_000, ..Plan::default() };
        let Ok(prepared) = service.prepare(documents, plan, self.now) else { return };
        self.store_and_commit(prepared);
    }

    fn store_and_commit(&mut self, prepared: Prepared) {
        self.published.push(prepared.version.clone());
        self.stored.insert(prepared.version.id.number, (*prepared.version).clone());
        // A crash between storing the version and the state: the version is never used.
        if self.faults && self.chance_of_one_in(20) {
            return self.crash_service();
        }
        self.state = prepared.state.clone();
        let outputs = self.service.as_mut().map(|service| service.commit(prepared));
        self.run_service_outputs(outputs.unwrap_or_default());
    }

    fn step(&mut self) {
        self.steps += 1;
        self.now += self.random.random_range(1..40);
        let node_index = self.random.random_range(0..GATEWAYS);
        match self.random.random_range(0..if self.faults { 24 } else { 16 }) {
            0..5 => {
                for _ in 0..self.random.random_range(1..8) {
                    let Some(message) = self.nodes[node_index].to_gateway.pop_front() else { break };
                    self.nodes[node_index].earlier_messages.push(message.clone());
                    let outputs =
                        self.nodes[node_index].subscriber.handle(self.now, Input::Received(message));
                    self.run_gateway_outputs(node_index, outputs);
                }
            }
            5..9 => {
                if let (Some(session), Some(message)) =
                    (self.nodes[node_index].session, self.nodes[node_index].to_service.pop_front())
                {
                    let now = self.now;
                    let outputs =
                        self.service.as_mut().map(|service| service.message_received(session, message, now));
                    self.run_service_outputs(outputs.unwrap_or_default());
                }
            }
            9..13 => self.finish_action(node_index),
            13..15 => {
                for node_index in 0..GATEWAYS {
                    let outputs = self.nodes[node_index].subscriber.handle(self.now, Input::Tick);
                    self.run_gateway_outputs(node_index, outputs);
                }
            }
            15 => {
                let now = self.now;
                let outputs = self.service.as_mut().map(|service| service.tick(now));
                self.run_service_outputs(outputs.unwrap_or_default());
            }
            16 | 17 => {
                let text = if self.chance_of_one_in(4) { "bad" } else { "good" };
                self.publish(format!("{text} {}", self.now));
            }
            18 => self.close_connection(node_index),
            19 => {
                // An earlier message is delivered again, out of order.
                let Some(last_index) = self.nodes[node_index].earlier_messages.len().checked_sub(1) else {
                    return;
                };
                let index = self.random.random_range(0..=last_index);
                let message = self.nodes[node_index].earlier_messages[index].clone();
                let outputs = self.nodes[node_index].subscriber.handle(self.now, Input::Received(message));
                self.run_gateway_outputs(node_index, outputs);
            }
            20 => self.crash_gateway(node_index),
            21 => self.crash_service(),
            22 => self.nodes[node_index].disk_full = self.random.random_range(0..4) == 0,
            _ => self.offer_conflicting_version(node_index),
        }
    }

    /// Another service offers different content under a published number.
    fn offer_conflicting_version(&mut self, node_index: usize) {
        let Some(published) = self.published.last().cloned() else { return };
        let conflicting = Version::new(
            published.id.epoch,
            published.id.number,
            Documents::from([("d.kdl".into(), "other".into())]),
        );
        let nonce = 1_000_000 + self.steps;
        let offer = FromService::Offer {
            nonce,
            id: conflicting.id.clone(),
            base: None,
            names: vec!["d.kdl".into()],
            removed: Vec::new(),
            bytes: 5,
        };
        // A gateway can detect the conflict only if it already has the number or a later one.
        if self.nodes[node_index]
            .in_force
            .as_ref()
            .is_none_or(|version| version.sequence() < published.id.sequence())
        {
            return;
        }
        let chunk = FromService::Chunk { nonce, name: "d.kdl".into(), text: "other".into(), last: true };
        for message in [offer, chunk, FromService::Done { nonce }] {
            let outputs = self.nodes[node_index].subscriber.handle(self.now, Input::Received(message));
            self.run_gateway_outputs(node_index, outputs);
        }
    }

    fn assert_versions_in_force_are_valid(&self) {
        for node in &self.nodes {
            let Some(id) = &node.in_force else { continue };
            let version = self.published.iter().find(|version| version.id == *id);
            let version = version.expect("the version in force was published");
            assert!(!version.documents["d.kdl"].contains("bad"), "a rejected version is in force");
        }
    }
}

fn seeds() -> u64 {
    std::env::var("SAGEARCH_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(400)
}

#[test]
fn versions_under_faults_stay_intact_and_ordered_and_reach_all_gateways() {
    let mut steps = 0;
    for seed in 0..seeds() {
        let run = std::panic::catch_unwind(|| {
            let mut world = World::new(seed);
            for _ in 0..600 {
                world.step();
                world.assert_versions_in_force_are_valid();
            }
            // Faults end, and a valid version is published whenever no rollout is running.
            world.faults = false;
            world.nodes.iter_mut().for_each(|node| node.disk_full = false);
            for round in 0..60_000 {
                world.step();
                world.assert_versions_in_force_are_valid();
                let state = world.service.as_ref().unwrap().state().clone();
                // Publishing is repeated because earlier faults may cause a rollback of the running rollout.
                if round == 0 || (round % 6_000 == 0 && state.candidate.is_none()) {
                    world.publish("good at the end".into());
                }
                let is_updated = |node: &Node| node.in_force.as_ref().map(|id| id.number) == state.stable;
                if round > 6_000 && state.candidate.is_none() && world.nodes.iter().all(is_updated) {
                    return world.steps;
                }
            }
            panic!("not all gateways have the stable version: {}", world.service.unwrap().status(world.now));
        });
        match run {
            Ok(run_steps) => steps += run_steps,
            Err(cause) => panic!("seed {seed}: {cause:?}"),
        }
    }
    println!("{} seeds, {steps} steps", seeds());
}
