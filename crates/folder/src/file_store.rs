//! A folder's files, as far as those who store in it need them.

use crate::Folder;
use std::fs;
use std::io;

/// The operations on a folder's files that stored data needs. Tests replace it by one in memory.
///
/// It stands here and not with those who store: this crate knows nothing of what is stored, so that all crates that
/// store depend on this one and never the other way round.
pub trait FileStore {
    /// The names of all files.
    ///
    /// # Errors
    /// Those of the file system.
    fn list(&self) -> io::Result<Vec<String>>;

    /// The content of a file.
    ///
    /// # Errors
    /// [`io::ErrorKind::NotFound`], and others of the file system.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Replaces or creates a file, and returns once that is on the device. A crash or an error leaves the old
    /// content or the new one. `writer` tells apart those who may replace the same file at the same time.
    ///
    /// # Errors
    /// Those of the file system, such as [`io::ErrorKind::StorageFull`].
    fn replace(&self, name: &str, bytes: &[u8], writer: u32) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// [`io::ErrorKind::NotFound`], and others of the file system.
    fn remove(&self, name: &str) -> io::Result<()>;
}

impl FileStore for Folder {
    fn list(&self) -> io::Result<Vec<String>> {
        let names = fs::read_dir(&self.path)?;
        names.map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned())).collect()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        self.file_system.read(&self.path.join(name), self.read_limit)
    }

    fn replace(&self, name: &str, bytes: &[u8], writer: u32) -> io::Result<()> {
        Folder::replace(self, name, bytes, writer).map_err(io::Error::from)
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.file_system.remove(&self.path.join(name))
    }
}
