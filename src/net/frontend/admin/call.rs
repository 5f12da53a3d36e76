//! Parses operators' calls.

use crate::net::frontend::http::{RequestError, Secret};
use crate::net::lifecycle::intents::Intent;

/// The largest call, in bytes.
const MAX_CALL_BYTES: usize = 16 * 1024;
/// How many header fields a call may have.
const MAX_FIELDS: usize = 64;

/// What a call asks for.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Call {
    /// Whether the gateway is ready for clients.
    Ready,
    /// The keys of issuers, and how long they are valid.
    Keys,
    /// All counters.
    Metrics,
    /// That something be changed by hand.
    Change(Intent),
}

impl Call {
    /// The call that a path names.
    fn at(path: &str) -> Option<Call> {
        let words: Vec<&str> = path.split('?').next().unwrap_or_default().split('/').collect();
        let call = match words[..] {
            ["", "v1", "readyz"] => Call::Ready,
            ["", "v1", "identity", "keys"] => Call::Keys,
            ["", "v1", "metrics"] => Call::Metrics,
            ["", "v1", "stores", id, "suspend"] => Call::Change(Intent::TakeOut(id.into())),
            ["", "v1", "stores", id, "resume"] => Call::Change(Intent::PutBack(id.into())),
            ["", "v1", "gateway", "drain"] => Call::Change(Intent::Drain(true)),
            ["", "v1", "gateway", "activate"] => Call::Change(Intent::Drain(false)),
            _ => return None,
        };
        Some(call)
    }

    /// The method with which it is called.
    fn method(&self) -> &'static str {
        match self {
            Call::Ready | Call::Keys | Call::Metrics => "GET",
            Call::Change(_) => "POST",
        }
    }
}

/// A call, and the token of its caller.
#[derive(Debug, PartialEq)]
pub(super) struct ParsedCall {
    pub(super) call: Call,
    pub(super) bearer: Option<Secret>,
}

/// What the header fields of a call state.
#[derive(Default)]
struct Fields {
    content_length: usize,
    bearer: Option<Secret>,
}

impl Fields {
    fn read(headers: &[httparse::Header]) -> Result<Fields, RequestError> {
        let mut fields = Fields::default();
        for header in headers {
            match header.name.to_ascii_lowercase().as_str() {
                "transfer-encoding" => return Err(RequestError::EncodedBody),
                "content-length" => {
                    let text = std::str::from_utf8(header.value).ok();
                    let length: Option<usize> = text.and_then(|text| text.trim().parse().ok());
                    let length = length.filter(|length| *length <= MAX_CALL_BYTES);
                    fields.content_length = length.ok_or(RequestError::ContentLength)?;
                }
                "authorization" => {
                    let text = std::str::from_utf8(header.value).unwrap_or_default();
                    fields.bearer = Some(Secret::bearer(text.trim(), fields.bearer.as_ref()));
                }
                _ => {}
            }
        }
        Ok(fields)
    }
}

/// Parses a call. `None`: it is not complete yet. Its body is ignored.
///
/// # Errors
/// The form of the call, its path or its method is not valid.
pub(super) fn parse_call(buffer: &[u8]) -> Result<Option<ParsedCall>, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut request = httparse::Request::new(&mut headers);
    let head_length = match request.parse(buffer) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_CALL_BYTES => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(RequestError::HeadTooLarge),
        Err(_) => return Err(RequestError::NotHttp),
    };
    let Fields { content_length, bearer } = Fields::read(request.headers)?;
    let call = Call::at(request.path.unwrap_or_default()).ok_or(RequestError::UnknownCall)?;
    let allowed = call.method();
    if request.method != Some(allowed) {
        return Err(RequestError::MethodNotAllowed { allowed });
    }
    let is_complete = buffer.len() >= head_length + content_length;
    Ok(is_complete.then_some(ParsedCall { call, bearer }))
}
