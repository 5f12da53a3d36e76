//! The platform's line protocol from the store's side: commands out of bytes, and answers.

use crate::model::world::CacheResult;
use crate::trace::Micros;
use std::collections::VecDeque;
use std::str::Utf8Error;
use thiserror::Error;

/// The longest line of a command.
const MAX_LINE_BYTES: usize = 4_096;
/// The longest body of a request.
const MAX_BODY_BYTES: usize = 48_000;
/// The most that a request can say about how its copy is kept.
const MAX_KEEP: u64 = 3;
const LINE_END: &[u8] = b"\r\n";

/// Bytes that are no command. Its connection is useless then, as nobody knows where the next one begins.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ProtocolError {
    /// A line is too long.
    #[error("a line without an end")]
    EndlessLine,
    /// A line ends with LF alone.
    #[error("a line that ends without CR LF")]
    NoCarriageReturn,
    /// A line is no text.
    #[error("a line: {0}")]
    Text(#[from] Utf8Error),
    /// A line is no command.
    #[error("line {0:?}")]
    Line(String),
    /// A request's number is none.
    #[error("id {0:?}")]
    Id(String),
    /// A body's length is no number, or too large.
    #[error("length {0:?}")]
    Length(String),
    /// A body does not end where its length says.
    #[error("a body that is longer than told")]
    LongBody,
    /// A field is unknown.
    #[error("field {0:?}")]
    Field(String),
    /// A field is no number.
    #[error("{name} is {value:?}")]
    Number {
        /// The field.
        name: String,
        /// What stands there.
        value: String,
    },
    /// A flag is unknown.
    #[error("flag {0:?}")]
    Flag(String),
    /// Fields are missing.
    #[error("a request without class, object or time")]
    Incomplete,
}

/// A request of a gateway.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PullRequest {
    /// The name of its class.
    pub class: String,
    /// Which object it is about.
    pub object: String,
    /// Which part of it.
    pub part: String,
    /// How long the gateway waits, in milliseconds as all times here.
    pub wait: u64,
    /// The store that a miss is filled from.
    pub source: Option<String>,
    /// How the copy is kept.
    pub keep: u8,
    /// The oldest copy that will do.
    pub max_age: Option<u64>,
    /// Whether it waits for a fill that is under way.
    pub ride: bool,
    /// Whether the source gives only what it holds.
    pub held_only: bool,
    /// Whether the parent keeps no copy.
    pub through: bool,
    /// The tag of the body that the gateway has.
    pub have: Option<String>,
}

/// What a gateway sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// A request.
    Pull {
        /// As the gateway numbers it.
        id: u64,
        /// What it asks for.
        pull: PullRequest,
    },
    /// Gives up a request.
    Kill(u64),
    /// A health check.
    Echo(String),
    /// A health check that asks for a load report.
    Meter(String),
}

/// How many bytes came at once, and when.
#[derive(Debug)]
struct Received {
    length: usize,
    sent: Micros,
}

/// Commands out of bytes that come in chunks, each with the time at which its first byte was sent.
#[derive(Debug, Default)]
pub struct Commands {
    bytes: Vec<u8>,
    received: VecDeque<Received>,
}

fn flag(pull: &mut PullRequest, flag: &str) -> Result<(), ProtocolError> {
    match flag {
        "ride" => pull.ride = true,
        "have-only" => pull.held_only = true,
        "through" => pull.through = true,
        "update" => {}
        _ => return Err(ProtocolError::Flag(flag.into())),
    }
    Ok(())
}

fn field(pull: &mut PullRequest, name: &str, value: &str) -> Result<(), ProtocolError> {
    let number = || {
        let error = |_| ProtocolError::Number { name: name.into(), value: value.into() };
        value.parse::<u64>().map_err(error)
    };
    match name {
        "kind" => pull.class = value.into(),
        "obj" => pull.object = value.into(),
        "seg" => pull.part = value.into(),
        "ms" => pull.wait = number()?,
        "src" => pull.source = Some(value.into()),
        "keep" => pull.keep = number()?.min(MAX_KEEP) as u8,
        "maxage" => pull.max_age = Some(number()?).filter(|age| *age > 0),
        "have" => pull.have = Some(value.into()),
        "token" => {}
        "flags" => value.split('+').try_for_each(|name| flag(pull, name))?,
        _ => return Err(ProtocolError::Field(name.into())),
    }
    Ok(())
}

