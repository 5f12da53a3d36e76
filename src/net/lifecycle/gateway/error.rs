//! Errors of a gateway's start.

use crate::net::frontend::dns::DnsError;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// The part of a gateway that can't be started, and the cause.
#[derive(Debug, Error)]
pub enum StartError {
    /// The control side, such as the exchange with other members of the fleet, can't be started.
    #[error("control side: {0}")]
    ControlSide(#[source] io::Error),
    /// The thread that stores the operators' intents can't be started.
    #[error("operators' intents: {0}")]
    Intents(#[source] io::Error),
    /// The listener for operators' calls can't be started.
    #[error("admin: {address}: {cause}")]
    Admin {
        /// The configured address.
        address: SocketAddr,
        /// The error of the system.
        #[source]
        cause: io::Error,
    },
    /// The listener for clients can't be started.
    #[error("listen: {address}: {cause}")]
    Clients {
        /// The configured address.
        address: SocketAddr,
        /// The error of the system.
        #[source]
        cause: io::Error,
    },
    /// The DNS frontend can't be started.
    #[error(transparent)]
    Dns(#[from] DnsError),
    /// This gateway's instance of the consensus group can't be started.
    #[error("raft: {address}: {cause}")]
    Consensus {
        /// The configured address of the instance.
        address: SocketAddr,
        /// The error of the system.
        #[source]
        cause: io::Error,
    },
    /// The thread that waits until the previous process frees an address can't be started.
    #[error("{address}: waiting until it is free: {cause}")]
    TakeOver {
        /// The address that is in use.
        address: SocketAddr,
        /// The error of the system.
        #[source]
        cause: io::Error,
    },
    /// The thread that follows the control services can't be started.
    #[error("control: {0}")]
    Control(#[source] io::Error),
}
