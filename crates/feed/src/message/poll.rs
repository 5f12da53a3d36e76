//! Polls, and how they are encoded in the query of a request.

use super::FeedId;
use crate::Offset;
use serde::{Deserialize, Serialize};
use std::fmt::Write;
use thiserror::Error;

/// The path of a poll request.
pub const POLL_PATH: &str = "/bus/read";
/// The maximum hold, in milliseconds; a longer requested hold is reduced to it.
pub const MAX_HOLD_MS: u64 = 30_000;
/// The maximum length of a query, in bytes.
pub const MAX_QUERY_BYTES: usize = 1_024;
/// The maximum length of a subscriber's name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// The identity of the subscriber whose acknowledgement a poll carries.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity {
    /// The subscriber's name.
    pub name: String,
    /// Identifies the subscriber's process: each process has a higher incarnation than the ones before. Events applied
    /// by an earlier process are lost.
    pub incarnation: u64,
}

/// A poll. It acknowledges all events up to `from`, which the subscriber has applied.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Poll {
    /// The offset after which the answer is to contain events.
    pub from: Offset,
    /// How long the poll may wait for new events, in milliseconds.
    pub hold_ms: u64,
    /// The feed to which `from` belongs; `None` if the subscriber does not know it.
    pub feed: Option<FeedId>,
    /// The subscriber; `None` for a poll that acknowledges nothing.
    pub identity: Option<Identity>,
}

/// A query that is not a valid poll, with the position of the error.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("query, byte {position}: {kind}")]
pub struct ParsePollError {
    /// The byte offset in the query, from 0.
    pub position: usize,
    /// The kind of the error.
    pub kind: ParsePollErrorKind,
}

/// Why a query is not a valid poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ParsePollErrorKind {
    /// The query is longer than [`MAX_QUERY_BYTES`].
    #[error("longer than {MAX_QUERY_BYTES} bytes")]
    TooLong,
    /// The parameter `from` is missing.
    #[error("`from` is missing")]
    MissingFrom,
    /// Only one of `name` and `incarnation` is given.
    #[error("`name` and `incarnation` are only given together")]
    IncompleteIdentity,
    /// A parameter is given twice.
    #[error("given twice")]
    Duplicate,
    /// The value is not a whole number below 2^64.
    #[error("not a whole number below 2^64")]
    InvalidNumber,
    /// The value is not a [`FeedId`].
    #[error("not an identity of a feed")]
    InvalidFeed,
    /// The name is not 1 to [`MAX_NAME_BYTES`] bytes of UTF-8 without control characters.
    #[error("not a name of 1 to {MAX_NAME_BYTES} bytes")]
    InvalidName,
}

impl Poll {
    /// The path and query of the request. Without feed and identity they equal the request to a plain bus, byte for
    /// byte.
    pub fn path(&self) -> String {
        let mut path = format!("{POLL_PATH}?from={}&hold={}", self.from, self.hold_ms);
        if let Some(feed) = &self.feed {
            path += "&feed=";
            path += feed.as_str();
        }
        if let Some(Identity { name, incarnation }) = &self.identity {
            path += "&name=";
            percent_encode(name, &mut path);
            // Writing to a string never fails.
            let _ = write!(path, "&incarnation={incarnation}");
        }
        path
    }

    /// Parses a query without its `?`. Unknown parameters are ignored; without `hold` the poll does not wait.
    ///
    /// # Errors
    /// [`ParsePollError`] with the position of the error in the query.
    pub fn parse(query: &str) -> Result<Poll, ParsePollError> {
        if query.len() > MAX_QUERY_BYTES {
            return Err(ParsePollError { position: MAX_QUERY_BYTES, kind: ParsePollErrorKind::TooLong });
        }
        let mut parameters = QueryParameters::default();
        let mut position = 0;
        for pair in query.split('&') {
            parameters.read(position, pair)?;
            position += pair.len() + 1;
        }
        parameters.into_poll(query.len())
    }
}

/// The known parameters of a query that have been parsed so far.
#[derive(Default)]
struct QueryParameters {
    from: Option<u64>,
    hold_ms: Option<u64>,
    feed: Option<FeedId>,
    name: Option<String>,
    incarnation: Option<u64>,
}

impl QueryParameters {
    fn read(&mut self, position: usize, pair: &str) -> Result<(), ParsePollError> {
        let (parameter, value) = pair.split_once('=').unwrap_or((pair, ""));
        let value_position = position + parameter.len() + 1;
        match parameter {
            "from" => set(&mut self.from, position, parse_number(value_position, value)?),
            "hold" => set(&mut self.hold_ms, position, parse_number(value_position, value)?),
            "incarnation" => set(&mut self.incarnation, position, parse_number(value_position, value)?),
            "name" => set(&mut self.name, position, parse_name(value_position, value)?),
            "feed" => {
                let feed = FeedId::new(value);
                let invalid =
                    |_| ParsePollError { position: value_position, kind: ParsePollErrorKind::InvalidFeed };
                set(&mut self.feed, position, feed.map_err(invalid)?)
            }
            _ => Ok(()),
        }
    }

    fn into_poll(self, end: usize) -> Result<Poll, ParsePollError> {
        let error_at_end = |kind| ParsePollError { position: end, kind };
        let identity = match (self.name, self.incarnation) {
            (Some(name), Some(incarnation)) => Some(Identity { name, incarnation }),
            (None, None) => None,
            _ => return Err(error_at_end(ParsePollErrorKind::IncompleteIdentity)),
        };
        let from = self.from.ok_or(error_at_end(ParsePollErrorKind::MissingFrom))?;
        let hold_ms = self.hold_ms.unwrap_or(0).min(MAX_HOLD_MS);
        Ok(Poll { from, hold_ms, feed: self.feed, identity })
    }
}

fn set<T>(parameter: &mut Option<T>, position: usize, value: T) -> Result<(), ParsePollError> {
    match parameter.replace(value) {
        None => Ok(()),
        Some(_) => Err(ParsePollError { position, kind: ParsePollErrorKind::Duplicate }),
    }
}

fn parse_number(position: usize, value: &str) -> Result<u64, ParsePollError> {
    let only_digits = value.bytes().all(|byte| byte.is_ascii_digit());
    let invalid = ParsePollError { position, kind: ParsePollErrorKind::InvalidNumber };
    if only_digits { value.parse().map_err(|_| invalid) } else { Err(invalid) }
}

fn parse_name(position: usize, value: &str) -> Result<String, ParsePollError> {
    let is_valid =
        |name: &String| (1..=MAX_NAME_BYTES).contains(&name.len()) && !name.chars().any(char::is_control);
    percent_decode(value)
        .filter(is_valid)
        .ok_or(ParsePollError { position, kind: ParsePollErrorKind::InvalidName })
}

/// Percent-encodes all characters except those that a query may contain unencoded.
fn percent_encode(text: &str, encoded: &mut String) {
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~:".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            // Writing to a string never fails.
            let _ = write!(encoded, "%{byte:02X}");
        }
    }
}

fn percent_decode(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut remaining = text.bytes();
    while let Some(byte) = remaining.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let mut digit = || char::from(remaining.next()?).to_digit(16);
        let value = digit()? * 16 + digit()?;
        bytes.push(u8::try_from(value).ok()?);
    }
    String::from_utf8(bytes).ok()
}
