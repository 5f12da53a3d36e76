//! The file system, as the parser of the operators' file reads it.

use sagearch_operators::{DeploymentContext, Diagnostics, FileError, Files, Operators};
use std::path::Path;

/// The files of this machine. Relative paths start at the working folder.
pub struct Disk;

impl Files for Disk {
    fn read(&self, name: &str) -> Result<String, FileError> {
        let limit = sagearch_operators::files::MAX_BYTES as u64;
        Ok(sagearch_folder::read_text(Path::new(name), limit)?)
    }
}

/// Reads the operators' file. A file that does not exist states nothing.
///
/// # Errors
///
/// All faults of the file and of those that it includes, with file, line and column.
pub fn read_operators(file: &Path, deployment: &dyn DeploymentContext) -> Result<Operators, Diagnostics> {
    match file.try_exists() {
        Ok(false) => Ok(Operators::default()),
        _ => sagearch_operators::read(&file.to_string_lossy(), &Disk, deployment),
    }
}
