//! The program `sagearch-relay`: serves a relay of the event feed, or checks its configuration file.

use clap::{Parser, Subcommand};
use sagearch_operators::relay::{RelayFile, relay};
use sagearch_operators::{Diagnostics, FileError, Files};
use sagearch_relay::{RunningRelay, StartError};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;
use tokio::signal::unix::{SignalKind, signal};

/// The exit code after an error.
const FAILURE_EXIT_CODE: u8 = 2;

/// An error that ends the program.
#[derive(Debug, Error)]
enum ProgramError {
    /// The relay's configuration file can't be read or is invalid.
    #[error(transparent)]
    File(#[from] Diagnostics),
    /// The runtime can't start, or signals can't be received.
    #[error(transparent)]
    Runtime(#[from] std::io::Error),
    /// The relay can't start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// A background task has ended while the relay was running, which only a panic causes.
    #[error("a background task of the relay ended unexpectedly")]
    TaskEnded,
}

#[derive(Parser)]
#[command(version, about = "Relays the event feed from the event bus to gateways")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serve, in the foreground, as a file states
    Serve {
        file: PathBuf,
        #[arg(long)]
        log_json: bool,
    },
    /// Read a file, and tell its faults
    Check { file: PathBuf },
}

/// Files on disk, with paths relative to the working directory.
struct DiskFiles;

impl Files for DiskFiles {
    fn read(&self, name: &str) -> Result<String, FileError> {
        let max_bytes = sagearch_operators::files::MAX_BYTES as u64;
        Ok(sagearch_folder::read_text(Path::new(name), max_bytes)?)
    }
}

fn read_relay_file(file: &Path) -> Result<RelayFile, ProgramError> {
    Ok(relay(&file.to_string_lossy(), &DiskFiles)?)
}

fn serve(file: &RelayFile) -> Result<(), ProgramError> {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(file.workers).enable_all().build()?;
    runtime.block_on(serve_until_signal(file))
}

async fn serve_until_signal(file: &RelayFile) -> Result<(), ProgramError> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut relay = RunningRelay::start(file)?;
    let result = tokio::select! {
        _ = terminate.recv() => Ok(()),
        _ = interrupt.recv() => Ok(()),
        () = relay.task_ended() => Err(ProgramError::TaskEnded),
    };
    relay.stop().await;
    result
}

fn init_logging(json: bool) {
    let subscriber = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false);
    if json { subscriber.json().init() } else { subscriber.init() }
}

fn run(command: Command) -> Result<(), ProgramError> {
    match command {
        Command::Serve { file, log_json } => {
            init_logging(log_json);
            serve(&read_relay_file(&file)?)
        }
        Command::Check { file } => read_relay_file(&file).map(drop),
    }
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(FAILURE_EXIT_CODE)
        }
    }
}
