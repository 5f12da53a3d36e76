//! What differs between two files by meaning: the order of tenants, the spelling of a time and a default written out
//! make no difference; the order of rules does.

mod change;
mod describe;
mod ordered;

pub use change::Change;

use crate::item::Item;
use crate::schema::{Kind, Presence, Values};
use crate::value::{Value, parse_default};
use change::join;
use describe::{describe, describe_own, describe_value};
use std::collections::{BTreeMap, BTreeSet};

/// Nodes of which the first that fits counts.
const ORDERED: [&str; 4] = ["allow", "deny", "source", "address"];

/// All differences, by path.
pub fn compare(before: &[Item], after: &[Item]) -> Vec<Change> {
    let mut changes = Vec::new();
    let [before, after]: [Vec<&Item>; 2] = [before, after].map(|items| items.iter().collect());
    compare_siblings(&before, &after, "", &mut changes);
    changes
}

/// Compares all nodes below one node.
fn compare_siblings(before: &[&Item], after: &[&Item], path: &str, changes: &mut Vec<Change>) {
    ordered::compare(&ordered_lines(before), &ordered_lines(after), path, changes);
    let before = unordered_by_key(before);
    let after = unordered_by_key(after);
    let keys: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    for key in keys {
        let [before, after] = [&before, &after].map(|items| items.get(key).map_or(&[][..], Vec::as_slice));
        compare_alike(before, after, &join(path, key), changes);
    }
}

fn is_ordered(item: &Item) -> bool {
    ORDERED.contains(&item.name())
}

fn ordered_lines(items: &[&Item]) -> Vec<String> {
    let ordered = items.iter().filter(|item| is_ordered(item));
    ordered.map(|item| format!("{} {}", item.name(), describe(item))).collect()
}

fn unordered_by_key<'a>(items: &[&'a Item]) -> BTreeMap<String, Vec<&'a Item>> {
    let mut by_key: BTreeMap<String, Vec<&Item>> = BTreeMap::new();
    for item in items.iter().filter(|item| !is_ordered(item)) {
        by_key.entry(key(item)).or_default().push(item);
    }
    by_key
}

/// How an item is told from its neighbours: a tenant by its name, most others by all that they say.
fn key(item: &Item) -> String {
    match (item.schema().repeatable, item.schema().values) {
        (true, Values::One(Kind::Text, _)) => {
            format!("{} {:?}", item.name(), item.first_text().unwrap_or_default())
        }
        (true, _) => format!("{} {}", item.name(), describe_own(item)),
        (false, _) => item.name().to_string(),
    }
}

/// Compares nodes with one key, pair by pair.
fn compare_alike(before: &[&Item], after: &[&Item], path: &str, changes: &mut Vec<Change>) {
    for index in 0..before.len().max(after.len()) {
        match (before.get(index), after.get(index)) {
            (Some(before), Some(after)) => compare_items(before, after, path, changes),
            (Some(before), None) => {
                changes.push(Change::Removed { path: path.into(), before: describe(before) });
            }
            (None, Some(after)) => changes.push(Change::Added { path: path.into(), after: describe(after) }),
            (None, None) => {}
        }
    }
}

fn compare_items(before: &Item, after: &Item, path: &str, changes: &mut Vec<Change>) {
    push_if_changed(path.into(), describe_own(before), describe_own(after), changes);
    let mut compared = Vec::new();
    for schema in before.schema().children.iter().filter(|schema| !schema.repeatable) {
        let (Presence::Default(default), Values::One(kind, _)) = (schema.presence, schema.values) else {
            continue;
        };
        // A child with a default that is not written says its default.
        let value = |item: &Item| {
            let child = item.children().iter().find(|child| child.name() == schema.name);
            let value: Option<Value> = match child {
                Some(child) => child.values().ok().and_then(|values| values.into_iter().next()),
                None => parse_default(default, kind, schema.name).ok(),
            };
            value.as_ref().map(describe_value).unwrap_or_default()
        };
        push_if_changed(join(path, schema.name), value(before), value(after), changes);
        compared.push(schema.name);
    }
    let rest = |child: &&Item| !compared.contains(&child.name());
    let before: Vec<&Item> = before.children().iter().filter(rest).collect();
    let after: Vec<&Item> = after.children().iter().filter(rest).collect();
    compare_siblings(&before, &after, path, changes);
}

fn push_if_changed(path: String, before: String, after: String, changes: &mut Vec<Change>) {
    if before != after {
        changes.push(Change::Changed { path, before, after });
    }
}
