//! The gateway's configuration: the only place where it is read, checked and given its defaults.
//!
//! The platform states `NODE_CONFIG`, the path of a JSON file; `NODE_NAME` and `NODE_LISTEN`, where set, take precedence
//! over the file's values. What the platform does not know is in the operators' file ([`sagearch_operators`]). Every
//! message names the key at fault, or the file, line and column.

mod decode;
mod error;
mod required_keys;

pub use decode::decode;
pub use error::{ConfigError, InvalidValue};
pub use required_keys::{RequiredKeys, Shape};

use crate::events::Batch;
use crate::files;
use crate::interface::Settings;
use crate::settings::Names;
use decode::address;
use sagearch_operators::{Diagnostics, Operators};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// The first descriptor that a process can inherit beside its standard streams.
const FIRST_INHERITED_DESCRIPTOR: i32 = 3;

/// All that a gateway is started with.
pub struct Config {
    /// The name of the gateway in its fleet.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// For the random choices of the policies.
    pub seed: u64,
    /// The memory that the process may use, in megabytes.
    pub memory_mb: usize,
    /// The descriptors that the process may use.
    pub sockets: usize,
    /// Where operators connect, if anywhere.
    pub admin: Option<SocketAddr>,
    /// The descriptor at which the clients' listening socket is inherited, where the platform holds it.
    pub socket: Option<i32>,
    /// The folder of the files that outlive this process: `$TMPDIR`, where that is set.
    pub lasting: Option<PathBuf>,
    /// Where the event bus listens.
    pub bus: SocketAddr,
    /// Where datagrams of other gateways are received.
    pub peer_listen: Option<SocketAddr>,
    /// The event bus's events up to the start.
    pub known: Batch,
    /// How the policies decide.
    pub settings: Settings,
    /// The names of the settings, and limits of connections.
    pub names: Names,
    /// Which keys the file holds.
    pub shape: Shape,
    /// What operators add, or why it can't be used: then the gateway starts and serves nobody, because it could not know
    /// whom it may serve.
    pub operators: Result<Operators, Diagnostics>,
}

/// Reads the environment and the files that it names. `config` takes precedence over `NODE_CONFIG`.
///
/// # Errors
///
/// [`ConfigError`] where a variable is missing, a file can't be read, or a value can't be used. Diagnostics of the operators'
/// file are no error: see [`Config::operators`].
pub fn read(config: Option<&Path>, operators: &Path) -> Result<Config, ConfigError> {
    let path = config.map(Path::to_path_buf).or(variable("NODE_CONFIG").map(Into::into));
    let path = path.ok_or_else(|| ConfigError::new("NODE_CONFIG", InvalidValue::NotSet))?;
    let unreadable =
        |source| ConfigError::new("NODE_CONFIG", InvalidValue::Unreadable { path: path.clone(), source });
    let text = std::fs::read_to_string(&path).map_err(unreadable)?;
    let mut config = decode(&text, variable("NODE_NAME"), variable("NODE_LISTEN"))?;
    if let Some(text) = variable("NODE_ADMIN") {
        config.admin = Some(address("NODE_ADMIN", Some(&text))?);
    }
    config.socket = variable("NODE_SOCKET_FD").map(inherited_descriptor).transpose()?;
    config.sockets = available_descriptors(config.sockets);
    config.lasting = variable("TMPDIR").map(Into::into);
    config.operators = files::read_operators(operators, &config.names);
    Ok(config)
}

/// An environment variable. An empty one counts as not set.
fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

fn inherited_descriptor(text: String) -> Result<i32, ConfigError> {
    let descriptor = text.parse().ok().filter(|descriptor| *descriptor >= FIRST_INHERITED_DESCRIPTOR);
    descriptor.ok_or_else(|| ConfigError::new("NODE_SOCKET_FD", InvalidValue::NoDescriptor(text)))
}

/// How many of the configured descriptors the system grants the process. Only these can be divided among clients, stores
/// and the event bus: beyond them nothing could be opened at all.
fn available_descriptors(configured: usize) -> usize {
    match rlimit::increase_nofile_limit(configured as u64) {
        Ok(limit) if limit < configured as u64 => {
            log::warn!(
                "limits.sockets: {configured}, but the system grants {limit} descriptors: going by these"
            );
            limit as usize
        }
        Ok(_) => configured,
        Err(e) => {
            log::warn!("descriptors: {e}; going by limits.sockets, {configured}");
            configured
        }
    }
}
