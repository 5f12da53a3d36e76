//! What subscribers and relays say to each other: the bus's own long poll, with words that who does not know them
//! ignores.
//!
//! ```text
//! GET /bus/read?from=N&hold=MS[&feed=ID][&name=NAME&incarnation=N]
//! 200 {"offset":LAST,"batch":[...][,"feed":"ID"][,"age_ms":A][,"snapshot":true]}
//! ```

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::{Map, Value};
use std::fmt::{self, Write};

/// The path that is polled.
pub const PATH: &str = "/bus/read";
/// The longest hold that a relay grants; a longer one is cut to it.
pub const LONGEST_HOLD_MS: u64 = 30_000;
/// The longest query that is read, in bytes.
pub const LONGEST_QUERY: usize = 1_024;
/// The longest name of a subscriber, in bytes.
pub const LONGEST_NAME: usize = 128;
/// The longest identity of a numbering, in bytes.
pub const LONGEST_FEED_ID: usize = 64;

/// The identity of a numbering of events: offsets of two feeds can't be compared.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct FeedId(String);

/// What was given is no identity of a feed: 1 to 64 of `A-Z a-z 0-9 . _ -`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadFeedId;

impl FeedId {
    /// Checks length and letters.
    pub fn new(id: &str) -> Result<FeedId, BadFeedId> {
        let known = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
        let good = (1..=LONGEST_FEED_ID).contains(&id.len()) && id.bytes().all(known);
        if good { Ok(FeedId(id.to_owned())) } else { Err(BadFeedId) }
    }

    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for BadFeedId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "a feed's identity is 1 to {LONGEST_FEED_ID} letters, digits, dots, hyphens or underscores")
    }
}

impl std::error::Error for BadFeedId {}

impl<'a> Deserialize<'a> for FeedId {
    fn deserialize<D: Deserializer<'a>>(from: D) -> Result<FeedId, D::Error> {
        let id = String::deserialize(from)?;
        FeedId::new(&id).map_err(D::Error::custom)
    }
}

/// Whose acknowledgement a poll carries.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Identity {
    pub name: String,
    /// Unix microseconds of the process's start: what an earlier process had in force is lost.
    pub incarnation: u64,
}

/// One poll. It acknowledges all events up to `from`: they are in force in the asker.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Poll {
    pub from: u64,
    pub hold_ms: u64,
    pub feed: Option<FeedId>,
    pub identity: Option<Identity>,
}

/// Why a query is no poll, and at which byte of the query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadPoll {
    pub place: usize,
    pub cause: BadPollCause,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadPollCause {
    /// The query is longer than [`LONGEST_QUERY`].
    TooLong,
    /// `from` is not there.
    NoFrom,
    /// One of `name` and `incarnation` is there without the other.
    HalfIdentity,
    /// A word is there twice.
    Twice,
    /// Not a whole number below 2^64.
    BadNumber,
    BadFeed,
    /// A name is 1 to [`LONGEST_NAME`] bytes of UTF-8 without control characters.
    BadName,
}

impl fmt::Display for BadPoll {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let cause = match self.cause {
            BadPollCause::TooLong => "longer than 1024 bytes",
            BadPollCause::NoFrom => "`from` is missing",
            BadPollCause::HalfIdentity => "`name` and `incarnation` are only given together",
            BadPollCause::Twice => "given twice",
            BadPollCause::BadNumber => "not a whole number below 2^64",
            BadPollCause::BadFeed => "not an identity of a feed",
            BadPollCause::BadName => "not a name of 1 to 128 bytes",
        };
        write!(f, "query, byte {}: {cause}", self.place)
    }
}

impl std::error::Error for BadPoll {}

impl Poll {
    /// The path and query of the request. A poll without feed and identity is the plain bus's, byte for byte.
    pub fn path(&self) -> String {
        let mut path = format!("{PATH}?from={}&hold={}", self.from, self.hold_ms);
        if let Some(feed) = &self.feed {
            path += "&feed=";
            path += feed.as_str();
        }
        if let Some(Identity { name, incarnation }) = &self.identity {
            path += "&name=";
            escape(name, &mut path);
            // Writing to a string can't fail.
            let _ = write!(path, "&incarnation={incarnation}");
        }
        path
    }

    /// Reads a query, without its `?`. Unknown words are ignored; without `hold` the answer is wanted at once.
    pub fn parse(query: &str) -> Result<Poll, BadPoll> {
        if query.len() > LONGEST_QUERY {
            return Err(BadPoll { place: LONGEST_QUERY, cause: BadPollCause::TooLong });
        }
        let mut words = Words::default();
        let mut place = 0;
        for pair in query.split('&') {
            words.read(place, pair)?;
            place += pair.len() + 1;
        }
        words.poll(query.len())
    }
}

/// The words of a query that are known, as far as it has been read.
#[derive(Default)]
struct Words {
    from: Option<u64>,
    hold_ms: Option<u64>,
    feed: Option<FeedId>,
    name: Option<String>,
    incarnation: Option<u64>,
}

