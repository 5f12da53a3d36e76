//! What a schema is made of: kinds of values, properties, and nodes with what may stand below them.

/// Milliseconds of a second.
pub(super) const SECOND: u64 = 1_000;
/// Milliseconds of an hour.
pub(super) const HOUR: u64 = 3_600 * SECOND;
/// Milliseconds of a day.
pub(super) const DAY: u64 = 24 * HOUR;

/// What a value is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// Any text but an empty one.
    Text,
    /// `#true` or `#false`.
    Flag,
    /// A whole number, with the lowest and the highest allowed.
    Number(u64, u64),
    /// A time span with its unit, with the shortest and the longest allowed in milliseconds.
    Span(u64, u64),
    /// A timestamp by RFC 3339.
    Timestamp,
    /// An IP address with a port.
    Address,
    /// An address that only this machine reaches.
    Loopback,
    /// A network, or an IP address as one.
    Network,
    /// A path from the file's folder.
    Path,
    /// One of these.
    Choice(&'static [&'static str]),
    /// Some of these, with blanks between.
    Choices(&'static [&'static str]),
}

/// What holds where a value is not stated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Presence {
    /// It must be stated.
    Required,
    /// It has no value.
    Optional,
    /// It has this value, written as in a file.
    Default(&'static str),
}

/// `name=value`
#[derive(Debug)]
pub struct Property {
    /// Its name.
    pub name: &'static str,
    /// What its value is.
    pub kind: Kind,
    /// What holds where it is not stated.
    pub presence: Presence,
    /// What it means, for the reference page.
    pub about: &'static str,
}

/// Values behind a node's name. The text says what they are, for messages and the reference page.
#[derive(Clone, Copy, Debug)]
pub enum Values {
    /// No values.
    None,
    /// One value.
    One(Kind, &'static str),
    /// Two of different kinds.
    Two(Kind, Kind, &'static str),
    /// One or more.
    Some(Kind, &'static str),
    /// Any number.
    Any(Kind, &'static str),
}

/// A node: what may stand behind its name, and below it.
#[derive(Clone, Copy, Debug)]
pub struct NodeSchema {
    /// Its name.
    pub name: &'static str,
    /// What it means, for the reference page.
    pub about: &'static str,
    /// The values behind its name.
    pub values: Values,
    /// Its properties.
    pub properties: &'static [Property],
    /// The nodes that may stand below it.
    pub children: &'static [&'static NodeSchema],
    /// It may stand more than once in one place.
    pub repeatable: bool,
    /// What holds where it is not stated.
    pub presence: Presence,
}

/// A property.
pub(super) const fn property(
    name: &'static str,
    kind: Kind,
    presence: Presence,
    about: &'static str,
) -> Property {
    Property { name, kind, presence, about }
}

/// A node with one value and nothing else.
pub(super) const fn value(
    name: &'static str,
    kind: Kind,
    presence: Presence,
    about: &'static str,
) -> NodeSchema {
    NodeSchema {
        name,
        about,
        values: Values::One(kind, "value"),
        properties: &[],
        children: &[],
        repeatable: false,
        presence,
    }
}

/// A node that may stand once, and need not.
pub(super) const fn node(
    name: &'static str,
    values: Values,
    properties: &'static [Property],
    children: &'static [&'static NodeSchema],
    about: &'static str,
) -> NodeSchema {
    NodeSchema { name, about, values, properties, children, repeatable: false, presence: Presence::Optional }
}

/// The same, and it may stand more than once.
pub(super) const fn repeatable(schema: NodeSchema) -> NodeSchema {
    NodeSchema { repeatable: true, ..schema }
}

impl NodeSchema {
    /// The schema of a node that may stand below this one.
    pub fn child(&self, name: &str) -> Option<&'static NodeSchema> {
        self.children.iter().copied().find(|schema| schema.name == name)
    }

    /// A property of this node.
    pub fn property(&self, name: &str) -> Option<&'static Property> {
        self.properties.iter().find(|property| property.name == name)
    }
}
