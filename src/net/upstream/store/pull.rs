//! Encoding of the commands that are sent to a store.

use super::answer::ExpectedAnswer;
use crate::broker::PlannedAttempt;
use crate::interface::{MemberId, Micros};
use sagearch_feed::MILLISECOND;
use std::sync::Arc;
use std::time::Duration;

/// A request in the form in which stores receive it, independent of the frontend.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pull {
    /// The name of the request class.
    pub class: String,
    /// The name of the object.
    pub object: String,
    /// The requested part of the object; `None` for the complete object.
    pub part: Option<String>,
    /// The idempotency key.
    pub token: Option<String>,
    /// The version (`etag`) of the copy that the client has.
    pub have: Option<String>,
    /// The request body.
    pub body: Vec<u8>,
}

impl Pull {
    /// Encodes an attempt that is about to be written and has this much time remaining.
    ///
    /// Only the remaining time is determined when the attempt is written. The age limit is the planned one: copies only
    /// grow older while the attempt waits, so no additional copies become acceptable, and a purge that arrives in the
    /// meantime prevents the attempt from being sent ([`crate::broker::Broker::may_send`]).
    fn bytes(
        &self,
        planned: &PlannedAttempt,
        remaining: Duration,
        name: impl Fn(MemberId) -> Option<String>,
    ) -> Vec<u8> {
        let milliseconds = |span: Micros| (span / MILLISECOND).max(1);
        let mut fields = vec![format!("kind={}", self.class), format!("obj={}", self.object)];
        let mut add = |key: &str, value: Option<String>| {
            fields.extend(value.map(|value| format!("{key}={value}")));
        };
        add("seg", self.part.clone());
        add("ms", Some(remaining.as_millis().to_string()));
        add("token", self.token.clone());
        if let Some(fill) = planned.fill {
            // A member that is its own source cannot fill from itself, so no source is stated.
            add("src", fill.source.filter(|source| *source != planned.member).and_then(name));
            add("keep", (fill.cache_rank > 0).then(|| fill.cache_rank.to_string()));
            // Rounded down, so that a copy exactly as old as the purge is not accepted.
            add("maxage", fill.max_age.map(|age| milliseconds(age).to_string()));
            let flags =
                [(fill.join, "ride"), (fill.cached_only, "have-only"), (fill.background_refresh, "update")];
            let flags: Vec<&str> = flags.iter().filter(|(set, _)| *set).map(|(_, word)| *word).collect();
            add("flags", (!flags.is_empty()).then(|| flags.join("+")));
        }
        add("have", self.have.clone());
        let head = format!("PULL {:016x} {} {}\r\n", planned.request.0, fields.join(","), self.body.len());
        [head.as_bytes(), &self.body, b"\r\n"].concat()
    }
}

/// A command to a store. It is encoded only when it is written.
#[derive(Clone, Debug)]
pub(super) enum Command {
    /// A request for an object.
    Pull(Arc<Pull>),
    /// A health check, which does not run a request at the store.
    Echo,
}

impl Command {
    /// The kind of answer that this command expects.
    pub fn expected(&self) -> ExpectedAnswer {
        match self {
            Command::Pull(pull) => ExpectedAnswer::Pull { have: pull.have.is_some() },
            Command::Echo => ExpectedAnswer::Echo,
        }
    }

    /// Encodes the command, of which an attempt has this much time remaining. `name` returns the name of a store on the
    /// wire.
    pub fn bytes(
        &self,
        planned: &PlannedAttempt,
        remaining: Duration,
        name: impl Fn(MemberId) -> Option<String>,
    ) -> Vec<u8> {
        match self {
            Command::Pull(pull) => pull.bytes(planned, remaining, name),
            Command::Echo => format!("ECHO {:016x}\r\n", planned.request.0).into_bytes(),
        }
    }
}
