//! Receives endpoint lists and purges: from the event bus by long poll, or from relays of the event feed.
//!
//! - `bus`: polls the event bus; `feed`: polls relays; `long_poll`: the HTTP client of both;
//! - `event_sink`: applies events; `addresses`: which of the stores at one address is there; `event_times`: estimates how old events are;
//! - `staleness`: reports an expired freshness lease in logs and metrics.

mod addresses;
pub mod bus;
pub mod event_sink;
pub mod event_times;
pub mod feed;
mod long_poll;
pub(super) mod staleness;
