//! Figures of a scenario that may be ranges, out of which a seed draws one.

use rand::Rng;
use sagearch_operators::schema::Kind;
use sagearch_operators::value::{self, Value, ValueError};
use std::time::Duration;
use thiserror::Error;

/// The longest time that can be told, in milliseconds.
const MAX_MILLIS: u64 = 24 * 3_600_000;

/// A range of values, both ends included.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ValueRange<T> {
    /// The smallest value.
    pub min: T,
    /// The largest value.
    pub max: T,
}

/// A text that is no range.
#[derive(Clone, Debug, Error)]
pub enum RangeError {
    /// Its ends are in the wrong order.
    #[error("{0:?} ends before it begins")]
    Reversed(String),
    /// An end is no time, for a reason.
    #[error(transparent)]
    Time(#[from] ValueError),
    /// An end is a value of another kind than a time.
    #[error("{0:?} is no time")]
    NotTime(String),
    /// An end is no share.
    #[error("{0:?} is no share like \"2%\"")]
    Share(String),
    /// An end is no number of bytes.
    #[error("{0:?} is no number of bytes like \"20kB\"")]
    Bytes(String),
}

fn parse<T: PartialOrd>(
    text: &str,
    read: impl Fn(&str) -> Result<T, RangeError>,
) -> Result<ValueRange<T>, RangeError> {
    let (min, max) = text.split_once("..").unwrap_or((text, text));
    let range = ValueRange { min: read(min.trim())?, max: read(max.trim())? };
    if range.min <= range.max { Ok(range) } else { Err(RangeError::Reversed(text.into())) }
}

fn time(text: &str) -> Result<Duration, RangeError> {
    match value::parse_default(text, Kind::Span(0, MAX_MILLIS), "a time")? {
        Value::Millis(millis) => Ok(Duration::from_millis(millis)),
        _ => Err(RangeError::NotTime(text.into())),
    }
}

fn share(text: &str) -> Result<f64, RangeError> {
    let percent = text.strip_suffix('%').and_then(|number| number.trim().parse::<f64>().ok());
    let percent = percent.filter(|percent| (0.0..=100.0).contains(percent));
    percent.map(|percent| percent / 100.0).ok_or_else(|| RangeError::Share(text.into()))
}

fn bytes(text: &str) -> Result<f64, RangeError> {
    const UNITS: [(&str, f64); 3] = [("MB", 1e6), ("kB", 1e3), ("B", 1.0)];
    let unit = UNITS.iter().find_map(|(unit, bytes)| Some((text.strip_suffix(unit)?, *bytes)));
    let read = unit.and_then(|(number, bytes)| Some(number.trim().parse::<f64>().ok()? * bytes));
    let read = read.filter(|bytes| *bytes >= 1.0 && bytes.is_finite());
    read.ok_or_else(|| RangeError::Bytes(text.into()))
}

impl ValueRange<Duration> {
    /// No time at all.
    pub const ZERO: Self = ValueRange { min: Duration::ZERO, max: Duration::ZERO };

    /// `250ms` or `1s..3s`
    ///
    /// # Errors
    ///
    /// Where the text is no such range.
    pub fn of_times(text: &str) -> Result<Self, RangeError> {
        parse(text, time)
    }

    /// One of its values.
    pub fn draw(&self, random: &mut impl Rng) -> Duration {
        let (min, max) = (self.min.as_micros() as u64, self.max.as_micros() as u64);
        Duration::from_micros(random.random_range(min..=max))
    }
}

impl ValueRange<f64> {
    /// `2%` or `1%..5%`, as a share of 1
    ///
    /// # Errors
    ///
    /// Where the text is no such range.
    pub fn of_shares(text: &str) -> Result<Self, RangeError> {
        parse(text, share)
    }

    /// `20kB` or `10kB..1MB`, in bytes
    ///
    /// # Errors
    ///
    /// Where the text is no such range.
    pub fn of_bytes(text: &str) -> Result<Self, RangeError> {
        parse(text, bytes)
    }

    /// One of its values.
    pub fn draw(&self, random: &mut impl Rng) -> f64 {
        random.random_range(self.min..=self.max)
    }
}

#[cfg(test)]
mod tests;
