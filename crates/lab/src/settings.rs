//! The deployment that a scenario describes: the settings of its gateways, the stores' figures and the checker's bounds.

use crate::arrivals::Class;
use crate::check::{Bounds, ColdCacheLimits};
use crate::model::cold::ColdRule;
use crate::model::world::Spec;
use crate::participant::{ParticipantId, ParticipantKind};
use crate::scenario::{HUB, Scenario, Site};
use crate::trace::{Effect, Micros};
use serde_json::{Value, json};

/// Attempts of a request at most.
const MAX_ATTEMPTS: u32 = 6;
/// How long a store that drains may still be sent requests.
const DRAIN_GRACE: Micros = 1_000_000;
/// How long a gateway may take to hear of a purge.
const PURGE_NOTICE: Micros = 300_000;
/// How long stores take to hear of a purge, at most.
pub const PURGE_TAKES: Micros = 2_000_000;
/// A cold store fails if it is sent this many times what it bears,
const OVERLOAD_FACTOR: f64 = 2.5;
/// for this long.
const OVERLOAD_WINDOW: Micros = 3_000_000;
/// Stores close connections that are idle for this long.
pub const KEEPALIVE: Micros = 30_000_000;
/// The names of kinds of stores: caches, parents, the origin.
pub const KINDS: [&str; 3] = ["box", "parent", "origin"];

fn micros(span: std::time::Duration) -> Micros {
    span.as_micros() as Micros
}

/// What a cold store bears.
pub fn cold_rule(scenario: &Scenario) -> ColdRule {
    ColdRule {
        initial_share: scenario.model.cold_from,
        warm_up: micros(scenario.model.warm_up),
        overload_factor: OVERLOAD_FACTOR,
        sustained_for: OVERLOAD_WINDOW,
    }
}

/// What each store is like, for the model.
pub fn store_specs(scenario: &Scenario) -> Vec<(ParticipantId, Spec)> {
    let kinds = [ParticipantKind::Origin, ParticipantKind::Parent, ParticipantKind::Store];
    let stores = kinds.iter().flat_map(|kind| scenario.roster.of(*kind).map(|id| (id, *kind)));
    stores.map(|(id, kind)| (id, store_spec(scenario, id, kind))).collect()
}

fn store_spec(scenario: &Scenario, id: ParticipantId, kind: ParticipantKind) -> Spec {
    let model = &scenario.model;
    let site = scenario.roster.get(id).site.clone();
    let distance = scenario.sites.iter().find(|known| known.name == site);
    let (slots, service, rate) = match kind {
        ParticipantKind::Origin => (model.origin_slots, model.origin_service, model.origin_rate),
        ParticipantKind::Parent => (model.parent_slots, model.service, f64::MAX),
        _ => (model.slots, model.service, f64::MAX),
    };
    Spec {
        kind,
        distance: distance.map_or(0, |site| micros(site.distance) / 2),
        site,
        slots,
        queue_limit: model.room.max(slots),
        service: micros(service),
        link: (model.link * 1e3) as u64,
        copies: model.copies,
        rate,
        cold: cold_rule(scenario),
    }
}

/// The settings object of a site's gateways.
pub fn settings(scenario: &Scenario, site: &Site) -> Value {
    let classes = Class::ALL.map(|class| {
        let effect = match class.effect() {
            Effect::Free => "free",
            Effect::Keyed => "guarded",
            Effect::Once => "single_shot",
        };
        json!({"Name": class.name(), "Aim": 300_000, "AimStretch": 1.5, "Credit": 1.0, "LateValue": 0.1,
            "Deadline": micros(scenario.load.patience), "Effect": effect, "Group": "all",
            "MemorySpan": 10_000_000})
    });
    let fresh = Class::ALL.map(|class| class.fresh().unwrap_or(0));
    let passes = Class::ALL.map(|class| class.fresh().is_none());
    let zones: Vec<&str> =
        std::iter::once(HUB).chain(scenario.sites.iter().map(|site| site.name.as_str())).collect();
    let balancers: Vec<usize> =
        std::iter::once(0).chain(scenario.sites.iter().map(|site| site.gateways)).collect();
    let cold = cold_rule(scenario);
    json!({
        "Classes": classes,
        "FamilyInfo": {"ClassFresh": fresh, "Collapses": true, "MidKind": 1, "SourceKind": 2,
            "PaceKbPerS": scenario.model.link, "ParentCold": cold.warm_up,
            "ParentLimitFactor": cold.overload_factor, "UpperColdFrom": cold.initial_share, "PassOn": passes,
            "PurgeTakes": PURGE_TAKES, "Straight": true, "Sideways": "location",
            "ZoneBalancers": balancers},
        "Instances": scenario.gateways(),
        "Kinds": KINDS,
        "Limits": {"MayCancel": true, "Peers": true, "Probes": true, "SendCap": MAX_ATTEMPTS, "RetryAfter": true,
            "SecondCopies": false, "MaxRetryAfter": 2_000_000, "Keepalive": KEEPALIVE,
            "StreamsPerConn": 100, "ConnectTimeout": 400_000},
        "Obligations": {"DrainGrace": DRAIN_GRACE, "Fall": cold.sustained_for, "FallMultiple": cold.overload_factor,
            "StartCapacity": cold.initial_share, "WarmUp": cold.warm_up},
        "Report": {"Fields": ["rif"]},
        "Tick": 2_000, "WeightKind": "rough", "Zone": site.name, "Zones": zones})
}

/// The same figures for the checker.
pub fn bounds(scenario: &Scenario) -> Bounds {
    let (model, cold) = (&scenario.model, cold_rule(scenario));
    let requests_per_second = model.slots as f64 / model.service.as_secs_f64().max(1e-6);
    Bounds {
        // The platform's 50 ms, and for each end of the way 50 ms by which a shared machine's relays may be late before
        // a run is void.
        margin: 150_000,
        max_attempts: MAX_ATTEMPTS,
        hedging: false,
        drain_grace: DRAIN_GRACE,
        purge_grace: PURGE_NOTICE,
        notified_within: 7_000_000,
        cold: ColdCacheLimits {
            requests_per_second,
            initial_share: cold.initial_share,
            warm_up: cold.warm_up,
            overload_factor: cold.overload_factor,
            sustained_for: cold.sustained_for,
        },
    }
}
