//! Checks a text against the schema. What has passed can be read without a second look at kinds and bounds.

use crate::diagnostic::{Diagnostic, Diagnostics};
use crate::files::{Files, SourceNode, read_with_includes};
use crate::item::Item;
use crate::schema::{Kind, NodeSchema, Presence, Values};
use crate::value::read_entry;
use kdl::{KdlEntry, KdlIdentifier};
use std::collections::BTreeSet;

/// Changed, missing or further characters up to which a known name is suggested for an unknown one.
const MAX_SUGGESTION_DISTANCE: usize = 2;
/// Characters of an unknown name that are compared with known ones.
const MAX_COMPARED_CHARACTERS: usize = 64;

/// Reads a file and what it includes, and checks all of it against a schema.
///
/// # Errors
///
/// All findings, if there are any.
pub fn read(name: &str, files: &dyn Files, schema: &'static NodeSchema) -> Result<Vec<Item>, Diagnostics> {
    let nodes = read_with_includes(name, files)?;
    let mut diagnostics = Diagnostics::default();
    let items = check_nodes(nodes, schema, &mut diagnostics);
    diagnostics.into_result(items)
}

/// Checks the nodes that stand below a node of the schema. Those that are not known there are left out.
fn check_nodes(
    nodes: Vec<SourceNode>,
    parent: &'static NodeSchema,
    diagnostics: &mut Diagnostics,
) -> Vec<Item> {
    let mut seen = BTreeSet::new();
    let mut items = Vec::new();
    for node in nodes {
        let Some(schema) = diagnostics.record(schema_of(&node, parent)) else { continue };
        if !seen.insert(schema.name) && !schema.repeatable {
            diagnostics.push(node.diagnostic(format!("{:?} stands twice", schema.name)));
            continue;
        }
        check_entries(&node, schema, diagnostics);
        let SourceNode { text, node, children } = node;
        let children = check_nodes(children, schema, diagnostics);
        items.push(Item { text, node, schema, children });
    }
    items
}

fn schema_of(node: &SourceNode, parent: &'static NodeSchema) -> Result<&'static NodeSchema, Diagnostic> {
    let name = node.node.name().value();
    parent.child(name).ok_or_else(|| {
        let suggestion = suggestion(name, parent.children.iter().map(|child| child.name));
        node.diagnostic(format!("{name:?} is not known here{suggestion}"))
    })
}

/// A known name that is nearly the same, for slips of the pen.
fn suggestion(name: &str, mut known: impl Iterator<Item = &'static str>) -> String {
    let similar = known.find(|known| distance(known, name) <= MAX_SUGGESTION_DISTANCE);
    similar.map_or_else(String::new, |known| format!("; {known:?} is"))
}

/// Changed, missing or further characters (Levenshtein), of short names.
fn distance(known: &str, name: &str) -> usize {
    let known: Vec<char> = known.chars().collect();
    let name: Vec<char> = name.chars().take(MAX_COMPARED_CHARACTERS).collect();
    let mut row: Vec<usize> = (0..=name.len()).collect();
    for (index, known) in known.iter().enumerate() {
        let mut diagonal = std::mem::replace(&mut row[0], index + 1);
        for (column, other) in name.iter().enumerate() {
            let replaced = diagonal + usize::from(known != other);
            diagonal = row[column + 1];
            row[column + 1] = replaced.min(diagonal + 1).min(row[column] + 1);
        }
    }
    row[name.len()]
}

fn check_entries(node: &SourceNode, schema: &'static NodeSchema, diagnostics: &mut Diagnostics) {
    check_properties(node, schema, diagnostics);
    let values: Vec<&KdlEntry> = node.node.entries().iter().filter(|entry| entry.name().is_none()).collect();
    let Some(kinds) = kinds_of_values(schema.values, values.len()) else {
        diagnostics.push(node.diagnostic(format!("{:?} {}", schema.name, expected_values(schema.values))));
        return;
    };
    for (entry, kind) in values.into_iter().zip(kinds) {
        diagnostics.record(read_entry(&node.text, entry, kind, schema.name));
    }
}

fn check_properties(node: &SourceNode, schema: &'static NodeSchema, diagnostics: &mut Diagnostics) {
    let mut seen = BTreeSet::new();
    for entry in node.node.entries() {
        let Some(name) = entry.name().map(KdlIdentifier::value) else { continue };
        if !seen.insert(name) {
            diagnostics.push(node.text.diagnostic(entry.span(), format!("{name:?} stands twice")));
        }
        match schema.property(name) {
            None => {
                let suggestion = suggestion(name, schema.properties.iter().map(|property| property.name));
                let cause = format!("{name:?} is not known to {:?}{suggestion}", schema.name);
                diagnostics.push(node.text.diagnostic(entry.span(), cause));
            }
            Some(property) => {
                diagnostics.record(read_entry(&node.text, entry, property.kind, name));
            }
        }
    }
    for property in schema.properties {
        if property.presence == Presence::Required && !seen.contains(property.name) {
            diagnostics.push(node.diagnostic(format!("{:?} lacks {:?}", schema.name, property.name)));
        }
    }
}

/// The kind of each of `count` values. `None`: there can't be so many.
fn kinds_of_values(values: Values, count: usize) -> Option<Vec<Kind>> {
    match (values, count) {
        (Values::None, 0) => Some(Vec::new()),
        (Values::One(kind, _), 1) => Some(vec![kind]),
        (Values::Two(first, second, _), 2) => Some(vec![first, second]),
        (Values::Some(kind, _), 1..) | (Values::Any(kind, _), _) => Some(vec![kind; count]),
        _ => None,
    }
}

fn expected_values(values: Values) -> String {
    match values {
        Values::None | Values::Any(..) => "takes no values".to_string(),
        Values::One(_, what) => format!("takes one value: {what}"),
        Values::Two(_, _, what) => format!("takes two values: {what}"),
        Values::Some(_, what) => format!("takes values: {what}"),
    }
}
