//! Configuration streaming: a control service distributes versions to its gateways, and each version is applied
//! completely or not at all.
//!
//! The crate does no I/O, reads no clock and starts no threads: callers pass in bytes, the time in milliseconds and a
//! random seed.
//!
//! - [`version`]: versions, which are numbered sets of documents with a digest;
//! - [`message`]: the protocol messages and their framing;
//! - [`subscriber`]: the gateway's state machine, which receives, assembles, stages, stores, commits, and then
//!   acknowledges versions, or rejects them;
//! - [`service`]: the control service's state machine, which tracks the gateways' versions and schedules transfers;
//! - [`rollout`]: staged rollouts with automatic rollback;
//! - [`store`]: the last good versions on disk, accessed through a [`sagearch_folder::FileStore`] from the caller.
//!
//! The semantics follow those published for xDS (versions, nonces, ACK and NACK, full state and deltas), with one
//! difference: all documents of a version form one unit and come into force together.

#![warn(missing_docs)]

mod counts;
pub mod message;
pub mod rollout;
pub mod service;
pub mod store;
pub mod subscriber;
pub mod version;

pub use counts::RequestCounts;
pub use version::{Version, VersionId};

/// A duration, or a point in time since an arbitrary fixed origin, in milliseconds.
pub type Millis = u64;
