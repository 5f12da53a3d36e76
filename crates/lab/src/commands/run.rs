//! `run` and `plan`: one scenario by one seed.

use super::error::CommandError;
use super::{block_on, own_program, print_line, program, read_scenario, run_folder};
use clap::Args;
use sagearch_lab::harness::run::{self, Options, REPORT_FILE};
use sagearch_lab::report;
use sagearch_lab::scenario::Scenario;
use sagearch_lab::schedule::Schedule;
use sagearch_lab::verdict::Verdict;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The exit code of a run in which a rule or an expectation does not hold.
const EXIT_FAILED: u8 = 1;
/// The exit code of a run that says nothing, as the laboratory or the machine was too slow.
const EXIT_VOID: u8 = 2;

/// The arguments of `run`.
#[derive(Args)]
pub struct RunArguments {
    scenario: PathBuf,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The gateway's program.
    #[arg(long, default_value = "target/release/sagearch")]
    gateway: PathBuf,
    /// Where traces, logs and the result are put.
    #[arg(long)]
    out: Option<PathBuf>,
}

/// The arguments of `plan`.
#[derive(Args)]
pub struct PlanArguments {
    scenario: PathBuf,
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Shows what a seed draws of a scenario, and what its fleet takes.
pub fn plan(arguments: &PlanArguments) -> Result<ExitCode, CommandError> {
    let scenario = read_scenario(&arguments.scenario)?;
    let needs = run::resource_needs(&scenario)?;
    print_line!("{} processes, about {} MB, {} descriptors", needs.processes, needs.memory_mb, needs.files);
    let schedule = Schedule::draw(&scenario, arguments.seed);
    for transition in schedule.transitions() {
        print_line!("{}", schedule.describe(&scenario.roster, transition));
    }
    Ok(ExitCode::SUCCESS)
}

/// Plays a scenario in a folder.
pub(super) fn play(
    scenario: &Scenario,
    seed: u64,
    gateway: &Path,
    folder: PathBuf,
    progress: impl FnMut(String),
) -> Result<Verdict, CommandError> {
    let options = Options { gateway: program(gateway)?, laboratory: own_program()?, folder, seed };
    block_on(async { Ok(run::run(scenario, options, progress).await?) })
}

/// Plays a scenario, and shows its report.
pub fn run(arguments: RunArguments) -> Result<ExitCode, CommandError> {
    let RunArguments { scenario: path, seed, gateway, out } = arguments;
    let scenario = read_scenario(&path)?;
    let folder = out.unwrap_or_else(|| run_folder(&path, seed));
    let verdict = play(&scenario, seed, &gateway, folder.clone(), |text| print_line!("{text}"))?;
    print_line!("\n{}", report::text(&verdict));
    print_line!("report: {}", folder.join(REPORT_FILE).display());
    Ok(match (verdict.void.is_empty(), verdict.holds()) {
        (false, _) => ExitCode::from(EXIT_VOID),
        (true, true) => ExitCode::SUCCESS,
        (true, false) => ExitCode::from(EXIT_FAILED),
    })
}
