//! A node that has been checked against the schema, and what it says: a value, its default, or nothing.

mod typed;

use crate::diagnostic::Diagnostic;
use crate::files::SourceText;
use crate::schema::{Kind, NodeSchema, Presence, Values};
use crate::value::{Value, parse_default, read_entry};
use kdl::{KdlEntry, KdlNode};
use std::fmt::Display;
use std::path::{Path, PathBuf};
use std::rc::Rc;

/// A checked node. Its values are read by [`Item::values`], its properties and single children by the methods of their
/// type, such as [`Item::number`].
pub struct Item {
    pub(crate) text: Rc<SourceText>,
    pub(crate) node: KdlNode,
    pub(crate) schema: &'static NodeSchema,
    pub(crate) children: Vec<Item>,
}

impl Item {
    /// The node's name.
    pub fn name(&self) -> &'static str {
        self.schema.name
    }

    /// What may stand in this node.
    pub fn schema(&self) -> &'static NodeSchema {
        self.schema
    }

    /// The nodes below it, in the order of the text.
    pub fn children(&self) -> &[Item] {
        &self.children
    }

    /// The nodes of one name below it.
    pub(crate) fn children_named(&self, name: &'static str) -> impl Iterator<Item = &Item> {
        self.children.iter().filter(move |child| child.name() == name)
    }

    /// The node as it was read.
    pub fn node(&self) -> &KdlNode {
        &self.node
    }

    /// A finding at the node's name.
    pub fn diagnostic(&self, cause: impl Display) -> Diagnostic {
        self.text.diagnostic(self.node.name().span(), cause)
    }

    /// A finding at one of its properties; where that is not stated, at the node's name.
    pub fn diagnostic_at(&self, property: &str, cause: impl Display) -> Diagnostic {
        let span = self.entry(property).map_or(self.node.name().span(), KdlEntry::span);
        self.text.diagnostic(span, cause)
    }

    /// The finding that no such node may stand here.
    pub fn unknown(&self) -> Diagnostic {
        self.diagnostic(format!("{:?} is not known here", self.name()))
    }

    fn lacks(&self, what: &str) -> Diagnostic {
        self.diagnostic(format!("{:?} lacks {what:?}", self.name()))
    }

    fn entry(&self, property: &str) -> Option<&KdlEntry> {
        let is_named = |entry: &&KdlEntry| entry.name().is_some_and(|name| name.value() == property);
        self.node.entries().iter().find(is_named)
    }

    /// Whether a property is stated, and not its default.
    pub fn has_property(&self, property: &str) -> bool {
        self.entry(property).is_some()
    }

    /// What a property says, or its default.
    pub(crate) fn property(&self, name: &str) -> Result<Option<Value>, Diagnostic> {
        let Some(property) = self.schema.property(name) else { return Err(self.unknown()) };
        match (self.entry(name), property.presence) {
            (Some(entry), _) => read_entry(&self.text, entry, property.kind, name).map(Some),
            (None, Presence::Default(text)) => self.default(text, property.kind, name).map(Some),
            (None, Presence::Optional) => Ok(None),
            (None, Presence::Required) => Err(self.lacks(name)),
        }
    }

    /// The value of a child that takes one, or that child's default.
    fn child_value(&self, name: &str) -> Result<Option<Value>, Diagnostic> {
        let Some(schema) = self.schema.child(name) else { return Err(self.unknown()) };
        if let Some(child) = self.children.iter().find(|child| child.name() == name) {
            return Ok(child.values()?.into_iter().next());
        }
        match (schema.values, schema.presence) {
            (Values::One(kind, _), Presence::Default(text)) => self.default(text, kind, name).map(Some),
            _ => Ok(None),
        }
    }

    fn default(&self, text: &str, kind: Kind, name: &str) -> Result<Value, Diagnostic> {
        parse_default(text, kind, name).map_err(|error| self.diagnostic(error))
    }

    /// The values behind its name.
    ///
    /// # Errors
    ///
    /// If one of them is not of its kind.
    pub fn values(&self) -> Result<Vec<Value>, Diagnostic> {
        let kind = |index: usize| match (self.schema.values, index) {
            (Values::One(kind, _) | Values::Some(kind, _) | Values::Any(kind, _), _) => kind,
            (Values::Two(first, _, _), 0) => first,
            (Values::Two(_, second, _), _) => second,
            (Values::None, _) => Kind::Text,
        };
        let unnamed = self.node.entries().iter().filter(|entry| entry.name().is_none());
        let read = |(index, entry)| read_entry(&self.text, entry, kind(index), self.name());
        unnamed.enumerate().map(read).collect()
    }

    /// The first value, where it is a text.
    pub fn first_text(&self) -> Option<&str> {
        self.node.entries().iter().find(|entry| entry.name().is_none())?.value().as_string()
    }

    /// A path as seen from the folder of the file that states it.
    fn path_from_file(&self, path: &str) -> PathBuf {
        Path::new(&self.text.file).parent().map_or_else(|| path.into(), |folder| folder.join(path))
    }
}
