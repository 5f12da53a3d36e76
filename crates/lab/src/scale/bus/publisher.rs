//! Publishes purges and changes of the list of stores at their rates, while the run says so.

use super::event_log::EventLog;
use super::recorder::Recorder;
use crate::scale::observation::BusLine;
use crate::scale::plan::BusPlan;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Objects that purges are drawn from.
const OBJECTS: u32 = 100_000;
/// Groups of objects that purges are drawn from.
const GROUPS: u32 = 200;
const MICROS_PER_MILLI: u64 = 1_000;

/// Draws events and adds them to the log.
#[derive(Clone)]
pub(super) struct Publisher {
    log: Arc<EventLog>,
    recorder: Arc<Recorder>,
    plan: Arc<BusPlan>,
}

impl Publisher {
    pub(super) fn new(log: Arc<EventLog>, recorder: Arc<Recorder>, plan: BusPlan) -> Publisher {
        Publisher { log, recorder, plan: Arc::new(plan) }
    }

    /// Publishes purges while `publishing` says so.
    pub(super) async fn publish_purges(self, mut publishing: watch::Receiver<bool>) {
        let mut random = StdRng::seed_from_u64(self.plan.seed);
        let mut due = Instant::now();
        if self.plan.purges_per_second <= 0.0 {
            return;
        }
        loop {
            if wait_for_begin(&mut publishing).await {
                due = Instant::now();
            }
            due += interval(&mut random, self.plan.purges_per_second, self.plan.poisson);
            tokio::time::sleep_until(due).await;
            self.publish_purge(&mut random);
        }
    }

    fn publish_purge(&self, random: &mut StdRng) {
        let at_us = sagearch_clock::unix_micros();
        let unix_millis = at_us / MICROS_PER_MILLI;
        let ban = if random.random_bool(self.plan.group_share) {
            json!({"tag": random.random_range(0..GROUPS), "ts": unix_millis})
        } else {
            json!({"url": format!("/svc/video/object-{}", random.random_range(0..OBJECTS)), "ts": unix_millis})
        };
        if let Some(offset) = self.log.append_purge(at_us, &ban) {
            self.recorder.write(&BusLine::Purge { offset, at_us });
        }
    }

    /// Publishes changes of the list of stores while `publishing` says so.
    pub(super) async fn publish_store_lists(self, mut publishing: watch::Receiver<bool>) {
        let mut random = StdRng::seed_from_u64(!self.plan.seed);
        if self.plan.list_changes_per_second <= 0.0 {
            return;
        }
        loop {
            wait_for_begin(&mut publishing).await;
            let pause = interval(&mut random, self.plan.list_changes_per_second, self.plan.poisson);
            tokio::time::sleep(pause).await;
            self.publish_store_list(&mut random);
        }
    }

    fn publish_store_list(&self, random: &mut StdRng) {
        let at_us = sagearch_clock::unix_micros();
        if let Some(offset) = self.log.append_store_change(|stores| change_weight(stores, random)) {
            self.recorder.write(&BusLine::List { offset, at_us });
        }
    }
}

/// Gives one store another weight, and returns that store.
fn change_weight(stores: &mut [Value], random: &mut StdRng) -> Value {
    let store = random.random_range(0..stores.len());
    stores[store]["weight"] = json!(random.random_range(4..=12));
    stores[store].clone()
}

/// Waits until events are to be published. Returns whether it had to wait.
async fn wait_for_begin(publishing: &mut watch::Receiver<bool>) -> bool {
    if *publishing.borrow() {
        return false;
    }
    // Its sender lives as long as the process.
    let _ = publishing.wait_for(|publishing| *publishing).await;
    true
}

/// The time until the next event.
fn interval(random: &mut StdRng, rate: f64, poisson: bool) -> Duration {
    let drawn = Exp::new(rate).ok().filter(|_| poisson).map(|intervals| intervals.sample(random));
    Duration::from_secs_f64(drawn.unwrap_or(1.0 / rate))
}
