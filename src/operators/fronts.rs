//! The name front, and the group that agrees on its routes, in the operators' file.

use super::kdl::{Fault, Node, Text};
use crate::settings::Names;
use ipnet::IpNet;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;

/// How long a resolver waits, where the file does not say; and what it may say.
const DEADLINE_MS: u64 = 1_000;
const DEADLINES: (u64, u64) = (10, 60_000);
const MOST_SOURCES: usize = 10_000;

/// The name front.
#[derive(Clone, Debug, PartialEq)]
pub struct Dns {
    pub listen: SocketAddr,
    /// The suffix under which names are answered, in lower case, without dots at its ends.
    pub domain: String,
    pub routes: Routes,
}

/// What may change while the name front runs: whom it answers, and how long it may take.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Routes {
    pub deadline_ms: u64,
    pub sources: Vec<Source>,
}

/// Resolvers of an address or a network, and where they stand.
#[derive(Clone, Debug, PartialEq)]
pub struct Source {
    pub net: IpNet,
    pub zone: String,
    /// These keep answers longer than told: they get the gateway's own address.
    pub ignores_lifetimes: bool,
}

impl Source {
    pub fn holds(&self, from: IpAddr) -> bool {
        self.net.contains(&from)
    }
}

/// This instance's place in the group that agrees on the name front's routes.
#[derive(Clone, Debug, PartialEq)]
pub struct Raft {
    pub id: u64,
    pub listen: SocketAddr,
    /// The others.
    pub peers: BTreeMap<u64, SocketAddr>,
    /// Where votes and entries are kept; it must outlive restarts.
    pub data: PathBuf,
}

fn source(node: &Node, names: &Names) -> Result<Source, Fault> {
    let zone = node.required("zone")?;
    if !names.zones.contains_key(zone.text()?) {
        return Err(zone.fault(format!("zone {:?} is not in the settings", zone.text()?)));
    }
    let read = Source {
        net: node.argument()?.network()?,
        zone: zone.string()?,
        ignores_lifetimes: node.or("ignores-lifetimes", false, |value| value.flag())?,
    };
    node.leaf()?;
    Ok(read)
}

fn sources(nodes: &[Node], names: &Names) -> Result<Vec<Source>, Fault> {
    if let Some(beyond) = nodes.get(MOST_SOURCES) {
        return Err(beyond.fault(format!("over {MOST_SOURCES} sources")));
    }
    nodes
        .iter()
        .map(|node| if node.name() == "source" { source(node, names) } else { Err(node.unknown()) })
        .collect()
}

/// `dns listen="127.0.0.1:5353" domain="svc.example" deadline="1s" { source ... }`
pub(super) fn dns(node: &Node, names: &Names) -> Result<Dns, Fault> {
    let listen = node.required("listen")?;
    if !names.connections.probes {
        return Err(listen.fault("the settings allow no probes, and look-ups check by them"));
    }
    let domain = node.required("domain")?;
    let bare = domain.text()?.trim_matches('.').to_ascii_lowercase();
    if bare.is_empty() {
        return Err(domain.fault("domain is empty"));
    }
    let deadline_ms = node.or("deadline", DEADLINE_MS, |value| value.span(DEADLINES.0, DEADLINES.1))?;
    let routes = Routes { deadline_ms, sources: sources(&node.children(), names)? };
    let read = Dns { listen: listen.loopback()?, domain: bare, routes };
    node.done()?;
    Ok(read)
}

/// What instances agree on: `deadline "1s"` and `source`s, as in the name front's part of the file.
pub fn routes(file: &str, text: &str, names: &Names) -> Result<Routes, Fault> {
    let text = Text { file, text };
    let document = text.parse()?;
    let (deadlines, others): (Vec<Node>, Vec<Node>) =
        text.nodes(&document).into_iter().partition(|node| node.name() == "deadline");
    let mut deadline_ms = DEADLINE_MS;
    for node in &deadlines {
        deadline_ms = node.argument()?.span(DEADLINES.0, DEADLINES.1)?;
        node.leaf()?;
    }
    Ok(Routes { deadline_ms, sources: sources(&others, names)? })
}

/// `group id=1 listen="127.0.0.1:7001" data="/var/lib/sagearch" { peer 2 "127.0.0.1:7002" }`
pub(super) fn group(node: &Node) -> Result<Raft, Fault> {
    let id = node.required("id")?.number(1, u64::MAX)?;
    let listen = node.required("listen")?.loopback()?;
    let data = node.required("data")?.path()?;
    let mut peers = BTreeMap::new();
    for peer in node.children() {
        if peer.name() != "peer" {
            return Err(peer.unknown());
        }
        let [number, at] = &peer.arguments()[..] else {
            return Err(peer.fault("a peer has an id and an address"));
        };
        let number_read = number.number(1, u64::MAX)?;
        if number_read == id || peers.insert(number_read, at.loopback()?).is_some() {
            return Err(number.fault(format!("{number_read} is this instance's own id, or stands twice")));
        }
        peer.leaf()?;
    }
    if peers.is_empty() {
        return Err(node.fault("the group has no peers"));
    }
    node.done()?;
    Ok(Raft { id, listen, peers, data })
}
