//! Values by their kinds: read from an entry of a text or from a default of the schema.

use crate::diagnostic::Diagnostic;
use crate::files::SourceText;
use crate::schema::Kind;
use ipnet::IpNet;
use kdl::{KdlEntry, KdlValue};
use sagearch_identity::Millis;
use std::net::{AddrParseError, IpAddr, SocketAddr};
use thiserror::Error;

/// A value that has been read by its kind.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// Any text, a path, or one or several of a list of choices.
    Text(String),
    /// `#true` or `#false`.
    Flag(bool),
    /// A whole number.
    Number(u64),
    /// Milliseconds: a time span, or since the Unix epoch.
    Millis(Millis),
    /// An IP address with its port.
    Address(SocketAddr),
    /// A network, or a single IP address as one.
    Network(IpNet),
}

impl Value {
    pub(crate) fn into_text(self) -> Option<String> {
        if let Value::Text(text) = self { Some(text) } else { None }
    }

    pub(crate) fn into_flag(self) -> Option<bool> {
        if let Value::Flag(flag) = self { Some(flag) } else { None }
    }

    pub(crate) fn into_number(self) -> Option<u64> {
        if let Value::Number(number) = self { Some(number) } else { None }
    }

    pub(crate) fn into_millis(self) -> Option<Millis> {
        if let Value::Millis(millis) = self { Some(millis) } else { None }
    }

    pub(crate) fn into_address(self) -> Option<SocketAddr> {
        if let Value::Address(address) = self { Some(address) } else { None }
    }

    pub(crate) fn into_network(self) -> Option<IpNet> {
        if let Value::Network(network) = self { Some(network) } else { None }
    }
}

/// Why a value is not one of its kind. `key`: the name of its property or node.
#[derive(Clone, Debug, Error)]
pub enum ValueError {
    /// Not a text, or an empty one.
    #[error("{key} is no text, or empty")]
    NotText {
        /// Whose value it is.
        key: String,
    },
    /// Not a flag.
    #[error("{key} is neither #true nor #false")]
    NotFlag {
        /// Whose value it is.
        key: String,
    },
    /// Not a whole number, or one outside its bounds.
    #[error("{key} is no whole number {}", number_range(*min, *max))]
    NotNumber {
        /// Whose value it is.
        key: String,
        /// The lowest allowed.
        min: u64,
        /// The highest allowed.
        max: u64,
    },
    /// A number where a time span with its unit is expected.
    #[error("{key} is a time without its unit, like \"30s\"")]
    NoUnit {
        /// Whose value it is.
        key: String,
    },
    /// Not a time span.
    #[error("{text:?} is no time like \"250ms\" or \"1h 30m\"")]
    NotSpan {
        /// What stands there.
        text: String,
        /// Why it was not read.
        source: jiff::Error,
    },
    /// A time span outside its bounds.
    #[error("{text:?} is not from {} to {}", format_span(*min), format_span(*max))]
    SpanOutOfRange {
        /// What stands there.
        text: String,
        /// The shortest allowed.
        min: Millis,
        /// The longest allowed.
        max: Millis,
    },
    /// Not a timestamp, or one before the Unix epoch.
    #[error("{text:?} is no moment like \"2026-11-30T18:00:00Z\"")]
    NotTimestamp {
        /// What stands there.
        text: String,
    },
    /// Not an IP address with a port.
    #[error("{text:?} is no address like 127.0.0.1:5050")]
    NotAddress {
        /// What stands there.
        text: String,
        /// Why it was not read.
        source: AddrParseError,
    },
    /// An address that other machines can reach.
    #[error("{address} is not a loopback address")]
    NotLoopback {
        /// What stands there.
        address: SocketAddr,
    },
    /// Neither a network nor an IP address.
    #[error("{text:?} is not a network like 127.0.0.0/8")]
    NotNetwork {
        /// What stands there.
        text: String,
        /// Why it was not read as an IP address.
        source: AddrParseError,
    },
    /// None of the choices.
    #[error("{text:?} is not {}", alternatives(choices))]
    NotChoice {
        /// What stands there.
        text: String,
        /// What may stand there.
        choices: &'static [&'static str],
    },
}

/// Reads the value of an entry by its kind. `key` names it in messages.
pub(crate) fn read_entry(
    text: &SourceText,
    entry: &KdlEntry,
    kind: Kind,
    key: &str,
) -> Result<Value, Diagnostic> {
    read_value(entry.value(), kind, key).map_err(|error| text.diagnostic(entry.span(), error))
}

/// Reads a default, which is written as in a file.
///
/// # Errors
///
/// If the text is not a value of this kind.
pub fn parse_default(text: &str, kind: Kind, key: &str) -> Result<Value, ValueError> {
    let value = match kind {
        Kind::Flag => KdlValue::Bool(text == "#true"),
        // No number is negative, so that -1 is turned down like any other text.
        Kind::Number(..) => KdlValue::Integer(text.parse().unwrap_or(-1)),
        _ => KdlValue::String(text.into()),
    };
    read_value(&value, kind, key)
}

