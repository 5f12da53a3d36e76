//! Commands of the program: the service itself, and the operators' calls to it.

mod error;
mod feed;
mod output;

pub use error::CommandError;

use crate::arguments::{Command, RolloutArguments, Target};
use error::duration_millis;
use output::{print_answer, status_text};
use sagearch_control::DOCUMENT;
use sagearch_control::client::{Caller, Connection};
use sagearch_control::server::Server;
use sagearch_operators::compare::compare;
use sagearch_operators::item::Item;
use sagearch_operators::schema::STREAMED;
use sagearch_operators::{FileError, Files, OneFile, check, control, files, flatten};
use sagearch_stream::rollout::Plan;
use sagearch_stream::version::Documents;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

/// Outcome of a command that ended without an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommandOutcome {
    /// The command succeeded.
    Done,
    /// The answer is negative: two versions differ, or an offset was not in force everywhere in time.
    Negative,
}

/// Files of the local file system, relative to the working folder.
struct LocalFiles;

impl Files for LocalFiles {
    fn read(&self, name: &str) -> Result<String, FileError> {
        Ok(sagearch_folder::read_text(Path::new(name), files::MAX_BYTES as u64)?)
    }
}

/// Runs a command.
pub fn run(command: &Command) -> Result<CommandOutcome, CommandError> {
    match command {
        Command::Serve { file, .. } => serve(file)?,
        Command::Publish { file, target, rollout } => publish(file, target, rollout)?,
        Command::Status { target } => status(target)?,
        Command::Rollback { number, target } => rollback(*number, target)?,
        Command::Diff { before, after, target } => return diff(*before, *after, target),
        Command::Feed(command) => return Ok(feed::run(command)?),
    }
    Ok(CommandOutcome::Done)
}

fn connect(target: &Target) -> Result<Connection, CommandError> {
    let caller = Caller {
        at: target.to,
        name: target.name.clone(),
        roots: target.roots.clone(),
        certificate: target.certificate.clone(),
        key: target.key.clone(),
    };
    Ok(caller.connect()?)
}

fn serve(file: &Path) -> Result<(), CommandError> {
    let settings = control::service(&file.to_string_lossy(), &LocalFiles)?;
    let stop = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGTERM, signal_hook::consts::SIGINT] {
        signal_hook::flag::register(signal, stop.clone()).map_err(CommandError::Signals)?;
    }
    Server::start(settings)?.run(&stop).map_err(CommandError::EventLoop)
}

fn rollout_plan(rollout: &RolloutArguments) -> Result<Plan, CommandError> {
    let plan = Plan {
        stages: rollout.stages.clone(),
        soak_ms: duration_millis("--hold", rollout.hold)?,
        stage_timeout_ms: duration_millis("--within", rollout.within)?,
        max_nacks: rollout.nacks,
        max_failure_rise_permille: (rollout.rise * 10.0).clamp(0.0, 1_000.0) as u32,
        ..Plan::default()
    };
    plan.validate()?;
    Ok(plan)
}

fn publish(file: &Path, target: &Target, rollout: &RolloutArguments) -> Result<(), CommandError> {
    let text = flatten(&file.to_string_lossy(), &LocalFiles)?;
    let plan = rollout_plan(rollout)?;
    let documents = Documents::from([(DOCUMENT.to_string(), text)]);
    let answer = connect(target)?.publish(&documents, plan)?;
    print_answer(target.json, &answer, |answer| format!("published as version {}", answer["number"]));
    Ok(())
}

fn status(target: &Target) -> Result<(), CommandError> {
    let status = connect(target)?.status()?;
    print_answer(target.json, &status, status_text);
    Ok(())
}

fn rollback(number: u64, target: &Target) -> Result<(), CommandError> {
    let answer = connect(target)?.rollback(number)?;
    print_answer(target.json, &answer, |answer| {
        format!("version {} holds what {number} held", answer["number"])
    });
    Ok(())
}

fn diff(before: u64, after: u64, target: &Target) -> Result<CommandOutcome, CommandError> {
    let mut connection = connect(target)?;
    let before = items_of_version(&mut connection, before)?;
    let after = items_of_version(&mut connection, after)?;
    let changes = compare(&before, &after);
    for change in &changes {
        print_answer(target.json, &change.to_string().into(), |_| change.to_string());
    }
    Ok(if changes.is_empty() { CommandOutcome::Done } else { CommandOutcome::Negative })
}

/// Parses the operators' document of a stored version.
fn items_of_version(connection: &mut Connection, number: u64) -> Result<Vec<Item>, CommandError> {
    let (_, documents) = connection.show(Some(number))?;
    let text = documents.get(DOCUMENT).cloned().unwrap_or_default();
    let document = OneFile { name: DOCUMENT, text: &text };
    check::read(DOCUMENT, &document, &STREAMED)
        .map_err(|diagnostics| CommandError::StoredVersion { number, diagnostics })
}
