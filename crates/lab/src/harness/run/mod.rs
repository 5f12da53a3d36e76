//! One run, from its start to its verdict.

mod evidence;
mod fault_injector;
mod laboratory;
mod playback;

use super::fleet::FleetError;
use crate::html_report::{self, PageError};
use crate::resources::{self, AvailableResources, ResourceError, ResourceNeeds};
use crate::scenario::Scenario;
use crate::trace::Micros;
use crate::verdict::Verdict;
use laboratory::Laboratory;
use nix::sys::resource::{Resource, getrlimit, setrlimit};
use sagearch_faults::FaultError;
use std::fs::File;
use std::io::{self, BufWriter};
use std::path::{Path, PathBuf};
use std::time::Duration;
use thiserror::Error;

/// Descriptors of a process whose limit can't be read.
const DEFAULT_FILES: u64 = 1_024;
const MEMORY_INFO: &str = "/proc/meminfo";
/// Every event of the run, in the run's folder.
const TRACE_FILE: &str = "trace.jsonl";
/// The verdict.
const RESULT_FILE: &str = "result.json";
/// The verdict with its charts, to be read.
pub const REPORT_FILE: &str = "report.html";

/// Why a scenario could not be played.
#[derive(Debug, Error)]
pub enum RunError {
    /// It needs more than the machine has.
    #[error(transparent)]
    Resources(#[from] ResourceError),
    /// A file or folder could not be written.
    #[error("{}: {source}", path.display())]
    File {
        /// Which one.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// A part of the run could not take its sockets.
    #[error("{part}: {source}")]
    Sockets {
        /// Which part.
        part: &'static str,
        /// Why not.
        source: io::Error,
    },
    /// The gateways did not start.
    #[error("the fleet: {0}")]
    Fleet(#[from] FleetError),
    /// The counters of the fault shim could not be read.
    #[error("the fault shim: {0}")]
    Injector(#[from] FaultError),
    /// The roster has no event bus.
    #[error("a run without an event bus")]
    NoEventBus,
    /// The task that records the trace has panicked.
    #[error("the recorder has died")]
    RecorderDied,
    /// The result could not be written as JSON.
    #[error("{RESULT_FILE}: {0}")]
    Result(#[from] serde_json::Error),
    /// The report's charts could not be drawn.
    #[error("{REPORT_FILE}: {0}")]
    Page(#[from] PageError),
}

/// What a run is started with, beside its scenario.
pub struct Options {
    /// The gateway's program.
    pub gateway: PathBuf,
    /// The laboratory's own program.
    pub laboratory: PathBuf,
    /// Where traces, logs and the result are put.
    pub folder: PathBuf,
    /// Draws the schedule and the load.
    pub seed: u64,
}

fn micros(span: Duration) -> Micros {
    span.as_micros() as Micros
}

/// What the machine has, once the limit of descriptors has been raised as far as it may be.
fn available_resources() -> AvailableResources {
    let files = getrlimit(Resource::RLIMIT_NOFILE).map_or(DEFAULT_FILES, |(soft, hard)| {
        if setrlimit(Resource::RLIMIT_NOFILE, hard, hard).is_ok() { hard } else { soft }
    });
    let meminfo = std::fs::read_to_string(MEMORY_INFO).unwrap_or_default();
    AvailableResources { memory_mb: resources::available_mb(&meminfo).unwrap_or(u64::MAX), files }
}

/// What a scenario needs of the machine, if that can be had.
///
/// # Errors
///
/// Where the machine does not have them.
pub fn resource_needs(scenario: &Scenario) -> Result<ResourceNeeds, RunError> {
    let needs = resources::needs(scenario.gateways(), scenario.roster.len());
    needs.check(available_resources())?;
    Ok(needs)
}

/// Plays a scenario. `progress` is called with a line for all that happens.
///
/// # Errors
///
/// Where the run could not be played or its result not be written.
pub async fn run(
    scenario: &Scenario,
    options: Options,
    mut progress: impl FnMut(String),
) -> Result<Verdict, RunError> {
    let needs = resource_needs(scenario)?;
    let folder = options.folder.clone();
    let mut laboratory = Laboratory::start(scenario, options).await?;
    let startup = laboratory.begin.elapsed().as_secs_f64();
    progress(format!("{} gateways are ready after {startup:.1} s", scenario.gateways()));
    let played = laboratory.play(scenario, &mut progress).await;
    let evidence = laboratory.end(scenario, &played).await?;
    let verdict = evidence.verdict(scenario, needs);
    write_result(&folder.join(RESULT_FILE), &verdict)?;
    let title = folder.file_name().map_or("run".into(), |name| name.to_string_lossy().into_owned());
    let page = html_report::page(&html_report::Run {
        title: &title,
        verdict: &verdict,
        outcomes: &evidence.outcomes,
        arrival_counts: &evidence.arrival_counts,
        schedule: &evidence.schedule,
        roster: &scenario.roster,
        load_begin: evidence.load_begin,
        duration: micros(scenario.duration()),
    })?;
    let path = folder.join(REPORT_FILE);
    std::fs::write(&path, page).map_err(|source| RunError::File { path, source })?;
    Ok(verdict)
}

fn write_result(path: &Path, verdict: &Verdict) -> Result<(), RunError> {
    let file = File::create(path).map_err(|source| RunError::File { path: path.to_path_buf(), source })?;
    serde_json::to_writer_pretty(BufWriter::new(file), verdict)?;
    Ok(())
}
