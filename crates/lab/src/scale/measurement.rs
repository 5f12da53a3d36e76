//! What each role costs over a span of time.

use super::checker::TimeSpan;
use super::cost::{Cost, Rates, Role};
use super::fleet::shutdown::FleetRecord;
use super::fleet::{ExternalReadings, Fleet};
use super::observation::Traffic;
use super::record::Readings;
use super::result::PhaseCosts;
use super::usage::{MachineTime, Usage};
use std::slice;
use std::time::Duration;
use tokio::time::sleep;

const MICROS_PER_SECOND: f64 = 1e6;

/// A span of time over which costs are measured, with what was read from outside at its ends.
pub struct Measurement {
    name: &'static str,
    /// From the first reading to the last.
    pub span: TimeSpan,
    before: ExternalReadings,
    after: ExternalReadings,
    machine_busy: f64,
}

/// Measures a running fleet for a time.
pub async fn measure(fleet: &Fleet<'_>, name: &'static str, duration: Duration) -> Measurement {
    let from = sagearch_clock::unix_micros();
    let (before, machine_before) = (fleet.external_readings(), MachineTime::now());
    sleep(duration).await;
    let until = sagearch_clock::unix_micros();
    let (after, machine_after) = (fleet.external_readings(), MachineTime::now());
    let machine_busy = machine_after.busy_share_since(&machine_before);
    Measurement { name, span: TimeSpan { from, until }, before, after, machine_busy }
}

fn sum_of(readings: &[Readings], span: TimeSpan) -> Option<Rates> {
    let mut sum = Rates::default();
    for reading in readings {
        let (first, last) = reading.usage_in(span)?;
        sum = sum.plus(&Rates::between(&first, &last)?);
    }
    Some(sum)
}

/// The mean of processes that were read from outside.
fn mean_of(role: Role, before: &[Usage], after: &[Usage]) -> Option<Cost> {
    let pairs = before.iter().zip(after);
    let rates: Vec<Rates> = pairs.filter_map(|(first, last)| Rates::between(first, last)).collect();
    let sum = rates.iter().fold(Rates::default(), |sum, one| sum.plus(one));
    (!rates.is_empty()).then(|| Cost::of(role, rates.len(), sum.divided(rates.len() as f64)))
}

/// Of one hollow gateway: what the hosts cost beyond empty ones, by gateway.
fn hollow_cost(record: &FleetRecord, gateways: usize, span: TimeSpan) -> Option<Cost> {
    let sum = sum_of(&record.hosts, span)?;
    let empty = sum_of(slice::from_ref(&record.empty_host), span)?;
    let rates = sum.minus(&empty, record.hosts.len() as f64).divided(gateways as f64);
    let cost = Cost::of(Role::HollowGateway, gateways, rates);
    let intervals = record.hosts.iter().map(|host| host.traffic_in(span)).collect::<Option<Vec<_>>>()?;
    let seconds = intervals.iter().map(|interval| interval.seconds).sum::<f64>() / intervals.len() as f64;
    let traffic = intervals.iter().fold(Traffic::default(), |sum, interval| interval.traffic.plus(&sum));
    Some(cost.with_traffic(&traffic, seconds))
}

fn real_cost(measurement: &Measurement) -> Option<Cost> {
    let Measurement { before, after, span, .. } = measurement;
    let cost = mean_of(Role::RealGateway, &before.real, &after.real)?;
    let seconds = (span.until - span.from) as f64 / MICROS_PER_SECOND;
    Some(cost.with_traffic(&after.real_traffic.since(&before.real_traffic), seconds))
}

fn bus_cost(bus: &Readings, span: TimeSpan) -> Option<Cost> {
    let cost = Cost::of(Role::Bus, 1, sum_of(slice::from_ref(bus), span)?);
    let interval = bus.traffic_in(span)?;
    Some(cost.with_traffic(&interval.traffic, interval.seconds))
}

impl Measurement {
    /// What each role cost. `hosted`: gateways in the hosts that are never restarted.
    pub fn costs(&self, record: &FleetRecord, hosted: usize) -> PhaseCosts {
        let empty = sum_of(slice::from_ref(&record.empty_host), self.span);
        let [before, after] = [&self.before, &self.after];
        let costs = [
            hollow_cost(record, hosted, self.span),
            real_cost(self),
            bus_cost(&record.bus.readings, self.span),
            mean_of(Role::Relay, &before.relays, &after.relays),
            empty.map(|rates| Cost::of(Role::EmptyHost, 1, rates)),
            mean_of(
                Role::Laboratory,
                slice::from_ref(&before.laboratory),
                slice::from_ref(&after.laboratory),
            ),
        ];
        let costs = costs.into_iter().flatten().collect();
        PhaseCosts { phase: self.name.into(), costs, machine_busy: self.machine_busy }
    }
}
