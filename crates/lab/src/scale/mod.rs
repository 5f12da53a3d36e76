//! The scale run: a whole fleet's control traffic on one machine, with its cost by role and the time that purges take.
//!
//! Most gateways are hollow: the control side of the product without its requests, many in one process ([`host`]). A few
//! are real processes, so that both can be compared. [`checker`] and [`cost`] do no I/O; [`run`] starts and stops
//! processes.

pub mod bus;
pub mod checker;
pub mod cost;
pub mod error;
pub mod fleet;
pub mod host;
pub mod initial_events;
pub mod layout;
pub mod link;
pub mod measurement;
pub mod observation;
pub mod plan;
pub mod process;
pub mod programs;
pub mod real_gateway;
pub mod record;
pub mod relays;
pub mod report;
pub mod resources;
pub mod result;
pub mod run;
pub mod scenario;
pub mod schema;
mod sync;
pub mod usage;
