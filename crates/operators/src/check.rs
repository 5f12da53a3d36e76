//! Holds a text against the schema. What has passed can be read without a second look at kinds and bounds.

use crate::fault::{Fault, Faults};
use crate::files::{Files, Placed, Text, gather};
use crate::item::Item;
use crate::schema::{Kind, Rule, Values, Without};
use kdl::{KdlEntry, KdlValue};
use miette::SourceSpan;
use sagearch_identity::Millis;
use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};

/// A value that has been read by its kind.
#[derive(Clone, Debug, PartialEq)]
pub enum Read {
    Text(String),
    Flag(bool),
    Number(u64),
    /// Milliseconds: a span, or since the Unix clock's begin.
    Millis(Millis),
    Address(SocketAddr),
    Network(ipnet::IpNet),
}

/// Reads a file, what it includes, and holds all of it against a rule.
pub fn read(name: &str, files: &dyn Files, rule: &'static Rule) -> Result<Vec<Item>, Faults> {
    let placed = gather(name, files)?;
    let mut faults = Faults::default();
    let items = items(placed, rule, &mut faults);
    faults.or(items)
}

fn items(placed: Vec<Placed>, rule: &'static Rule, faults: &mut Faults) -> Vec<Item> {
    let (mut seen, mut read) = (BTreeSet::new(), Vec::new());
    for one in placed {
        let name = one.node.name().value().to_string();
        let fault = |cause: String| Fault::new(&one.text.file, &one.text.text, one.node.name().span(), cause);
        let Some(known) = rule.child(&name) else {
            let known = like(&name, rule.children.iter().map(|rule| rule.name));
            faults.push(fault(format!("{name:?} is not known here{known}")));
            continue;
        };
        if !seen.insert(name.clone()) && !known.many {
            faults.push(fault(format!("{name:?} stands twice")));
            continue;
        }
        entries(&one, known, faults);
        let Placed { text, node, children } = one;
        let children = items(children, known, faults);
        read.push(Item { text, node, rule: known, children });
    }
    read
}

/// A known name that is nearly the same, for slips of the pen.
fn like(name: &str, mut known: impl Iterator<Item = &'static str>) -> String {
    known.find(|known| distance(known, name) <= 2).map_or(String::new(), |known| format!("; {known:?} is"))
}

/// Changed, missing or further characters (Levenshtein), of short names.
fn distance(one: &str, other: &str) -> usize {
    let (one, other): (Vec<char>, Vec<char>) = (one.chars().collect(), other.chars().take(64).collect());
    let mut row: Vec<usize> = (0..=other.len()).collect();
    for (at, a) in one.iter().enumerate() {
        let mut before = std::mem::replace(&mut row[0], at + 1);
        for (to, b) in other.iter().enumerate() {
            let changed = before + usize::from(a != b);
            before = row[to + 1];
            row[to + 1] = changed.min(before + 1).min(row[to] + 1);
        }
    }
    row[other.len()]
}

fn entries(one: &Placed, rule: &'static Rule, faults: &mut Faults) {
    let fault = |span: SourceSpan, cause: String| Fault::new(&one.text.file, &one.text.text, span, cause);
    let (mut seen, mut values) = (BTreeSet::new(), Vec::new());
    for entry in one.node.entries() {
        let Some(name) = entry.name().map(|name| name.value()) else {
            values.push(entry);
            continue;
        };
        if !seen.insert(name) {
            faults.push(fault(entry.span(), format!("{name:?} stands twice")));
        }
        match rule.property(name) {
            None => {
                let known = like(name, rule.properties.iter().map(|property| property.name));
                let cause = format!("{name:?} is not known to {:?}{known}", rule.name);
                faults.push(fault(entry.span(), cause));
            }
            Some(property) => drop(faults.keep(value(&one.text, entry, property.kind, name))),
        }
    }
    for property in rule.properties {
        if property.without == Without::Fault && !seen.contains(property.name) {
            faults.push(fault(one.node.name().span(), format!("{:?} lacks {:?}", rule.name, property.name)));
        }
    }
    let kinds: Vec<Kind> = match (rule.values, values.len()) {
        (Values::None, 0) => Vec::new(),
        (Values::One(kind, _), 1) => vec![kind],
        (Values::Two(first, second, _), 2) => vec![first, second],
        (Values::Some(kind, _), count) if count > 0 => vec![kind; count],
        (Values::Any(kind, _), count) => vec![kind; count],
        (wanted, _) => {
            let wanted = match wanted {
                Values::None | Values::Any(..) => "takes no values".to_string(),
                Values::One(_, what) => format!("takes one value: {what}"),
                Values::Two(_, _, what) => format!("takes two values: {what}"),
                Values::Some(_, what) => format!("takes values: {what}"),
            };
            return faults.push(fault(one.node.name().span(), format!("{:?} {wanted}", rule.name)));
        }
    };
    for (entry, kind) in values.into_iter().zip(kinds) {
        faults.keep(value(&one.text, entry, kind, rule.name));
    }
}

