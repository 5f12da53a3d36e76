//! The interface between frontends and the gateway: the configuration in force, execution of requests, and draining of
//! client connections.

use crate::broker::PlannedAttempt;
use crate::interface::{MemberId, Micros, Request};
use crate::net::Permit;
use crate::net::configuration::agreed_routes::RoutesInForce;
use crate::net::configuration::identity::Guard;
use crate::net::snapshot::Snapshot;
use crate::net::upstream::store::{Pull, Reply};
use sagearch_identity::Caller;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// The operation that the attempts of a request perform at a store.
pub enum Work {
    /// Fetch an object. Shared by all attempts: each encodes it only when it is written.
    Pull(Arc<Pull>),
    /// Check the health of the picked endpoint, for a DNS lookup.
    Check,
}

/// How a request ended.
#[derive(Debug)]
pub enum RequestEnd {
    /// A store answered the request.
    Served(Reply),
    /// The endpoint of this attempt passed its health check.
    Checked(PlannedAttempt),
    /// The request was shed, with the backoff in microseconds if the broker states one.
    Refused(Option<Micros>),
    /// All attempts failed, or the deadline expired.
    Failed,
    /// The client closed its connection before an answer was sent.
    Gone {
        /// Whether an attempt had been passed to a store connection: the request may have run.
        attempted: bool,
    },
}

impl RequestEnd {
    /// The label of this end in logs and metrics.
    pub fn label(&self) -> &'static str {
        match self {
            RequestEnd::Served(_) => "served",
            RequestEnd::Checked(_) => "checked",
            RequestEnd::Refused(_) => "refused",
            RequestEnd::Failed => "failed",
            RequestEnd::Gone { .. } => "gone",
        }
    }
}

/// Whether a request may be executed under its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdUse {
    /// The id was not in use before.
    New,
    /// The request that came under this id before is being executed here.
    Open,
    /// A request has come under this id before, and may have run.
    Used,
    /// The other process of an upgrade has not answered whether the id is in use there.
    Unknown,
}

/// The state of a client connection, as a check of it shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// The client waits: all data that it sent is read, and the stream has not ended.
    Waiting,
    /// The client has sent more data than one check reads, so the end of the stream may follow undetected.
    Sending,
    /// The client has closed or reset its connection.
    Gone,
}

/// The client that waits for the answer to a request.
pub trait Client {
    /// Checks the client connection without blocking.
    fn presence(&self) -> Presence;

    /// Whether the client is not known to have closed or reset its connection.
    fn is_connected(&self) -> bool {
        self.presence() != Presence::Gone
    }
}

/// The draining state of client connections. During draining each answer closes its connection. Connections without a
/// request are closed only after a grace period, so that as few clients as possible send a request while the gateway
/// closes the connection.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionDraining {
    /// The time since draining began.
    pub elapsed: Duration,
    /// How long connections that are idle between requests stay open.
    pub idle_grace: Duration,
    /// How long connections without a complete request stay open.
    pub request_grace: Duration,
}

/// The gateway as its frontends use it.
pub trait Service: Send + Sync {
    /// The snapshot in force. A request obtains it once and uses it until its end.
    fn snapshot(&self) -> Arc<Snapshot>;

    /// The routes by which the DNS frontend may answer, where `snapshot` is in force. `None`: it may answer by none, because a
    /// consensus group agrees on them and this gateway does not know which are in force.
    fn routes(&self, snapshot: &Snapshot) -> Option<RoutesInForce>;

    /// Authenticates and authorizes callers.
    fn guard(&self) -> &Guard;

    /// Serves a request, and returns as soon as its end is known. Meanwhile the connection of `client` is checked: if it
    /// closes, the attempts of the request are withdrawn. `client` is `None` if no client connection can close.
    fn execute(
        &self,
        request: Request,
        caller: &Arc<Caller>,
        work: &Work,
        client: Option<&dyn Client>,
    ) -> RequestEnd;

    /// Counts a request as open until the permit is dropped. Shutdown waits for open requests.
    fn count_open_request(&self) -> Option<Permit>;

    /// Takes the id of a request into use, before the request is executed. `idempotent` states that the request may run any
    /// number of times; other ids are claimed from the other process during an upgrade.
    fn take_request_id(&self, id: u64, idempotent: bool) -> IdUse;

    /// Makes an id available again, under which nothing was sent to a store.
    fn release_request_id(&self, id: u64, idempotent: bool);

    /// The remaining time for requests before the process exits, in microseconds; [`Micros::MAX`] if it is not stopping.
    fn remaining_time(&self) -> Micros;

    /// The draining state of client connections; `None` if they are not being drained.
    fn connection_draining(&self) -> Option<ConnectionDraining>;

    /// Whether operators are draining the gateway.
    fn is_drained(&self) -> bool;

    /// Whether another process has taken over and accepts the new connections.
    fn is_handed_over(&self) -> bool;

    /// The address of an endpoint, if it is known.
    fn address(&self, member: MemberId) -> Option<SocketAddr>;
}
