//! The programs that a run starts, and where its files go.

use super::error::ScaleError;
use super::process::{Process, ProcessOptions};
use std::path::{Path, PathBuf};

/// The programs that a run starts, and where its files go.
pub struct Programs {
    /// This program, which is also the event bus and the host of hollow gateways.
    pub laboratory: PathBuf,
    /// The gateway.
    pub gateway: PathBuf,
    /// The relay.
    pub relay: PathBuf,
    /// Where plans, logs and records are put.
    pub folder: PathBuf,
    /// Of all random numbers.
    pub seed: u64,
}

impl Programs {
    /// Starts a command of this program with a plan. `name`: of the process and its log.
    ///
    /// # Errors
    ///
    /// Where it can't be started.
    pub fn start_laboratory(
        &self,
        command: &str,
        name: &str,
        plan: &Path,
        folder: &Path,
    ) -> Result<Process, ScaleError> {
        let options = ProcessOptions {
            launcher: &self.laboratory,
            program: &self.laboratory,
            arguments: vec![command.into(), "--plan".into(), plan.display().to_string()],
            environment: Vec::new(),
            log: folder.join(format!("{name}.log")),
        };
        Process::start(options).map_err(ScaleError::in_process(name))
    }
}
