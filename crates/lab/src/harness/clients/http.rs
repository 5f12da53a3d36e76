//! The clients' side of HTTP: requests as bytes, and answers out of bytes.

use crate::arrivals::{Arrival, Class};
use crate::model::world::group_of;
use std::num::ParseIntError;
use std::time::Duration;
use thiserror::Error;

/// The body of a request that writes.
const WRITE_BODY: &[u8] = &[b'w'; 200];
/// Headers of an answer, at most.
const MAX_HEADERS: usize = 32;
const NOT_MODIFIED: u16 = 304;

/// Why bytes are no answer.
#[derive(Debug, Error)]
pub(super) enum HttpError {
    #[error("the head of an answer: {0}")]
    Head(#[from] httparse::Error),
    #[error("content-length: {0}")]
    Length(#[from] ParseIntError),
    #[error("an answer without a length")]
    NoLength,
}

/// A whole answer.
pub(super) struct HttpAnswer {
    pub(super) status: u16,
    /// How long to stay away, if it says so.
    pub(super) retry_after: Option<Duration>,
    pub(super) body: Vec<u8>,
    /// Whether its connection may be used again.
    pub(super) keep_alive: bool,
}

/// Reads an answer out of what has come. `None`: it is not complete yet.
pub(super) fn parse(bytes: &[u8]) -> Result<Option<HttpAnswer>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let start = match head.parse(bytes)? {
        httparse::Status::Complete(start) => start,
        httparse::Status::Partial => return Ok(None),
    };
    let find = |name: &str| {
        let found = head.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
        found.and_then(|header| std::str::from_utf8(header.value).ok()).map(str::trim)
    };
    let status = head.code.unwrap_or(0);
    let length = match find("content-length") {
        Some(text) => text.parse::<usize>()?,
        None if status == NOT_MODIFIED => 0,
        None => return Err(HttpError::NoLength),
    };
    let Some(body) = bytes.get(start..start + length) else { return Ok(None) };
    let milliseconds = find("srv-wait-ms").and_then(|text| text.parse().ok()).map(Duration::from_millis);
    let seconds = find("retry-after").and_then(|text| text.parse().ok()).map(Duration::from_secs);
    let retry_after = seconds.and(milliseconds.or(seconds));
    let keep_alive = !find("connection").is_some_and(|text| text.eq_ignore_ascii_case("close"));
    Ok(Some(HttpAnswer { status, retry_after, body: body.to_vec(), keep_alive }))
}

/// What stands in a request beside what is asked for.
pub(super) struct RequestFields {
    pub(super) id: u64,
    /// How long the client will wait.
    pub(super) timeout: Duration,
    /// The same for all tries of a request.
    pub(super) idempotency_key: u128,
    /// Bytes of a part.
    pub(super) part_bytes: usize,
}

/// The bytes of a request.
pub(super) fn request(arrival: &Arrival, fields: &RequestFields) -> Vec<u8> {
    let reads = arrival.class == Class::Segment;
    let key = if arrival.class == Class::Submit {
        format!("Req-Token: {:032x}\r\n", fields.idempotency_key)
    } else {
        String::new()
    };
    let length = if reads { String::new() } else { format!("Content-Length: {}\r\n", WRITE_BODY.len()) };
    let head = format!(
        "{} /svc/{}/{}/block-{} HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {:016x}\r\n\
         Req-Wait-Ms: {}\r\nX-Family: {}\r\nReq-Kb: {:.1}\r\n{key}{length}\r\n",
        if reads { "GET" } else { "PUT" },
        arrival.class.name(),
        arrival.object,
        arrival.part,
        fields.id,
        fields.timeout.as_millis(),
        group_of(&arrival.object),
        fields.part_bytes as f64 / 1e3,
    );
    if reads { head.into_bytes() } else { [head.as_bytes(), WRITE_BODY].concat() }
}

#[cfg(test)]
mod tests;
