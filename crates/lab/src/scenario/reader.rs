//! Reads a scenario's text.

use super::fault_reader::FaultEntry;
use super::{Expect, HUB, Load, Model, Phase, Scenario, Site, shared};
use crate::participant::{ParticipantKind, Roster};
use crate::schema;
use sagearch_operators::item::Item;
use sagearch_operators::{Diagnostic, Diagnostics, Files, OneFile, check};
use std::time::Duration;

/// The most gateways and participants of a run: what addresses and descriptors are planned for.
const MAX_GATEWAYS: usize = 400;
const MAX_PARTICIPANTS: usize = 1_000;

fn percent(item: &Item, name: &str) -> Result<f64, Diagnostic> {
    Ok(item.number(name)? as f64 / 100.0)
}

fn optional_percent(item: &Item, name: &str) -> Result<Option<f64>, Diagnostic> {
    Ok(item.optional_number(name)?.map(|number| number as f64 / 100.0))
}

pub(super) fn span(item: &Item, name: &str) -> Result<Duration, Diagnostic> {
    Ok(Duration::from_millis(item.millis(name)?))
}

fn model(item: &Item) -> Result<Model, Diagnostic> {
    Ok(Model {
        slots: item.number("slots")? as usize,
        room: item.number("room")? as usize,
        service: span(item, "service")?,
        link: item.number("link")? as f64,
        copies: item.number("copies")? as usize,
        parent_slots: item.number("parent-slots")? as usize,
        origin_slots: item.number("origin-slots")? as usize,
        origin_service: span(item, "origin-service")?,
        origin_rate: item.number("origin-rate")? as f64,
        warm_up: span(item, "warm-up")?,
        cold_from: percent(item, "cold-from")?,
    })
}

fn load(item: &Item) -> Result<Load, Diagnostic> {
    let load = Load {
        rate: item.number("rate")? as f64,
        objects: item.number("objects")? as usize,
        skew: percent(item, "skew")?,
        once: percent(item, "once")?,
        parts: item.number("parts")? as usize,
        drift: span(item, "drift")?,
        writes: percent(item, "writes")?,
        payments: percent(item, "payments")?,
        size: item.number("size")? as usize * 1_000,
        patience: span(item, "patience")?,
        tries: item.number("tries")? as usize,
    };
    if load.once + load.writes + load.payments > 1.0 {
        return Err(item.diagnostic("once, writes and payments are over 100 percent together"));
    }
    Ok(load)
}

fn site(item: &Item) -> Result<Site, Diagnostic> {
    let site = Site {
        name: item.one_text()?,
        gateways: item.number("gateways")? as usize,
        stores: item.number("stores")? as usize,
        distance: span(item, "distance")?,
    };
    if site.name == HUB || site.name.contains(['/', '*', ',']) {
        return Err(item.diagnostic(format!("{:?} can't name a site", site.name)));
    }
    Ok(site)
}

/// The sites, and the number of parents.
struct Fleet {
    sites: Vec<Site>,
    parents: usize,
}

fn fleet(item: &Item) -> Result<Fleet, Diagnostic> {
    let mut sites = Vec::<Site>::new();
    for child in item.children() {
        let site = site(child)?;
        if sites.iter().any(|other| other.name == site.name) {
            return Err(child.diagnostic(format!("site {:?} stands twice", site.name)));
        }
        sites.push(site);
    }
    Ok(Fleet { sites, parents: item.number("parents")? as usize })
}

/// All participants of a fleet.
fn roster(item: &Item, fleet: &Fleet) -> Result<Roster, Diagnostic> {
    let mut roster = Roster::default();
    roster.add(ParticipantKind::Bus, HUB);
    roster.add(ParticipantKind::Origin, HUB);
    for _ in 0..fleet.parents {
        roster.add(ParticipantKind::Parent, HUB);
    }
    for site in &fleet.sites {
        for _ in 0..site.gateways {
            roster.add(ParticipantKind::Gateway, &site.name);
        }
        for _ in 0..site.stores {
            roster.add(ParticipantKind::Store, &site.name);
        }
        if site.gateways > 0 {
            roster.add(ParticipantKind::Clients, &site.name);
        }
    }
    let gateways = roster.of(ParticipantKind::Gateway).count();
    if gateways == 0 || gateways > MAX_GATEWAYS {
        return Err(item.diagnostic(format!("{gateways} gateways: from 1 to {MAX_GATEWAYS} can be started")));
    }
    if roster.len() > MAX_PARTICIPANTS {
        let participants = roster.len();
        return Err(
            item.diagnostic(format!("{participants} participants: at most {MAX_PARTICIPANTS} can take part"))
        );
    }
    Ok(roster)
}

fn expect(item: &Item) -> Result<Expect, Diagnostic> {
    Ok(Expect {
        served: optional_percent(item, "served")?,
        failed: optional_percent(item, "failed")?,
        within: item.optional_millis("within")?.map(Duration::from_millis),
    })
}

/// Reads a phase; what is wrong with its faults is kept, so that all of it is told.
fn phase(item: &Item, roster: &Roster, diagnostics: &mut Diagnostics) -> Result<Phase, Diagnostic> {
    let (name, lasts) = (item.one_text()?, span(item, "for")?);
    let mut phase = Phase { name, lasts, faults: Vec::new(), expect: Expect::default() };
    for child in item.children() {
        if child.name() == "expect" {
            phase.expect = expect(child)?;
        } else {
            phase.faults.extend(diagnostics.record(FaultEntry { item: child, roster }.spec(phase.lasts)));
        }
    }
    Ok(phase)
}

/// A `model` that says nothing: all its defaults.
fn default_model() -> Item {
    let text = OneFile { name: "defaults", text: "model" };
    let read = check::read("defaults", &text, &schema::SCENARIO);
    read.ok()
        .and_then(|mut items| items.pop())
        .expect("the schema has a model whose properties all have defaults")
}

/// Reads a scenario and what it includes.
///
/// # Errors
///
/// All diagnostics of the text, each with its place.
pub fn read(name: &str, files: &dyn Files) -> Result<Scenario, Diagnostics> {
    let items = check::read(name, files, &schema::SCENARIO)?;
    let mut diagnostics = Diagnostics::default();
    let lacks =
        |what: &str| Diagnostics::from(Diagnostic::unreadable(name, format!("the scenario has no {what}")));
    let find = |what: &str| items.iter().find(|item| item.name() == what);
    let fleet_item = find("fleet").ok_or_else(|| lacks("fleet"))?;
    let fleet = fleet(fleet_item)?;
    let roster = roster(fleet_item, &fleet)?;
    let load = load(find("load").ok_or_else(|| lacks("load"))?)?;
    let model = match find("model") {
        Some(item) => model(item)?,
        None => model(&default_model())?,
    };
    let shared = find("shared").map(shared::read).transpose()?;
    let mut phases = Vec::new();
    for item in items.iter().filter(|item| item.name() == "phase") {
        let read = phase(item, &roster, &mut diagnostics);
        phases.extend(diagnostics.record(read));
    }
    if phases.is_empty() && diagnostics.is_empty() {
        return Err(lacks("phase"));
    }
    let Fleet { sites, parents } = fleet;
    diagnostics.into_result(Scenario { shared, sites, parents, roster, model, load, phases })
}
