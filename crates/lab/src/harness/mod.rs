//! The test harness: the sockets, processes, files and timers of a run.

pub mod clients;
pub mod context;
pub mod datagrams;
pub mod event_bus;
pub mod fleet;
pub mod network;
pub mod operator;
pub mod recorder;
pub mod relay;
pub mod run;
pub mod store_servers;
mod sync;
