//! Parsing of answers from stores, and what each answer proves about its attempt.

use crate::interface::{Detail, Load, Outcome};
use std::str::Utf8Error;
use thiserror::Error;

/// The maximum length of an answer line.
pub(super) const MAX_LINE_BYTES: usize = 2_048;
/// The maximum size of an object.
const MAX_OBJECT_BYTES: usize = 240_000;
/// Terminates the answer line and the body.
const LINE_END: &[u8] = b"\r\n";

/// How an attempt or a health check ended.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    /// The store returned the object, whose bytes are given.
    Ok(Vec<u8>),
    /// The copy that the client has is current.
    Current,
    /// The store does not have the object.
    Nothing,
    /// The store refused the request, which did not run.
    Refused,
    /// The request failed at the store.
    Error,
    /// The store rejected the request as outdated; it did not run.
    Stale,
    /// The store passed a health check and accepts requests.
    Yes,
    /// The store answered a health check and accepts no requests.
    No,
    /// No connection could be opened.
    Unreachable,
    /// The connection broke after the attempt was written.
    Reset,
    /// The attempt was never written: a drain or a purge prevented it, or no connection was available.
    NotSent,
}

impl End {
    /// What this end proves about the attempt.
    pub fn outcome(&self) -> Outcome {
        match self {
            End::Ok(_) | End::Current => Outcome::Served,
            End::Nothing => Outcome::Miss,
            End::Refused | End::No => Outcome::Rejected,
            End::Error => Outcome::Failed,
            End::Stale | End::NotSent => Outcome::NotSent,
            End::Yes => Outcome::Checked,
            End::Unreachable => Outcome::Unreachable,
            End::Reset => Outcome::Reset,
        }
    }
}

/// The reply to an attempt or a health check.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// How the attempt ended.
    pub end: End,
    /// Where the object came from, or why none was returned.
    pub detail: Detail,
    /// The number of requests in flight that the store reports.
    pub inflight: Option<f64>,
    /// The utilization that the store reports, as a part of its capacity.
    pub busy: Option<f64>,
    /// The version of the object.
    pub etag: Option<String>,
}

impl Reply {
    /// Creates a reply without further fields.
    pub(super) fn bare(end: End) -> Reply {
        Reply { end, detail: Detail::Unspecified, inflight: None, busy: None, etag: None }
    }

    /// The load report of the store.
    pub fn load(&self) -> Load {
        Load { inflight: self.inflight, busy: self.busy }
    }
}

/// The line before the body of an answer. The body is added to the reply later.
#[derive(Debug, PartialEq)]
struct AnswerLine {
    id: u64,
    reply: Reply,
    length: usize,
}

/// The kind of answer that an attempt expects. An answer of another kind proves nothing about the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ExpectedAnswer {
    /// An answer to a request.
    Pull {
        /// Whether the request states a copy that the client has.
        have: bool,
    },
    /// An answer to a health check.
    Echo,
}

impl ExpectedAnswer {
    /// The end of the attempt, given the end that the answer states. An answer of an unexpected kind counts as
    /// [`End::Error`]: the attempt may have run.
    pub(super) fn end(self, end: End) -> End {
        match (self, &end) {
            (ExpectedAnswer::Pull { have: true }, End::Current)
            | (ExpectedAnswer::Echo, End::Yes | End::No) => end,
            (ExpectedAnswer::Pull { .. }, End::Current | End::Yes | End::No) | (ExpectedAnswer::Echo, _) => {
                End::Error
            }
            _ => end,
        }
    }
}

