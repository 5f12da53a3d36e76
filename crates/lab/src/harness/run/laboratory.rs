//! Starts all parts of a run.

use super::fault_injector::FaultInjector;
use super::{Options, RunError, TRACE_FILE, micros};
use crate::arrival_counts::ArrivalCounts;
use crate::check::faults::Faults;
use crate::check::shared::OriginBudget;
use crate::check::{Checker, Rule, RuleContext, rules};
use crate::harness::context::RunContext;
use crate::harness::event_bus::EventBus;
use crate::harness::fleet::{Fleet, FleetPlan};
use crate::harness::network::LoopbackNetwork;
use crate::harness::recorder::Recording;
use crate::harness::relay::LinkRelay;
use crate::harness::store_servers::StoreServers;
use crate::participant::{ParticipantId, ParticipantKind};
use crate::scenario::Scenario;
use crate::schedule::Schedule;
use crate::settings;
use std::fs::File;
use std::io::{self, BufWriter};
use std::path::Path;
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// All parts of a run, started.
pub(super) struct Laboratory {
    pub(super) begin: Instant,
    pub(super) schedule: Schedule,
    pub(super) context: RunContext,
    pub(super) recording: Recording,
    pub(super) injector: FaultInjector,
    /// Stores that have failed under their load.
    pub(super) failed_stores: mpsc::UnboundedReceiver<ParticipantId>,
    /// When the load begins, from the run's begin. Times of the schedule count from it, those of the trace from the
    /// run's begin; it is known once all gateways are ready.
    pub(super) load_begin: Arc<OnceLock<Duration>>,
}

fn sockets(part: &'static str) -> impl Fn(io::Error) -> RunError {
    move |source| RunError::Sockets { part, source }
}

/// The checker of a run, with the rules of what the gateways share.
fn checker(scenario: &Scenario, faults: Faults) -> Checker {
    let context = RuleContext { faults, bounds: settings::bounds(scenario) };
    let mut rules = rules::all();
    let origin = scenario.roster.of(ParticipantKind::Origin).next();
    if let (Some(shared), Some(origin)) = (&scenario.shared, origin) {
        let origin_budget = OriginBudget::new(shared, origin, scenario.sites.len() as u64);
        rules.extend(origin_budget.map(|rule| Box::new(rule) as Box<dyn Rule + Send>));
    }
    Checker::with_rules(rules, context)
}

fn trace_file(folder: &Path) -> Result<BufWriter<File>, RunError> {
    let failed = |path: &Path| {
        let path = path.to_path_buf();
        move |source| RunError::File { path, source }
    };
    std::fs::create_dir_all(folder).map_err(failed(folder))?;
    let path = folder.join(TRACE_FILE);
    File::create(&path).map(BufWriter::new).map_err(failed(&path))
}

fn fleet_plan(scenario: &Scenario, options: Options) -> FleetPlan {
    let sites = scenario.sites.iter();
    FleetPlan {
        gateway: options.gateway,
        laboratory: options.laboratory,
        folder: options.folder,
        settings: sites.map(|site| (site.name.clone(), settings::settings(scenario, site))).collect(),
        shared: scenario.shared.clone(),
        system_faults: scenario.has_system_faults(),
        operator: scenario.has_operator(),
    }
}

impl Laboratory {
    /// Starts all parts, and waits until all gateways are ready.
    pub(super) async fn start(scenario: &Scenario, options: Options) -> Result<Laboratory, RunError> {
        let seed = options.seed;
        let trace = trace_file(&options.folder)?;
        let network = Arc::new(LoopbackNetwork::take().map_err(sockets("addresses"))?);
        let begin = Instant::now();
        let epoch = sagearch_clock::unix_micros();
        let schedule = Schedule::draw(scenario, seed);
        let bus_id = scenario.roster.of(ParticipantKind::Bus).next().ok_or(RunError::NoEventBus)?;
        let relay = LinkRelay::new(begin, seed);
        let load_begin = Arc::new(OnceLock::new());
        let checker = checker(scenario, Faults::new(&schedule, bus_id, load_begin.clone()));
        let arrival_counts = ArrivalCounts::new(micros(scenario.model.warm_up));
        let recording = Recording::begin(relay.clone(), checker, arrival_counts, trace);
        let recorder = recording.recorder.clone();
        let context = RunContext { network, relay, recorder, seed, epoch };

        let (failed, failed_stores) = mpsc::unbounded_channel();
        let specs = settings::store_specs(scenario);
        let stores = StoreServers::start(specs, scenario.load.size, &context, failed);
        let stores = stores.map_err(sockets("stores"))?;
        let bus = EventBus::start(bus_id, &scenario.roster, stores.clone(), &context);
        let bus = bus.map_err(sockets("the event bus"))?;
        let plan = fleet_plan(scenario, options);
        let mut fleet = Fleet::start(plan, &scenario.roster, bus.clone(), &context)?;
        fleet.ready().await?;
        let injector = FaultInjector::new(stores, bus, fleet, context.clone());
        Ok(Laboratory { begin, schedule, context, recording, injector, failed_stores, load_begin })
    }
}
