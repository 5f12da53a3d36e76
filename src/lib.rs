//! A cache gateway: it routes requests to caches, which fill from parent caches and an origin, and serves them
//! over sockets. `README.md` describes how the parts fit together.
//!
//! Frontends pass requests to the [`broker`], the only caller of the [`Router`]. The broker creates one router from
//! its [`Settings`](interface::Settings), passes it every [`Event`](interface::Event) together with the current time,
//! and carries out the returned [`Action`](interface::Action)s in order. The router reads no clock, does no I/O and
//! starts no threads.
//!
//! ```
//! use sagearch::{Router, interface::*};
//!
//! let slow_start = SlowStartRule { floor: 0.2, warm_up: 10_000_000, multiple: 2.0, window: 1_000_000 };
//! let settings = Settings {
//!     classes: vec![Class {
//!         name: "map".into(), max_attempts: 4, latency_objective: 400_000, objective_stretch: 1.0,
//!         priority_weight: 1.0, late_weight_share: 0.2,
//!         idempotency: Idempotency::Idempotent, fresh: None, uncacheable: false,
//!     }],
//!     zones: vec![Zone { routers: 1 }],
//!     zone: 0, routers: 1, pace_kb_per_s: 5_000.0, weights_are_capacities: true,
//!     hedging: false, may_cancel: true, max_backoff: Some(1_000_000),
//!     direct_requests: true, joins_fills: true, sibling_fills: false,
//!     cache_slow_start: slow_start, parent_slow_start: slow_start,
//!     purge_propagation: 6_000_000, tick: 1_000,
//! };
//! let member = |id, role| Member {
//!     id: MemberId(id), role, zone: Some(0), cell: 0, weight: 8.0, started: None,
//!     state: MemberState::Serving,
//! };
//! let mut router = Router::new(settings, 7);
//! let mut actions = Vec::new();
//! router.handle(0, Event::Members {
//!     kind: ListKind::Complete,
//!     members: vec![member(1, Role::Cache), member(2, Role::Origin)],
//! }, &mut actions);
//! router.handle(1_000, Event::Request(Request {
//!     id: RequestId(1), class: Some(0), timeout: 2_000_000, size_kb: 300.0,
//!     object: "map".into(), part: 0, purge_group: None, is_lookup: false,
//! }), &mut actions);
//! for action in &actions {
//!     if let Action::Attempt { member, fill, .. } = action {
//!         assert_eq!(*member, MemberId(1));
//!         assert_eq!(fill.unwrap().source, Some(MemberId(2)));
//!     }
//! }
//! assert!(!actions.is_empty());
//! ```

#![warn(missing_docs)]

mod average;
pub mod broker;
pub mod commands;
pub mod config;
pub mod consensus;
mod counts;
pub mod events;
#[cfg(test)]
#[path = "../crates/folder/tests/support/mod.rs"]
mod faulty_file_system;
pub mod files;
mod freshness;
mod hash;
pub mod interface;
pub mod issue;
pub mod log;
pub mod metrics;
pub mod net;
mod policy;
mod purges;
pub mod settings;
mod state;
#[doc(hidden)]
pub mod wire;

pub use policy::Router;
pub use state::{Learned, SendingTime};
