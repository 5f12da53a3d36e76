//! Decodes and validates the settings object, and fills in defaults.

use super::document::{ClassEntry, FamilyInfo, SettingsDocument};
use super::{ConnectionLimits, Deployment, LoadReportFields, Names, SettingsError};
use crate::interface::{Class, DeduplicationGroup, Idempotency, Micros, Role, Settings, SlowStartRule, Zone};
use serde_json::Value;
use std::collections::BTreeMap;

/// The tick length, in microseconds, where the settings state none.
const DEFAULT_TICK: Micros = 2_000;

/// Decodes a settings object.
///
/// # Errors
///
/// [`SettingsError`] if a key is missing or has an unusable value.
pub fn decode(object: Value) -> Result<Deployment, SettingsError> {
    let document: SettingsDocument = serde_json::from_value(object)?;
    validate(&document)?;
    let classes =
        (0..document.classes.len()).map(|index| decode_class(&document, index)).collect::<Result<_, _>>()?;
    let names = decode_names(&document)?;
    let settings = policy_settings(&document, classes, names.zone);
    Ok(Deployment { settings, names })
}

/// Checks the attempt limit, and that each list of values per class has one entry for each class.
fn validate(document: &SettingsDocument) -> Result<(), SettingsError> {
    if document.limits.send_cap == 0 {
        return Err(SettingsError::NoAttempts);
    }
    let (info, classes) = (&document.family_info, document.classes.len());
    for (key, entries) in [("ClassFresh", info.class_fresh.len()), ("PassOn", info.pass_on.len())] {
        if entries > 0 && entries != classes {
            return Err(SettingsError::ListByClass { key, entries, classes });
        }
    }
    Ok(())
}

/// Decodes the class at this index of the document's list.
fn decode_class(document: &SettingsDocument, index: usize) -> Result<Class, SettingsError> {
    let (entry, info) = (&document.classes[index], &document.family_info);
    let idempotency = decode_idempotency(entry)?;
    if entry.deadline == 0 {
        return Err(SettingsError::NoDeadline { class: entry.name.clone() });
    }
    Ok(Class {
        name: entry.name.clone(),
        latency_objective: entry.aim,
        objective_stretch: entry.aim_stretch,
        priority_weight: entry.credit,
        late_weight_share: entry.late_value,
        idempotency,
        fresh: info.class_fresh.get(index).copied().filter(|fresh| *fresh > 0),
        uncacheable: info.pass_on.get(index).copied().unwrap_or(false),
        max_attempts: document.limits.send_cap,
    })
}

fn decode_idempotency(entry: &ClassEntry) -> Result<Idempotency, SettingsError> {
    let group = match entry.group.as_str() {
        "zone" => DeduplicationGroup::Zone,
        "cell" => DeduplicationGroup::Cell,
        _ => DeduplicationGroup::All,
    };
    match entry.effect.as_str() {
        "free" => Ok(Idempotency::Idempotent),
        "guarded" => Ok(Idempotency::Keyed { group, window: entry.memory_span }),
        "single_shot" => Ok(Idempotency::NotIdempotent),
        other => Err(SettingsError::UnknownEffect { class: entry.name.clone(), effect: other.into() }),
    }
}

/// Maps each name of a list to its index.
fn indices_by_name<'a>(names: impl Iterator<Item = &'a String>) -> BTreeMap<String, usize> {
    names.enumerate().map(|(index, name)| (name.clone(), index)).collect()
}

/// Maps each machine kind to its role. `info` states the kinds of parents and origins by their index in the list.
fn roles_by_kind(kinds: &[String], info: &FamilyInfo) -> BTreeMap<String, Role> {
    let role = |index: usize| {
        let index = i64::try_from(index).ok();
        if index == info.source_kind {
            Role::Origin
        } else if index == info.mid_kind {
            Role::Parent
        } else {
            Role::Cache
        }
    };
    kinds.iter().enumerate().map(|(index, kind)| (kind.clone(), role(index))).collect()
}

fn decode_names(document: &SettingsDocument) -> Result<Names, SettingsError> {
    let zones = indices_by_name(document.zones.iter());
    let unknown_zone = || SettingsError::UnknownZone { zone: document.zone.clone() };
    let zone = *zones.get(&document.zone).ok_or_else(unknown_zone)?;
    let field_index = |name: &str| document.report.fields.iter().position(|field| field == name);
    Ok(Names {
        classes: indices_by_name(document.classes.iter().map(|class| &class.name)),
        zones,
        zone,
        roles: roles_by_kind(&document.kinds, &document.family_info),
        load_report: LoadReportFields { in_flight: field_index("rif"), busy: field_index("busy") },
        connections: ConnectionLimits::from(&document.limits),
        longest_deadline: document.classes.iter().map(|class| class.deadline).max().unwrap_or(0),
    })
}

/// Builds the settings of the routing policies.
fn policy_settings(document: &SettingsDocument, classes: Vec<Class>, zone: usize) -> Settings {
    let (info, limits, rules) = (&document.family_info, &document.limits, &document.obligations);
    let routers_in_zone =
        |index: usize| info.zone_balancers.get(index).copied().unwrap_or(document.instances);
    Settings {
        classes,
        zones: (0..document.zones.len()).map(|index| Zone { routers: routers_in_zone(index) }).collect(),
        zone,
        routers: document.instances,
        pace_kb_per_s: info.pace_kb_per_s,
        weights_are_capacities: document.weight_kind != "silent",
        hedging: limits.second_copies,
        may_cancel: limits.may_cancel,
        max_backoff: limits.retry_after.then_some(limits.max_retry_after),
        direct_requests: info.straight,
        joins_fills: info.collapses,
        sibling_fills: matches!(info.sideways.as_str(), "location" | "any"),
        cache_slow_start: SlowStartRule {
            floor: rules.start_capacity,
            warm_up: rules.warm_up,
            multiple: rules.fall_multiple,
            window: rules.fall,
        },
        parent_slow_start: SlowStartRule {
            floor: info.upper_cold_from,
            warm_up: info.parent_cold,
            multiple: info.parent_limit_factor,
            window: rules.fall,
        },
        purge_propagation: info.purge_takes,
        tick: if document.tick > 0 { document.tick } else { DEFAULT_TICK },
    }
}