fn read_value(value: &KdlValue, kind: Kind, key: &str) -> Result<Value, ValueError> {
    match kind {
        Kind::Text | Kind::Path => Ok(Value::Text(text(value, key)?.into())),
        Kind::Flag => {
            let flag = value.as_bool().ok_or_else(|| ValueError::NotFlag { key: key.into() })?;
            Ok(Value::Flag(flag))
        }
        Kind::Number(min, max) => number(value, min, max, key),
        Kind::Span(..) if matches!(value, KdlValue::Integer(_) | KdlValue::Float(_)) => {
            Err(ValueError::NoUnit { key: key.into() })
        }
        Kind::Span(min, max) => span(text(value, key)?, min, max),
        Kind::Timestamp => timestamp(text(value, key)?),
        Kind::Address => address(text(value, key)?).map(Value::Address),
        Kind::Loopback => loopback(text(value, key)?),
        Kind::Network => network(text(value, key)?),
        Kind::Choice(choices) => choice(text(value, key)?, choices),
        Kind::Choices(choices) => several_choices(text(value, key)?, choices),
    }
}

fn text<'a>(value: &'a KdlValue, key: &str) -> Result<&'a str, ValueError> {
    let text = value.as_string().filter(|text| !text.is_empty());
    text.ok_or_else(|| ValueError::NotText { key: key.into() })
}

fn number(value: &KdlValue, min: u64, max: u64, key: &str) -> Result<Value, ValueError> {
    let number = value.as_integer().and_then(|integer| u64::try_from(integer).ok());
    let number = number.filter(|number| (min..=max).contains(number));
    number.map(Value::Number).ok_or_else(|| ValueError::NotNumber { key: key.into(), min, max })
}

fn span(text: &str, min: Millis, max: Millis) -> Result<Value, ValueError> {
    let span: jiff::SignedDuration =
        text.parse().map_err(|source| ValueError::NotSpan { text: text.into(), source })?;
    let millis = u64::try_from(span.as_millis()).ok().filter(|millis| (min..=max).contains(millis));
    millis.map(Value::Millis).ok_or_else(|| ValueError::SpanOutOfRange { text: text.into(), min, max })
}

fn timestamp(text: &str) -> Result<Value, ValueError> {
    let timestamp = text.parse::<jiff::Timestamp>().ok();
    let millis = timestamp.and_then(|timestamp| u64::try_from(timestamp.as_millisecond()).ok());
    millis.map(Value::Millis).ok_or_else(|| ValueError::NotTimestamp { text: text.into() })
}

fn address(text: &str) -> Result<SocketAddr, ValueError> {
    text.parse().map_err(|source| ValueError::NotAddress { text: text.into(), source })
}

fn loopback(text: &str) -> Result<Value, ValueError> {
    let address = address(text)?;
    if address.ip().is_loopback() {
        Ok(Value::Address(address))
    } else {
        Err(ValueError::NotLoopback { address })
    }
}

fn network(text: &str) -> Result<Value, ValueError> {
    let network = text.parse().or_else(|_| text.parse::<IpAddr>().map(IpNet::from));
    network.map(Value::Network).map_err(|source| ValueError::NotNetwork { text: text.into(), source })
}

fn choice(text: &str, choices: &'static [&'static str]) -> Result<Value, ValueError> {
    if choices.contains(&text) {
        Ok(Value::Text(text.into()))
    } else {
        Err(ValueError::NotChoice { text: text.into(), choices })
    }
}

fn several_choices(text: &str, choices: &'static [&'static str]) -> Result<Value, ValueError> {
    match text.split_whitespace().find(|word| !choices.contains(word)) {
        None => Ok(Value::Text(text.into())),
        Some(word) => Err(ValueError::NotChoice { text: word.into(), choices }),
    }
}

fn number_range(min: u64, max: u64) -> String {
    if max == u64::MAX { format!("from {min}") } else { format!("from {min} to {max}") }
}

/// `a, b or c`
pub(crate) fn alternatives(words: &[&str]) -> String {
    match words.split_last() {
        Some((last, rest)) if !rest.is_empty() => format!("{} or {last}", rest.join(", ")),
        _ => words.concat(),
    }
}

/// Milliseconds in the largest unit of which they are a multiple.
pub(crate) fn format_span(millis: Millis) -> String {
    let units = [(86_400_000, "d"), (3_600_000, "h"), (60_000, "m"), (1_000, "s")];
    let whole = units.iter().find(|(unit, _)| millis > 0 && millis.is_multiple_of(*unit));
    whole.map_or_else(|| format!("{millis}ms"), |(unit, name)| format!("{}{name}", millis / unit))
}
