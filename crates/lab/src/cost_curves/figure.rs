//! The result of a measurement: named figures with units.

use serde::Serialize;
use std::fmt;
use std::time::Duration;

const PERCENT: f64 = 100.0;
const MILLIS_PER_SECOND: f64 = 1e3;
const BYTES_PER_KILOBYTE: f64 = 1e3;
const BYTES_PER_MEGABYTE: f64 = 1e6;

/// The unit of a figure.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Unit {
    /// Events a second.
    PerSecond,
    /// Thousands of bytes a second.
    KilobytesPerSecond,
    /// Processor time by time.
    PercentOfCore,
    /// Millions of bytes.
    Megabytes,
    /// Bytes.
    Bytes,
    /// Seconds.
    Seconds,
    /// Thousandths of a second.
    Milliseconds,
    /// Millionths of a second.
    Microseconds,
    /// A plain number.
    Count,
}

impl fmt::Display for Unit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Unit::PerSecond => "/s",
            Unit::KilobytesPerSecond => "KB/s",
            Unit::PercentOfCore => "% of a core",
            Unit::Megabytes => "MB",
            Unit::Bytes => "bytes",
            Unit::Seconds => "s",
            Unit::Milliseconds => "ms",
            Unit::Microseconds => "us",
            Unit::Count => "",
        })
    }
}

/// One measured value.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Figure {
    /// What it is of.
    pub name: &'static str,
    /// Of its value.
    pub unit: Unit,
    /// The value.
    pub value: f64,
}

impl Figure {
    /// A value in its unit.
    pub fn new(name: &'static str, unit: Unit, value: f64) -> Figure {
        Figure { name, unit, value }
    }

    /// A number of bytes in megabytes.
    pub fn megabytes(name: &'static str, bytes: usize) -> Figure {
        Figure::new(name, Unit::Megabytes, bytes as f64 / BYTES_PER_MEGABYTE)
    }

    /// A time in milliseconds.
    pub fn milliseconds(name: &'static str, duration: Duration) -> Figure {
        Figure::new(name, Unit::Milliseconds, duration.as_secs_f64() * MILLIS_PER_SECOND)
    }
}

/// Messages and bytes in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// How many there were.
    pub messages: u64,
    /// Of all of them.
    pub bytes: u64,
}

impl Traffic {
    /// Counts a message.
    pub fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }
}

/// What instances of a role cost over a span of their own (virtual) time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Load {
    /// The span, in seconds.
    pub seconds: f64,
    /// Instances that share what was measured; figures are of one.
    pub instances: f64,
    /// Received by all instances.
    pub incoming: Traffic,
    /// Sent by all instances.
    pub outgoing: Traffic,
    /// Processor time of all instances.
    pub processor: Duration,
}

impl Load {
    /// The figures of one instance.
    pub fn figures(&self) -> Vec<Figure> {
        let instance_seconds = self.seconds * self.instances;
        let rate = |count: u64| count as f64 / instance_seconds;
        vec![
            Figure::new("messages in", Unit::PerSecond, rate(self.incoming.messages)),
            Figure::new("messages out", Unit::PerSecond, rate(self.outgoing.messages)),
            Figure::new("bytes in", Unit::KilobytesPerSecond, rate(self.incoming.bytes) / BYTES_PER_KILOBYTE),
            Figure::new(
                "bytes out",
                Unit::KilobytesPerSecond,
                rate(self.outgoing.bytes) / BYTES_PER_KILOBYTE,
            ),
            Figure::new(
                "processor",
                Unit::PercentOfCore,
                self.processor.as_secs_f64() / instance_seconds * PERCENT,
            ),
        ]
    }
}
