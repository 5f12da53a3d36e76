//! Scenarios of the scale run: their types, and how they are read. Each file is in the operators' language.

use super::schema;
use sagearch_operators::item::Item;
use sagearch_operators::value::Value;
use sagearch_operators::{Diagnostic, Diagnostics, Files, OneFile, check};
use std::time::Duration;

const SECONDS_PER_MINUTE: f64 = 60.0;
const PERCENT: f64 = 100.0;
const THOUSANDTHS: f64 = 1_000.0;

/// What a fleet consists of, without its gateways.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetShape {
    /// Regions, over which sites are spread.
    pub regions: usize,
    /// Zones, over which sites are spread.
    pub zones: usize,
    /// Sites, over which gateways are spread.
    pub sites: usize,
    /// Stores of the list.
    pub stores: usize,
}

/// The events that the bus issues.
#[derive(Clone, Debug, PartialEq)]
pub struct Changes {
    /// The rate of purges.
    pub purges_per_second: f64,
    /// The rate of changes of the list of stores.
    pub list_changes_per_second: f64,
    /// The share of purges that are of a group of objects.
    pub group_share: f64,
    /// Whether the times between events are exponentially distributed instead of equal.
    pub poisson: bool,
}

/// What a fleet must keep to.
#[derive(Clone, Debug, PartialEq)]
pub struct Targets {
    /// From the issue of a purge until all gateways have applied it.
    pub purge_latency: Duration,
    /// The share of a core that a gateway may use.
    pub core: f64,
    /// The memory that a gateway may use.
    pub memory_mb: f64,
    /// The traffic of a gateway in KB a second, both ways.
    pub traffic_kb: f64,
}

/// A size of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Size {
    /// How many gateways there are.
    pub gateways: usize,
    /// How many of them are real processes.
    pub real: usize,
    /// The length of the phase without faults.
    pub calm: Duration,
    /// Whether the scenario's faults are injected after it.
    pub faults: bool,
}

/// What a fault does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// One host of gateways is killed and started again at once.
    Restart,
    /// One host of gateways is stopped (SIGSTOP) and continued.
    Stop,
    /// A region can neither send nor receive.
    Cut,
    /// A region can send and receives nothing.
    OneWay,
    /// A relay is killed, and started again at the end.
    Relay,
}

impl FaultKind {
    const ALL: [FaultKind; 5] =
        [FaultKind::Restart, FaultKind::Stop, FaultKind::Cut, FaultKind::OneWay, FaultKind::Relay];

    fn named(name: &str) -> Option<FaultKind> {
        FaultKind::ALL.into_iter().find(|kind| kind.name() == name)
    }

    /// The name in a scenario.
    pub fn name(self) -> &'static str {
        match self {
            FaultKind::Restart => "restart",
            FaultKind::Stop => "stop",
            FaultKind::Cut => "cut",
            FaultKind::OneWay => "one-way",
            FaultKind::Relay => "relay",
        }
    }
}

/// A fault that is to be injected.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    /// What it does.
    pub kind: FaultKind,
    /// From its begin to its end.
    pub duration: Duration,
    /// From its end to the next fault.
    pub settle: Duration,
}

/// A whole scenario.
#[derive(Clone, Debug, PartialEq)]
pub struct Scenario {
    /// What all sizes of the fleet have in common.
    pub fleet: FleetShape,
    /// The events that the bus issues.
    pub changes: Changes,
    /// What the fleet must keep to.
    pub targets: Targets,
    /// How many relays there are. `None`: gateways poll the event bus themselves.
    pub relays: Option<usize>,
    /// The sizes that are run, one after the other.
    pub sizes: Vec<Size>,
    /// The faults that are injected at each size, one after the other.
    pub faults: Vec<PlannedFault>,
}

