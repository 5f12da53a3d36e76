//! The machine's clocks.
//!
//! This crate is the only one that reads the wall clock; clippy's `disallowed-methods` refuses `SystemTime::now`
//! elsewhere. The wall clock is set by operators and by NTP: it may step forward or back at any moment. It names moments
//! for people and for other machines and tells incarnations apart, and no span of time is measured by it. Spans within a
//! process are measured by [`std::time::Instant`], spans across processes of one machine by [`boot_micros`].
//!
//! All clocks are read through the C library, so that a preloaded library can replace them.

#![warn(missing_docs)]

use nix::time::{ClockId, clock_gettime};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Where Linux tells the identity of the machine's present boot.
const BOOT_ID_PATH: &str = "/proc/sys/kernel/random/boot_id";

/// The wall clock as a [`SystemTime`]: for certificates, which speak in calendar times.
#[allow(clippy::disallowed_methods, reason = "the one place that may read the wall clock")]
pub fn system_time() -> SystemTime {
    SystemTime::now()
}

/// Time since the Unix epoch by the wall clock; zero where it is set to before the epoch.
pub fn unix_time() -> Duration {
    system_time().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Microseconds since the Unix epoch by the wall clock.
pub fn unix_micros() -> u64 {
    whole(unix_time().as_micros())
}

/// Milliseconds since the Unix epoch by the wall clock.
pub fn unix_millis() -> u64 {
    whole(unix_time().as_millis())
}

/// Microseconds on the machine's monotonic clock (`CLOCK_MONOTONIC`). It is never stepped, and all processes of a machine
/// read the same one. It starts anew with each boot: a stored reading means something only together with [`boot_id`].
pub fn boot_micros() -> u64 {
    // Linux always has this clock; zero stands for one that cannot be read.
    let reading = clock_gettime(ClockId::CLOCK_MONOTONIC).map_or(Duration::ZERO, Duration::from);
    whole(reading.as_micros())
}

/// The identity of the machine's present boot, under which readings of [`boot_micros`] can be compared.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct BootId(String);

impl BootId {
    /// As it was stored by [`BootId::as_str`].
    pub fn from_stored(stored: &str) -> Option<BootId> {
        let id = stored.trim();
        (!id.is_empty()).then(|| BootId(id.to_owned()))
    }

    /// As it can be stored.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

/// The identity of the present boot; `None` where the system tells none, as in some containers. Reads a file.
pub fn boot_id() -> Option<BootId> {
    let text = std::fs::read_to_string(BOOT_ID_PATH).ok()?;
    BootId::from_stored(&text)
}

fn whole(amount: u128) -> u64 {
    u64::try_from(amount).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests;
