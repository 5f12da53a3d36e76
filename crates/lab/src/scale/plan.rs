//! What the processes of a scale run are started with, each in a file.

use super::error::ScaleError;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A hollow gateway.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HollowPlan {
    /// Its number in the whole fleet.
    pub gateway: usize,
    /// Its name in the fleet.
    pub name: String,
    /// The zone of its settings.
    pub zone: String,
    /// Of its random numbers.
    pub seed: u64,
    /// Where it polls the event bus.
    pub bus: SocketAddr,
    /// Its operators' file, where it has one.
    pub operators: Option<String>,
}

/// A process of hollow gateways.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostPlan {
    /// The gateways that it hosts.
    pub gateways: Vec<HollowPlan>,
    /// The deployment's settings; each gateway is in a zone of its own plan.
    pub settings: Value,
    /// Where to fetch the events up to the start. `None`: the feed brings them.
    pub known_from: Option<SocketAddr>,
    /// The file that it writes its observations to.
    pub output: PathBuf,
}

/// The event bus.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BusPlan {
    /// Its feed identity.
    pub feed: String,
    /// The stores of the first event.
    pub stores: Vec<Value>,
    /// The rate of purges.
    pub purges_per_second: f64,
    /// The rate of changes of the list of stores.
    pub list_changes_per_second: f64,
    /// The share of purges that are of a group of objects.
    pub group_share: f64,
    /// Whether the times between events are exponentially distributed instead of equal.
    pub poisson: bool,
    /// Of its random numbers.
    pub seed: u64,
    /// The file that it writes its observations to.
    pub output: PathBuf,
}

/// Writes a plan to a file.
///
/// # Errors
///
/// Where the file can't be written.
pub fn write(path: &Path, plan: &impl Serialize) -> Result<(), ScaleError> {
    let json = serde_json::to_vec(plan).map_err(ScaleError::in_json(path))?;
    std::fs::write(path, json).map_err(ScaleError::in_file(path))
}

/// Reads a plan from a file.
///
/// # Errors
///
/// Where the file can't be read, or does not hold such a plan.
pub fn read<T: for<'a> Deserialize<'a>>(path: &Path) -> Result<T, ScaleError> {
    let json = std::fs::read(path).map_err(ScaleError::in_file(path))?;
    serde_json::from_slice(&json).map_err(ScaleError::in_json(path))
}
