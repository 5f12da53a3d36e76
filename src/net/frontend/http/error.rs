//! Why a request is rejected before it is served, with the status and the text that its client gets.

use super::status;
use thiserror::Error;

/// Why a request is rejected before it is served. The message is the body of the answer.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum RequestError {
    /// The bytes are not an HTTP/1 request.
    #[error("not an HTTP request")]
    NotHttp,
    /// The head has too many bytes or fields.
    #[error("the head is too large")]
    HeadTooLarge,
    /// `Content-Length` exceeds the bound of a body.
    #[error("the body is too large")]
    BodyTooLarge,
    /// A field that may not be repeated is.
    #[error("a field is repeated")]
    RepeatedField,
    /// A field's value is not UTF-8.
    #[error("a field is not text")]
    FieldNotText,
    /// `Content-Length` is not a number, or exceeds the bound of an operators' call.
    #[error("Content-Length")]
    ContentLength,
    /// Both fields that state the length of a body are present: another hop could use the other one.
    #[error("Content-Length and Transfer-Encoding")]
    AmbiguousLength,
    /// A body with a transfer coding and without a length.
    #[error("a body needs Content-Length")]
    LengthRequired,
    /// An operators' call with a transfer coding.
    #[error("calls have no coded body")]
    EncodedBody,
    /// A `GET` has a body.
    #[error("a GET with a body")]
    BodyOfGet,
    /// The path does not take this method. The message lists those that it takes, as the field `Allow` does.
    #[error("{allowed}")]
    MethodNotAllowed {
        /// The methods that the path takes.
        allowed: &'static str,
    },
    /// The path of a request for an object has another form.
    #[error("the path is not /svc/CLASS/OBJECT/block-N")]
    PathForm,
    /// The path names no operators' call.
    #[error("no such call")]
    UnknownCall,
    /// `Req-Id` has another form.
    #[error("Req-Id is not 16 hex digits")]
    RequestId,
    /// `Req-Id` is missing.
    #[error("Req-Id is missing")]
    RequestIdMissing,
    /// `Req-Wait-Ms` is not a number of milliseconds, or exceeds the longest timeout.
    #[error("Req-Wait-Ms")]
    Wait,
    /// `Req-Wait-Ms` is missing.
    #[error("Req-Wait-Ms is missing")]
    WaitMissing,
    /// `Req-Token` can't be written to a store.
    #[error("Req-Token")]
    IdempotencyKey,
    /// `X-Family` is not the number of a purge group.
    #[error("X-Family")]
    PurgeGroup,
    /// `Req-Kb` is not a size, or exceeds the largest.
    #[error("Req-Kb")]
    Size,
}

impl RequestError {
    /// The status code of the answer.
    pub fn status(self) -> u16 {
        match self {
            RequestError::PathForm | RequestError::UnknownCall => status::NOT_FOUND,
            RequestError::MethodNotAllowed { .. } => status::METHOD_NOT_ALLOWED,
            RequestError::LengthRequired => status::LENGTH_REQUIRED,
            RequestError::BodyTooLarge => status::CONTENT_TOO_LARGE,
            RequestError::HeadTooLarge => status::HEADER_FIELDS_TOO_LARGE,
            _ => status::BAD_REQUEST,
        }
    }
}
