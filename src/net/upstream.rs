//! Connections to stores, and the line protocol that they use.

pub mod store;
