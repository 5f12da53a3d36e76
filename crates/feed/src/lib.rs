//! The event feed: distributes numbered events (endpoint lists, purges) from the event bus through relays to gateways.
//!
//! This crate does no I/O, reads no clock and starts no thread: callers pass in messages, the time and a random seed.
//!
//! - [`message`]: polls and answers, and how they are encoded in a query and in JSON;
//! - [`lease`]: the freshness lease, and which copies are no longer valid after lease expiry;
//! - [`subscription`]: the subscriber side: when to poll which relay, and how to classify its answers;
//! - [`slice`](mod@slice): the slices of the hash space into which old purges are folded;
//! - [`relay`]: the relay side: the log, pending polls, acknowledgements and snapshots.

#![warn(missing_docs)]

pub mod lease;
pub mod message;
pub mod relay;
pub mod slice;
pub mod subscription;

/// The number of an event in its feed. Offsets never decrease within a feed; several events may share one offset.
pub type Offset = u64;

/// A fraction in thousandths, such as the maximum drift of a clock.
pub type PerMille = u32;

/// A point in time or a duration, in microseconds on the caller's monotonic clock.
pub type Micros = u64;

/// The number of microseconds in a millisecond, the unit of times on the wire.
pub const MILLISECOND: Micros = 1_000;
