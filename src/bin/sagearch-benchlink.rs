//! Adapter between the simulator and the router: reads one batch of messages per line from standard input, and writes
//! one line of orders in reply to each.

#![warn(missing_docs)]

use sagearch::wire::{Gateways, WireError};
use std::io::{self, BufRead, BufWriter, Write, stdin, stdout};
use std::process::ExitCode;

/// An error that ends the adapter.
#[derive(Debug, thiserror::Error)]
enum AdapterError {
    /// Standard input can't be read.
    #[error("line {line}: {cause}")]
    Read {
        line: usize,
        #[source]
        cause: io::Error,
    },
    /// A line is not a valid batch.
    #[error("batch on line {line}: {cause}")]
    Batch {
        line: usize,
        #[source]
        cause: WireError,
    },
    /// A reply can't be written to standard output.
    #[error("line {line}: reply: {cause}")]
    Reply {
        line: usize,
        #[source]
        cause: io::Error,
    },
}

/// Handles batches until the end of standard input.
fn run() -> Result<(), AdapterError> {
    let mut gateways = Gateways::default();
    let mut output = BufWriter::new(stdout().lock());
    for (line, batch) in (1..).zip(stdin().lock().lines()) {
        let batch = batch.map_err(|cause| AdapterError::Read { line, cause })?;
        let reply = gateways.answer(&batch).map_err(|cause| AdapterError::Batch { line, cause })?;
        let written = writeln!(output, "{reply}").and_then(|()| output.flush());
        written.map_err(|cause| AdapterError::Reply { line, cause })?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sagearch-benchlink: {error}");
            ExitCode::FAILURE
        }
    }
}
