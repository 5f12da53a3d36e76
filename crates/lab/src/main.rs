//! `sagearch-lab`: see `docs/laboratory.md`.
#![warn(missing_docs)]

mod commands;

use clap::Parser;
use commands::{Arguments, Command};
use sagearch_lab::cost_curves::memory::CountingAllocator;
use std::process::ExitCode;

/// `slopes` tells memory by what the program has allocated.
#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// The exit code of a command that could not be carried out.
const EXIT_ERROR: u8 = 3;

fn main() -> ExitCode {
    let done = match Arguments::parse().command {
        Command::Run(arguments) => commands::run::run(arguments),
        Command::Plan(arguments) => commands::run::plan(&arguments),
        Command::Try(arguments) => commands::experiment::run(&arguments),
        Command::Diff(arguments) => commands::experiment::compare(&arguments),
        Command::Shrink(arguments) => commands::shrink::run(&arguments),
        Command::Slopes(arguments) => commands::slopes::run(&arguments),
        Command::Scale(arguments) => commands::scale::run(&arguments),
        Command::Hollow(arguments) => commands::scale::host(&arguments),
        Command::ScaleBus(arguments) => commands::scale::bus(&arguments),
        Command::Leash(arguments) => commands::leash::run(&arguments),
    };
    done.unwrap_or_else(|error| {
        eprintln!("{error}");
        ExitCode::from(EXIT_ERROR)
    })
}
