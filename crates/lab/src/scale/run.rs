//! Runs a scenario, size by size, and checks each.

use super::checker::{self, CALM, InjectedFault, PhaseResult};
use super::cost::{self, Comparison, Cost};
use super::error::ScaleError;
use super::fleet::Fleet;
use super::fleet::shutdown::FleetRecord;
use super::measurement::{Measurement, measure};
use super::programs::Programs;
use super::report;
use super::resources::{self, IDLE_TIME, ResourceEstimate, WARM_UP_TIME};
use super::result::{FailedSize, RunResult, SizeResult};
use super::scenario::{PlannedFault, Scenario, Size};
use crate::resources::available_mb;
use nix::sys::resource::{Resource, getrlimit, setrlimit};
use std::time::Duration;
use tokio::time::{Instant, sleep, sleep_until};

/// From the last event to the end, so that every purge can be checked.
const DRAIN_TIME: Duration = Duration::from_secs(3);
/// The name of the phase without events.
const QUIET: &str = "quiet";
/// The limit of descriptors where it can't be read.
const DEFAULT_DESCRIPTORS: u64 = 1_024;

/// What each size of a scenario needs, if all fit this machine.
///
/// # Errors
///
/// The first resource that is not enough.
pub fn check_resources(scenario: &Scenario) -> Result<Vec<ResourceEstimate>, ScaleError> {
    let estimates: Vec<ResourceEstimate> =
        scenario.sizes.iter().map(|size| resources::estimate(scenario, size)).collect();
    let meminfo = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let memory_mb = available_mb(&meminfo).unwrap_or(u64::MAX);
    resources::check_limits(&estimates, memory_mb, raise_descriptors())?;
    Ok(estimates)
}

/// Raises the limit of descriptors as far as allowed, and returns it.
pub fn raise_descriptors() -> u64 {
    let Ok((soft, hard)) = getrlimit(Resource::RLIMIT_NOFILE) else { return DEFAULT_DESCRIPTORS };
    if setrlimit(Resource::RLIMIT_NOFILE, hard, hard).is_ok() { hard } else { soft }
}

/// Injects a fault and ends it again.
async fn inject(fleet: &mut Fleet<'_>, fault: &PlannedFault) -> Result<InjectedFault, ScaleError> {
    let (from, began) = (sagearch_clock::unix_micros(), Instant::now());
    fleet.begin_fault(fault.kind).await?;
    sleep_until(began + fault.duration).await;
    fleet.end_fault(fault.kind).await?;
    sleep(fault.settle).await;
    Ok(InjectedFault { name: fault.kind.name().into(), from, gateways: fleet.affected_by(fault.kind) })
}

/// What a phase does not keep to. Gateways that follow the bus themselves have no freshness lease and can't know that
/// they are cut off, so those that a fault affects are reported and not held to the bound.
fn violation(phase: &PhaseResult, leased: bool) -> Option<String> {
    let unaffected = phase.unaffected.late + phase.unaffected.missing;
    let affected = if leased { phase.affected.late + phase.affected.missing } else { 0 };
    let is_empty = phase.purges == 0 || phase.unaffected.pairs == 0;
    let holds = unaffected + affected + phase.early == 0 && !is_empty;
    let text = format!(
        "{}: {} purges, {unaffected} late or missing, {affected} at gateways that the fault affected, {} too early",
        phase.phase, phase.purges, phase.early
    );
    (!holds).then_some(text)
}

/// What was done with a fleet, for the checker.
struct Timeline {
    started_seconds: f64,
    quiet: Measurement,
    calm: Measurement,
    faults: Vec<InjectedFault>,
    /// When the bus stopped to issue events, in Unix microseconds.
    issued_until: u64,
}