fn pull_request(fields: &str) -> Result<PullRequest, ProtocolError> {
    let mut pull = PullRequest::default();
    for text in fields.split(',').filter(|text| *text != "-") {
        let (name, value) = text.split_once('=').ok_or_else(|| ProtocolError::Field(text.into()))?;
        field(&mut pull, name, value)?;
    }
    if pull.class.is_empty() || pull.object.is_empty() || pull.wait == 0 {
        return Err(ProtocolError::Incomplete);
    }
    Ok(pull)
}

fn request_id(word: &str) -> Result<u64, ProtocolError> {
    u64::from_str_radix(word, 16).map_err(|_| ProtocolError::Id(word.into()))
}

fn body_length(word: &str) -> Result<usize, ProtocolError> {
    let length = word.parse().ok().filter(|length| *length <= MAX_BODY_BYTES);
    length.ok_or_else(|| ProtocolError::Length(word.into()))
}

impl Commands {
    /// Takes in a chunk.
    pub fn feed(&mut self, bytes: &[u8], sent: Micros) {
        self.bytes.extend_from_slice(bytes);
        self.received.push_back(Received { length: bytes.len(), sent });
    }

    /// Takes bytes away, and says when the first of them was sent.
    fn take(&mut self, mut count: usize) -> Micros {
        self.bytes.drain(..count);
        let first = self.received.front().map_or(0, |received| received.sent);
        while let Some(received) = self.received.front_mut()
            && count > 0
        {
            if received.length > count {
                received.length -= count;
                break;
            }
            count -= received.length;
            self.received.pop_front();
        }
        first
    }

    /// The next command with the time at which it was sent, if it is complete.
    ///
    /// # Errors
    ///
    /// Where the bytes are no command.
    pub fn command(&mut self) -> Result<Option<(Command, Micros)>, ProtocolError> {
        let Some(end) = self.bytes.iter().position(|byte| *byte == b'\n') else {
            let is_endless = self.bytes.len() > MAX_LINE_BYTES;
            return if is_endless { Err(ProtocolError::EndlessLine) } else { Ok(None) };
        };
        let line = self.bytes[..end].strip_suffix(b"\r").ok_or(ProtocolError::NoCarriageReturn)?;
        let line = std::str::from_utf8(line)?;
        let words: Vec<&str> = line.split(' ').collect();
        let (command, body) = match words[..] {
            ["PULL", id, fields, length] => {
                let length = body_length(length)?;
                let Some(after) = self.bytes.get(end + 1 + length..end + 1 + length + LINE_END.len()) else {
                    return Ok(None);
                };
                if after != LINE_END {
                    return Err(ProtocolError::LongBody);
                }
                let (id, pull) = (request_id(id)?, pull_request(fields)?);
                (Command::Pull { id, pull }, length + LINE_END.len())
            }
            ["KILL", id] => (Command::Kill(request_id(id)?), 0),
            ["ECHO", tag] => (Command::Echo(tag.into()), 0),
            ["METER", tag] => (Command::Meter(tag.into()), 0),
            _ => return Err(ProtocolError::Line(line.into())),
        };
        let sent = self.take(end + 1 + body);
        Ok(Some((command, sent)))
    }
}

/// How a store names the way in which it found a copy.
pub fn result_word(result: CacheResult) -> Option<&'static str> {
    Some(match result {
        CacheResult::None => return None,
        CacheResult::Hit => "TCP_HIT",
        CacheResult::Miss => "TCP_MISS",
        CacheResult::MissRoot => "TCP_MISS_ROOT",
        CacheResult::Join => "TCP_JOIN",
        CacheResult::SourceDenied => "PEER_DENY",
        CacheResult::SourceDead => "PEER_DEAD",
        CacheResult::SourceLacks => "PEER_MISS",
    })
}

/// `ID WORD FIELDS LENGTH`, the bytes, and a line's end.
pub fn answer(id: u64, word: &str, fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let fields: Vec<String> = fields.iter().map(|(name, value)| format!("{name}={value}")).collect();
    let fields = if fields.is_empty() { "-".into() } else { fields.join(",") };
    let head = format!("{id:016x} {word} {fields} {}\r\n", body.len());
    [head.as_bytes(), body, b"\r\n"].concat()
}

#[cfg(test)]
mod tests;
