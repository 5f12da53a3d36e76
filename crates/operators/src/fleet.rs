//! What gateways share with one another, and who they are.

use crate::diagnostic::{Diagnostic, Diagnostics};
use crate::item::Item;
use crate::value::Value;
use sagearch_identity::Millis;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Gateways that one fleet may list: what datagrams, tables and rates are planned for.
const MAX_MEMBERS: usize = 4_096;
/// Regions that one fleet may list.
const MAX_REGIONS: usize = 32;
/// Lists of voters of one region: the old and the new one.
const MAX_VOTER_LISTS: usize = 2;
/// The overdraft must cover so many times the drift of a clock.
const OVERDRAFT_DRIFTS: u64 = 8;
const THOUSANDTHS_PER_PERCENT: u64 = 10;

/// The gateways that share state, and the terms on which they do.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Datagrams of a fleet of another name are dropped.
    pub name: String,
    /// Parts of shared state, each with a lease of its own.
    pub slices: u16,
    /// How long a lease holder may act on what a majority granted.
    pub lease: Millis,
    /// After which a region that is not heard has no claim.
    pub claim: Millis,
    /// By how much a clock may run fast or slow, in thousandths.
    pub drift: u32,
    /// Threads of the pool.
    pub workers: usize,
    /// Datagrams a second that a gateway sends at most.
    pub rate: u32,
    /// Its regions, in the order of the file.
    pub regions: Vec<Region>,
    /// What the gateways spend together.
    pub budgets: Vec<Budget>,
}

/// Gateways that share what they know closely: those of a location.
#[derive(Clone, Debug, PartialEq)]
pub struct Region {
    /// Its name.
    pub name: String,
    /// Its gateways, in the order of the file.
    pub members: Vec<Member>,
    /// Members whose majority counts: one list, or the old and the new one.
    pub voters: Vec<BTreeSet<u16>>,
}

/// A gateway. Members have numbers in the order in which the file lists them.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its number in the fleet.
    pub number: u16,
    /// The name in its configuration.
    pub name: String,
    /// Where its datagrams come from and go to.
    pub address: SocketAddr,
}

/// A member with the place of its region in [`Fleet::regions`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RegionMember<'a> {
    /// The region's place.
    pub region: usize,
    /// The member.
    pub member: &'a Member,
}

/// What gateways spend together in a window.
#[derive(Clone, Debug, PartialEq)]
pub struct Budget {
    /// Its name.
    pub name: String,
    /// What all may spend in a window.
    pub amount: u64,
    /// The window.
    pub window: Millis,
    /// By how much the amount may be passed, in percent of it.
    pub overdraft: u64,
    /// The reserves of all gateways together, in percent of the amount.
    pub floors: u64,
    /// Whether it is one of all regions, and not one of each.
    pub federated: bool,
}

impl Fleet {
    /// All members, in the order of their numbers.
    pub fn members(&self) -> impl Iterator<Item = RegionMember<'_>> {
        let regions = self.regions.iter().enumerate();
        regions.flat_map(|(region, stated)| {
            stated.members.iter().map(move |member| RegionMember { region, member })
        })
    }
}

pub(crate) fn fleet(item: &Item, diagnostics: &mut Diagnostics) -> Result<Fleet, Diagnostic> {
    let drift = item.number("drift")?;
    let regions = regions(item, diagnostics);
    // What could not be read is not reported as missing as well.
    let is_complete = regions.len() == item.children_named("region").count();
    let budgets = budgets(item, drift, diagnostics);
    check_members(item, &regions, diagnostics);
    check_size(item, &regions, is_complete)?;
    Ok(Fleet {
        name: item.one_text()?,
        slices: item.number("slices")? as u16,
        lease: item.millis("lease")?,
        claim: item.millis("claim")?,
        drift: drift as u32,
        workers: item.number("workers")? as usize,
        rate: item.number("rate")? as u32,
        regions,
        budgets,
    })
}

fn regions(item: &Item, diagnostics: &mut Diagnostics) -> Vec<Region> {
    let mut regions: Vec<Region> = Vec::new();
    let mut next_number = 0;
    for child in item.children_named("region") {
        let Some(read) = diagnostics.record(region(child, &mut next_number)) else { continue };
        if regions.iter().any(|region| region.name == read.name) {
            diagnostics.push(child.diagnostic(format!("region {:?} stands twice", read.name)));
        }
        regions.push(read);
    }
    regions
}

