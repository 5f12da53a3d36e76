//! `try` and `diff`: scenarios by seeds by builds, and their comparison.

use super::error::CommandError;
use super::{print_line, read_scenario, run, run_folder};
use clap::Args;
use sagearch_lab::experiment::{self, Trial, TrialResult};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// The arguments of `try`.
#[derive(Args)]
pub struct TryArguments {
    #[arg(required = true)]
    scenarios: Vec<PathBuf>,
    /// As `1..5`, both ends included.
    #[arg(long, default_value = "1..3")]
    seeds: String,
    /// A build as NAME=FILE; may be given more than once.
    #[arg(long = "build", default_value = "now=target/release/sagearch")]
    builds: Vec<String>,
    #[arg(long, default_value = "results.jsonl")]
    results: PathBuf,
}

/// The arguments of `diff`.
#[derive(Args)]
pub struct DiffArguments {
    before: String,
    after: String,
    #[arg(long, default_value = "results.jsonl")]
    results: PathBuf,
}

fn parse_seeds(text: &str) -> Result<Vec<u64>, CommandError> {
    let (first, last) = text.split_once("..").unwrap_or((text, text));
    let number = |end: &str| end.trim().parse::<u64>().map_err(|_| CommandError::Seeds(text.to_string()));
    Ok((number(first)?..=number(last)?).collect())
}

/// Programs by the names of their builds.
fn parse_builds(builds: &[String]) -> Result<BTreeMap<String, PathBuf>, CommandError> {
    let parse = |build: &String| {
        let (name, file) = build.split_once('=').ok_or_else(|| CommandError::Build(build.clone()))?;
        Ok((name.to_string(), PathBuf::from(file)))
    };
    builds.iter().map(parse).collect()
}

/// The results of a file, which may not be there yet.
fn read_results(path: &Path) -> Result<Vec<TrialResult>, CommandError> {
    match std::fs::read_to_string(path) {
        Ok(text) => experiment::read(&text)
            .map_err(|source| CommandError::Results { path: path.to_path_buf(), source }),
        Err(e) if e.kind() == ErrorKind::NotFound => Ok(Vec::new()),
        Err(e) => Err(CommandError::file(path)(e)),
    }
}

fn append_result(path: &Path, result: &TrialResult) -> Result<(), CommandError> {
    let text = serde_json::to_string(result)? + "\n";
    let file = std::fs::File::options().create(true).append(true).open(path);
    file.and_then(|mut file| file.write_all(text.as_bytes())).map_err(CommandError::file(path))
}

/// Plays one trial. The files of a run that found nothing are removed, as its result is all that is wanted.
fn play(trial: &Trial, gateway: &Path) -> Result<TrialResult, CommandError> {
    let path = PathBuf::from(&trial.scenario);
    let folder = run_folder(&path, trial.seed);
    let verdict = run::play(&read_scenario(&path)?, trial.seed, gateway, folder.clone(), |_| {})?;
    if verdict.counts.values().sum::<usize>() == 0 {
        // What can't be removed is left where it is.
        let _ = std::fs::remove_dir_all(folder);
    }
    let (figures, findings, void) = (verdict.figures, verdict.counts, verdict.void);
    Ok(TrialResult { trial: trial.clone(), figures, findings, void })
}

fn summary(result: &TrialResult) -> String {
    let served: Vec<String> =
        result.figures.iter().map(|one| format!("{} {:.4}", one.phase, one.served)).collect();
    let findings: usize = result.findings.values().sum();
    let void = if result.void.is_empty() { "" } else { "; VOID" };
    let Trial { scenario, variant, seed } = &result.trial;
    format!("{scenario} {variant} seed {seed}: {}; {findings} findings{void}", served.join(", "))
}

/// Plays all trials that stand in no result yet.
pub fn run(arguments: &TryArguments) -> Result<ExitCode, CommandError> {
    let programs = parse_builds(&arguments.builds)?;
    let scenarios: Vec<String> =
        arguments.scenarios.iter().map(|path| path.to_string_lossy().into_owned()).collect();
    let variants: Vec<String> = programs.keys().cloned().collect();
    let seeds = parse_seeds(&arguments.seeds)?;
    let remaining = experiment::remaining(&scenarios, &variants, &seeds, &read_results(&arguments.results)?);
    for (place, trial) in remaining.iter().enumerate() {
        let result = play(trial, &programs[&trial.variant])?;
        print_line!("{}/{}  {}", place + 1, remaining.len(), summary(&result));
        append_result(&arguments.results, &result)?;
    }
    Ok(ExitCode::SUCCESS)
}

/// Compares two builds.
pub fn compare(arguments: &DiffArguments) -> Result<ExitCode, CommandError> {
    let DiffArguments { before, after, results } = arguments;
    let all = read_results(results)?;
    let of = |name: &str| -> Vec<TrialResult> {
        all.iter().filter(|result| result.trial.variant == name).cloned().collect()
    };
    let differences = experiment::compare(&of(before), &of(after));
    if differences.is_empty() {
        let (results, before, after) = (results.clone(), before.clone(), after.clone());
        return Err(CommandError::NoPairs { results, before, after });
    }
    print_line!("{}", experiment::text(&differences).trim_end());
    Ok(ExitCode::SUCCESS)
}
