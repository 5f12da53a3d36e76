//! The incarnation of a process: a number by which peers tell the processes of a gateway apart. A later process has a higher
//! incarnation.
//!
//! Where a folder outlives the process, the incarnation is stored there and never decreases. Otherwise it is the wall clock's
//! time at the start, so a process that starts after the clock was stepped back may have a lower incarnation than the
//! previous process.

use crate::net::lifecycle::gateway_file::gateway_file_path;
use sagearch_folder::{Folder, StorageError};
use std::fs;
use std::io;
use std::path::Path;

/// The extension of the file that stores the incarnation.
const EXTENSION: &str = "incarnation";
/// The largest lead of a stored incarnation over the wall clock, 35 years: a higher number was not stored by a gateway.
const MAX_LEAD_MICROS: u64 = 1 << 50;

/// Returns the incarnation of a process that starts now: the Unix time in microseconds, or the stored incarnation plus one
/// if that is higher. A folder that can't be used does not prevent the start.
pub fn next(folder: Option<&Path>, gateway: &str) -> u64 {
    next_at(folder, gateway, sagearch_clock::unix_micros())
}

fn next_at(folder: Option<&Path>, gateway: &str, wall_micros: u64) -> u64 {
    let Some(folder) = folder else { return wall_micros };
    let path = gateway_file_path(folder, gateway, EXTENSION);
    let incarnation = match load(&path, wall_micros) {
        Ok(previous) => previous.map_or(wall_micros, |previous| wall_micros.max(previous + 1)),
        Err(e) => {
            log::warn!("stored incarnation is ignored: {}: {e}", path.display());
            wall_micros
        }
    };
    if let Err(e) = store(folder, gateway, incarnation) {
        log::warn!("incarnation is not stored, so the next process may have a lower one: {e}");
    }
    incarnation
}

/// Loads the incarnation of the previous process; `None`: none is stored.
fn load(path: &Path, wall_micros: u64) -> io::Result<Option<u64>> {
    let text = match fs::read_to_string(path) {
        Ok(text) => text,
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(e) => return Err(e),
    };
    let number: u64 = text.trim().parse().map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
    if number > wall_micros.saturating_add(MAX_LEAD_MICROS) {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "the number is too far ahead of the wall clock",
        ));
    }
    Ok(Some(number))
}

/// Stores the incarnation, and returns once it is durable.
fn store(folder: &Path, gateway: &str, incarnation: u64) -> Result<(), StorageError> {
    let name = gateway_file_path(Path::new(""), gateway, EXTENSION);
    let text = format!("{incarnation}\n");
    Folder::new(folder).replace(&name.to_string_lossy(), text.as_bytes(), std::process::id())
}

#[cfg(test)]
mod tests;
