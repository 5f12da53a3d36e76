//! Configuration of the gateway: the operators' file, versions streamed by a control service, and the identity layer's
//! key sets and certificates.

pub mod agreed_routes;
pub mod control;
pub mod identity;
pub mod layered_config;
