//! Parses requests at the front of a buffer.

use super::error::RequestError;
use crate::interface::Micros;
use crate::net::upstream::store::Pull;
use std::fmt;
use std::str::FromStr;

/// The largest head, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// How many header fields a head may have.
const MAX_FIELDS: usize = 64;
/// The largest body, in bytes.
const MAX_BODY_BYTES: usize = 48_000;
/// The longest word that is written to a store, in bytes.
const MAX_NAME_BYTES: usize = 128;
/// The longest timeout that a client may state, in milliseconds.
const MAX_TIMEOUT_MS: f64 = 600_000.0;
/// The microseconds of a millisecond.
const MICROS_PER_MS: f64 = 1_000.0;
/// The largest object size that a client may state, in kilobytes.
const MAX_SIZE_KB: f64 = 1e6;
/// The last purge group.
const MAX_PURGE_GROUP: u64 = 255;
/// The digits of a request id.
const ID_DIGITS: usize = 16;
/// Where the platform asks whether the gateway is to get clients.
const LIVENESS_PATH: &str = "/status/live";

/// A value that is never logged.
#[derive(Clone, PartialEq)]
pub struct Secret(pub(super) String);

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("[hidden]")
    }
}

impl Secret {
    /// The token of an `Authorization` field (RFC 6750, section 2.1); `earlier`: that of a field before it. A field that
    /// is repeated, or that has another scheme, yields an empty token, which admits nobody.
    pub fn bearer(field: &str, earlier: Option<&Secret>) -> Secret {
        let token = match field.split_once(' ') {
            Some((scheme, token)) if scheme.eq_ignore_ascii_case("bearer") => token.trim_start(),
            _ => "",
        };
        Secret(if earlier.is_some() { String::new() } else { token.into() })
    }

    /// The value, to be checked and never logged.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

/// What a complete request asks for.
#[derive(Debug, PartialEq)]
pub(super) enum RequestKind {
    /// Whether the gateway is to get clients.
    Live,
    /// An object, to be read or written.
    Object(Box<Object>),
}

/// A request for an object.
#[derive(Debug, PartialEq, Default)]
pub(super) struct Object {
    /// The id, which the client chooses anew for each request.
    pub(super) id: u64,
    /// How many microseconds the client waits for the answer.
    pub(super) timeout: Micros,
    /// The purge group that the object belongs to.
    pub(super) purge_group: Option<u64>,
    /// The size of the object, as the client expects it.
    pub(super) size_kb: f64,
    /// Which part of the object; 0 where the path names none.
    pub(super) part: u32,
    /// The method was PUT.
    pub(super) is_write: bool,
    /// The token of the caller.
    pub(super) bearer: Option<Secret>,
    /// What a store is asked for.
    pub(super) pull: Pull,
}

/// A request at the front of a buffer.
#[derive(Debug, PartialEq)]
pub(super) struct ParsedRequest {
    /// What it asks for.
    pub(super) kind: RequestKind,
    /// The client keeps the connection for further requests.
    pub(super) keep_alive: bool,
    /// How many bytes of the buffer it has.
    pub(super) consumed: usize,
}

/// What stands at the front of a buffer.
#[derive(Debug, PartialEq)]
pub(super) enum Parsed {
    /// A complete request.
    Complete(ParsedRequest),
    /// A part of a request.
    Partial {
        /// The client waits for `100 Continue` before it sends the body.
        expects: bool,
        /// How many bytes are missing; 0: not known, as the head is not complete.
        missing: usize,
    },
}

/// Whether a word can be written in the line protocol to stores, whose delimiters are commas, blanks and equals signs. On
/// a line that it can't parse a store closes the connection, with all requests that are in flight on it.
fn is_line_safe(text: &str) -> bool {
    let usable = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~:@%!*'()/".contains(&byte);
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.bytes().all(usable)
}

/// The path of a request for an object.
struct Target<'a> {
    class: &'a str,
    object: &'a str,
    part: Option<u32>,
}

