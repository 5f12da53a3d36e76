//! Structured logging with `tracing`: one line for each record on standard error, as text with `key=value` or as JSON.
//!
//! Records of the `log` facade, of this program and of libraries, are written the same way. No credential is ever logged:
//! types that hold one don't show it (`net::http::Secret`), and `tests/identity.rs` searches the logs for them.

use log::LevelFilter;
use std::io::{self, Write};
use tracing_subscriber::filter::{LevelFilter as TracingLevel, Targets};
use tracing_subscriber::fmt::MakeWriter;
use tracing_subscriber::prelude::*;

/// The format of records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Format {
    /// Time, level, target, message, key=value
    #[default]
    Text,
    /// One JSON object a line
    Json,
}

/// The log target of this program, on which operators' filters rely.
const LOG_TARGET: &str = "sagearch";

/// Standard error. Each record is one line, whatever it holds, and a closed standard error stops nothing.
struct Lines;

impl Write for Lines {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = io::stderr().write_all(&one_line(bytes));
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for Lines {
    type Writer = Lines;

    fn make_writer(&'a self) -> Lines {
        Lines
    }
}

/// Replaces control characters within a record by spaces: with a line break, a name could forge the next record.
fn one_line(record: &[u8]) -> Vec<u8> {
    let (inner, end) = match record.strip_suffix(b"\n") {
        Some(inner) => (inner, Some(b'\n')),
        None => (record, None),
    };
    let printable = |byte: &u8| if *byte < b' ' { b' ' } else { *byte };
    inner.iter().map(printable).chain(end).collect()
}

fn tracing_level(level: LevelFilter) -> TracingLevel {
    match level {
        LevelFilter::Off => TracingLevel::OFF,
        LevelFilter::Error => TracingLevel::ERROR,
        LevelFilter::Warn => TracingLevel::WARN,
        LevelFilter::Info => TracingLevel::INFO,
        LevelFilter::Debug => TracingLevel::DEBUG,
        LevelFilter::Trace => TracingLevel::TRACE,
    }
}

/// Installs the logger. Further calls in the same process only change the level of the `log` facade.
pub fn start(level: LevelFilter, format: Format) {
    let own = tracing_level(level);
    // Libraries only log what is wrong.
    let filter = Targets::new().with_default(own.min(TracingLevel::WARN)).with_target(LOG_TARGET, own);
    let lines =
        tracing_subscriber::fmt::layer().with_writer(Lines).with_ansi(false).log_internal_errors(false);
    let registry = tracing_subscriber::registry().with(filter);
    let _ = match format {
        Format::Text => registry.with(lines).try_init(),
        Format::Json => registry.with(lines.json().flatten_event(true)).try_init(),
    };
    log::set_max_level(level);
}

#[cfg(test)]
mod tests;
