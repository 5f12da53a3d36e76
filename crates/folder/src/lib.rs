//! A folder of the file system as the place where [`sagearch_stream::store`] keeps versions: used by the gateway and by
//! the control service.

use sagearch_stream::store::Disk;
use std::fs::{self, File};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// A folder on this machine.
#[derive(Clone, Debug)]
pub struct Folder {
    path: PathBuf,
    /// Larger files are refused unread.
    read_limit: u64,
}

impl Folder {
    /// A folder whose files are read whatever their size.
    pub fn new(path: impl Into<PathBuf>) -> Folder {
        Folder { path: path.into(), read_limit: u64::MAX }
    }

    /// The same folder, where files of more than so many bytes are not read.
    pub fn with_read_limit(self, bytes: u64) -> Folder {
        Folder { read_limit: bytes, ..self }
    }

    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Disk for Folder {
    fn list(&self) -> io::Result<Vec<String>> {
        let names = fs::read_dir(&self.path)?;
        names.map(|entry| Ok(entry?.file_name().to_string_lossy().into_owned())).collect()
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let path = self.path.join(name);
        if fs::metadata(&path)?.len() > self.read_limit {
            return Err(io::ErrorKind::FileTooLarge.into());
        }
        fs::read(path)
    }

    fn write(&self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut file = File::create(self.path.join(name))?;
        file.write_all(bytes)?;
        file.sync_all()
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))?;
        // The folder's own entry is to be on the disk as well.
        File::open(&self.path)?.sync_all()
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }
}