impl Words {
    fn read(&mut self, place: usize, pair: &str) -> Result<(), BadPoll> {
        let (word, value) = pair.split_once('=').unwrap_or((pair, ""));
        let at = place + word.len() + 1;
        match word {
            "from" => set(&mut self.from, place, number(at, value)?),
            "hold" => set(&mut self.hold_ms, place, number(at, value)?),
            "incarnation" => set(&mut self.incarnation, place, number(at, value)?),
            "name" => set(&mut self.name, place, name(at, value)?),
            "feed" => {
                let feed = FeedId::new(value);
                let bad = |_| BadPoll { place: at, cause: BadPollCause::BadFeed };
                set(&mut self.feed, place, feed.map_err(bad)?)
            }
            _ => Ok(()),
        }
    }

    fn poll(self, end: usize) -> Result<Poll, BadPoll> {
        let missing = |cause| BadPoll { place: end, cause };
        let identity = match (self.name, self.incarnation) {
            (Some(name), Some(incarnation)) => Some(Identity { name, incarnation }),
            (None, None) => None,
            _ => return Err(missing(BadPollCause::HalfIdentity)),
        };
        let from = self.from.ok_or(missing(BadPollCause::NoFrom))?;
        let hold_ms = self.hold_ms.unwrap_or(0).min(LONGEST_HOLD_MS);
        Ok(Poll { from, hold_ms, feed: self.feed, identity })
    }
}

fn set<T>(word: &mut Option<T>, place: usize, value: T) -> Result<(), BadPoll> {
    match word.replace(value) {
        None => Ok(()),
        Some(_) => Err(BadPoll { place, cause: BadPollCause::Twice }),
    }
}

fn number(place: usize, value: &str) -> Result<u64, BadPoll> {
    let digits = value.bytes().all(|byte| byte.is_ascii_digit());
    let bad = BadPoll { place, cause: BadPollCause::BadNumber };
    if digits { value.parse().map_err(|_| bad) } else { Err(bad) }
}

fn name(place: usize, value: &str) -> Result<String, BadPoll> {
    let good =
        |name: &String| (1..=LONGEST_NAME).contains(&name.len()) && !name.chars().any(char::is_control);
    unescape(value).filter(good).ok_or(BadPoll { place, cause: BadPollCause::BadName })
}

/// Percent-encodes all but the letters that a query may hold as they are.
fn escape(text: &str, out: &mut String) {
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~:".contains(&byte) {
            out.push(char::from(byte));
        } else {
            // Writing to a string can't fail.
            let _ = write!(out, "%{byte:02X}");
        }
    }
}

fn unescape(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte != b'%' {
            bytes.push(byte);
            continue;
        }
        let mut digit = || char::from(rest.next()?).to_digit(16);
        let value = digit()? * 16 + digit()?;
        bytes.push(u8::try_from(value).ok()?);
    }
    String::from_utf8(bytes).ok()
}

/// What a subscriber needs of an answer besides its events. Unknown words are ignored.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Head {
    /// The last event that the answer holds, or stands for.
    pub offset: u64,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub feed: Option<FeedId>,
    /// How long before this answer whoever gave it had known itself current.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub age_ms: Option<u64>,
    /// The batch is the whole state: one list of all stores, then the purges still in force.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub snapshot: bool,
}

/// A purge of one URL, of all objects with a tag, or of a slice of the hash space (see [`mod@crate::slice`]).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ban {
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub url: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tag: Option<u64>,
    /// Copies made before this time are purged, in Unix milliseconds.
    #[serde(default)]
    pub ts: u64,
    /// Part `slice` of `of` equal parts of the hash space.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slice: Option<u32>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub of: Option<u32>,
    /// Words that are not known here pass on unchanged.
    #[serde(flatten)]
    pub other: Map<String, Value>,
}

/// An event as relays pass it on: also one whose words they do not know, or can't use.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RawEvent {
    pub offset: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub topology: Option<Value>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub ban: Option<Ban>,
    /// Words that are not known here, and a ban that can't be read.
    #[serde(flatten)]
    pub other: Map<String, Value>,
}

impl<'a> Deserialize<'a> for RawEvent {
    fn deserialize<D: Deserializer<'a>>(from: D) -> Result<RawEvent, D::Error> {
        let mut other = Map::<String, Value>::deserialize(from)?;
        let offset = other.remove("offset").ok_or(D::Error::missing_field("offset"))?;
        let offset = u64::deserialize(offset).map_err(D::Error::custom)?;
        let topology = other.remove("topology").filter(|topology| !topology.is_null());
        let ban = other.get("ban").and_then(|ban| Ban::deserialize(ban).ok());
        if ban.is_some() {
            other.remove("ban");
        }
        Ok(RawEvent { offset, topology, ban, other })
    }
}

/// An answer with its events, for relays.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    #[serde(flatten)]
    pub head: Head,
    #[serde(deserialize_with = "numbered")]
    pub batch: Vec<RawEvent>,
}

/// Each event by itself: one without a number can't be passed on, and must not keep those after it from being heard.
fn numbered<'a, D: Deserializer<'a>>(from: D) -> Result<Vec<RawEvent>, D::Error> {
    let events = Vec::<Value>::deserialize(from)?;
    Ok(events.into_iter().filter_map(|event| RawEvent::deserialize(event).ok()).collect())
}
