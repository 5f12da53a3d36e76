//! The status codes of answers (RFC 9110, section 15; RFC 6585).

/// A body follows.
pub const OK: u16 = 200;
/// The client's copy is current.
pub const NOT_MODIFIED: u16 = 304;
/// The request has an invalid form.
pub const BAD_REQUEST: u16 = 400;
/// The caller is not identified.
pub const UNAUTHORIZED: u16 = 401;
/// The caller has no right to this.
pub const FORBIDDEN: u16 = 403;
/// There is no such class, path or store.
pub const NOT_FOUND: u16 = 404;
/// The path does not take this method.
pub const METHOD_NOT_ALLOWED: u16 = 405;
/// The request was not complete in time.
pub const REQUEST_TIMEOUT: u16 = 408;
/// The request id has been used.
pub const CONFLICT: u16 = 409;
/// A body has no stated length.
pub const LENGTH_REQUIRED: u16 = 411;
/// The body is too large.
pub const CONTENT_TOO_LARGE: u16 = 413;
/// The head is too large.
pub const HEADER_FIELDS_TOO_LARGE: u16 = 431;
/// The gateway has failed.
pub const INTERNAL_SERVER_ERROR: u16 = 500;
/// No store has answered.
pub const BAD_GATEWAY: u16 = 502;
/// The request was shed, or the gateway is not ready.
pub const SERVICE_UNAVAILABLE: u16 = 503;

/// Whether a status reports an error.
pub(super) fn is_error(status: u16) -> bool {
    status >= BAD_REQUEST
}

/// The phrase that follows the code in a status line.
pub(super) fn reason_phrase(status: u16) -> &'static str {
    match status {
        OK => "OK",
        NOT_MODIFIED => "Not Modified",
        BAD_REQUEST => "Bad Request",
        UNAUTHORIZED => "Unauthorized",
        FORBIDDEN => "Forbidden",
        NOT_FOUND => "Not Found",
        METHOD_NOT_ALLOWED => "Method Not Allowed",
        REQUEST_TIMEOUT => "Request Timeout",
        CONFLICT => "Conflict",
        LENGTH_REQUIRED => "Length Required",
        CONTENT_TOO_LARGE => "Content Too Large",
        HEADER_FIELDS_TOO_LARGE => "Request Header Fields Too Large",
        INTERNAL_SERVER_ERROR => "Internal Server Error",
        SERVICE_UNAVAILABLE => "Service Unavailable",
        _ => "Bad Gateway",
    }
}
