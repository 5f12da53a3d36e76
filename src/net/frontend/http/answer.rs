//! Answers, and how they are written.

use super::error::RequestError;
use super::status::{self, reason_phrase};
use crate::interface::Micros;
use crate::net::frontend::clients::Connection;
use crate::net::upstream::store::{End, Reply};
use sagearch_identity::Reason;
use std::fmt::Write;
use std::io;

/// `Retry-After` of a rejected request where the broker states no backoff, in microseconds.
const DEFAULT_RETRY_AFTER: Micros = 1_000_000;
/// `Retry-After` holds whole seconds.
const MICROS_PER_SECOND: Micros = 1_000_000;

impl RequestError {
    /// The answer that the client gets: the status, and the message as its body.
    pub fn answer(self) -> Answer {
        let (status, message) = (self.status(), self.to_string());
        log::debug!("{status}: {message}");
        let allowed = match self {
            RequestError::MethodNotAllowed { allowed } => format!("Allow: {allowed}\r\n"),
            _ => String::new(),
        };
        Answer { fields: allowed, ..Answer::new(status, message.into()) }
    }
}

/// An answer: a status, header fields and a body.
pub struct Answer {
    /// The status code.
    pub(super) status: u16,
    /// The header fields, each with its line end, without the length and `Connection`.
    pub(super) fields: String,
    /// The body. That of an object is as the store sent it.
    pub body: Vec<u8>,
}

impl Answer {
    /// An answer without header fields of its own.
    pub fn new(status: u16, body: Vec<u8>) -> Answer {
        Answer { status, fields: String::new(), body }
    }

    /// The status line and the header fields; `close`: the connection ends with this answer.
    pub fn head(&self, close: bool) -> String {
        let mut head = format!("HTTP/1.1 {} {}\r\n{}", self.status, reason_phrase(self.status), self.fields);
        if self.status != status::NOT_MODIFIED {
            // Writing to a string never fails.
            let _ = write!(head, "Content-Length: {}\r\n", self.body.len());
        }
        if close {
            head += "Connection: close\r\n";
        }
        head + "\r\n"
    }
}

/// Writes an answer; `close`: the connection ends with it.
pub(super) fn write(connection: &Connection, answer: &Answer, close: bool) -> io::Result<()> {
    connection.send([answer.head(close).as_bytes(), &answer.body])
}

/// 503 with `Retry-After`, for a request that was shed. The backoff is in microseconds.
pub(super) fn unavailable(backoff: Option<Micros>) -> Answer {
    let seconds = backoff.unwrap_or(DEFAULT_RETRY_AFTER).div_ceil(MICROS_PER_SECOND).max(1);
    Answer {
        fields: format!("Retry-After: {seconds}\r\n"),
        ..Answer::new(status::SERVICE_UNAVAILABLE, Vec::new())
    }
}

/// The answer to a caller who is not admitted: the status and a challenge (RFC 6750, section 3). It does not tell the
/// reason, which only operators find in the log.
pub fn rejection(reason: Reason) -> Answer {
    let status = reason.status();
    if status == status::SERVICE_UNAVAILABLE {
        return unavailable(None);
    }
    let error = reason.error().map_or(String::new(), |error| format!(", error=\"{error}\""));
    let fields = format!("WWW-Authenticate: Bearer realm=\"sagearch\"{error}\r\n");
    let body = if status == status::FORBIDDEN { "not allowed\n" } else { "not recognised\n" };
    Answer { fields, ..Answer::new(status, body.into()) }
}

/// The answer of a store: a body, or that the client's copy is current.
pub(super) fn success(reply: Reply) -> Answer {
    let fields = reply.etag.map_or(String::new(), |tag| format!("ETag: \"{tag}\"\r\n"));
    match reply.end {
        End::Ok(body) => Answer { fields, ..Answer::new(status::OK, body) },
        _ => Answer { fields, ..Answer::new(status::NOT_MODIFIED, Vec::new()) },
    }
}
