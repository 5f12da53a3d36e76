//! `scale`, and the processes of its runs.

use super::error::CommandError;
use super::{Disk, block_on, own_program, print_line, program, run_folder};
use clap::Args;
use sagearch_lab::scale;
use sagearch_lab::scale::programs::Programs;
use sagearch_lab::scale::resources::ResourceEstimate;
use sagearch_lab::scale::scenario::Scenario;
use std::path::PathBuf;
use std::process::ExitCode;

/// The exit code of a run in which something does not hold.
const EXIT_FAILED: u8 = 1;

/// The arguments of `scale`.
#[derive(Args)]
pub struct ScaleArguments {
    scenario: PathBuf,
    /// Sizes to play of those in the scenario; all of them without it.
    #[arg(long, value_delimiter = ',')]
    gateways: Vec<usize>,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The gateway's program.
    #[arg(long, default_value = "target/release/sagearch")]
    gateway: PathBuf,
    /// The relay's program, where the scenario has relays.
    #[arg(long, default_value = "target/release/sagearch-relay")]
    relay: PathBuf,
    /// Where plans, logs and records are put.
    #[arg(long)]
    out: Option<PathBuf>,
    /// Where the result is put as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
}

/// The arguments of a process of a scale run.
#[derive(Args)]
pub struct ProcessArguments {
    #[arg(long)]
    plan: PathBuf,
}

/// Keeps the sizes that are asked for.
fn select_sizes(scenario: &mut Scenario, wanted: &[usize]) -> Result<(), CommandError> {
    let has = |gateways: &usize| scenario.sizes.iter().any(|size| size.gateways == *gateways);
    if let Some(unknown) = wanted.iter().find(|gateways| !has(gateways)) {
        return Err(CommandError::UnknownSize(*unknown));
    }
    if !wanted.is_empty() {
        scenario.sizes.retain(|size| wanted.contains(&size.gateways));
    }
    Ok(())
}

fn show_needs(scenario: &Scenario) -> Result<(), CommandError> {
    let needs = scale::run::check_resources(scenario)?;
    for (size, ResourceEstimate { processes, memory_mb, files, seconds }) in scenario.sizes.iter().zip(needs)
    {
        let gateways = size.gateways;
        print_line!(
            "{gateways} gateways: {processes} processes, about {memory_mb} MB, {files} descriptors, {seconds} s"
        );
    }
    Ok(())
}

/// The relay's program may lack where there are no relays.
fn programs(arguments: &ScaleArguments, scenario: &Scenario) -> Result<Programs, CommandError> {
    let relay = match program(&arguments.relay) {
        Err(_) if scenario.relays.is_none() => arguments.relay.clone(),
        found => found?,
    };
    let folder = arguments.out.clone();
    Ok(Programs {
        laboratory: own_program()?,
        gateway: program(&arguments.gateway)?,
        relay,
        folder: folder.unwrap_or_else(|| run_folder(&arguments.scenario, arguments.seed)),
        seed: arguments.seed,
    })
}

/// Plays a scenario of the scale run, and shows its result.
pub fn run(arguments: &ScaleArguments) -> Result<ExitCode, CommandError> {
    let name = arguments.scenario.to_string_lossy();
    let mut scenario = scale::scenario::read(&name, &Disk).map_err(CommandError::Scenario)?;
    select_sizes(&mut scenario, &arguments.gateways)?;
    show_needs(&scenario)?;
    let programs = programs(arguments, &scenario)?;
    let progress = |text| print_line!("{text}");
    let result = block_on(async { Ok(scale::run::run(&scenario, &programs, progress).await) })?;
    print_line!("{}", scale::report::summary(&result));
    if let Some(path) = &arguments.json {
        let text = serde_json::to_string_pretty(&result)?;
        std::fs::write(path, text).map_err(CommandError::file(path))?;
    }
    Ok(if result.holds() { ExitCode::SUCCESS } else { ExitCode::from(EXIT_FAILED) })
}

/// Runs a process of hollow gateways.
pub fn host(arguments: &ProcessArguments) -> Result<ExitCode, CommandError> {
    scale::run::raise_descriptors();
    let plan = scale::plan::read(&arguments.plan)?;
    scale::host::run(&plan)?;
    Ok(ExitCode::SUCCESS)
}

/// Runs the event bus of a scale run.
pub fn bus(arguments: &ProcessArguments) -> Result<ExitCode, CommandError> {
    scale::run::raise_descriptors();
    let plan = scale::plan::read(&arguments.plan)?;
    scale::bus::run(plan)?;
    Ok(ExitCode::SUCCESS)
}
