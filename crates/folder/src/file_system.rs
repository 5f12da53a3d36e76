//! The file system calls that durable files need, one method for each call that can fail on its own.

use std::fmt::Debug;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::Path;

/// The calls of a file system. Tests replace it by one that fails at a chosen call.
pub trait FileSystem: Debug + Send + Sync {
    /// Creates a folder and those above it.
    ///
    /// # Errors
    /// The operating system's.
    fn create_folder(&self, path: &Path) -> io::Result<()>;

    /// All bytes of a file; [`io::ErrorKind::FileTooLarge`] if it has more bytes than `limit`.
    ///
    /// # Errors
    /// The operating system's.
    fn read(&self, path: &Path, limit: u64) -> io::Result<Vec<u8>>;

    /// Creates a file that must not exist.
    ///
    /// # Errors
    /// The operating system's.
    fn create_new(&self, path: &Path) -> io::Result<Box<dyn WritableFile>>;

    /// Opens an existing file to append to it.
    ///
    /// # Errors
    /// The operating system's.
    fn open_append(&self, path: &Path) -> io::Result<Box<dyn WritableFile>>;

    /// Renames a file, over another one if there is one.
    ///
    /// # Errors
    /// The operating system's.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Gives an existing file a second name, which must not exist.
    ///
    /// # Errors
    /// The operating system's.
    fn link(&self, existing: &Path, name: &Path) -> io::Result<()>;

    /// Removes a name of a file.
    ///
    /// # Errors
    /// The operating system's.
    fn remove(&self, path: &Path) -> io::Result<()>;

    /// Returns once the folder's entries are on the device.
    ///
    /// # Errors
    /// The operating system's.
    fn sync_folder(&self, path: &Path) -> io::Result<()>;
}

/// An open file of a [`FileSystem`].
pub trait WritableFile: Send {
    /// Writes all bytes at the file's end.
    ///
    /// # Errors
    /// The operating system's.
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Returns once all written bytes are on the device.
    ///
    /// After an error the kernel may have dropped the unwritten pages and may report success for a second call, so a
    /// failed sync is not repeated: the bytes have to be written again, to a new file.
    ///
    /// # Errors
    /// The operating system's.
    fn sync(&mut self) -> io::Result<()>;
}

/// The machine's own file system.
#[derive(Debug)]
pub struct LocalFileSystem;

impl FileSystem for LocalFileSystem {
    fn create_folder(&self, path: &Path) -> io::Result<()> {
        fs::create_dir_all(path)
    }

    fn read(&self, path: &Path, limit: u64) -> io::Result<Vec<u8>> {
        let mut file = File::open(path)?;
        let length = file.metadata()?.len();
        if length > limit {
            let cause = format!("{length} bytes are over the limit of {limit}");
            return Err(io::Error::new(io::ErrorKind::FileTooLarge, cause));
        }
        let mut bytes = Vec::with_capacity(usize::try_from(length).unwrap_or_default());
        file.read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn create_new(&self, path: &Path) -> io::Result<Box<dyn WritableFile>> {
        let file = OpenOptions::new().write(true).create_new(true).open(path)?;
        Ok(Box::new(file))
    }

    fn open_append(&self, path: &Path) -> io::Result<Box<dyn WritableFile>> {
        let file = OpenOptions::new().append(true).open(path)?;
        Ok(Box::new(file))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn link(&self, existing: &Path, name: &Path) -> io::Result<()> {
        fs::hard_link(existing, name)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }

    fn sync_folder(&self, path: &Path) -> io::Result<()> {
        File::open(path)?.sync_all()
    }
}

impl WritableFile for File {
    fn write_all(&mut self, bytes: &[u8]) -> io::Result<()> {
        Write::write_all(self, bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_all()
    }
}
