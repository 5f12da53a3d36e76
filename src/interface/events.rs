//! Events that a gateway passes to the router.

use super::{
    Detail, ListKind, Load, Member, MemberId, Micros, Outcome, Request, RequestId, Settings, TimerId,
};
use sagearch_feed::lease::Lease;

/// An event that the router handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// Discovery has reported members.
    Members {
        /// Whether `members` is the whole list or only changes to it.
        kind: ListKind,
        /// The reported members.
        members: Vec<Member>,
    },
    /// A client has sent a request.
    Request(Request),
    /// An attempt has ended.
    Outcome {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The member that the attempt was picked for.
        member: MemberId,
        /// Number of the attempt, counted from 0 for each request.
        attempt: u32,
        /// How the attempt ended.
        outcome: Outcome,
        /// How the member obtained its answer, or why it could not.
        detail: Detail,
        /// Time from when the attempt was picked until it ended.
        elapsed: Micros,
        /// Whether the request has received its final answer.
        finished: bool,
        /// The member's load report that came with the answer.
        load: Load,
    },
    /// The answer to a request has begun to stream to the client.
    Streaming {
        /// The request that is being answered.
        request: RequestId,
    },
    /// An object or, without an object, a purge group was purged.
    Purged {
        /// The purged object; `None`: a purge group was purged.
        object: Option<String>,
        /// The purged group, used only if `object` is `None`.
        group: Option<u64>,
        /// Time from the purge until now.
        ago: Micros,
    },
    /// All objects and purge groups in a slice of the hash space count as purged.
    SlicePurged {
        /// Index of the slice, counted from 0.
        slice: u32,
        /// Number of slices that divide the hash space.
        slice_count: u32,
        /// Time from the purge until now.
        ago: Micros,
    },
    /// The freshness lease was renewed. Until the first such event, the lack of a lease causes no revalidations.
    Freshness {
        /// The lease, during which the knowledge of purges counts as complete.
        lease: Lease,
        /// Number of revalidations per second allowed while the lease is expired.
        revalidations_per_second: u32,
    },
    /// The client has disconnected: no answer is due any more.
    Abandoned {
        /// The request of that client.
        request: RequestId,
    },
    /// A timer that the router set is due.
    Timer(TimerId),
    /// The gateway is shutting down.
    Ending {
        /// The shutdown deadline, by which all open requests are answered.
        deadline: Micros,
    },
    /// The settings were replaced. Classes keep their indices: a changed class is appended as a new one.
    SettingsReplaced(Settings),
    /// An operator took a member out of service. It counts as draining until it is returned to service, whatever its
    /// listed state is.
    OutOfService(MemberId),
    /// An operator returned a member to service. The member may have restarted in the meantime.
    ReturnedToService {
        /// The member that was returned to service.
        member: MemberId,
        /// The time at which the member counts as started.
        started: Micros,
    },
}
