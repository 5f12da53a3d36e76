//! What the bus writes down: its events and its own usage.

use super::server::Counters;
use crate::scale::observation::{BusLine, LineWriter};
use crate::scale::sync::lock;
use crate::scale::usage::Usage;
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How often usage is written down.
const USAGE_INTERVAL: Duration = Duration::from_secs(1);

/// Writes lines to the bus's output file.
pub(super) struct Recorder {
    output: Mutex<LineWriter>,
}

impl Recorder {
    /// Creates the file.
    pub(super) fn create(path: &Path) -> io::Result<Recorder> {
        Ok(Recorder { output: Mutex::new(LineWriter::create(path)?) })
    }

    /// Writes a line. A failure is reported on standard error: the run misses the line and says so.
    pub(super) fn write(&self, line: &BusLine) {
        if let Err(error) = lock(&self.output).write(line) {
            eprintln!("the bus's record: {error}");
        }
    }

    pub(super) fn flush(&self) -> io::Result<()> {
        lock(&self.output).flush()
    }

    /// Writes the usage of this process down, over and over.
    pub(super) async fn record_usage(self: Arc<Self>, counters: Arc<Counters>) {
        loop {
            let (traffic, connections) = (counters.traffic(), counters.connections());
            self.write(&BusLine::Usage { usage: Usage::own(), traffic, connections });
            // The next flush tries again, and the last one reports its failure.
            let _ = self.flush();
            tokio::time::sleep(USAGE_INTERVAL).await;
        }
    }
}
