//! Where each gateway of a fleet stands, which process hosts it, and the list of stores. Pure.

use super::scenario::{Fleet, Size};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::ops::Range;

/// Hollow gateways of one process.
const PER_HOST: usize = 150;
/// Of all gateways, the share that the fault `restart` strikes.
const RESTARTED_SHARE: f64 = 0.05;
/// The region that the faults on links strike.
pub const STRUCK_REGION: usize = 0;
/// Kinds of machines in the list of stores.
pub const KINDS: [&str; 3] = ["box", "parent", "origin"];
/// Ports of stores, to which nothing is sent: hollow and idle gateways have no requests.
const STORE_PORT: usize = 9_000;

/// The processes that host the gateways of a fleet, all by number. The first ones are real processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Layout {
    pub gateways: usize,
    regions: usize,
    zones: usize,
    sites: usize,
    pub real: Range<usize>,
    /// Hosted by one process of their own, which can be killed and started again.
    pub restarted: Range<usize>,
    /// Each by one process.
    pub hosts: Vec<Range<usize>>,
}

impl Layout {
    /// Spreads the gateways of a size over processes.
    pub fn new(fleet: &Fleet, size: &Size) -> Layout {
        let restarted = (size.gateways as f64 * RESTARTED_SHARE).ceil() as usize;
        let restarted = size.real..(size.real + restarted).min(size.gateways);
        let rest = size.gateways - restarted.end;
        let hosts = (rest / PER_HOST).max(1);
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

    /// The region that a gateway stands in.
    pub fn region(&self, gateway: usize) -> usize {
        self.site(gateway) % self.regions
    }

    /// The site that a gateway stands at.
    pub fn site(&self, gateway: usize) -> usize {
        gateway % self.sites
    }

    /// The name of a gateway's zone.
    pub fn zone(&self, gateway: usize) -> String {
        zone_name(self.site(gateway) % self.zones)
    }

    /// The name by which a gateway is known.
    pub fn name(&self, gateway: usize) -> String {
        format!("gateway-r{}-s{}-{gateway}", self.region(gateway), self.site(gateway))
    }

    /// Gateways that the faults on links strike: the hollow ones of a region, as only these tell of their doubts.
    pub fn struck_region(&self) -> BTreeSet<usize> {
        let hollow = self.real.end..self.gateways;
        hollow.filter(|gateway| self.region(*gateway) == STRUCK_REGION).collect()
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

/// The list of stores as the event bus tells it: caches in all zones, one parent in twelve, and an origin.
pub fn stores(fleet: &Fleet) -> Vec<Value> {
    let store = |number: usize| {
        let kind = match number {
            0 => KINDS[2],
            number if number % 12 == 0 => KINDS[1],
            _ => KINDS[0],
        };
        json!({"instanceId": format!("s-{number:08x}"), "hostPort": format!("127.0.0.1:{}", STORE_PORT + number),
            "zone": zone_name(number % fleet.zones), "machineType": kind, "cell": 0, "lifecycle": "up",
            "weight": 8.0, "startedAtMs": 0})
    };
    (0..fleet.stores).map(store).collect()
}

/// The settings object of a fleet's gateways, but for their own zone.
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
