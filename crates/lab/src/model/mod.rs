//! The world that gateways serve from, as one model in virtual time: caches, parents and the origin with slots and
//! waiting rooms, links that divide, copies, cold starts and falls. It reads no clock; what is due is asked for.

pub mod cold;
pub mod copies;
pub mod pipe;
pub mod station;
pub mod world;

/// Microseconds from the run's begin.
pub type Micros = u64;