/// Reads a value by its kind.
pub fn value(text: &Text, entry: &KdlEntry, kind: Kind, called: &str) -> Result<Read, Fault> {
    by_kind(entry.value(), kind, called)
        .map_err(|cause| Fault::new(&text.file, &text.text, entry.span(), cause))
}

/// The same of a default, which is written as in a file.
pub fn default(text: &str, kind: Kind, called: &str) -> Result<Read, String> {
    let value = match kind {
        Kind::Flag => KdlValue::Bool(text == "#true"),
        Kind::Number(..) => KdlValue::Integer(text.parse().unwrap_or(-1)),
        _ => KdlValue::String(text.into()),
    };
    by_kind(&value, kind, called)
}

fn by_kind(value: &KdlValue, kind: Kind, called: &str) -> Result<Read, String> {
    let text = || match value {
        KdlValue::String(text) if !text.is_empty() => Ok(text.as_str()),
        _ => Err(format!("{called} is no text, or empty")),
    };
    match kind {
        Kind::Text | Kind::Path => Ok(Read::Text(text()?.into())),
        Kind::Flag => value.as_bool().map(Read::Flag).ok_or(format!("{called} is neither #true nor #false")),
        Kind::Number(least, most) => {
            let number = value.as_integer().and_then(|value| u64::try_from(value).ok());
            let number = number.filter(|number| (least..=most).contains(number));
            let range =
                if most == u64::MAX { format!("from {least}") } else { format!("from {least} to {most}") };
            number.map(Read::Number).ok_or(format!("{called} is no whole number {range}"))
        }
        Kind::Span(least, most) => {
            if matches!(value, KdlValue::Integer(_) | KdlValue::Float(_)) {
                return Err(format!("{called} is a time without its unit, like \"30s\""));
            }
            let text = text()?;
            let span: jiff::SignedDuration =
                text.parse().map_err(|_| format!("{text:?} is no time like \"250ms\" or \"1h 30m\""))?;
            let millis = u64::try_from(span.as_millis()).ok().filter(|ms| (least..=most).contains(ms));
            let range = || format!("{text:?} is not from {} to {}", span_text(least), span_text(most));
            millis.map(Read::Millis).ok_or_else(range)
        }
        Kind::Moment => {
            let text = text()?;
            let moment = text.parse::<jiff::Timestamp>().ok();
            let millis = moment.and_then(|moment| u64::try_from(moment.as_millisecond()).ok());
            let bad = || format!("{text:?} is no moment like \"2026-11-30T18:00:00Z\"");
            millis.map(Read::Millis).ok_or_else(bad)
        }
        Kind::Address | Kind::Loopback => {
            let text = text()?;
            let bad = |_| format!("{text:?} is no address like 127.0.0.1:5050");
            let at: SocketAddr = text.parse().map_err(bad)?;
            if kind == Kind::Loopback && !at.ip().is_loopback() {
                return Err(format!("{at} is not a loopback address"));
            }
            Ok(Read::Address(at))
        }
        Kind::Network => {
            let text = text()?;
            let net = text.parse().or_else(|_| text.parse::<IpAddr>().map(Into::into));
            net.map(Read::Network).map_err(|_| format!("{text:?} is not a network like 127.0.0.0/8"))
        }
        Kind::Word(words) => {
            let text = text()?;
            match words.contains(&text) {
                true => Ok(Read::Text(text.into())),
                false => Err(format!("{text:?} is not {}", one_of(words))),
            }
        }
        Kind::Words(words) => {
            let text = text()?;
            match text.split_whitespace().find(|word| !words.contains(word)) {
                None => Ok(Read::Text(text.into())),
                Some(word) => Err(format!("{word:?} is not {}", one_of(words))),
            }
        }
    }
}

/// `a, b or c`
pub fn one_of(words: &[&str]) -> String {
    match words.split_last() {
        Some((last, rest)) if !rest.is_empty() => format!("{} or {last}", rest.join(", ")),
        _ => words.concat(),
    }
}

/// Milliseconds in the largest unit that holds them whole.
pub fn span_text(millis: Millis) -> String {
    let units = [(86_400_000, "d"), (3_600_000, "h"), (60_000, "m"), (1_000, "s")];
    let whole = units.iter().find(|(unit, _)| millis > 0 && millis.is_multiple_of(*unit));
    whole.map_or(format!("{millis}ms"), |(unit, name)| format!("{}{name}", millis / unit))
}
