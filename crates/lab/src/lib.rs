//! The fleet laboratory: starts many processes of the gateway on one machine, injects faults between them by
//! a schedule that a seed has drawn, and judges what all participants observed.
//!
//! Decisions are apart from I/O: scenarios, schedules, links, the model of the world and the checker do no I/O,
//! read no clock and start nothing. Nothing here is linked into the gateway;
//! [`scale::host`] alone links the gateway in.
#![warn(missing_docs)]

pub mod arrival_counts;
pub mod arrivals;
pub mod check;
pub mod cost_curves;
pub mod experiment;
pub mod fit;
pub mod harness;
pub mod html_report;
pub mod link_condition;
pub mod model;
pub mod network_emulation;
pub mod object_body;
pub mod outcome;
pub mod participant;
pub mod process_state;
pub mod report;
pub mod resources;
pub mod scale;
pub mod scenario;
pub mod schedule;
pub mod schema;
pub mod settings;
pub mod shrink;
pub mod store_protocol;
pub mod system_faults;
pub mod trace;
pub mod value_range;
pub mod verdict;
