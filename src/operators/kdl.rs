//! Reading KDL with the place of every fault: file, line and column.
//!
//! [`Node`] and [`Value`] wrap the parser's own; each part of the file asks for what it knows, and whatever has not
//! been asked for by [`Node::done`] is a fault, so that a slip of the pen never means "off".

use kdl::{KdlDocument, KdlEntry, KdlNode, KdlValue};
use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode, SourceSpan};
use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;

/// The largest file that is read.
pub const LARGEST: usize = 16 * 1024 * 1024;

/// What is wrong, and where.
#[derive(Debug)]
pub struct Fault {
    source: NamedSource<String>,
    span: SourceSpan,
    cause: String,
}

impl Fault {
    pub fn new(file: &str, text: &str, span: SourceSpan, cause: impl fmt::Display) -> Fault {
        Fault { source: NamedSource::new(file, text.to_string()), span, cause: cause.to_string() }
    }

    /// Line and column, from 1; both 0 where the file could not be read at all.
    pub fn place(&self) -> (usize, usize) {
        let held = self.source.inner();
        if held.is_empty() {
            return (0, 0);
        }
        let found = self.source.read_span(&self.span, 0, 0);
        found.map_or((0, 0), |found| (found.line() + 1, found.column() + 1))
    }

    pub fn cause(&self) -> &str {
        &self.cause
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.place() {
            (0, _) => write!(f, "{}: {}", self.source.name(), self.cause),
            (line, column) => write!(f, "{}:{line}:{column}: {}", self.source.name(), self.cause),
        }
    }
}

impl std::error::Error for Fault {}

impl Diagnostic for Fault {
    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.source)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let label = LabeledSpan::new_with_span(Some(self.cause.clone()), self.span);
        Some(Box::new(std::iter::once(label)))
    }
}

/// A file's text, and what it is called.
pub struct Text<'a> {
    pub file: &'a str,
    pub text: &'a str,
}

impl Text<'_> {
    pub fn parse(&self) -> Result<KdlDocument, Fault> {
        if self.text.len() > LARGEST {
            let cause = format!("{} bytes are over {LARGEST}", self.text.len());
            return Err(self.fault((0, 0).into(), cause));
        }
        KdlDocument::parse(self.text).map_err(|error| {
            let first = error.diagnostics.first();
            let span = first.map_or((0, 0).into(), |first| first.span);
            let said = first.and_then(|first| first.message.clone().or(first.label.clone()));
            self.fault(span, said.unwrap_or_else(|| "not KDL".into()))
        })
    }

    fn fault(&self, span: SourceSpan, cause: impl fmt::Display) -> Fault {
        Fault::new(self.file, self.text, span, cause)
    }

    pub fn nodes<'t>(&'t self, document: &'t KdlDocument) -> Vec<Node<'t>> {
        document.nodes().iter().map(|node| Node { text: self, node, taken: RefCell::default() }).collect()
    }

    /// A path as the file means it: from its own folder.
    fn path(&self, path: &str) -> PathBuf {
        Path::new(self.file).parent().map_or_else(|| path.into(), |folder| folder.join(path))
    }
}

pub struct Node<'t> {
    text: &'t Text<'t>,
    node: &'t KdlNode,
    /// Entries that have been asked for.
    taken: RefCell<Vec<usize>>,
}

impl<'t> Node<'t> {
    pub fn name(&self) -> &'t str {
        self.node.name().value()
    }

    pub fn fault(&self, cause: impl fmt::Display) -> Fault {
        self.text.fault(self.node.name().span(), cause)
    }

    /// A fault of a node that nobody knows.
    pub fn unknown(&self) -> Fault {
        self.fault(format!("{:?} is not known here", self.name()))
    }

    fn value(&self, at: usize, entry: &'t KdlEntry) -> Value<'t> {
        self.taken.borrow_mut().push(at);
        Value { text: self.text, entry, of: self.name() }
    }

    /// What stands behind the name, without names of its own.
    pub fn arguments(&self) -> Vec<Value<'t>> {
        let entries = self.node.entries().iter().enumerate();
        entries.filter(|(_, entry)| entry.name().is_none()).map(|(at, entry)| self.value(at, entry)).collect()
    }

    pub fn argument(&self) -> Result<Value<'t>, Fault> {
        let mut all = self.arguments();
        match (all.pop(), all.pop()) {
            (Some(one), None) => Ok(one),
            _ => Err(self.fault(format!("{:?} takes one value", self.name()))),
        }
    }

    /// `None`: it does not stand there. Twice is a fault, as either could be meant.
    pub fn property(&self, name: &str) -> Result<Option<Value<'t>>, Fault> {
        let named =
            |(_, entry): &(usize, &'t KdlEntry)| entry.name().is_some_and(|held| held.value() == name);
        let mut found = self.node.entries().iter().enumerate().filter(named);
        match (found.next(), found.next()) {
            (Some(_), Some((_, again))) => {
                Err(self.text.fault(again.span(), format!("{name:?} stands twice")))
            }
            (Some((at, entry)), None) => Ok(Some(self.value(at, entry))),
            _ => Ok(None),
        }
    }

    pub fn required(&self, name: &str) -> Result<Value<'t>, Fault> {
        self.property(name)?.ok_or_else(|| self.fault(format!("{:?} lacks {name:?}", self.name())))
    }

    /// What a property holds, or what holds without it.
    pub fn or<T>(
        &self,
        name: &str,
        without: T,
        read: impl FnOnce(&Value<'t>) -> Result<T, Fault>,
    ) -> Result<T, Fault> {
        self.property(name)?.map_or(Ok(without), |value| read(&value))
    }

    pub fn children(&self) -> Vec<Node<'t>> {
        self.node.children().map_or_else(Vec::new, |children| self.text.nodes(children))
    }

    /// Whatever has not been asked for is not known.
    pub fn done(&self) -> Result<(), Fault> {
        let taken = self.taken.borrow();
        let left = self.node.entries().iter().enumerate().find(|(at, _)| !taken.contains(at));
        match left {
            Some((_, entry)) => {
                let name = entry.name().map_or_else(|| entry.value().to_string(), |name| name.value().into());
                let cause = format!("{name:?} is not known to {:?}", self.name());
                Err(self.text.fault(entry.span(), cause))
            }
            None => Ok(()),
        }
    }

    /// The same, and no children either.
    pub fn leaf(&self) -> Result<(), Fault> {
        match self.children().first() {
            Some(child) => Err(child.unknown()),
            None => self.done(),
        }
    }
}

