//! The file of a relay of the event feed, as types.

use crate::diagnostic::{Diagnostic, Diagnostics};
use crate::files::Files;
use crate::item::Item;
use crate::value::Value;
use sagearch_identity::Millis;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The longest name of a relay, as the feed bounds names of subscribers.
const MAX_NAME_BYTES: usize = 128;
/// Upstreams of one relay.
const MAX_UPSTREAMS: usize = 16;
/// Peers of one relay.
const MAX_PEERS: usize = 32;

/// Another relay, with which reports are exchanged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: String,
    /// Where it is reached.
    pub address: SocketAddr,
}

/// A relay, as its file states it. Fields have the names of the file's properties.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayFile {
    /// Its name.
    pub name: String,
    /// Where gateways, relays and operators connect.
    pub listen: SocketAddr,
    /// In order of preference.
    pub upstreams: Vec<SocketAddr>,
    /// Relays whose subscribers count for what is done everywhere.
    pub peers: Vec<Peer>,
    /// Threads that serve connections.
    pub workers: usize,
    /// How long a purge may wait for others.
    pub batch: Millis,
    /// How long an upstream may hold a poll.
    pub hold: Millis,
    /// The freshness lease of subscribers.
    pub lease: Millis,
    /// By how much a clock may run fast or slow, in thousandths.
    pub drift: u32,
    /// How long a snapshot tells a purge.
    pub keep_purges: Millis,
    /// Purges that a snapshot tells one by one.
    pub purge_room: usize,
    /// Events that are kept for who is behind.
    pub log_room: usize,
    /// Connections in all.
    pub sessions: usize,
    /// Connections of one address.
    pub per_address: usize,
    /// After which a silent subscriber is forgotten.
    pub forget_after: Millis,
}

/// Reads a relay's file.
///
/// # Errors
///
/// All findings, if there are any.
pub fn relay(name: &str, files: &dyn Files) -> Result<RelayFile, Diagnostics> {
    let items = crate::check::read(name, files, &crate::schema::RELAY_FILE)?;
    let item = items.first().ok_or_else(|| Diagnostic::unreadable(name, "states no relay"))?;
    Ok(relay_of(item)?)
}

fn relay_of(item: &Item) -> Result<RelayFile, Diagnostic> {
    let listen = item.address("listen")?;
    let (lease, hold) = (item.millis("lease")?, item.millis("hold")?);
    if hold * 2 >= lease {
        return Err(item.diagnostic_at("hold", "hold is not less than half of lease, so no lease would last"));
    }
    Ok(RelayFile {
        name: checked_name(item, item.one_text()?)?,
        listen,
        upstreams: upstreams(item, listen)?,
        peers: peers(item)?,
        workers: item.number("workers")? as usize,
        batch: item.millis("batch")?,
        hold,
        lease,
        drift: item.number("drift")? as u32,
        keep_purges: item.millis("keep-purges")?,
        purge_room: item.number("purge-room")? as usize,
        log_room: item.number("log-room")? as usize,
        sessions: item.number("sessions")? as usize,
        per_address: item.number("per-address")? as usize,
        forget_after: item.millis("forget-after")?,
    })
}

/// A name travels in a query and in a header, so its characters are bounded.
fn checked_name(item: &Item, name: String) -> Result<String, Diagnostic> {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    if name.len() > MAX_NAME_BYTES || !name.bytes().all(allowed) {
        let cause =
            format!("{name:?} is no name: at most {MAX_NAME_BYTES} of a-z, A-Z, 0-9, \".\", \"_\", \"-\"");
        return Err(item.diagnostic(cause));
    }
    Ok(name)
}

fn upstreams(item: &Item, listen: SocketAddr) -> Result<Vec<SocketAddr>, Diagnostic> {
    let mut upstreams = Vec::new();
    for child in item.children_named("upstream") {
        let [Value::Address(address)] = child.values()?[..] else { return Err(child.unknown()) };
        if address == listen {
            return Err(child.diagnostic("a relay can't be its own upstream"));
        }
        if upstreams.contains(&address) {
            return Err(child.diagnostic(format!("upstream {address} stands twice")));
        }
        upstreams.push(address);
    }
    match upstreams.len() {
        0 => Err(item.diagnostic("relay names no upstream")),
        1..=MAX_UPSTREAMS => Ok(upstreams),
        _ => Err(item.diagnostic(format!("relay names over {MAX_UPSTREAMS} upstreams"))),
    }
}

fn peers(item: &Item) -> Result<Vec<Peer>, Diagnostic> {
    let mut names = BTreeSet::from([item.one_text()?]);
    let mut peers = Vec::new();
    for child in item.children_named("peer") {
        let [Value::Text(name), Value::Address(address)] = &child.values()?[..] else {
            return Err(child.unknown());
        };
        let name = checked_name(child, name.clone())?;
        if !names.insert(name.clone()) {
            return Err(child.diagnostic(format!("relay {name:?} stands twice")));
        }
        peers.push(Peer { name, address: *address });
    }
    if peers.len() > MAX_PEERS {
        return Err(item.diagnostic(format!("relay names over {MAX_PEERS} peers")));
    }
    Ok(peers)
}
