//! `sagearch config`: the operators' language.

use crate::files::Disk;
use clap::Subcommand;
use sagearch_operators::compare::{Change, compare};
use sagearch_operators::schema::{FILE, NodeSchema, STREAMED};
use sagearch_operators::{
    Anywhere, Diagnostic, Diagnostics, FileError, Files, check, decode, flatten, format, reference,
};
use serde_json::{Value, json};
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;

/// Exit code where something was found, or differs.
const FOUND: u8 = 1;
/// Exit code where a command could not be carried out.
const FAILED: u8 = 2;

/// What can be done with files of the operators' language.
#[derive(Subcommand)]
pub enum Command {
    /// Check files with all that they include. Exit code 0: in order, 1: not
    Check {
        /// The files to check
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// As a version that is to be streamed, where less may stand
        #[arg(long)]
        streamed: bool,
        /// Print the result as JSON
        #[arg(long)]
        json: bool,
    },
    /// Bring files into the one form. Exit code 1 with --check: some are not in it
    Fmt {
        /// The files to format
        #[arg(required = true)]
        files: Vec<PathBuf>,
        /// Only say which are not
        #[arg(long)]
        check: bool,
    },
    /// What differs between two files by meaning. Exit code 0: nothing, 1: something
    Diff {
        /// The file to compare from
        before: PathBuf,
        /// The file to compare to
        after: PathBuf,
        /// Print the result as JSON
        #[arg(long)]
        json: bool,
    },
    /// One text of a file and all that it includes and names, as it is streamed
    Flatten {
        /// The file to read
        file: PathBuf,
    },
    /// The reference page, in Markdown
    Reference,
    /// What may stand below a path, such as `identity tenant`
    Complete {
        /// The names of the path, from the outermost
        path: Vec<String>,
    },
}

/// Why a command could not be carried out.
#[derive(Debug, Error)]
enum ConfigError {
    #[error("{}: {source}", file.display())]
    Read { file: PathBuf, source: FileError },
    #[error("{}: {source}", file.display())]
    Write { file: PathBuf, source: io::Error },
    /// A file that is not KDL.
    #[error(transparent)]
    Syntax(#[from] Diagnostic),
    /// A file that does not fit the schema.
    #[error(transparent)]
    Invalid(#[from] Diagnostics),
    #[error("there is no such path")]
    UnknownPath,
}

/// Whether all was in order.
type InOrder = bool;

fn name(path: &Path) -> String {
    path.to_string_lossy().into_owned()
}

fn check_file(file: &Path, schema: &'static NodeSchema) -> Result<(), Diagnostics> {
    let items = check::read(&name(file), &Disk, schema)?;
    decode(&items, &Disk, &Anywhere).map(drop)
}

fn check_all(files: &[PathBuf], schema: &'static NodeSchema, as_json: bool) -> InOrder {
    let mut in_order = true;
    for file in files {
        let Err(diagnostics) = check_file(file, schema) else { continue };
        in_order = false;
        if as_json {
            diagnostics.list().iter().for_each(|diagnostic| println!("{}", diagnostic_json(diagnostic)));
        } else {
            println!("{diagnostics}");
        }
    }
    in_order
}

/// Line and column are 0 where the file could not be read.
fn diagnostic_json(diagnostic: &Diagnostic) -> Value {
    let position = diagnostic.position();
    json!({
        "file": diagnostic.file(),
        "line": position.map_or(0, |position| position.line),
        "column": position.map_or(0, |position| position.column),
        "cause": diagnostic.cause(),
    })
}

fn format_all(files: &[PathBuf], check: bool) -> Result<InOrder, ConfigError> {
    let mut all_were_formatted = true;
    for file in files {
        let text =
            Disk.read(&name(file)).map_err(|source| ConfigError::Read { file: file.clone(), source })?;
        let formatted = format::format(&name(file), &text)?;
        if formatted == text {
            continue;
        }
        all_were_formatted = false;
        if check {
            println!("{}", file.display());
        } else {
            let written = std::fs::write(file, formatted);
            written.map_err(|source| ConfigError::Write { file: file.clone(), source })?;
        }
    }
    Ok(all_were_formatted || !check)
}

fn diff(before: &Path, after: &Path, as_json: bool) -> Result<InOrder, ConfigError> {
    let before = check::read(&name(before), &Disk, &FILE)?;
    let after = check::read(&name(after), &Disk, &FILE)?;
    let changes = compare(&before, &after);
    for change in &changes {
        if as_json {
            println!("{}", change_json(change));
        } else {
            println!("{change}");
        }
    }
    Ok(changes.is_empty())
}

fn change_json(change: &Change) -> Value {
    match change {
        Change::Added { path, after } => json!({"path": path, "after": after}),
        Change::Removed { path, before } => json!({"path": path, "before": before}),
        Change::Changed { path, before, after } => json!({"path": path, "before": before, "after": after}),
    }
}

fn complete(path: &[String]) -> Result<(), ConfigError> {
    let path: Vec<&str> = path.iter().map(String::as_str).collect();
    let completions = reference::complete(&FILE, &path).ok_or(ConfigError::UnknownPath)?;
    for completion in completions {
        println!("{}\t{}", completion.text, completion.about);
    }
    Ok(())
}

fn carry_out(command: &Command) -> Result<InOrder, ConfigError> {
    match command {
        Command::Check { files, streamed, json } => {
            Ok(check_all(files, if *streamed { &STREAMED } else { &FILE }, *json))
        }
        Command::Fmt { files, check } => format_all(files, *check),
        Command::Diff { before, after, json } => diff(before, after, *json),
        Command::Flatten { file } => {
            print!("{}", flatten(&name(file), &Disk)?);
            Ok(true)
        }
        Command::Reference => {
            print!("{}", reference::page(&FILE, &STREAMED));
            Ok(true)
        }
        Command::Complete { path } => complete(path).map(|()| true),
    }
}

/// Carries a command out. Exit code 2: it could not be.
pub fn run(command: &Command) -> ExitCode {
    match carry_out(command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(FOUND),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(FAILED)
        }
    }
}
