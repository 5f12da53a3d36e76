//! Where each gateway of a fleet is placed, which process hosts it, and the list of stores. No I/O.

use super::scenario::{FleetShape, Size};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::ops::Range;

/// Hollow gateways of one process.
const GATEWAYS_PER_HOST: usize = 150;
/// Of all gateways, the share that the fault `restart` affects.
const RESTARTED_SHARE: f64 = 0.05;
/// The region that the faults on links affect.
pub const FAULT_REGION: usize = 0;
/// Kinds of machines in the list of stores.
pub const KINDS: [&str; 3] = ["box", "parent", "origin"];
/// The first port of stores, to which nothing is sent: hollow and idle gateways have no requests.
const FIRST_STORE_PORT: usize = 9_000;
/// One store in so many is a parent.
const STORES_PER_PARENT: usize = 12;

/// The processes that host the gateways of a fleet, all by number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Layout {
    /// How many gateways there are.
    pub gateways: usize,
    regions: usize,
    zones: usize,
    sites: usize,
    /// Real processes of one gateway each: the first ones.
    pub real: Range<usize>,
    /// Hollow gateways in one process of their own, which can be killed and started again.
    pub restarted: Range<usize>,
    /// The other hollow gateways, by process.
    pub hosts: Vec<Range<usize>>,
}

impl Layout {
    /// Spreads the gateways of a size over processes.
    pub fn new(fleet: &FleetShape, size: &Size) -> Layout {
        let restarted = (size.gateways as f64 * RESTARTED_SHARE).ceil() as usize;
        let restarted = size.real..(size.real + restarted).min(size.gateways);
        let rest = size.gateways - restarted.end;
        let hosts = (rest / GATEWAYS_PER_HOST).max(1);
        let first = |host: usize| restarted.end + rest * host / hosts;
        Layout {
            gateways: size.gateways,
            regions: fleet.regions,
            zones: fleet.zones,
            sites: fleet.sites,
            real: 0..size.real,
            hosts: (0..hosts).map(|host| first(host)..first(host + 1)).collect(),
            restarted,
        }
    }

    /// The region of a gateway.
    pub fn region(&self, gateway: usize) -> usize {
        self.site(gateway) % self.regions
    }

    /// The site of a gateway.
    pub fn site(&self, gateway: usize) -> usize {
        gateway % self.sites
    }

    /// The name of a gateway's zone.
    pub fn zone(&self, gateway: usize) -> String {
        zone_name(self.site(gateway) % self.zones)
    }

    /// The name of a gateway in the fleet.
    pub fn name(&self, gateway: usize) -> String {
        format!("gateway-r{}-s{}-{gateway}", self.region(gateway), self.site(gateway))
    }

    /// Gateways that the faults on links affect: the hollow ones of a region, as only these report when they are stale.
    pub fn fault_region(&self) -> BTreeSet<usize> {
        let hollow = self.real.end..self.gateways;
        hollow.filter(|gateway| self.region(*gateway) == FAULT_REGION).collect()
    }

    /// Gateways of each zone.
    pub fn gateways_by_zone(&self) -> Vec<usize> {
        let mut counts = vec![0; self.zones];
        (0..self.gateways).for_each(|gateway| counts[self.site(gateway) % self.zones] += 1);
        counts
    }
}

fn zone_name(zone: usize) -> String {
    format!("zone-{zone}")
}

/// The list of stores in the form of the event bus: caches in all zones, one parent in twelve, and an origin.
pub fn stores(fleet: &FleetShape) -> Vec<Value> {
    let store = |number: usize| {
        let kind = match number {
            0 => KINDS[2],
            number if number % STORES_PER_PARENT == 0 => KINDS[1],
            _ => KINDS[0],
        };
        json!({"instanceId": format!("s-{number:08x}"), "hostPort": format!("127.0.0.1:{}", FIRST_STORE_PORT + number),
            "zone": zone_name(number % fleet.zones), "machineType": kind, "cell": 0, "lifecycle": "up",
            "weight": 8.0, "startedAtMs": 0})
    };
    (0..fleet.stores).map(store).collect()
}

/// The settings object of a fleet's gateways, without their own zone.
pub fn settings(layout: &Layout) -> Value {
    let zones: Vec<String> = (0..layout.zones).map(zone_name).collect();
    let class = |name: &str, effect: &str| {
        json!({"Name": name, "Aim": 300_000, "AimStretch": 1.5, "Credit": 1.0, "LateValue": 0.1,
            "Deadline": 2_000_000, "Effect": effect, "Group": "all", "MemorySpan": 10_000_000})
    };
    json!({
        "Classes": [class("video", "free"), class("write", "guarded")],
        "FamilyInfo": {"ClassFresh": [0, 0], "Collapses": true, "MidKind": 1, "SourceKind": 2,
            "PaceKbPerS": 40_000.0, "ParentCold": 10_000_000, "ParentLimitFactor": 2.5, "UpperColdFrom": 0.2,
            "PassOn": [false, true], "PurgeTakes": 2_000_000, "Straight": true, "Sideways": "location",
            "ZoneBalancers": layout.gateways_by_zone()},
        "Instances": layout.gateways, "Kinds": KINDS,
        "Limits": {"MayCancel": true, "Peers": true, "Probes": true, "SendCap": 6, "RetryAfter": true,
            "SecondCopies": false, "MaxRetryAfter": 2_000_000, "Keepalive": 30_000_000, "StreamsPerConn": 100,
            "ConnectTimeout": 400_000},
        "Obligations": {"DrainGrace": 1_000_000, "Fall": 3_000_000, "FallMultiple": 2.5, "StartCapacity": 0.2,
            "WarmUp": 10_000_000},
        "Report": {"Fields": ["rif"]}, "Tick": 2_000, "WeightKind": "rough", "Zones": zones})
}

/// The settings object of a gateway in a zone.
pub fn settings_in(settings: &Value, zone: &str) -> Value {
    let mut settings = settings.clone();
    settings["Zone"] = json!(zone);
    settings
}

#[cfg(test)]
mod tests;
