//! Leases of one region's slices: each member is lease holder of its slices, and voter where it has a vote. Messages are in
//! the gateway's own datagram encoding and arrive one step later; the membership protocol, sockets and locks are left
//! out.

use super::error::MeasurementError;
use super::figure::{Figure, Load, Traffic, Unit};
use super::memory::growth_of;
use super::processor_time::Stopwatch;
use sagearch::net::cluster::wire::{self, Body};
use sagearch_homes::message::{Envelope, LeaseMessage, Outgoing, ProcessId};
use sagearch_homes::{Epoch, Incarnation, LeaseConfig, LeaseHolder, Member, Micros};
use std::collections::BTreeSet;

/// The defaults of `fleet` in the operators' file.
pub const RULES: LeaseConfig = LeaseConfig { slices: 256, lease_duration: 3_000_000, drift_per_mille: 10 };
/// Voters that operators name in a large region.
const FEW_VOTERS: u64 = 5;
const STEP: Micros = 10_000;
/// When leases are settled: voters are silent for a promise after their start.
const SETTLED: Micros = 10_000_000;
const MEASURED: Micros = 9_000_000;
const FLEET: u32 = 7;
const INCARNATION: u64 = 1_796_000_000_000_000;

struct Datagram {
    to: Member,
    from: ProcessId,
    bytes: Vec<u8>,
    is_request: bool,
}

/// The members of a region and the datagrams between them.
struct Region {
    holders: Vec<LeaseHolder>,
    in_flight: Vec<Datagram>,
    voting: Stopwatch,
    holding: Stopwatch,
    sent: Traffic,
}

fn sender(number: usize) -> ProcessId {
    ProcessId { member: Member(number as u16), incarnation: Incarnation(INCARNATION + number as u64) }
}

/// Spreads retries between 0 and 1, the same in each repeat.
fn jitter(number: usize, now: Micros) -> f64 {
    let mixed = sagearch_homes::placement::mix(now ^ ((number as u64) << 40));
    mixed as f64 / u64::MAX as f64
}

impl Region {
    fn new(members: u64, voters: u64) -> Region {
        let voters: BTreeSet<Member> = (0..voters.min(members)).map(|number| Member(number as u16)).collect();
        let holder = |number: u64| {
            let others = (0..members).filter(|other| *other != number).map(|other| Member(other as u16));
            let me = sender(number as usize);
            let mut holder = LeaseHolder::new(RULES, me, vec![voters.clone()], 0, Epoch(INCARNATION));
            holder.set_alive_members(others.collect());
            holder
        };
        Region {
            holders: (0..members).map(holder).collect(),
            in_flight: Vec::new(),
            voting: Stopwatch::default(),
            holding: Stopwatch::default(),
            sent: Traffic::default(),
        }
    }

    fn step(&mut self, now: Micros) -> Result<(), MeasurementError> {
        let (requests, responses): (Vec<Datagram>, Vec<Datagram>) =
            std::mem::take(&mut self.in_flight).into_iter().partition(|datagram| datagram.is_request);
        let mut out = Vec::new();
        let holders = &mut self.holders;
        self.voting.time(|| receive(holders, now, requests, &mut out))?;
        self.holding.time(|| {
            receive(holders, now, responses, &mut out)?;
            tick(holders, now, &mut out)
        })?;
        for datagram in &out {
            self.sent.add(datagram.bytes.len());
        }
        self.in_flight = out;
        Ok(())
    }

    /// Slices that have a lease holder.
    fn held(&self, now: Micros) -> usize {
        self.holders.iter().map(|holder| holder.held_leases(now).count()).sum()
    }
}

fn receive(
    holders: &mut [LeaseHolder],
    now: Micros,
    datagrams: Vec<Datagram>,
    out: &mut Vec<Datagram>,
) -> Result<(), MeasurementError> {
    for datagram in datagrams {
        let decoded = wire::decode(FLEET, &datagram.bytes)
            .map_err(|error| MeasurementError::rejected(error.label()))?;
        let Body::Lease(message) = decoded.body else { continue };
        let number = usize::from(datagram.to.0);
        let mut responses = Outgoing::new();
        holders[number].receive(now, datagram.from, &message, &mut responses);
        // A gateway computes its next deadline after each datagram.
        holders[number].next_deadline(now);
        send(number, responses, out)?;
    }
    Ok(())
}

