//! `sagearch-lab`: see `docs/laboratory.md`.

use clap::{Parser, Subcommand};
use sagearch_lab::act::{fleet, run};
use sagearch_lab::scenario::{self, Scenario};
use sagearch_lab::schedule::Schedule;
use sagearch_operators::Files;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    version,
    about = "Starts fleets of gateways, breaks what lies between them, and judges what all saw"
)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Plays a scenario. Ends with 0 if all holds, 1 if not, 2 if the run says nothing.
    Run {
        scenario: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// The gateway's program.
        #[arg(long, default_value = "target/release/sagearch")]
        gateway: PathBuf,
        /// Where traces, logs and the result are put.
        #[arg(long)]
        out: Option<PathBuf>,
    },
    /// Shows what a seed draws of a scenario, and what its fleet takes.
    Plan {
        scenario: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Takes the place of itself by a program that ends when the laboratory does.
    #[command(hide = true)]
    Leash { parent: i32, program: PathBuf },
}

struct Disk;

impl Files for Disk {
    fn read(&self, name: &str) -> Result<String, String> {
        std::fs::read_to_string(name).map_err(|e| e.to_string())
    }
}

fn read(path: &Path) -> Result<Scenario, String> {
    scenario::read(&path.to_string_lossy(), &Disk).map_err(|faults| faults.to_string())
}

fn plan(path: &Path, seed: u64) -> Result<ExitCode, String> {
    let scenario = read(path)?;
    let takes = run::fits(&scenario)?;
    println!("{} processes, about {} MB, {} descriptors", takes.processes, takes.memory_mb, takes.files);
    let schedule = Schedule::draw(&scenario, seed);
    for turn in schedule.turns() {
        println!("{}", run::describe(&scenario, &schedule, turn));
    }
    Ok(ExitCode::SUCCESS)
}

fn play(path: &Path, seed: u64, gateway: PathBuf, out: Option<PathBuf>) -> Result<ExitCode, String> {
    let scenario = read(path)?;
    let name = path.file_stem().map_or("run".into(), |name| name.to_string_lossy().into_owned());
    let own = format!("sagearch-lab-{name}-{seed}-{}", std::process::id());
    let folder = out.unwrap_or_else(|| std::env::temp_dir().join(own));
    let gateway = gateway.canonicalize().map_err(|e| format!("{}: {e}", gateway.display()))?;
    let leash = std::env::current_exe().map_err(|e| e.to_string())?;
    let options = run::Options { gateway, leash, folder: folder.clone(), seed };
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let verdict = runtime.map_err(|e| e.to_string())?.block_on(async {
        let told = |_, text| println!("{text}");
        tokio::select! {
            verdict = run::run(&scenario, options, told) => verdict,
            _ = tokio::signal::ctrl_c() => Err("interrupted".into()),
            () = terminated() => Err("terminated".into()),
        }
    })?;
    println!("\n{}", sagearch_lab::report::text(&verdict));
    println!("trace, logs and result: {}", folder.display());
    Ok(match (verdict.void.is_empty(), verdict.holds()) {
        (false, _) => ExitCode::from(2),
        (true, true) => ExitCode::SUCCESS,
        (true, false) => ExitCode::from(1),
    })
}

async fn terminated() {
    use tokio::signal::unix::{SignalKind, signal};
    match signal(SignalKind::terminate()) {
        Ok(mut signal) => drop(signal.recv().await),
        Err(_) => std::future::pending().await,
    }
}

fn main() -> ExitCode {
    let done = match Arguments::parse().command {
        Command::Run { scenario, seed, gateway, out } => play(&scenario, seed, gateway, out),
        Command::Plan { scenario, seed } => plan(&scenario, seed),
        Command::Leash { parent, program } => Err(fleet::leash(parent, &program).to_string()),
    };
    done.unwrap_or_else(|text| {
        eprintln!("{text}");
        ExitCode::from(3)
    })
}
