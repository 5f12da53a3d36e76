//! Claims between regions: each lease holder sends the other regions what it knows of the claims on its slices. Lease
//! holders are fixed here; [`RegionClaims`] and the datagram encoding are the gateway's own, and so is the rule by which what
//! arrives at a gateway that is not the slice's lease holder is forwarded once. Sockets, locks and leases are left out.

use super::deployment::REGIONS;
use super::error::MeasurementError;
use super::figure::{Figure, Load, Traffic, Unit};
use super::leases::RULES;
use super::memory::growth_of;
use super::processor_time::Stopwatch;
use sagearch::net::cluster::wire::{self, Body, RemoteMessage};
use sagearch_homes::{
    ClaimStatus, Claims, Epoch, Incarnation, Member, Micros, Region, RegionClaims, Slice, placement,
};
use std::collections::BTreeMap;

/// The default of `claim` in the operators' file.
const CLAIM_LEASE: Micros = 3_000_000;
const STEP: Micros = 50_000;
/// When claims are settled: a region of the last rank waits several claim leases before its turn.
const SETTLED: Micros = 40_000_000;
const MEASURED: Micros = 9_000_000;
const FLEET: u32 = 7;
const INCARNATION: u64 = 1_796_000_000_000_000;
const EPOCH: Epoch = Epoch(INCARNATION);

struct Gateway {
    region: Region,
    claims: RegionClaims,
    /// The slices that it is lease holder of.
    leases: BTreeMap<Slice, Epoch>,
}

struct Datagram {
    to: usize,
    /// The gateway that made the claims.
    origin: usize,
    /// Whether another gateway has forwarded them.
    forwarded: bool,
    bytes: Vec<u8>,
}

struct Deployment {
    gateways: Vec<Gateway>,
    gateways_by_region: usize,
    /// By region and slice.
    lease_holders: Vec<Vec<usize>>,
    in_flight: Vec<Datagram>,
    stopwatch: Stopwatch,
    sent: Traffic,
}

impl Deployment {
    fn new(gateways: u64) -> Deployment {
        let gateways_by_region = (gateways / REGIONS) as usize;
        let regions: Vec<Region> = (0..REGIONS as u8).map(Region).collect();
        let lease_holders: Vec<Vec<usize>> = (0..REGIONS as usize)
            .map(|region| lease_holders_of(region * gateways_by_region, gateways_by_region))
            .collect();
        let gateway = |number: usize| {
            let region = number / gateways_by_region;
            let own = |slice: &Slice| lease_holders[region][usize::from(slice.0)] == number;
            Gateway {
                region: Region(region as u8),
                claims: RegionClaims::new(
                    Region(region as u8),
                    regions.clone(),
                    RULES.slices,
                    CLAIM_LEASE,
                    Incarnation(INCARNATION + number as u64),
                ),
                leases: RULES.all_slices().filter(own).map(|slice| (slice, EPOCH)).collect(),
            }
        };
        Deployment {
            gateways: (0..gateways_by_region * REGIONS as usize).map(gateway).collect(),
            gateways_by_region,
            lease_holders,
            in_flight: Vec::new(),
            stopwatch: Stopwatch::default(),
            sent: Traffic::default(),
        }
    }

    fn step(&mut self, now: Micros) -> Result<(), MeasurementError> {
        let in_flight = std::mem::take(&mut self.in_flight);
        let mut stopwatch = self.stopwatch;
        let out = stopwatch.time(|| {
            let mut out = Vec::new();
            in_flight.into_iter().try_for_each(|datagram| self.receive(now, datagram, &mut out))?;
            (0..self.gateways.len()).try_for_each(|number| self.tick(number, now, &mut out))?;
            Ok(out)
        })?;
        self.stopwatch = stopwatch;
        for datagram in &out {
            self.sent.add(datagram.bytes.len());
        }
        self.in_flight = out;
        Ok(())
    }

    /// A gateway renews its claims when they are due.
    fn tick(&mut self, number: usize, now: Micros, out: &mut Vec<Datagram>) -> Result<(), MeasurementError> {
        let gateway = &mut self.gateways[number];
        if gateway.leases.is_empty() || now < gateway.claims.next_deadline() {
            return Ok(());
        }
        let claims = gateway.claims.tick(now, &gateway.leases).broadcast;
        let own = usize::from(gateway.region.0);
        for region in (0..REGIONS as usize).filter(|region| *region != own) {
            let to = region * self.gateways_by_region + number % self.gateways_by_region;
            for claims in &claims {
                out.push(datagram(to, number, false, claims.clone())?);
            }
        }
        Ok(())
    }

