//! The commands of the laboratory: their arguments, and what all of them use.

pub mod error;
pub mod experiment;
pub mod leash;
pub mod run;
pub mod scale;
pub mod shrink;
pub mod slopes;

use clap::{Parser, Subcommand};
use error::CommandError;
use sagearch_lab::scenario::{self, Scenario};
use sagearch_operators::{FileError, Files, files};
use std::path::{Path, PathBuf};

/// Writes a line to standard output. A reader that reads no further, as `head` does, is no fault of the run.
macro_rules! print_line {
    ($($text:tt)*) => {{
        use std::io::Write as _;
        let _ = writeln!(std::io::stdout(), $($text)*);
    }};
}
pub(crate) use print_line;

/// The command line.
#[derive(Parser)]
#[command(
    version,
    about = "Starts fleets of gateways, breaks what lies between them, and judges what all saw"
)]
pub struct Arguments {
    /// What is to be done.
    #[command(subcommand)]
    pub command: Command,
}

/// The commands.
#[derive(Subcommand)]
pub enum Command {
    /// Plays a scenario. Ends with 0 if all holds, 1 if not, 2 if the run says nothing.
    Run(run::RunArguments),
    /// Shows what a seed draws of a scenario, and what its fleet takes.
    Plan(run::PlanArguments),
    /// Plays scenarios by seeds by builds, one after the other, and adds a line for each to a file. What stands there
    /// already is not played again.
    Try(experiment::TryArguments),
    /// Compares two builds of one file of results, or the same build of two, in pairs by seed.
    Diff(experiment::DiffArguments),
    /// Makes a scenario that does not hold smaller for as long as it does not.
    Shrink(shrink::ShrinkArguments),
    /// Measures what each role of the control plane costs at growing sizes.
    Slopes(slopes::SlopesArguments),
    /// Plays a whole fleet's control traffic at several sizes: how long purges take, and what each role costs. Ends with
    /// 0 if all holds, 1 if not.
    Scale(scale::ScaleArguments),
    /// A process of hollow gateways of a scale run.
    #[command(hide = true)]
    Hollow(scale::ProcessArguments),
    /// The event bus of a scale run.
    #[command(hide = true)]
    ScaleBus(scale::ProcessArguments),
    /// Takes the place of itself by a program that ends when the laboratory does.
    #[command(hide = true)]
    Leash(leash::LeashArguments),
}

/// Reads scenarios and what they include from the disk.
struct Disk;

impl Files for Disk {
    fn read(&self, name: &str) -> Result<String, FileError> {
        Ok(sagearch_folder::read_text(Path::new(name), files::MAX_BYTES as u64)?)
    }
}

fn read_scenario(path: &Path) -> Result<Scenario, CommandError> {
    scenario::read(&path.to_string_lossy(), &Disk).map_err(CommandError::Scenario)
}

/// The program of that name, by its full path.
fn program(path: &Path) -> Result<PathBuf, CommandError> {
    path.canonicalize().map_err(CommandError::file(path))
}

fn own_program() -> Result<PathBuf, CommandError> {
    std::env::current_exe().map_err(CommandError::OwnProgram)
}

/// Runs to the end, or until the laboratory is told to end.
fn block_on<T>(work: impl Future<Output = Result<T, CommandError>>) -> Result<T, CommandError> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    runtime.map_err(CommandError::Runtime)?.block_on(async {
        tokio::select! {
            done = work => done,
            _ = tokio::signal::ctrl_c() => Err(CommandError::Interrupted),
            () = terminated() => Err(CommandError::Terminated),
        }
    })
}

async fn terminated() {
    use tokio::signal::unix::{SignalKind, signal};
    match signal(SignalKind::terminate()) {
        Ok(mut signal) => drop(signal.recv().await),
        Err(_) => std::future::pending().await,
    }
}

/// A folder for the files of one run.
fn run_folder(scenario: &Path, seed: u64) -> PathBuf {
    let name = scenario.file_stem().map_or("run".into(), |name| name.to_string_lossy().into_owned());
    std::env::temp_dir().join(format!("sagearch-lab-{name}-{seed}-{}", std::process::id()))
}