fn budgets(item: &Item, drift: u64, diagnostics: &mut Diagnostics) -> Vec<Budget> {
    let mut budgets: Vec<Budget> = Vec::new();
    for child in item.children_named("budget") {
        let Some(read) = diagnostics.record(budget(child, drift)) else { continue };
        if budgets.iter().any(|budget| budget.name == read.name) {
            diagnostics.push(child.diagnostic(format!("budget {:?} stands twice", read.name)));
        }
        budgets.push(read);
    }
    budgets
}

fn check_members(item: &Item, regions: &[Region], diagnostics: &mut Diagnostics) {
    let mut names = BTreeSet::new();
    let mut addresses = BTreeSet::new();
    for member in regions.iter().flat_map(|region| &region.members) {
        if !names.insert(&member.name) || !addresses.insert(member.address) {
            let cause = format!("member {:?} or its address stands twice", member.name);
            diagnostics.push(item.diagnostic(cause));
        }
    }
}

/// `is_complete`: no region was left out, as one that could not be read.
fn check_size(item: &Item, regions: &[Region], is_complete: bool) -> Result<(), Diagnostic> {
    let names: BTreeSet<&str> =
        regions.iter().flat_map(|region| &region.members).map(|member| member.name.as_str()).collect();
    let is_empty = names.is_empty() && is_complete;
    if !is_empty && names.len() <= MAX_MEMBERS && regions.len() <= MAX_REGIONS {
        return Ok(());
    }
    let cause = format!(
        "{} members in {} regions: from 1 to {MAX_MEMBERS} in at most {MAX_REGIONS} can be a fleet",
        names.len(),
        regions.len()
    );
    Err(item.diagnostic(cause))
}

fn region(item: &Item, next_number: &mut u16) -> Result<Region, Diagnostic> {
    let name = item.one_text()?;
    let members = members(item, next_number)?;
    if members.is_empty() {
        return Err(item.diagnostic(format!("region {name:?} has no members")));
    }
    let voters = voters(item, &name, &members)?;
    Ok(Region { name, members, voters })
}

fn members(item: &Item, next_number: &mut u16) -> Result<Vec<Member>, Diagnostic> {
    let mut members = Vec::new();
    for child in item.children_named("member") {
        let [Value::Text(name), Value::Address(address)] = &child.values()?[..] else {
            return Err(child.unknown());
        };
        members.push(Member { number: *next_number, name: name.clone(), address: *address });
        // A fleet with so many members is turned down by its size.
        *next_number = next_number.saturating_add(1);
    }
    Ok(members)
}

/// The lists of voters; all members, where none is stated.
fn voters(item: &Item, region: &str, members: &[Member]) -> Result<Vec<BTreeSet<u16>>, Diagnostic> {
    let numbers: BTreeMap<&str, u16> =
        members.iter().map(|member| (member.name.as_str(), member.number)).collect();
    let mut lists = Vec::new();
    for child in item.children_named("voters") {
        let mut voters = BTreeSet::new();
        for name in child.texts()? {
            let unknown = || child.diagnostic(format!("{name:?} is no member of region {region:?}"));
            voters.insert(*numbers.get(name.as_str()).ok_or_else(unknown)?);
        }
        lists.push(voters);
        if lists.len() > MAX_VOTER_LISTS {
            return Err(child.diagnostic("at most two lists of voters can hold at one time"));
        }
    }
    if lists.is_empty() {
        lists.push(numbers.into_values().collect());
    }
    Ok(lists)
}

fn budget(item: &Item, drift: u64) -> Result<Budget, Diagnostic> {
    let [Value::Text(name)] = &item.values()?[..] else { return Err(item.unknown()) };
    let overdraft = item.number("overdraft")?;
    let least = (drift * OVERDRAFT_DRIFTS).div_ceil(THOUSANDTHS_PER_PERCENT);
    if overdraft < least {
        let cause = format!("with a drift of {drift} thousandths at least {least} are needed");
        return Err(item.diagnostic_at("overdraft", cause));
    }
    Ok(Budget {
        name: name.clone(),
        amount: item.number("amount")?,
        window: item.millis("window")?,
        overdraft,
        floors: item.number("floors")?,
        federated: item.text("of")? == "federation",
    })
}

#[cfg(test)]
mod tests;
