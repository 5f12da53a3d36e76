//! What the processes of a scale run write down: JSON, one object a line.

use super::error::ScaleError;
use super::usage::Usage;
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::Path;

/// Bytes of a TCP segment on an Ethernet with 1,500 bytes a frame.
pub const SEGMENT_BYTES: u64 = 1_448;
/// Bytes of TCP and IP headers of a segment.
pub const HEADER_BYTES: u64 = 40;

/// Bytes and messages of one kind of connection so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// Polls.
    pub requests: u64,
    /// Answers to polls.
    pub answers: u64,
    /// Polls that failed.
    pub failures: u64,
    /// Bytes from the gateways.
    pub bytes_up: u64,
    /// Bytes to the gateways.
    pub bytes_down: u64,
    /// Segments of answers, at [`SEGMENT_BYTES`] each.
    pub answer_segments: u64,
}

impl Traffic {
    /// Counts an answer.
    pub fn add_answer(&mut self, bytes: u64) {
        self.answers += 1;
        self.bytes_down += bytes;
        self.answer_segments += bytes.div_ceil(SEGMENT_BYTES);
    }

    /// Bytes on the wire. A poll is one segment up, its answer some segments down; a poll that waits is acknowledged by a
    /// segment of its own, and its answer by the next poll.
    pub fn wire_bytes(&self) -> u64 {
        let segments = 2 * self.requests + self.answer_segments;
        self.bytes_up + self.bytes_down + segments * HEADER_BYTES
    }

    /// The traffic since an earlier reading.
    #[must_use]
    pub fn since(&self, earlier: &Traffic) -> Traffic {
        self.combine(earlier, u64::saturating_sub)
    }

    /// The sum of both.
    #[must_use]
    pub fn plus(&self, other: &Traffic) -> Traffic {
        self.combine(other, |one, two| one + two)
    }

    fn combine(&self, other: &Traffic, with: impl Fn(u64, u64) -> u64) -> Traffic {
        Traffic {
            requests: with(self.requests, other.requests),
            answers: with(self.answers, other.answers),
            failures: with(self.failures, other.failures),
            bytes_up: with(self.bytes_up, other.bytes_up),
            bytes_down: with(self.bytes_down, other.bytes_down),
            answer_segments: with(self.answer_segments, other.answer_segments),
        }
    }
}

/// A line of a process that hosts hollow gateways. Gateways have their numbers in the whole fleet, times are Unix
/// microseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostLine {
    /// This gateway follows its feed from now on.
    Started {
        /// The gateway.
        gateway: usize,
        /// When.
        at_us: u64,
    },
    /// Events that were applied.
    #[serde(rename = "in-force")]
    Applied {
        /// The gateway.
        gateway: usize,
        /// Offsets, and when everything up to them was applied.
        #[serde(rename = "steps")]
        offsets: Vec<(u64, u64)>,
    },
    /// Its freshness lease had expired between these times.
    #[serde(rename = "doubt")]
    Stale {
        /// The gateway.
        gateway: usize,
        /// The begin.
        from_us: u64,
        /// The end.
        until_us: u64,
    },
    /// Of the whole process.
    Usage(Usage),
    /// Of all its gateways.
    Traffic {
        /// When.
        at_us: u64,
        /// So far.
        traffic: Traffic,
    },
}

/// A line of the event bus. Times are Unix microseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BusLine {
    /// A purge was issued.
    Purge {
        /// Its number among all events.
        offset: u64,
        /// When.
        at_us: u64,
    },
    /// A change of the list of stores was issued.
    List {
        /// Its number among all events.
        offset: u64,
        /// When.
        at_us: u64,
    },
    /// Of the whole process.
    Usage {
        /// Processor and memory.
        usage: Usage,
        /// Of all connections so far.
        traffic: Traffic,
        /// Connections that are open now.
        connections: usize,
    },
}

/// Writes lines to a file.
pub struct LineWriter(BufWriter<File>);

impl LineWriter {
    /// Creates the file, in place of one that is there.
    ///
    /// # Errors
    ///
    /// Where the file can't be created.
    pub fn create(path: &Path) -> io::Result<LineWriter> {
        Ok(LineWriter(BufWriter::new(File::create(path)?)))
    }

    /// Adds a line.
    ///
    /// # Errors
    ///
    /// Where the file can't be written.
    pub fn write(&mut self, line: &impl Serialize) -> io::Result<()> {
        serde_json::to_writer(&mut self.0, line)?;
        self.0.write_all(b"\n")
    }

    /// Hands all lines to the system.
    ///
    /// # Errors
    ///
    /// Where the file can't be written.
    pub fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

/// Reads all lines of a file. A last line that was cut off by its writer's death is left out.
///
/// # Errors
///
/// Where the file can't be read, or another line than the last one is not such an object.
pub fn read_lines<T: for<'a> Deserialize<'a>>(path: &Path) -> Result<Vec<T>, ScaleError> {
    let file = File::open(path).map_err(ScaleError::in_file(path))?;
    let mut lines = BufReader::new(file).lines().peekable();
    let mut values = Vec::new();
    while let Some(line) = lines.next() {
        let line = line.map_err(ScaleError::in_file(path))?;
        match serde_json::from_str(&line) {
            Ok(value) => values.push(value),
            Err(_) if lines.peek().is_none() => break,
            Err(error) => {
                return Err(ScaleError::Line { path: path.into(), line: values.len() + 1, source: error });
            }
        }
    }
    Ok(values)
}
