//! What the processes of a scale run are told, each by a file.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// A hollow gateway.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HollowPlan {
    /// Its number in the whole fleet.
    pub gateway: usize,
    pub name: String,
    pub zone: String,
    pub seed: u64,
    pub bus: SocketAddr,
    /// Its operators' file, where it has one.
    pub operators: Option<String>,
}

/// A process of hollow gateways.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostPlan {
    pub gateways: Vec<HollowPlan>,
    /// The deployment's settings; each gateway stands in its own zone.
    pub settings: Value,
    /// Where to fetch the events up to the start. `None`: the feed brings them.
    pub known_from: Option<SocketAddr>,
    pub output: PathBuf,
}

/// The event bus.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BusPlan {
    pub feed: String,
    pub stores: Vec<Value>,
    pub purges_per_second: f64,
    pub list_changes_per_second: f64,
    pub group_share: f64,
    pub poisson: bool,
    pub seed: u64,
    pub output: PathBuf,
}

/// Writes a plan to a file.
pub fn write(path: &Path, plan: &impl Serialize) -> Result<(), String> {
    let text = serde_json::to_vec(plan).map_err(|e| e.to_string())?;
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

/// Reads a plan from a file.
pub fn read<T: for<'a> Deserialize<'a>>(path: &Path) -> Result<T, String> {
    let text = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
    serde_json::from_slice(&text).map_err(|e| format!("{}: {e}", path.display()))
}
