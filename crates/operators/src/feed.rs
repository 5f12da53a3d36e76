//! The relays from which a gateway hears the bus's events, and how long it trusts what it has heard.

use crate::diagnostic::{Diagnostic, Diagnostics};
use crate::item::Item;
use crate::value::{Value, format_span};
use sagearch_identity::Millis;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Relays that one gateway may name.
const MAX_RELAYS: usize = 64;
/// The longest name of a relay, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// What a lease must leave beside two held polls: time on the network, and relays' own polls.
const LEASE_MARGIN: Millis = 400;

/// The relays of a gateway, and the terms of its freshness lease.
#[derive(Clone, Debug, PartialEq)]
pub struct Feed {
    /// In order of preference.
    pub relays: Vec<Relay>,
    /// So many of the first are asked in order, before the rest in an order of the gateway's own.
    pub preferred: usize,
    /// How long the gateway trusts what it has heard.
    pub lease: Millis,
    /// How long a relay holds a poll that nothing is new for.
    pub hold: Millis,
    /// By how much a clock may run fast or slow, in thousandths.
    pub drift: u32,
    /// Revalidations a second while the lease is over.
    pub revalidate: u32,
}

/// A relay of the event feed.
#[derive(Clone, Debug, PartialEq)]
pub struct Relay {
    /// Its name.
    pub name: String,
    /// Where it is reached.
    pub address: SocketAddr,
}

fn relay(item: &Item) -> Result<Relay, Diagnostic> {
    let [Value::Text(name), Value::Address(address)] = &item.values()?[..] else {
        return Err(item.unknown());
    };
    if name.len() > MAX_NAME_BYTES {
        return Err(item.diagnostic(format!("a relay's name has at most {MAX_NAME_BYTES} bytes")));
    }
    Ok(Relay { name: name.clone(), address: *address })
}

fn relays(item: &Item, diagnostics: &mut Diagnostics) -> Vec<Relay> {
    let mut relays = Vec::new();
    let mut names = BTreeSet::new();
    let mut addresses = BTreeSet::new();
    for child in item.children() {
        let Some(read) = diagnostics.record(relay(child)) else { continue };
        if !names.insert(read.name.clone()) || !addresses.insert(read.address) {
            diagnostics.push(child.diagnostic(format!("relay {:?} or its address stands twice", read.name)));
        }
        relays.push(read);
    }
    relays
}

pub(crate) fn feed(item: &Item, diagnostics: &mut Diagnostics) -> Result<Feed, Diagnostic> {
    let relays = relays(item, diagnostics);
    // One that could not be read is not reported as missing as well.
    if item.children().is_empty() || relays.len() > MAX_RELAYS {
        let cause = format!("{} relays: from 1 to {MAX_RELAYS} can be asked", relays.len());
        return Err(item.diagnostic(cause));
    }
    let lease = item.millis("lease")?;
    let hold = item.millis("hold")?;
    let min_lease = 2 * hold + LEASE_MARGIN;
    if lease < min_lease {
        let property = if item.has_property("hold") { "hold" } else { "lease" };
        let [hold, min_lease, lease] = [hold, min_lease, lease].map(format_span);
        let cause = format!("a hold of {hold} needs a lease of {min_lease} at least, and it is {lease}");
        return Err(item.diagnostic_at(property, cause));
    }
    Ok(Feed {
        relays,
        preferred: item.number("preferred")? as usize,
        lease,
        hold,
        drift: item.number("drift")? as u32,
        revalidate: item.number("revalidate")? as u32,
    })
}

#[cfg(test)]
mod tests;
