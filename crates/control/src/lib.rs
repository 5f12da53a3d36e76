//! The control service: stores versions of the operators' configuration, validates them before publication, and
//! streams them to gateways in stages.
//!
//! The protocol and rollout decisions are made in [`sagearch_stream::service`]. This crate provides the sockets
//! ([`server`]), the storage ([`disk`], [`persistence`]) and the operators' client ([`client`]).

#![warn(missing_docs)]

pub mod client;
pub mod disk;
pub mod persistence;
pub mod server;
pub mod tls;

/// Name of the document that holds a version's configuration in the operators' language.
pub const DOCUMENT: &str = "operators.kdl";
/// Name of the compiled form of [`DOCUMENT`], which the service parses and validates once for all gateways.
pub const COMPILED_DOCUMENT: &str = "operators.json";
