//! The stores that gateways send to, as one model in virtual time: caches, parents and the origin with slots and queues,
//! links that divide their rate, copies, cold starts and overload. It reads no clock; callers ask when something is due.

pub mod cold;
pub mod copies;
pub mod shared_link;
pub mod station;
pub mod world;

/// Microseconds from the run's begin.
pub type Micros = u64;
