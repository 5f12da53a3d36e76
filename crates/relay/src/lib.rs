//! A relay of the event feed.
//!
//! A relay subscribes to the event bus, or to another relay, with one long poll and answers the long polls of thousands
//! of gateways. The state machine is [`sagearch_feed::relay`]; this crate provides its sockets, clock and process:
//!
//! - [`upstream`]: polls of the event bus or of another relay; [`chain`] detects loops between relays
//! - [`listener`], [`admission`], [`routes`]: connections, admission control and the HTTP handlers
//! - [`state`]: the state machine behind a lock, and the pending polls; [`ticker`] answers them when they are due
//! - [`client`]: the HTTP client for upstreams and peer relays
//! - [`peers`]: fetches the reports of peer relays
//! - [`status`], [`metrics`], [`process`]: status, metrics and resource usage for operators
//! - [`running`]: starts and stops all of these

#![warn(missing_docs)]

pub mod admission;
pub mod chain;
pub mod client;
pub mod clock;
pub mod listener;
pub mod metrics;
pub mod peers;
pub mod process;
pub mod routes;
pub mod running;
pub mod state;
pub mod status;
pub mod ticker;
pub mod upstream;

pub use running::{RunningRelay, StartError};
