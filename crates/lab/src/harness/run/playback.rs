//! Plays the load and the schedule of a run.

use super::laboratory::Laboratory;
use super::micros;
use crate::arrivals;
use crate::harness::clients::{Clients, OutcomeCounts};
use crate::scenario::Scenario;
use crate::trace::EventKind;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// Until the load begins, once all gateways are ready.
const LOAD_DELAY: Duration = Duration::from_millis(200);
/// How often the progress is told.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// A run whose load has ended.
pub(super) struct Played {
    pub(super) clients: Arc<Clients>,
    /// When the load began.
    pub(super) begin: Instant,
}

impl Laboratory {
    /// Plays the load and the schedule, and ends when every request has.
    pub(super) async fn play(&mut self, scenario: &Scenario, progress: &mut impl FnMut(String)) -> Played {
        let clients = Clients::new(scenario, &self.injector.fleet, &self.context);
        clients.start_health_checks();
        let duration = micros(scenario.duration());
        let arrivals = arrivals::draw(&scenario.load, &clients.shares(), duration, self.context.seed);
        let begin = Instant::now() + LOAD_DELAY;
        let _ = self.load_begin.set(begin - self.begin);
        let load = tokio::spawn(clients.clone().play(arrivals, begin));
        self.play_schedule(scenario, &clients, begin, progress).await;
        // A load that has panicked shows as requests without an outcome.
        let _ = load.await;
        Played { clients, begin }
    }

    /// Carries out the transitions of the schedule as they are due, until the scenario is over.
    async fn play_schedule(
        &mut self,
        scenario: &Scenario,
        clients: &Clients,
        begin: Instant,
        progress: &mut impl FnMut(String),
    ) {
        let mut transitions = self.schedule.transitions().into_iter();
        let end = begin + scenario.duration();
        let mut next = transitions.next();
        let mut ticks = tokio::time::interval_at(begin + PROGRESS_INTERVAL, PROGRESS_INTERVAL);
        let mut before = OutcomeCounts::default();
        loop {
            let due = next.map_or(end, |transition| begin + transition.at);
            tokio::select! {
                () = tokio::time::sleep_until(due) => {
                    let Some(transition) = next else { return };
                    let (number, begins) = (transition.number, transition.begins);
                    self.context.recorder.record(EventKind::Fault { number, begins });
                    progress(self.schedule.describe(&scenario.roster, transition));
                    self.injector.apply(&self.schedule, transition);
                    next = transitions.next();
                }
                _ = ticks.tick() => {
                    let counts = clients.counts();
                    let gateways = format!("{}/{}", clients.alive(), scenario.gateways());
                    progress(progress_line(begin.elapsed(), before, counts, &gateways));
                    before = counts;
                }
                Some(store) = self.failed_stores.recv() => {
                    progress(format!("{} fell over", scenario.roster.get(store)));
                    self.injector.store_failed(store);
                }
            }
        }
    }
}

fn progress_line(at: Duration, before: OutcomeCounts, now: OutcomeCounts, gateways: &str) -> String {
    format!(
        "{:7.2} s  served {:>5}  refused {:>4}  failed {:>4}  {gateways} gateways",
        at.as_secs_f64(),
        now.served - before.served,
        now.refused - before.refused,
        now.failed - before.failed,
    )
}
