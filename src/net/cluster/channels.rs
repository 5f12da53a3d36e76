//! The messages on the channels between the gateway's worker, the thread pool and the thread that reads datagrams.

use super::wire::GrantAuthority;
use sagearch_ledger::{Grant, GrantRequest};
use std::net::SocketAddr;

/// A task for the thread pool.
pub enum Task {
    /// Process a received datagram.
    Datagram(ReceivedDatagram),
    /// Request a grant for the gateway's worker.
    RequestGrant(WorkerGrantRequest),
    /// Wake a sleeping worker: the next deadline has become earlier, or the threads are about to end.
    Wake,
    /// Leave the region and release all leases, because the process is about to end.
    Leave,
}

/// A datagram as received from the socket.
pub struct ReceivedDatagram {
    /// The sender's address.
    pub from: SocketAddr,
    /// The encoded datagram.
    pub bytes: Vec<u8>,
}

/// A request by the gateway's worker for a grant from a budget.
#[derive(Clone, Copy, Debug)]
pub struct WorkerGrantRequest {
    /// The budget's number in the operators' file.
    pub budget: u8,
    /// The requested amount and the number of the request.
    pub request: GrantRequest,
}

/// A grant with the lease and the claim under which it was issued.
#[derive(Clone, Copy, Debug)]
pub struct AuthorizedGrant {
    /// The lease and claim under which the grant is valid.
    pub authority: GrantAuthority,
    /// The grant as issued by the allocator.
    pub grant: Grant,
}
