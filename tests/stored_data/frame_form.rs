//! Comparison of stored JSON values.

use serde_json::Value;

/// The relative difference by which a fraction may change when it is written and read again.
const ROUNDING_TOLERANCE: f64 = 1e-12;

/// Whether two values are equal, except for rounding of fractions.
pub fn equal(one: &Value, other: &Value) -> bool {
    match (one, other) {
        (Value::Object(one), Value::Object(other)) => {
            one.len() == other.len()
                && one.iter().all(|(name, value)| other.get(name).is_some_and(|other| equal(value, other)))
        }
        (Value::Array(one), Value::Array(other)) => {
            one.len() == other.len() && one.iter().zip(other).all(|(one, other)| equal(one, other))
        }
        (Value::Number(one), Value::Number(other)) if one.is_f64() || other.is_f64() => {
            let (one, other) = (one.as_f64().unwrap(), other.as_f64().unwrap());
            (one - other).abs() <= ROUNDING_TOLERANCE * one.abs().max(other.abs())
        }
        _ => one == other,
    }
}

/// Whether all keys of a map are numbers: such maps are data, and not records with fixed names.
fn keyed_by_numbers(map: &serde_json::Map<String, Value>) -> bool {
    map.keys().all(|key| key.parse::<u64>().is_ok())
}

/// The first place at which two values differ in names or types. `None`: a program that reads one reads the other. Lists
/// and maps keyed by numbers may differ in length.
pub fn difference(recorded: &Value, now: &Value, path: &str) -> Option<String> {
    match (recorded, now) {
        (Value::Object(recorded), Value::Object(now)) => {
            if keyed_by_numbers(recorded) && keyed_by_numbers(now) {
                let pair = recorded.values().next().zip(now.values().next());
                return pair.and_then(|(one, other)| difference(one, other, &format!("{path}/0")));
            }
            let names = recorded.keys().chain(now.keys());
            names.into_iter().find_map(|name| match (recorded.get(name), now.get(name)) {
                (Some(one), Some(other)) => difference(one, other, &format!("{path}/{name}")),
                (Some(_), None) => Some(format!("{path}/{name} is no longer written")),
                _ => Some(format!("{path}/{name} is new: the recorded value lacks it")),
            })
        }
        (Value::Array(recorded), Value::Array(now)) => {
            let pair = recorded.first().zip(now.first());
            pair.and_then(|(one, other)| difference(one, other, &format!("{path}/0")))
        }
        (Value::Number(_), Value::Number(_))
        | (Value::String(_), Value::String(_))
        | (Value::Bool(_), Value::Bool(_))
        | (Value::Null, Value::Null) => None,
        _ => Some(format!("{path}: recorded as {recorded}, written as {now}")),
    }
}