/// Parses `/svc/CLASS/OBJECT`, with `/block-N` behind it for a part.
fn parse_target(path: &str) -> Result<Target<'_>, RequestError> {
    let rest = path.strip_prefix("/svc/").ok_or(RequestError::PathForm)?;
    let mut words = rest.split('/');
    let (Some(class), Some(object)) = (words.next(), words.next()) else {
        return Err(RequestError::PathForm);
    };
    let part = match words.next() {
        None => None,
        Some(word) => Some(word.strip_prefix("block-").and_then(parse_digits).ok_or(RequestError::PathForm)?),
    };
    if words.next().is_some() || !is_line_safe(class) || !is_line_safe(object) {
        return Err(RequestError::PathForm);
    }
    Ok(Target { class, object, part })
}

/// Parses an integer that has only digits; `FromStr` alone would accept a sign.
fn parse_digits<T: FromStr>(text: &str) -> Option<T> {
    text.bytes().all(|byte| byte.is_ascii_digit()).then(|| text.parse().ok()).flatten()
}

/// Parses a number with or without a fraction, and without a sign, an exponent or a name such as `inf`.
fn parse_decimal(text: &str, max: f64) -> Option<f64> {
    let digits = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let value = text.parse::<f64>().ok().filter(|_| digits && text.starts_with(|c: char| c.is_ascii_digit()));
    value.filter(|value| (0.0..=max).contains(value))
}

/// Parses the one tag that `If-None-Match` names. A list, or `*`, is ignored.
fn parse_entity_tag(text: &str) -> Option<String> {
    let bare = text.strip_prefix('"')?.strip_suffix('"')?;
    (is_line_safe(bare) && !bare.contains('"')).then(|| bare.into())
}

/// Fields that may not be repeated.
const SINGLE_FIELDS: [&str; 8] = [
    "content-length",
    "transfer-encoding",
    "req-id",
    "req-wait-ms",
    "req-token",
    "x-family",
    "req-kb",
    "if-none-match",
];

/// What the header fields of a request state.
#[derive(Default)]
struct Fields {
    content_length: Option<usize>,
    chunked: bool,
    closes: bool,
    expects: bool,
    id: Option<u64>,
    timeout: Option<Micros>,
    /// The other values, of those that a request for an object has.
    object: Object,
}

impl Fields {
    fn read(headers: &[httparse::Header]) -> Result<Fields, RequestError> {
        let (mut fields, mut seen) = (Fields::default(), Vec::new());
        for header in headers {
            let name = header.name.to_ascii_lowercase();
            // Either of two values could be the one that is meant, or that another hop uses.
            if seen.contains(&name) && SINGLE_FIELDS.contains(&name.as_str()) {
                return Err(RequestError::RepeatedField);
            }
            let text = std::str::from_utf8(header.value).map_err(|_| RequestError::FieldNotText)?;
            fields.apply(&name, text.trim())?;
            seen.push(name);
        }
        Ok(fields)
    }

    /// Applies one field. Unknown ones are ignored.
    fn apply(&mut self, name: &str, text: &str) -> Result<(), RequestError> {
        match name {
            "content-length" => self.content_length = Some(parse_length(text)?),
            "transfer-encoding" => self.chunked = true,
            "connection" => self.closes |= text.to_ascii_lowercase().contains("close"),
            "expect" => self.expects = text.eq_ignore_ascii_case("100-continue"),
            "req-id" => self.id = Some(parse_id(text)?),
            "req-wait-ms" => {
                let ms = parse_decimal(text, MAX_TIMEOUT_MS).ok_or(RequestError::Wait)?;
                self.timeout = Some((ms * MICROS_PER_MS) as Micros);
            }
            "req-token" if is_line_safe(text) => self.object.pull.token = Some(text.into()),
            "req-token" => return Err(RequestError::IdempotencyKey),
            "x-family" => {
                let group = parse_digits(text).filter(|group| *group <= MAX_PURGE_GROUP);
                self.object.purge_group = Some(group.ok_or(RequestError::PurgeGroup)?);
            }
            "req-kb" => {
                self.object.size_kb = parse_decimal(text, MAX_SIZE_KB).ok_or(RequestError::Size)?;
            }
            "if-none-match" => self.object.pull.have = parse_entity_tag(text),
            "authorization" => {
                self.object.bearer = Some(Secret::bearer(text, self.object.bearer.as_ref()));
            }
            _ => {}
        }
        Ok(())
    }

