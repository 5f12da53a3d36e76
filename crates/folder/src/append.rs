//! A file that grows at its end.

use crate::error::{Step, StorageError};
use crate::file_system::WritableFile;
use std::io;
use std::path::PathBuf;

/// A file opened by [`Folder::open_append`](crate::Folder::open_append).
pub struct AppendFile {
    pub(crate) path: PathBuf,
    pub(crate) file: Box<dyn WritableFile>,
}

impl AppendFile {
    /// Appends bytes, and returns once they are on the device.
    ///
    /// It takes the file and gives it back on success alone: after an error nothing is known of the file's end, so it is
    /// replaced as a whole ([`Folder::replace`](crate::Folder::replace)) before anything more is appended.
    ///
    /// # Errors
    /// [`StorageError`] with [`Step::Write`] or [`Step::Sync`].
    pub fn append(mut self, bytes: &[u8]) -> Result<AppendFile, StorageError> {
        self.file.write_all(bytes).map_err(|source| self.failed(Step::Write, source))?;
        self.file.sync().map_err(|source| self.failed(Step::Sync, source))?;
        Ok(self)
    }

    fn failed(&self, step: Step, source: io::Error) -> StorageError {
        StorageError { file: self.path.clone(), step, source }
    }
}
