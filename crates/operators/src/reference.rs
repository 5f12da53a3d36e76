//! The reference page, and what may stand where, both from the schema.
//!
//! Results of writing are dropped: writing to a string does not fail.

use crate::schema::{Kind, NodeSchema, Presence, Values};
use crate::value::{alternatives, format_span};
use std::fmt::Write;

const HEAD: &str = "# The operators' file: reference\n\n\
    Made from the schema in `crates/operators/src/schema.rs` by `sagearch config reference`; a test holds the two\n\
    together. KDL 2, with `include \"FILE\"` in any place: what the file holds stands there. Times have units\n\
    (`250ms`, `30s`, `1h 30m`, `7d`). What is not named here is a fault.\n";

/// A page in Markdown with all that may stand in a file.
pub fn page(file: &NodeSchema, streamed: &NodeSchema) -> String {
    let mut page = String::from(HEAD);
    write_below(file, "", streamed, &mut page);
    page
}

/// One that takes values alone; it has a line in a table of its parent, and no section of its own.
fn is_leaf(schema: &NodeSchema) -> bool {
    schema.properties.is_empty() && schema.children.is_empty()
}

fn write_section(schema: &NodeSchema, path: &str, streamed: &NodeSchema, page: &mut String) {
    write_title(schema, path, streamed, page);
    if !matches!(schema.values, Values::None) {
        let _ = writeln!(page, "\nValues: {}.", values(schema.values));
    }
    if !schema.properties.is_empty() {
        write_properties(schema, page);
    }
    write_below(schema, path, streamed, page);
}

fn write_title(schema: &NodeSchema, path: &str, streamed: &NodeSchema, page: &mut String) {
    let _ = write!(page, "\n## `{path}`\n\n{}.", schema.about);
    if schema.repeatable {
        *page += " May stand more than once.";
    }
    let is_section_of_file = !path.contains(' ');
    if is_section_of_file && streamed.child(schema.name).is_some() {
        *page += " May be streamed by a control service.";
    }
    page.push('\n');
}

fn write_properties(schema: &NodeSchema, page: &mut String) {
    *page += "\n| property | value | without | meaning |\n| --- | --- | --- | --- |\n";
    for property in schema.properties {
        let kind = kind(property.kind);
        let without = without(property.presence);
        let _ = writeln!(page, "| `{}` | {kind} | {without} | {} |", property.name, property.about);
    }
}

/// The table of children that take values alone, and a section for each of the others.
fn write_below(schema: &NodeSchema, path: &str, streamed: &NodeSchema, page: &mut String) {
    let (leaves, others): (Vec<&NodeSchema>, Vec<&NodeSchema>) =
        schema.children.iter().copied().partition(|child| is_leaf(child));
    if !leaves.is_empty() {
        *page += "\n| node | values | without | meaning |\n| --- | --- | --- | --- |\n";
    }
    for leaf in leaves {
        let values = values(leaf.values);
        let without = without(leaf.presence);
        let repeatable = if leaf.repeatable { "; again and again" } else { "" };
        let _ = writeln!(page, "| `{}` | {values} | {without} | {}{repeatable} |", leaf.name, leaf.about);
    }
    for child in others {
        let path = if path.is_empty() { child.name.to_string() } else { format!("{path} {}", child.name) };
        write_section(child, &path, streamed, page);
    }
}

fn kind(kind: Kind) -> String {
    match kind {
        Kind::Text => "text".into(),
        Kind::Flag => "`#true` or `#false`".into(),
        Kind::Number(min, u64::MAX) => format!("number from {min}"),
        Kind::Number(min, max) => format!("number from {min} to {max}"),
        Kind::Span(min, max) => format!("time from {} to {}", format_span(min), format_span(max)),
        Kind::Timestamp => "moment (RFC 3339)".into(),
        Kind::Address => "address".into(),
        Kind::Loopback => "loopback address".into(),
        Kind::Network => "network or address".into(),
        Kind::Path => "path from the file's folder".into(),
        Kind::Choice(choices) => alternatives(choices),
        Kind::Choices(choices) => format!("some of {}, with blanks between", choices.join(", ")),
    }
}

fn without(presence: Presence) -> String {
    match presence {
        Presence::Required => "required".into(),
        Presence::Optional => "-".into(),
        Presence::Default(text) => format!("`{text}`"),
    }
}

fn values(values: Values) -> String {
    match values {
        Values::None => String::new(),
        Values::One(of, what) => format!("{what}: {}", kind(of)),
        Values::Two(first, second, what) => format!("{what}: {}, {}", kind(first), kind(second)),
        Values::Some(of, what) => format!("{what}: one or more, {}", kind(of)),
        Values::Any(of, what) => format!("{what}: any number, {}", kind(of)),
    }
}

/// What may be written at a place of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// The name of a node, or of a property with `=` behind it.
    pub text: String,
    /// What it means.
    pub about: &'static str,
}

/// What may stand below a path such as `["identity", "tenant"]`: nodes, and the last one's own properties with `=`.
/// `None`: there is no such path.
pub fn complete(file: &'static NodeSchema, path: &[&str]) -> Option<Vec<Completion>> {
    let schema = path.iter().try_fold(file, |schema, name| schema.child(name))?;
    let nodes =
        schema.children.iter().map(|child| Completion { text: child.name.into(), about: child.about });
    let properties = schema
        .properties
        .iter()
        .map(|property| Completion { text: format!("{}=", property.name), about: property.about });
    Some(nodes.chain(properties).collect())
}