/// Measures a fleet that has started, and injects all faults.
async fn drive(
    fleet: &mut Fleet<'_>,
    scenario: &Scenario,
    size: &Size,
    report_progress: &mut impl FnMut(String),
) -> Result<Timeline, ScaleError> {
    let started_seconds = fleet.start_time().as_secs_f64();
    report_progress(format!("{} gateways are ready after {started_seconds:.1} s", size.gateways));
    let quiet = measure(fleet, QUIET, IDLE_TIME).await;
    fleet.set_publishing(true).await?;
    sleep(WARM_UP_TIME).await;
    let calm = measure(fleet, CALM, size.calm).await;
    let mut faults = Vec::new();
    for fault in scenario.faults_at(size) {
        report_progress(format!("fault: {}", fault.kind.name()));
        faults.push(inject(fleet, &fault).await?);
    }
    fleet.set_publishing(false).await?;
    let issued_until = sagearch_clock::unix_micros();
    sleep(DRAIN_TIME).await;
    Ok(Timeline { started_seconds, quiet, calm, faults, issued_until })
}

fn size_result(
    scenario: &Scenario,
    size: &Size,
    timeline: Timeline,
    hosted: usize,
    record: FleetRecord,
) -> SizeResult {
    let bound = scenario.targets.purge_latency.as_micros() as u64;
    let calm_from = timeline.calm.span.from;
    let phases = checker::phases(calm_from, &timeline.faults, timeline.issued_until, bound);
    let phases = checker::check(&phases, &record.bus.purges, &record.processes, bound);
    let [quiet, calm] = [timeline.quiet, timeline.calm].map(|span| span.costs(&record, hosted));
    let leased = scenario.relays.is_some();
    let mut violations: Vec<String> = phases.iter().filter_map(|phase| violation(phase, leased)).collect();
    violations.extend(record.unclean_exits.iter().cloned());
    SizeResult {
        gateways: size.gateways,
        real: size.real,
        resources: resources::estimate(scenario, size),
        started_seconds: timeline.started_seconds,
        phases,
        comparison: Comparison::between(&quiet.costs, &calm.costs),
        costs: vec![quiet, calm],
        bus_connections: record.bus.max_connections,
        unclean_exits: record.unclean_exits,
        violations,
    }
}

async fn run_size(
    scenario: &Scenario,
    size: &Size,
    programs: &Programs,
    report_progress: &mut impl FnMut(String),
) -> Result<SizeResult, ScaleError> {
    let folder = programs.folder.join(size.gateways.to_string());
    let mut fleet = Fleet::start(scenario, size, programs, folder).await?;
    let timeline = drive(&mut fleet, scenario, size, report_progress).await?;
    let hosted = fleet.layout.hosts.iter().map(ExactSizeIterator::len).sum();
    let record = fleet.end().await?;
    Ok(size_result(scenario, size, timeline, hosted, record))
}

/// Costs in the calm phase by size.
fn calm_costs(sizes: &[SizeResult]) -> Vec<(usize, Vec<Cost>)> {
    let calm = |size: &SizeResult| {
        let calm = size.costs.iter().find(|costs| costs.phase == CALM);
        (size.gateways, calm.map_or_else(Vec::new, |costs| costs.costs.clone()))
    };
    sizes.iter().map(calm).collect()
}

/// Runs all sizes. One that can't be run is reported, and the next one is run all the same.
pub async fn run(
    scenario: &Scenario,
    programs: &Programs,
    mut report_progress: impl FnMut(String),
) -> RunResult {
    let (mut sizes, mut failed_sizes) = (Vec::new(), Vec::new());
    for size in &scenario.sizes {
        match run_size(scenario, size, programs, &mut report_progress).await {
            Ok(result) => {
                report_progress(report::size(&result, &scenario.targets));
                sizes.push(result);
            }
            Err(error) => {
                report_progress(format!("{} gateways could not be run: {error}", size.gateways));
                failed_sizes.push(FailedSize(size.gateways, error.to_string()));
            }
        }
    }
    let growth = cost::growth(&calm_costs(&sizes));
    RunResult { seed: programs.seed, relays: scenario.relays, sizes, failed_sizes, growth }
}