/// Why received bytes are not a valid answer.
#[derive(Debug, Error)]
pub(super) enum AnswerError {
    #[error(transparent)]
    NotText(#[from] Utf8Error),
    #[error("malformed answer line {line:?}, expected ID WORD FIELDS LENGTH")]
    MalformedLine { line: String },
    #[error("answer line exceeds {MAX_LINE_BYTES} bytes")]
    LineTooLong,
    #[error("answer line does not end with CR LF")]
    MissingLineEnd,
    #[error("answer {id:016x} is longer than its stated length")]
    LongerThanStated { id: u64 },
}

/// Parses `ID WORD FIELDS LENGTH`, without the line terminator.
fn parse_line(line: &[u8]) -> Result<AnswerLine, AnswerError> {
    let text = std::str::from_utf8(line)?;
    parse_words(text).ok_or_else(|| AnswerError::MalformedLine { line: text.into() })
}

fn parse_words(text: &str) -> Option<AnswerLine> {
    let mut words = text.split(' ');
    let (id, word, fields, length) = (words.next()?, words.next()?, words.next()?, words.next()?);
    if words.next().is_some() {
        return None;
    }
    let id = u64::from_str_radix(id, 16).ok()?;
    let length: usize = length.parse().ok().filter(|length| *length <= MAX_OBJECT_BYTES)?;
    let mut reply = Reply::bare(parse_end(word)?);
    for field in fields.split(',').filter(|field| *field != "-") {
        let (name, value) = field.split_once('=')?;
        match name {
            "res" => reply.detail = parse_detail(value),
            "etag" => reply.etag = Some(value.into()),
            "gauges" => parse_gauges(value, &mut reply),
            _ => {}
        }
    }
    Some(AnswerLine { id, reply, length })
}

fn parse_end(word: &str) -> Option<End> {
    Some(match word {
        "ok" => End::Ok(Vec::new()),
        "current" => End::Current,
        "nothing" => End::Nothing,
        "refused" => End::Refused,
        "error" => End::Error,
        "stale" => End::Stale,
        "yes" => End::Yes,
        "no" => End::No,
        _ => return None,
    })
}

fn parse_detail(text: &str) -> Detail {
    match text {
        "TCP_HIT" => Detail::Hit,
        "TCP_MISS" => Detail::Filled,
        "TCP_MISS_ROOT" => Detail::FilledByOrigin,
        "TCP_JOIN" => Detail::Joined,
        "TCP_STALE" => Detail::Stale,
        "PEER_DENY" => Detail::SourceRefused,
        "PEER_DEAD" => Detail::SourceLost,
        "PEER_MISS" => Detail::SourceLacks,
        "FILL_FULL" => Detail::NoFillPlace,
        "ROOT_FAIL" => Detail::OriginFailed,
        _ => Detail::Unspecified,
    }
}

/// Parses `NAME:VALUE;...` into the load fields of a reply.
fn parse_gauges(gauges: &str, reply: &mut Reply) {
    for (name, value) in gauges.split(';').filter_map(|gauge| gauge.split_once(':')) {
        let value = value.parse::<f64>().ok().filter(|value| value.is_finite());
        match name {
            "inflight" | "rif" => reply.inflight = value,
            "util" | "busy" => reply.busy = value,
            _ => {}
        }
    }
}

/// A complete answer.
#[derive(Debug)]
pub(super) struct Answer {
    /// The id of the request.
    pub id: u64,
    pub reply: Reply,
}

/// An answer whose line and a part of whose body have been received.
struct PartialAnswer {
    line: AnswerLine,
    body: Vec<u8>,
}

impl PartialAnswer {
    fn new(line: AnswerLine) -> PartialAnswer {
        let body = Vec::with_capacity(line.length + LINE_END.len());
        PartialAnswer { line, body }
    }

    /// The number of missing bytes, including the line terminator after the object.
    fn missing(&self) -> usize {
        self.line.length + LINE_END.len() - self.body.len()
    }

    fn complete(self) -> Result<Answer, AnswerError> {
        let PartialAnswer { line: AnswerLine { id, mut reply, length }, mut body } = self;
        if !body.ends_with(LINE_END) {
            return Err(AnswerError::LongerThanStated { id });
        }
        body.truncate(length);
        if let End::Ok(object) = &mut reply.end {
            *object = body;
        }
        Ok(Answer { id, reply })
    }
}

/// An incremental parser of answers.
#[derive(Default)]
pub(super) struct AnswerParser {
    line: Vec<u8>,
    partial: Option<PartialAnswer>,
}

impl AnswerParser {
    /// Whether an answer is received in part.
    pub(super) fn is_answer_incomplete(&self) -> bool {
        self.partial.is_some() || !self.line.is_empty()
    }

    /// Parses received bytes, and adds the answers that they complete to `done`, also those before an error.
    ///
    /// # Errors
    ///
    /// If the bytes are not a valid answer. No bytes after that can be parsed.
    pub(super) fn push(&mut self, mut bytes: &[u8], done: &mut Vec<Answer>) -> Result<(), AnswerError> {
        while !bytes.is_empty() {
            bytes = match self.partial.take() {
                Some(partial) => self.push_body(partial, bytes, done)?,
                None => self.push_line(bytes)?,
            };
        }
        Ok(())
    }

    /// Consumes bytes of a body, and returns the rest.
    fn push_body<'a>(
        &mut self,
        mut partial: PartialAnswer,
        bytes: &'a [u8],
        done: &mut Vec<Answer>,
    ) -> Result<&'a [u8], AnswerError> {
        let (object, rest) = bytes.split_at(bytes.len().min(partial.missing()));
        partial.body.extend_from_slice(object);
        if partial.missing() == 0 {
            done.push(partial.complete()?);
        } else {
            self.partial = Some(partial);
        }
        Ok(rest)
    }

    /// Consumes bytes of an answer line, and returns the rest.
    fn push_line<'a>(&mut self, bytes: &'a [u8]) -> Result<&'a [u8], AnswerError> {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let (line, rest) = bytes.split_at(end.map_or(bytes.len(), |end| end + 1));
        self.line.extend_from_slice(line);
        if self.line.len() > MAX_LINE_BYTES {
            return Err(AnswerError::LineTooLong);
        }
        if end.is_some() {
            let line = self.line.strip_suffix(LINE_END).ok_or(AnswerError::MissingLineEnd)?;
            self.partial = Some(PartialAnswer::new(parse_line(line)?));
            self.line.clear();
        }
        Ok(rest)
    }
}