fn tick(holders: &mut [LeaseHolder], now: Micros, out: &mut Vec<Datagram>) -> Result<(), MeasurementError> {
    for (number, holder) in holders.iter_mut().enumerate() {
        if holder.next_deadline(now).is_none_or(|due| due > now) {
            continue;
        }
        let mut messages = Outgoing::new();
        holder.tick(now, jitter(number, now), &mut messages);
        send(number, messages, out)?;
    }
    Ok(())
}

fn send(from: usize, messages: Outgoing, out: &mut Vec<Datagram>) -> Result<(), MeasurementError> {
    let from = sender(from);
    for Envelope { to, message } in messages {
        let is_request = matches!(message, LeaseMessage::Request { .. });
        let bytes = wire::encode(FLEET, from.incarnation, Body::Lease(message))
            .map_err(|error| MeasurementError::rejected(error.label()))?;
        out.push(Datagram { to, from, bytes, is_request });
    }
    Ok(())
}

fn measure(members: u64, voters: u64) -> Result<Vec<Figure>, MeasurementError> {
    let (region, growth) = growth_of(|| {
        let mut region = Region::new(members, voters);
        (0..SETTLED).step_by(STEP as usize).try_for_each(|now| region.step(now))?;
        Ok(region)
    });
    let mut region = region?;
    if region.held(SETTLED - STEP) != usize::from(RULES.slices) {
        return Err(MeasurementError::NotReached("each slice has a lease holder"));
    }
    (region.sent, region.voting, region.holding) = Default::default();
    let end = SETTLED + MEASURED;
    (SETTLED..end).step_by(STEP as usize).try_for_each(|now| region.step(now))?;
    if region.held(end - STEP) != usize::from(RULES.slices) {
        return Err(MeasurementError::NotReached("lease holders renew their leases"));
    }
    let load = Load {
        seconds: MEASURED as f64 / 1e6,
        instances: members as f64,
        incoming: region.sent,
        outgoing: region.sent,
        processor: region.voting.total() + region.holding.total(),
    };
    Ok(figures(&load, &region, voters.min(members), growth.map(|growth| growth.left)))
}

/// All figures but the last two are of an average member.
fn figures(load: &Load, region: &Region, voters: u64, memory: Option<usize>) -> Vec<Figure> {
    let mut figures = load.figures();
    let percent_of_core = |stopwatch: &Stopwatch, instances: f64| {
        stopwatch.total().as_secs_f64() / load.seconds / instances * 100.0
    };
    let voter = percent_of_core(&region.voting, voters as f64);
    figures.push(Figure::new("processor of a voter for its votes", Unit::PercentOfCore, voter));
    let holder = percent_of_core(&region.holding, load.instances);
    figures.push(Figure::new("processor of a lease holder", Unit::PercentOfCore, holder));
    let each = memory.map(|bytes| bytes as f64 / load.instances);
    figures.extend(each.map(|bytes| Figure::new("memory of a member", Unit::Bytes, bytes)));
    let messages = load.outgoing.messages as f64 / load.seconds;
    figures.push(Figure::new("messages in the whole region", Unit::PerSecond, messages));
    figures
}

/// Measures a region in which all members vote.
///
/// # Errors
///
/// Where a datagram can't be encoded or decoded, or leases are not settled in time.
pub fn all_vote(members: u64) -> Result<Vec<Figure>, MeasurementError> {
    measure(members, members)
}

/// Measures a region in which five members vote.
///
/// # Errors
///
/// Where a datagram can't be encoded or decoded, or leases are not settled in time.
pub fn five_vote(members: u64) -> Result<Vec<Figure>, MeasurementError> {
    measure(members, FEW_VOTERS)
}