impl Scenario {
    /// Faults that are injected at a size. A relay can only fail where there are some.
    pub fn faults_at(&self, size: &Size) -> Vec<PlannedFault> {
        let is_possible = |fault: &&PlannedFault| fault.kind != FaultKind::Relay || self.relays.is_some();
        if size.faults { self.faults.iter().filter(is_possible).cloned().collect() } else { Vec::new() }
    }
}

fn duration(item: &Item, name: &str) -> Result<Duration, Diagnostic> {
    Ok(Duration::from_millis(item.millis(name)?))
}

fn fleet(item: &Item) -> Result<FleetShape, Diagnostic> {
    Ok(FleetShape {
        regions: item.number("regions")? as usize,
        zones: item.number("zones")? as usize,
        sites: item.number("sites")? as usize,
        stores: item.number("stores")? as usize,
    })
}

fn changes(item: &Item) -> Result<Changes, Diagnostic> {
    Ok(Changes {
        purges_per_second: item.number("purges")? as f64,
        list_changes_per_second: item.number("lists")? as f64 / SECONDS_PER_MINUTE,
        group_share: item.number("groups")? as f64 / PERCENT,
        poisson: item.text("spacing")? == "poisson",
    })
}

fn targets(item: &Item) -> Result<Targets, Diagnostic> {
    Ok(Targets {
        purge_latency: duration(item, "within")?,
        core: item.number("core")? as f64 / THOUSANDTHS,
        memory_mb: item.number("memory")? as f64,
        traffic_kb: item.number("traffic")? as f64,
    })
}

fn size(item: &Item) -> Result<Size, Diagnostic> {
    let gateways = match &item.values()?[..] {
        [Value::Number(gateways)] => *gateways as usize,
        _ => return Err(item.unknown()),
    };
    let real = item.number("real")? as usize;
    if real >= gateways {
        return Err(item.diagnostic_at("real", format!("{real} of {gateways}: some must be hollow")));
    }
    Ok(Size { gateways, real, calm: duration(item, "calm")?, faults: item.flag("faults")? })
}

fn fault(item: &Item) -> Result<PlannedFault, Diagnostic> {
    let kind = FaultKind::named(&item.one_text()?).ok_or_else(|| item.unknown())?;
    Ok(PlannedFault { kind, duration: duration(item, "for")?, settle: duration(item, "settle")? })
}

/// The node of a name, or an empty one, which has all defaults.
fn or_defaults<T>(
    items: &[Item],
    name: &'static str,
    read: impl Fn(&Item) -> Result<T, Diagnostic>,
) -> Result<T, Diagnostics> {
    if let Some(item) = items.iter().find(|item| item.name() == name) {
        return Ok(read(item)?);
    }
    let bare = check::read("defaults", &OneFile { name: "defaults", text: name }, &schema::SCENARIO)?;
    match bare.first() {
        Some(item) => Ok(read(item)?),
        None => Err(Diagnostic::unreadable("defaults", format!("{name} has no defaults")).into()),
    }
}

/// Reads a scenario and what it includes.
///
/// # Errors
///
/// All diagnostics of the files, with their places.
pub fn read(name: &str, files: &dyn Files) -> Result<Scenario, Diagnostics> {
    let items = check::read(name, files, &schema::SCENARIO)?;
    let named = |name: &'static str| items.iter().filter(move |item| item.name() == name);
    let relays = match named("feed").next() {
        Some(feed) => Some(feed.number("relays")? as usize),
        None => None,
    };
    let sizes = named("size").map(size).collect::<Result<Vec<_>, _>>()?;
    if sizes.is_empty() {
        return Err(Diagnostic::unreadable(name, "the scenario has no size").into());
    }
    Ok(Scenario {
        fleet: or_defaults(&items, "fleet", fleet)?,
        changes: or_defaults(&items, "changes", changes)?,
        targets: or_defaults(&items, "need", targets)?,
        relays,
        sizes,
        faults: named("fault").map(fault).collect::<Result<Vec<_>, _>>()?,
    })
}

#[cfg(test)]
mod tests;
