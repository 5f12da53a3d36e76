//! `shrink`: a smaller scenario that still does not hold.

use super::error::CommandError;
use super::{print_line, run, run_folder};
use clap::Args;
use sagearch_lab::scenario;
use sagearch_lab::shrink;
use sagearch_operators::OneFile;
use std::path::PathBuf;
use std::process::ExitCode;

/// The arguments of `shrink`.
#[derive(Args)]
pub struct ShrinkArguments {
    scenario: PathBuf,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value = "target/release/sagearch")]
    gateway: PathBuf,
    /// Runs at most.
    #[arg(long, default_value_t = 40)]
    tries: usize,
}

/// Whether a scenario's text can be played and does not hold.
fn fails(arguments: &ShrinkArguments, name: &str, text: &str) -> bool {
    let Ok(scenario) = scenario::read(name, &OneFile { name, text }) else { return false };
    let folder = run_folder(&arguments.scenario, arguments.seed);
    let failed = run::play(&scenario, arguments.seed, &arguments.gateway, folder.clone(), |_| {})
        .is_ok_and(|verdict| verdict.void.is_empty() && !verdict.holds());
    // What can't be removed is left where it is.
    let _ = std::fs::remove_dir_all(folder);
    eprintln!(
        "{} gateways, {:.1} s: {}",
        scenario.gateways(),
        scenario.duration().as_secs_f64(),
        if failed { "still does not hold" } else { "holds, or says nothing" }
    );
    failed
}

/// Shrinks a scenario, and writes what is left of it.
pub fn run(arguments: &ShrinkArguments) -> Result<ExitCode, CommandError> {
    let path = &arguments.scenario;
    let name = path.to_string_lossy().into_owned();
    let text = std::fs::read_to_string(path).map_err(CommandError::file(path))?;
    if !fails(arguments, &name, &text) {
        return Err(CommandError::NothingToShrink);
    }
    let shrunk = shrink::shrink(&text, arguments.tries, |text| fails(arguments, &name, text))?;
    let more = if shrunk.is_minimal { "" } else { "; smaller may be had with more" };
    eprintln!("{} runs{more}", shrunk.tries);
    print_line!("{}", shrunk.text);
    Ok(ExitCode::SUCCESS)
}
