//! The configuration of a control side.

use crate::events::Batch;
use crate::interface::Settings;
use crate::settings::Names;
use sagearch_operators::{Diagnostics, Operators};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The configuration of a control side.
pub struct ControlConfig {
    /// The gateway's name.
    pub name: String,
    /// The seed of all random numbers.
    pub seed: u64,
    /// The number that tells this run from other gateways of the process and from earlier runs of this gateway.
    pub instance: u64,
    /// The address of the event bus.
    pub bus: SocketAddr,
    /// The address where datagrams of other gateways are received, if it differs from the one in the operators' file.
    pub peer_listen: Option<SocketAddr>,
    /// The folder for state that outlives the process; `None`: nothing is stored.
    pub lasting: Option<PathBuf>,
    /// Whether this process may join the fleet that the operators' file names.
    pub joins_fleet: bool,
    /// The events of the bus that the configuration contains.
    pub known: Batch,
    /// The settings of the policies.
    pub settings: Settings,
    /// The names of classes, cells and machine types.
    pub names: Names,
    /// The operators' file, or the diagnostics if it can't be used.
    pub operators: Result<Operators, Diagnostics>,
}