    /// The length of the body.
    fn body_length(&self) -> Result<usize, RequestError> {
        // With both fields, another hop could take a part of the body for a further request.
        match (self.chunked, self.content_length) {
            (true, Some(_)) => Err(RequestError::AmbiguousLength),
            (true, None) => Err(RequestError::LengthRequired),
            (false, Some(length)) if length > MAX_BODY_BYTES => Err(RequestError::BodyTooLarge),
            (false, length) => Ok(length.unwrap_or(0)),
        }
    }

    /// The request for the object that `path` names.
    fn into_object(self, path: &str, is_write: bool, body: &[u8]) -> Result<Object, RequestError> {
        let Target { class, object: name, part } = parse_target(path)?;
        let mut object = self.object;
        object.id = self.id.ok_or(RequestError::RequestIdMissing)?;
        object.timeout = self.timeout.ok_or(RequestError::WaitMissing)?;
        object.is_write = is_write;
        object.part = part.unwrap_or(0);
        object.pull.class = class.into();
        object.pull.object = name.into();
        object.pull.part = part.map(|part| part.to_string());
        object.pull.body = body.to_vec();
        Ok(object)
    }
}

/// Parses a length in digits. One that exceeds [`usize::MAX`] counts as that, which is too large for a body.
fn parse_length(text: &str) -> Result<usize, RequestError> {
    let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    parse_digits(text).or(digits.then_some(usize::MAX)).ok_or(RequestError::ContentLength)
}

/// Parses a request id.
fn parse_id(text: &str) -> Result<u64, RequestError> {
    let hex = text.len() == ID_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| hex).ok_or(RequestError::RequestId)
}

/// Whether the method is the one that writes.
fn is_write(method: Option<&str>, body_length: usize) -> Result<bool, RequestError> {
    match method {
        Some("GET") if body_length > 0 => Err(RequestError::BodyOfGet),
        Some("GET") => Ok(false),
        Some("PUT") => Ok(true),
        _ => Err(RequestError::MethodNotAllowed { allowed: "GET, PUT" }),
    }
}

/// Parses the request at the front of a buffer.
pub(super) fn parse(buffer: &[u8]) -> Result<Parsed, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut request = httparse::Request::new(&mut headers);
    let head = match request.parse(buffer) {
        Ok(httparse::Status::Complete(head)) if head <= MAX_HEAD_BYTES => head,
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_HEAD_BYTES => {
            return Ok(Parsed::Partial { expects: false, missing: 0 });
        }
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(RequestError::HeadTooLarge),
        Err(_) => return Err(RequestError::NotHttp),
    };
    let fields = Fields::read(request.headers)?;
    let length = fields.body_length()?;
    let consumed = head + length;
    if buffer.len() < consumed {
        return Ok(Parsed::Partial { expects: fields.expects, missing: consumed - buffer.len() });
    }
    let keep_alive = request.version == Some(1) && !fields.closes;
    let path = request.path.unwrap_or_default();
    let kind = if path == LIVENESS_PATH {
        RequestKind::Live
    } else {
        let is_write = is_write(request.method, length)?;
        RequestKind::Object(Box::new(fields.into_object(path, is_write, &buffer[head..consumed])?))
    };
    Ok(Parsed::Complete(ParsedRequest { kind, keep_alive, consumed }))
}

/// Whether more of a request's head has to come.
pub(super) fn is_head_incomplete(buffer: &[u8]) -> bool {
    matches!(parse(buffer), Ok(Parsed::Partial { missing: 0, .. }))
}
