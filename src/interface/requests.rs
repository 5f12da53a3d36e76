//! Requests of clients.

use super::Micros;

/// The id of a client's request; never reused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A client's request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// The id of the request.
    pub id: RequestId,
    /// The request class, as an index into [`Settings::classes`](super::Settings::classes); `None`: a class that the
    /// settings do not name.
    pub class: Option<usize>,
    /// Time from now until the client gives up on the request.
    pub timeout: Micros,
    /// Size of the answer in KB.
    pub size_kb: f64,
    /// Name of the requested object.
    pub object: String,
    /// Number of the requested part of the object.
    pub part: u32,
    /// The purge group of the object, if any.
    pub purge_group: Option<u64>,
    /// Whether this is a DNS lookup, which asks for a member instead of the object. The size of the answer is unknown,
    /// and the attempts are health checks, whose durations are no sending times.
    pub is_lookup: bool,
}
