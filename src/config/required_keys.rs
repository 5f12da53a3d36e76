//! Which keys a configuration must hold to replace the one in force.
//!
//! Many keys have defaults, so that a file may omit them at a start. A file that replaces another must hold all keys of the
//! other, because a key that is gone is the mark of a broken file. Exempt are [`OPTIONAL_KEYS`], and in the entries of a
//! list those keys that an entry in force has done without.

use super::{ConfigError, InvalidValue};
use serde_json::Value;
use std::collections::BTreeMap;

/// Keys that the pages of the outer configuration call optional, by their paths; `[]` stands for each entry of a list.
const OPTIONAL_KEYS: [&str; 3] = ["admin", "settings.Classes[].AimStretch", "settings.Fees.Fleet"];

/// The keys and the types of values of a configuration file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shape(pub(super) Value);

/// The keys that a replacement of the configuration in force must hold.
#[derive(Clone, Debug, PartialEq)]
pub struct RequiredKeys(Requirement);

/// What a value of a replacement must hold.
#[derive(Clone, Debug, PartialEq)]
enum Requirement {
    /// Nothing: the value in force is null, or the entries of a list differ in their types.
    Nothing,
    /// A value that is not null.
    Value,
    /// An object with these keys.
    Object(BTreeMap<String, Requirement>),
    /// A list, and what each of its entries must hold; `None` if the list has had no entry yet.
    List(Option<Box<Requirement>>),
}

impl RequiredKeys {
    /// The keys that a replacement of this configuration must hold.
    pub fn of(in_force: &Shape) -> RequiredKeys {
        RequiredKeys(Requirement::of(&in_force.0, ""))
    }

    /// Checks that a configuration holds all required keys.
    ///
    /// # Errors
    ///
    /// [`InvalidValue::Removed`] at the first key that it lacks.
    pub fn check(&self, replacement: &Shape) -> Result<(), ConfigError> {
        match self.0.first_missing(&replacement.0, "") {
            Some(path) => Err(ConfigError::new(path, InvalidValue::Removed)),
            None => Ok(()),
        }
    }

    /// Puts a configuration in force in place of the previous one.
    pub fn replace(&mut self, replacement: &Shape) {
        let next = Requirement::of(&replacement.0, "");
        self.0 = std::mem::replace(&mut self.0, Requirement::Nothing).followed_by(next);
    }
}

impl Requirement {
    /// What a replacement of the value at a path must hold.
    fn of(value: &Value, path: &str) -> Requirement {
        match value {
            Value::Null => Requirement::Nothing,
            Value::Object(keys) => {
                let required = keys.iter().filter_map(|(key, value)| {
                    let path = key_path(path, key);
                    let is_optional = OPTIONAL_KEYS.contains(&path.as_str());
                    (!is_optional).then(|| (key.clone(), Requirement::of(value, &path)))
                });
                Requirement::Object(required.collect())
            }
            Value::Array(entries) => {
                let path = format!("{path}[]");
                let entries = entries.iter().map(|entry| Requirement::of(entry, &path));
                Requirement::List(entries.reduce(Requirement::common).map(Box::new))
            }
            _ => Requirement::Value,
        }
    }

    /// What both require.
    fn common(self, other: Requirement) -> Requirement {
        match (self, other) {
            (Requirement::Object(keys), Requirement::Object(mut others)) => {
                let both = keys.into_iter().filter_map(|(key, requirement)| {
                    let common = requirement.common(others.remove(&key)?);
                    Some((key, common))
                });
                Requirement::Object(both.collect())
            }
            (Requirement::List(one), Requirement::List(other)) => Requirement::List(common_entry(one, other)),
            (Requirement::Value, Requirement::Value) => Requirement::Value,
            _ => Requirement::Nothing,
        }
    }

    /// What is required once a value with the requirement `next` has replaced one with this requirement. Entries of lists come
    /// and go: they require what all entries before and now have in common.
    fn followed_by(self, next: Requirement) -> Requirement {
        match (self, next) {
            (Requirement::Object(mut previous), Requirement::Object(next)) => {
                let keys = next.into_iter().map(|(key, next)| match previous.remove(&key) {
                    Some(previous) => (key, previous.followed_by(next)),
                    None => (key, next),
                });
                Requirement::Object(keys.collect())
            }
            (Requirement::List(previous), Requirement::List(next)) => {
                Requirement::List(common_entry(previous, next))
            }
            (_, next) => next,
        }
    }

    /// The path of the first key that a value at `path` lacks, or of the value itself if it has another type.
    fn first_missing(&self, value: &Value, path: &str) -> Option<String> {
        match (self, value) {
            (Requirement::Value, Value::Null) => Some(path.to_owned()),
            (Requirement::Nothing | Requirement::Value, _) | (Requirement::List(None), Value::Array(_)) => {
                None
            }
            (Requirement::Object(required), Value::Object(held)) => {
                required.iter().find_map(|(key, requirement)| {
                    let path = key_path(path, key);
                    match held.get(key) {
                        Some(value) => requirement.first_missing(value, &path),
                        None => Some(path),
                    }
                })
            }
            (Requirement::List(Some(requirement)), Value::Array(entries)) => {
                let mut numbered = entries.iter().enumerate();
                numbered
                    .find_map(|(index, entry)| requirement.first_missing(entry, &format!("{path}[{index}]")))
            }
            (Requirement::Object(_) | Requirement::List(_), _) => Some(path.to_owned()),
        }
    }
}

/// What the entries of two lists have in common. A list without entries requires nothing of its own.
fn common_entry(one: Option<Box<Requirement>>, other: Option<Box<Requirement>>) -> Option<Box<Requirement>> {
    match (one, other) {
        (Some(one), Some(other)) => Some(Box::new(one.common(*other))),
        (one, other) => one.or(other),
    }
}

/// The path of a key of the object at `path`.
fn key_path(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}

#[cfg(test)]
mod tests;
