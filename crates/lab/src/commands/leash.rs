//! `leash`: runs a program that ends with the laboratory.

use super::error::CommandError;
use clap::Args;
use sagearch_lab::harness::fleet::exec_with_parent;
use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

/// The arguments of `leash`.
#[derive(Args)]
pub struct LeashArguments {
    parent: i32,
    program: PathBuf,
    #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
    arguments: Vec<OsString>,
}

/// Returns only if the program could not be started.
pub fn run(arguments: &LeashArguments) -> Result<ExitCode, CommandError> {
    let source = exec_with_parent(arguments.parent, &arguments.program, &arguments.arguments);
    Err(CommandError::Exec { program: arguments.program.clone(), source })
}
