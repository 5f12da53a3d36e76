//! Real gateway processes of a scale run: idle but for their control side, each behind a link of its own, which reads
//! what it acknowledges.

use super::error::ScaleError;
use super::layout;
use super::link::LinkObserver;
use super::process::{Process, ProcessOptions};
use crate::harness::fleet::is_live;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

const MEMORY_MB: u64 = 192;
const SOCKETS: u64 = 256;
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// What one real gateway is started with.
pub struct RealGatewayPlan<'a> {
    /// Its number in the whole fleet.
    pub gateway: usize,
    /// Its name in the fleet.
    pub name: String,
    /// The zone of its settings.
    pub zone: String,
    /// Of its random numbers.
    pub seed: u64,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where it polls the event bus.
    pub bus: SocketAddr,
    /// The deployment's settings.
    pub settings: &'a Value,
    /// Events up to the start.
    pub initial_events: &'a Value,
    /// Its operators' file, where it has one.
    pub operators: Option<String>,
    /// The folder that its own folder is created in.
    pub folder: &'a Path,
    /// The gateway's program.
    pub program: &'a Path,
    /// The laboratory's own program, by which it is started.
    pub launcher: &'a Path,
}

/// A real gateway that runs.
pub struct RealGateway {
    /// Its number in the whole fleet.
    pub gateway: usize,
    /// When it answered first, in Unix microseconds.
    pub started_us: u64,
    /// What its link sees.
    pub observer: Arc<LinkObserver>,
    /// Its process.
    pub process: Process,
}

fn configuration(plan: &RealGatewayPlan) -> Value {
    json!({
        "name": plan.name, "listen": plan.listen.to_string(), "seed": format!("{:016x}", plan.seed),
        "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}, "bus": plan.bus.to_string(),
        "known": plan.initial_events, "settings": layout::settings_in(plan.settings, &plan.zone),
    })
}

fn write(path: &Path, text: &str) -> Result<(), ScaleError> {
    std::fs::write(path, text).map_err(ScaleError::in_file(path))
}

async fn wait_until_live(address: SocketAddr) -> bool {
    let give_up = Instant::now() + READY_TIMEOUT;
    while Instant::now() < give_up {
        if is_live(address).await {
            return true;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    false
}

/// Starts a gateway, and returns once it answers.
///
/// # Errors
///
/// Where its files can't be written, or it does not answer in time.
pub async fn start(
    plan: RealGatewayPlan<'_>,
    observer: Arc<LinkObserver>,
) -> Result<RealGateway, ScaleError> {
    let folder = plan.folder.join(&plan.name);
    std::fs::create_dir_all(&folder).map_err(ScaleError::in_file(&folder))?;
    let (config, operators) = (folder.join("config.json"), folder.join("gateway.kdl"));
    write(&config, &configuration(&plan).to_string())?;
    if let Some(text) = &plan.operators {
        write(&operators, text)?;
    }
    let log = folder.join("log");
    let options = ProcessOptions {
        launcher: plan.launcher,
        program: plan.program,
        arguments: vec!["--log".into(), "warn".into(), "--operators".into(), operators.display().to_string()],
        environment: vec![("NODE_CONFIG", config), ("TMPDIR", folder)],
        log: log.clone(),
    };
    let process = Process::start(options).map_err(ScaleError::in_process(&plan.name))?;
    if !wait_until_live(plan.listen).await {
        let (process, address) = (plan.name, plan.listen);
        return Err(ScaleError::NotReady { process, address, waited: READY_TIMEOUT, log });
    }
    let started_us = sagearch_clock::unix_micros();
    Ok(RealGateway { gateway: plan.gateway, started_us, observer, process })
}