    fn receive(
        &mut self,
        now: Micros,
        received: Datagram,
        out: &mut Vec<Datagram>,
    ) -> Result<(), MeasurementError> {
        let Datagram { to, origin, forwarded, bytes } = received;
        let decoded =
            wire::decode(FLEET, &bytes).map_err(|error| MeasurementError::rejected(error.label()))?;
        let Body::Remote { message: RemoteMessage::Claims(claims), .. } = decoded.body else { return Ok(()) };
        let from = self.gateways[origin].region;
        let gateway = &mut self.gateways[to];
        let outcome = gateway.claims.receive(now, from, &claims);
        if let Some(answer) = outcome.answer {
            out.push(datagram(origin, to, false, answer)?);
        }
        if forwarded {
            return Ok(());
        }
        let lease_holders = &self.lease_holders[usize::from(gateway.region.0)];
        let mut by_holder: BTreeMap<usize, Vec<ClaimStatus>> = BTreeMap::new();
        for claim in claims.0 {
            by_holder.entry(lease_holders[usize::from(claim.slice.0)]).or_default().push(claim);
        }
        by_holder.remove(&to);
        for (holder, claims) in by_holder {
            out.push(datagram(holder, origin, true, Claims(claims))?);
        }
        Ok(())
    }

    /// Slices on which exactly one gateway has an active claim.
    fn agreed(&self, now: Micros) -> usize {
        let has_one_principal = |slice: Slice| {
            let principal = |gateway: &&Gateway| {
                let epoch = gateway.leases.get(&slice).copied();
                gateway.claims.active_claim(now, slice, epoch).is_some()
            };
            self.gateways.iter().filter(principal).count() == 1
        };
        RULES.all_slices().filter(|slice| has_one_principal(*slice)).count()
    }
}

/// The lease holder of each slice among the members of one region.
fn lease_holders_of(first: usize, members: usize) -> Vec<usize> {
    let all = || (first..first + members).map(|number| Member(number as u16));
    RULES
        .all_slices()
        .map(|slice| placement::preferred_member(slice, all()).map_or(first, |member| usize::from(member.0)))
        .collect()
}

fn datagram(to: usize, origin: usize, forwarded: bool, claims: Claims) -> Result<Datagram, MeasurementError> {
    let incarnation = Incarnation(INCARNATION + origin as u64);
    let message = RemoteMessage::Claims(claims);
    let body = Body::Remote { from: origin as u16, incarnation, forwarded, message };
    let bytes =
        wire::encode(FLEET, incarnation, body).map_err(|error| MeasurementError::rejected(error.label()))?;
    Ok(Datagram { to, origin, forwarded, bytes })
}

/// Measures gateways at rest, with one active claim on each slice. Figures are of an average gateway.
///
/// # Errors
///
/// Where a datagram can't be encoded or decoded, or claims are not settled in time.
pub fn claims(gateways: u64) -> Result<Vec<Figure>, MeasurementError> {
    let (deployment, growth) = growth_of(|| {
        let mut deployment = Deployment::new(gateways);
        (STEP..SETTLED).step_by(STEP as usize).try_for_each(|now| deployment.step(now))?;
        Ok(deployment)
    });
    let mut deployment = deployment?;
    (deployment.sent, deployment.stopwatch) = Default::default();
    let end = SETTLED + MEASURED;
    (SETTLED..end).step_by(STEP as usize).try_for_each(|now| deployment.step(now))?;
    let agreed = deployment.agreed(end);
    if agreed != usize::from(RULES.slices) {
        return Err(MeasurementError::NotReached("each slice has one active claim"));
    }
    let load = Load {
        seconds: MEASURED as f64 / 1e6,
        instances: deployment.gateways.len() as f64,
        incoming: deployment.sent,
        outgoing: deployment.sent,
        processor: deployment.stopwatch.total(),
    };
    let mut figures = load.figures();
    let each = growth.map(|growth| growth.left as f64 / load.instances);
    figures.extend(each.map(|bytes| Figure::new("memory of a gateway", Unit::Bytes, bytes)));
    Ok(figures)
}
