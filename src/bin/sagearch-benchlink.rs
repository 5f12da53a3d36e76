//! Puts the router on the simulator's wire: a batch a line in, a flushed reply a line out.

use sagearch::wire::Gateways;
use std::io::{BufRead, BufWriter, Write, stdin, stdout};
use std::process::ExitCode;

fn run() -> Result<(), String> {
    let mut gateways = Gateways::default();
    let mut out = BufWriter::new(stdout().lock());
    for (at, line) in stdin().lock().lines().enumerate() {
        let line = line.map_err(|e| format!("line {}: {e}", at + 1))?;
        let reply = gateways.answer(&line).map_err(|e| format!("batch on line {}: {e}", at + 1))?;
        let written = writeln!(out, "{reply}").and_then(|()| out.flush());
        written.map_err(|e| format!("line {}: reply: {e}", at + 1))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("sagearch-benchlink: {cause}");
            ExitCode::FAILURE
        }
    }
}
