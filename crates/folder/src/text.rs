//! Text files that are read as a whole.

use crate::file_system::{FileSystem, LocalFileSystem};
use std::io;
use std::path::Path;

/// The text of a file of this machine, which has at most so many bytes.
///
/// # Errors
/// Those of the file system, [`io::ErrorKind::FileTooLarge`] over the limit, and [`io::ErrorKind::InvalidData`] for what
/// is not UTF-8. They don't name the file: the caller does.
pub fn read_text(path: &Path, limit: u64) -> io::Result<String> {
    let bytes = LocalFileSystem.read(path, limit)?;
    String::from_utf8(bytes).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
}
