//! Distributed enforcement of a budget that many gateways share, such as calls to the origin or retries. The crate does
//! no I/O, reads no clock and starts no threads.
//!
//! The gateway that holds the budget's lease runs a [`QuotaAllocator`], which grants amounts for a short time. Each
//! gateway has a [`QuotaClient`] with the quota leases granted to it, and a small local reserve that works without an
//! allocator. **In every window of true time, spending never exceeds the budget times (1 + overdraft)**, whichever
//! messages are lost, delayed or duplicated, and whichever processes are stopped, killed or partitioned, provided that
//! clocks stay within the drift and at most one allocator is active at a time.
//!
//! # Proof of the bound
//!
//! Let `B` be the budget of a window `W`, `o` the overdraft, `F` the sum of all reserves, `d` the clock drift, and
//! `X = o W / 5` the grant lifetime, measured by the client's clock from the time of the request.
//!
//! - Amounts spent within `W` were granted at most `X (1 + d)` earlier, so within a span of `W + X (1 + d)` of true
//!   time, which is `(1 + d)` times as long on the allocator's clock.
//! - An allocator starts empty, is refilled at `(B - F) / W` and holds at most `o B / 4`. Over any span, and across any
//!   number of successive allocators, at most `o B / 4` plus `(B - F) / W` times the span is granted.
//! - Each reserve starts empty, is refilled at its part of `F / W` and holds at most its part of `o B / 4`.
//!
//! The sum, which `F > 0` can only lower, is `B (o / 2 + (1 + o / 5 (1 + d)) (1 + d))`. This is at most `B (1 + o)`
//! where `d <= o / 8` and `o <= 1`; [`Budget::parameters`] rejects all other values.

#![warn(missing_docs)]

pub mod allocator;
pub mod amount;
pub mod budget;
pub mod client;
pub mod issued;
pub mod message;
pub mod token_bucket;

pub use allocator::{Counterparty, QuotaAllocator, Requester};
pub use amount::{Amount, ONE_CALL};
pub use budget::{Budget, BudgetError, QuotaParameters};
pub use client::{Payment, QuotaClient, QuotaLease};
pub use issued::{IssuedCounter, Issuer};
pub use message::{Grant, GrantRequest};
pub use token_bucket::TokenBucket;

/// A point in time or a duration, in microseconds of the caller's own monotonic clock.
pub type Micros = u64;

pub(crate) const MICROS_PER_SECOND: Micros = 1_000_000;
