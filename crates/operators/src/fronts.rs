//! The name front, and the group that agrees on its routes.

use crate::check;
use crate::deployment::DeploymentContext;
use crate::diagnostic::{Diagnostic, Diagnostics};
use crate::files::OneFile;
use crate::item::Item;
use crate::schema;
use crate::value::Value;
use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

/// How long a look-up may take where nothing else was agreed on.
const DEFAULT_DEADLINE_MS: u64 = 1_000;
/// Sources of one list.
const MAX_SOURCES: usize = 10_000;

/// The name front.
#[derive(Clone, Debug, PartialEq)]
pub struct Dns {
    /// UDP and TCP.
    pub listen: SocketAddr,
    /// The suffix under which names are answered, in lower case, without dots at its ends.
    pub domain: String,
    /// Whom it answers.
    pub routes: Routes,
}

/// What may change while the name front runs: whom it answers, and how long it may take.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Routes {
    /// How long a look-up may take.
    pub deadline_ms: u64,
    /// The first that fits counts.
    pub sources: Vec<Source>,
}

/// Resolvers of an address or a network, and where they stand.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Source {
    /// The resolvers' network.
    pub net: IpNet,
    /// Where they stand.
    pub zone: String,
    /// These cache answers beyond their lifetime: they get the gateway's own address.
    pub ignores_lifetimes: bool,
}

impl Source {
    /// Whether an address is one of them.
    pub fn contains(&self, address: IpAddr) -> bool {
        self.net.contains(&address)
    }
}

/// This instance's place in the group that agrees on the name front's routes.
#[derive(Clone, Debug, PartialEq)]
pub struct Raft {
    /// Its own number.
    pub id: u64,
    /// Where the others reach it.
    pub listen: SocketAddr,
    /// The others.
    pub peers: BTreeMap<u64, SocketAddr>,
    /// Where votes and entries are kept; it must outlive restarts.
    pub data: PathBuf,
}

fn source(item: &Item, deployment: &dyn DeploymentContext) -> Result<Source, Diagnostic> {
    let zone = item.text("zone")?;
    if !deployment.has_zone(&zone) {
        return Err(item.diagnostic_at("zone", format!("zone {zone:?} is not in the settings")));
    }
    let net = item.networks()?.pop().ok_or_else(|| item.unknown())?;
    Ok(Source { net, zone, ignores_lifetimes: item.flag("ignores-lifetimes")? })
}

fn sources(items: &[Item], deployment: &dyn DeploymentContext, diagnostics: &mut Diagnostics) -> Vec<Source> {
    let sources = || items.iter().filter(|item| item.name() == "source");
    if let Some(beyond) = sources().nth(MAX_SOURCES) {
        diagnostics.push(beyond.diagnostic(format!("over {MAX_SOURCES} sources")));
    }
    sources().take(MAX_SOURCES).filter_map(|item| diagnostics.record(source(item, deployment))).collect()
}

pub(crate) fn dns(
    item: &Item,
    deployment: &dyn DeploymentContext,
    diagnostics: &mut Diagnostics,
) -> Result<Dns, Diagnostic> {
    if !deployment.allows_probes() {
        let cause = "the settings allow no probes, and look-ups check by them";
        return Err(item.diagnostic_at("listen", cause));
    }
    let domain = item.text("domain")?.trim_matches('.').to_ascii_lowercase();
    if domain.is_empty() {
        return Err(item.diagnostic_at("domain", "domain is empty"));
    }
    Ok(Dns { listen: item.address("listen")?, domain, routes: routes(item, deployment, diagnostics)? })
}

pub(crate) fn routes(
    item: &Item,
    deployment: &dyn DeploymentContext,
    diagnostics: &mut Diagnostics,
) -> Result<Routes, Diagnostic> {
    let sources = sources(item.children(), deployment, diagnostics);
    Ok(Routes { deadline_ms: item.millis("deadline")?, sources })
}

/// Reads what instances agree on: `deadline "1s"` and `source`s.
///
/// # Errors
///
/// All findings, if there are any.
pub fn parse_agreed(
    name: &str,
    text: &str,
    deployment: &dyn DeploymentContext,
) -> Result<Routes, Diagnostics> {
    let items = check::read(name, &OneFile { name, text }, &schema::AGREED)?;
    let mut diagnostics = Diagnostics::default();
    let mut deadline_ms = None;
    for item in items.iter().filter(|item| item.name() == "deadline") {
        if let Some(values) = diagnostics.record(item.values())
            && let [Value::Millis(millis)] = values[..]
        {
            deadline_ms = Some(millis);
        }
    }
    let sources = sources(&items, deployment, &mut diagnostics);
    diagnostics.into_result(Routes { deadline_ms: deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS), sources })
}

pub(crate) fn group(item: &Item) -> Result<Raft, Diagnostic> {
    let id = item.number("id")?;
    let listen = item.address("listen")?;
    let data = item.path("data")?;
    let mut peers = BTreeMap::new();
    for peer in item.children() {
        let [Value::Number(number), Value::Address(address)] = peer.values()?[..] else {
            return Err(peer.unknown());
        };
        if number == id || peers.insert(number, address).is_some() {
            return Err(peer.diagnostic(format!("{number} is this instance's own id, or stands twice")));
        }
    }
    if peers.is_empty() {
        return Err(item.diagnostic("the group has no peers"));
    }
    Ok(Raft { id, listen, peers, data })
}
