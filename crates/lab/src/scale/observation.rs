//! What the processes of a scale run write down: JSON, one object a line.

use super::usage::Usage;
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::path::Path;

/// Bytes and messages of one kind of connection so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    pub requests: u64,
    pub answers: u64,
    pub failures: u64,
    pub bytes_up: u64,
    pub bytes_down: u64,
    /// Segments of answers, at [`SEGMENT`] bytes each.
    pub answer_segments: u64,
}

/// Bytes of a TCP segment on an Ethernet with 1,500 bytes a frame.
pub const SEGMENT: u64 = 1_448;
/// Bytes of TCP and IP headers of a segment.
pub const HEADERS: u64 = 40;

impl Traffic {
    /// Notes an answer of so many bytes.
    pub fn answered(&mut self, bytes: u64) {
        self.answers += 1;
        self.bytes_down += bytes;
        self.answer_segments += bytes.div_ceil(SEGMENT);
    }

    /// Bytes on the wire. A poll is one segment up, its answer some segments down; a held poll has a bare
    /// acknowledgement of its own, and the answer's comes with the next poll.
    pub fn wire_bytes(&self) -> u64 {
        let segments = 2 * self.requests + self.answer_segments;
        self.bytes_up + self.bytes_down + segments * HEADERS
    }

    /// What came to it since an earlier reading.
    pub fn since(&self, earlier: &Traffic) -> Traffic {
        Traffic {
            requests: self.requests.saturating_sub(earlier.requests),
            answers: self.answers.saturating_sub(earlier.answers),
            failures: self.failures.saturating_sub(earlier.failures),
            bytes_up: self.bytes_up.saturating_sub(earlier.bytes_up),
            bytes_down: self.bytes_down.saturating_sub(earlier.bytes_down),
            answer_segments: self.answer_segments.saturating_sub(earlier.answer_segments),
        }
    }

    /// Both together.
    pub fn plus(&self, other: &Traffic) -> Traffic {
        Traffic {
            requests: self.requests + other.requests,
            answers: self.answers + other.answers,
            failures: self.failures + other.failures,
            bytes_up: self.bytes_up + other.bytes_up,
            bytes_down: self.bytes_down + other.bytes_down,
            answer_segments: self.answer_segments + other.answer_segments,
        }
    }
}

/// A line of a process that hosts hollow gateways. Gateways have their numbers in the whole fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostLine {
    /// This gateway follows its feed from now on.
    Started {
        gateway: usize,
        at_us: u64,
    },
    /// Offsets, and when everything up to them was in force.
    InForce {
        gateway: usize,
        steps: Vec<(u64, u64)>,
    },
    /// It did not trust its own copies between these times.
    Doubt {
        gateway: usize,
        from_us: u64,
        until_us: u64,
    },
    Usage(Usage),
    /// Of all its gateways.
    Traffic {
        at_us: u64,
        traffic: Traffic,
    },
}

/// A line of the event bus.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BusLine {
    Purge { offset: u64, at_us: u64 },
    List { offset: u64, at_us: u64 },
    Usage { usage: Usage, traffic: Traffic, connections: usize },
}

/// Writes lines to a file.
pub struct LineWriter(BufWriter<File>);

impl LineWriter {
    /// Creates the file, in place of one that stands there.
    pub fn create(path: &Path) -> io::Result<LineWriter> {
        Ok(LineWriter(BufWriter::new(File::create(path)?)))
    }

    pub fn write(&mut self, line: &impl Serialize) -> io::Result<()> {
        serde_json::to_writer(&mut self.0, line)?;
        self.0.write_all(b"\n")
    }

    pub fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

/// Reads all lines of a file. A last line that was cut off by its writer's death is left out.
pub fn read_lines<T: for<'a> Deserialize<'a>>(path: &Path) -> io::Result<Vec<T>> {
    let mut lines = BufReader::new(File::open(path)?).lines().peekable();
    let mut read = Vec::new();
    while let Some(line) = lines.next() {
        match serde_json::from_str(&line?) {
            Ok(value) => read.push(value),
            Err(_) if lines.peek().is_none() => break,
            Err(e) => return Err(e.into()),
        }
    }
    Ok(read)
}
