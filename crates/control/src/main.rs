//! `sagearch-control`, run by `sagearch control`: the control service, and the operators' commands to it.

mod arguments;
mod commands;

use arguments::{Cli, Command};
use clap::Parser;
use commands::CommandOutcome;
use std::process::ExitCode;

/// Exit code of a command whose answer is negative.
const EXIT_NEGATIVE: u8 = 1;
/// Exit code of a command that failed.
const EXIT_FAILURE: u8 = 2;

fn init_logging(command: &Command) {
    let subscriber = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false);
    match command {
        Command::Serve { log_json: true, .. } => subscriber.json().init(),
        _ => subscriber.init(),
    }
}

fn main() -> ExitCode {
    let command = Cli::parse().command;
    init_logging(&command);
    match commands::run(&command) {
        Ok(CommandOutcome::Done) => ExitCode::SUCCESS,
        Ok(CommandOutcome::Negative) => ExitCode::from(EXIT_NEGATIVE),
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}
