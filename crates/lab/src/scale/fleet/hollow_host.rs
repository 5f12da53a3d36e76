//! A process of hollow gateways, as the run sees it.

use crate::scale::error::ScaleError;
use crate::scale::host::READY;
use crate::scale::observation;
use crate::scale::plan::{self, HollowPlan, HostPlan};
use crate::scale::process::Process;
use crate::scale::programs::Programs;
use crate::scale::record::HostRecord;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// A host reports that it is ready within this time.
const READY_TIMEOUT: Duration = Duration::from_mins(1);

/// The gateways of a host, with what they have in common.
pub(super) struct HostedGateways {
    pub(super) gateways: Vec<HollowPlan>,
    pub(super) settings: Value,
    /// Where the host fetches the events up to its start.
    pub(super) known_from: Option<SocketAddr>,
}

/// A process of hollow gateways.
pub(super) struct HollowHost {
    pub(super) name: String,
    pub(super) process: Process,
    /// The file that it writes its observations to.
    pub(super) output: PathBuf,
}

/// A host that has ended.
pub(super) struct FinishedHost {
    /// The file that it wrote its observations to.
    pub(super) output: PathBuf,
    /// When it ended, in Unix microseconds.
    pub(super) until_us: u64,
}

impl HollowHost {
    /// Starts a host, which is not ready yet.
    pub(super) fn start(
        programs: &Programs,
        folder: &Path,
        name: &str,
        hosted: HostedGateways,
    ) -> Result<HollowHost, ScaleError> {
        let HostedGateways { gateways, settings, known_from } = hosted;
        let output = folder.join(format!("{name}.jsonl"));
        let plan_path = folder.join(format!("{name}.plan.json"));
        plan::write(&plan_path, &HostPlan { gateways, settings, known_from, output: output.clone() })?;
        let process = programs.start_laboratory("hollow", name, &plan_path, folder)?;
        Ok(HollowHost { name: name.into(), process, output })
    }

    /// Waits until all gateways of the host have started.
    pub(super) async fn wait_until_ready(&mut self) -> Result<(), ScaleError> {
        let line = self.process.read_line(READY_TIMEOUT).await;
        let line = line.map_err(ScaleError::in_process(&self.name))?;
        if line == READY {
            return Ok(());
        }
        Err(ScaleError::UnexpectedLine { process: self.name.clone(), expected: READY, line })
    }
}

impl FinishedHost {
    /// Reads what it wrote down.
    pub(super) fn read(&self) -> Result<HostRecord, ScaleError> {
        Ok(HostRecord::from_lines(observation::read_lines(&self.output)?, self.until_us))
    }
}