pub struct Value<'t> {
    text: &'t Text<'t>,
    entry: &'t KdlEntry,
    of: &'t str,
}

impl<'t> Value<'t> {
    pub fn fault(&self, cause: impl fmt::Display) -> Fault {
        self.text.fault(self.entry.span(), cause)
    }

    fn called(&self) -> &'t str {
        self.entry.name().map_or(self.of, |name| name.value())
    }

    pub fn text(&self) -> Result<&'t str, Fault> {
        match self.entry.value() {
            KdlValue::String(text) if !text.is_empty() => Ok(text),
            _ => Err(self.fault(format!("{} is no text, or empty", self.called()))),
        }
    }

    pub fn string(&self) -> Result<String, Fault> {
        self.text().map(str::to_string)
    }

    pub fn flag(&self) -> Result<bool, Fault> {
        let flag = self.entry.value().as_bool();
        flag.ok_or_else(|| self.fault(format!("{} is neither #true nor #false", self.called())))
    }

    pub fn number(&self, least: u64, most: u64) -> Result<u64, Fault> {
        let value = self.entry.value().as_integer().and_then(|value| u64::try_from(value).ok());
        let value = value.filter(|value| (least..=most).contains(value));
        value
            .ok_or_else(|| self.fault(format!("{} is no whole number from {least} to {most}", self.called())))
    }

    /// A time with its unit, in milliseconds.
    pub fn span(&self, least: u64, most: u64) -> Result<u64, Fault> {
        let bad = |cause: String| self.fault(cause);
        if matches!(self.entry.value(), KdlValue::Integer(_) | KdlValue::Float(_)) {
            return Err(bad(format!("{} is a time without its unit, like \"30s\"", self.called())));
        }
        let text = self.text()?;
        let span: jiff::SignedDuration =
            text.parse().map_err(|_| bad(format!("{text:?} is no time like \"250ms\" or \"1h 30m\"")))?;
        let millis = u64::try_from(span.as_millis()).unwrap_or(u64::MAX);
        if span.is_negative() || !(least..=most).contains(&millis) {
            return Err(bad(format!("{text:?} is not from {least} ms to {most} ms")));
        }
        Ok(millis)
    }

    /// A moment (RFC 3339), in Unix milliseconds.
    pub fn moment(&self) -> Result<u64, Fault> {
        let text = self.text()?;
        let bad = || self.fault(format!("{text:?} is no moment like \"2026-11-30T18:00:00Z\""));
        let moment: jiff::Timestamp = text.parse().map_err(|_| bad())?;
        u64::try_from(moment.as_millisecond()).map_err(|_| bad())
    }

    pub fn parsed<T: FromStr>(&self, like: &str) -> Result<T, Fault> {
        let text = self.text()?;
        text.parse().map_err(|_| self.fault(format!("{text:?} is no {like}")))
    }

    pub fn address(&self) -> Result<SocketAddr, Fault> {
        self.parsed("address like 127.0.0.1:5050")
    }

    /// One that only this machine reaches.
    pub fn loopback(&self) -> Result<SocketAddr, Fault> {
        let at = self.address()?;
        if at.ip().is_loopback() {
            Ok(at)
        } else {
            Err(self.fault(format!("{at} is not a loopback address")))
        }
    }

    /// A network; an address stands for itself alone.
    pub fn network(&self) -> Result<ipnet::IpNet, Fault> {
        let text = self.text()?;
        let net = text.parse().or_else(|_| text.parse::<std::net::IpAddr>().map(Into::into));
        net.map_err(|_| self.fault(format!("{text:?} is not a network like 127.0.0.0/8")))
    }

    pub fn path(&self) -> Result<PathBuf, Fault> {
        Ok(self.text.path(self.text()?))
    }

    pub fn path_text(&self) -> Result<String, Fault> {
        Ok(self.path()?.to_string_lossy().into_owned())
    }
}
