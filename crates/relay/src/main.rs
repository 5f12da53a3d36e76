//! `sagearch-relay`: a relay of the event feed.

use clap::{Parser, Subcommand};
use sagearch_operators::Files;
use sagearch_operators::relay::{RelayFile, relay};
use sagearch_relay::RunningRelay;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};

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

struct Disk;

impl Files for Disk {
    fn read(&self, name: &str) -> Result<String, String> {
        std::fs::read_to_string(name).map_err(|e| e.to_string())
    }
}

fn read(file: &Path) -> Result<RelayFile, String> {
    relay(&file.to_string_lossy(), &Disk).map_err(|faults| faults.to_string())
}

fn serve(file: &RelayFile) -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(file.workers)
        .enable_all()
        .build()
        .map_err(|e| e.to_string())?;
    runtime.block_on(serve_until_signal(file))
}

async fn serve_until_signal(file: &RelayFile) -> Result<(), String> {
    let mut terminate = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(|e| e.to_string())?;
    let mut relay = RunningRelay::start(file).map_err(|e| e.to_string())?;
    let end = tokio::select! {
        _ = terminate.recv() => Ok(()),
        _ = interrupt.recv() => Ok(()),
        () = relay.broken() => Err("a task of the relay has ended by a defect".to_string()),
    };
    relay.stop().await;
    end
}

fn start_log(json: bool) {
    let lines = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false);
    if json { lines.json().init() } else { lines.init() }
}

fn run(command: Command) -> Result<(), String> {
    match command {
        Command::Serve { file, log_json } => {
            start_log(log_json);
            serve(&read(&file)?)
        }
        Command::Check { file } => read(&file).map(drop),
    }
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("{cause}");
            ExitCode::from(2)
        }
    }
}
