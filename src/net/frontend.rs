//! The frontends: HTTP with its table of client connections and TLS, DNS, and operators' calls.

pub mod admin;
mod arrivals;
pub mod clients;
pub mod dns;
pub mod http;
pub mod tls;
