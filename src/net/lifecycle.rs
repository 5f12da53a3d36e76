//! The lifecycle of a gateway's process: start, configuration reload, operators' intents, upgrade and graceful shutdown.

pub mod control_side;
pub mod gateway;
mod gateway_file;
pub mod handover;
mod id_link;
pub(super) mod incarnation;
pub mod intents;
pub mod link;
mod message_stream;
pub mod signal;
mod socket_location;
