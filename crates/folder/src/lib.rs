//! Durable files in a folder of the file system.
//!
//! [`Folder::replace`] is the one way in which the gateway and the control service replace a file: the new content is
//! written to a new file beside the old one and synced, the new file is renamed over the old one, and the folder is
//! synced. It returns success only once all of that is on the device, and a crash at any moment leaves either the old
//! content or the new one. [`Folder::open_append`] is for logs that grow; [`Backoff`] spaces the attempts of callers
//! that retry. [`read_text`] reads the files that operators write.
#![warn(missing_docs)]

mod append;
mod backoff;
mod error;
mod file_store;
mod file_system;
mod text;

pub use append::AppendFile;
pub use backoff::Backoff;
pub use error::{Step, StorageError};
pub use file_store::FileStore;
pub use file_system::{FileSystem, LocalFileSystem, WritableFile};
pub use text::read_text;

use std::fmt::Display;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The ending of files that are being written.
const TEMPORARY: &str = "new";
/// The ending of the file that was replaced last.
const PREVIOUS: &str = "previous";

/// A folder on this machine.
#[derive(Clone, Debug)]
pub struct Folder {
    path: PathBuf,
    /// Larger files are refused unread.
    read_limit: u64,
    file_system: Arc<dyn FileSystem>,
}

/// What a file and its previous version hold, as far as they can be decoded.
#[derive(Debug, PartialEq, Eq)]
pub enum Loaded<T> {
    /// There is no such file.
    Missing,
    /// The file's content.
    Current(T),
    /// The file is broken; this is what it held before it was last replaced.
    Previous {
        /// The previous content.
        value: T,
        /// Why the file itself is not used.
        cause: String,
    },
    /// Neither the file nor its previous version can be decoded.
    Broken {
        /// Why the file itself is not used.
        cause: String,
    },
}

impl<T> Loaded<T> {
    /// The content that can be used, if there is any.
    pub fn usable(self) -> Option<T> {
        match self {
            Loaded::Current(value) | Loaded::Previous { value, .. } => Some(value),
            Loaded::Missing | Loaded::Broken { .. } => None,
        }
    }
}

impl Folder {
    /// A folder whose files are read whatever their size.
    pub fn new(path: impl Into<PathBuf>) -> Folder {
        Folder::on(Arc::new(LocalFileSystem), path)
    }

    /// A folder of another file system.
    pub fn on(file_system: Arc<dyn FileSystem>, path: impl Into<PathBuf>) -> Folder {
        Folder { path: path.into(), read_limit: u64::MAX, file_system }
    }

    /// The same folder, where files of more than so many bytes are not read.
    #[must_use]
    pub fn with_read_limit(self, bytes: u64) -> Folder {
        Folder { read_limit: bytes, ..self }
    }

    /// Where the folder is.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Creates the folder, if there is none.
    ///
    /// # Errors
    /// [`StorageError`] with [`Step::CreateFolder`].
    pub fn create(&self) -> Result<(), StorageError> {
        let created = self.file_system.create_folder(&self.path);
        created.map_err(|source| StorageError { file: self.path.clone(), step: Step::CreateFolder, source })
    }

    /// The bytes of a file; `None` if there is no such file.
    ///
    /// # Errors
    /// [`StorageError`] with [`Step::Read`]; files over the limit are [`io::ErrorKind::FileTooLarge`].
    pub fn load(&self, name: &str) -> Result<Option<Vec<u8>>, StorageError> {
        match self.file_system.read(&self.path.join(name), self.read_limit) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(source) if source.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(source) => Err(self.failed(name, Step::Read, source)),
        }
    }

    /// What a file holds, or what it held before it was last replaced by [`Folder::replace_keeping_previous`] if it can't
    /// be decoded.
    ///
    /// # Errors
    /// That of [`Folder::load`]: an error of the file system says nothing about the content.
    pub fn load_decoded<T, E: Display>(
        &self,
        name: &str,
        decode: impl Fn(&[u8]) -> Result<T, E>,
    ) -> Result<Loaded<T>, StorageError> {
        let Some(bytes) = self.load(name)? else { return Ok(Loaded::Missing) };
        let cause = match decode(&bytes) {
            Ok(value) => return Ok(Loaded::Current(value)),
            Err(cause) => cause.to_string(),
        };
        let previous = self.load(&previous_name(name))?;
        Ok(match previous.and_then(|bytes| decode(&bytes).ok()) {
            Some(value) => Loaded::Previous { value, cause },
            None => Loaded::Broken { cause },
        })
    }

    /// Replaces a file, or makes it, and returns once the new content is on the device. `writer` tells apart those who may
    /// replace the same file at the same time.
    ///
    /// # Errors
    /// [`StorageError`] with the step that failed. The file holds the old content or, if only the folder's sync failed, the new one; to try again is
    /// to call this again, which writes a new file from the start.
    pub fn replace(&self, name: &str, bytes: &[u8], writer: u32) -> Result<(), StorageError> {
        self.replace_after(name, bytes, writer, || ())
    }

    /// As [`Folder::replace`], and the replaced content stays beside the file as its previous version. The caller must know that the
    /// file is not broken, or a broken one would take the place of a good previous version.
    ///
    /// # Errors
    /// Those of [`Folder::replace`]. Whether the previous version could be stored is not one of them.
    pub fn replace_keeping_previous(
        &self,
        name: &str,
        bytes: &[u8],
        writer: u32,
    ) -> Result<(), StorageError> {
        self.replace_after(name, bytes, writer, || self.keep_previous(name, writer))
    }

    /// Opens an existing file to append to it.
    ///
    /// # Errors
    /// [`StorageError`] with [`Step::Open`].
    pub fn open_append(&self, name: &str) -> Result<AppendFile, StorageError> {
        let path = self.path.join(name);
        match self.file_system.open_append(&path) {
            Ok(file) => Ok(AppendFile { path, file }),
            Err(source) => Err(self.failed(name, Step::Open, source)),
        }
    }

    fn replace_after(
        &self,
        name: &str,
        bytes: &[u8],
        writer: u32,
        before_rename: impl FnOnce(),
    ) -> Result<(), StorageError> {
        let temporary = self.path.join(format!("{name}.{writer}.{TEMPORARY}"));
        let replaced = self.write_new(name, &temporary, bytes).and_then(|()| {
            before_rename();
            self.rename_over(name, &temporary)
        });
        if replaced.is_err() {
            // Half a file on a full disk would keep it full.
            let _ = self.file_system.remove(&temporary);
        }
        replaced
    }

    /// Writes a file that did not exist before: one left by a writer that was killed is not reused.
    fn write_new(&self, name: &str, temporary: &Path, bytes: &[u8]) -> Result<(), StorageError> {
        let _ = self.file_system.remove(temporary);
        let created = self.file_system.create_new(temporary);
        let mut file = created.map_err(|source| self.failed(name, Step::Open, source))?;
        file.write_all(bytes).map_err(|source| self.failed(name, Step::Write, source))?;
        file.sync().map_err(|source| self.failed(name, Step::Sync, source))
    }

    fn rename_over(&self, name: &str, temporary: &Path) -> Result<(), StorageError> {
        let renamed = self.file_system.rename(temporary, &self.path.join(name));
        renamed.map_err(|source| self.failed(name, Step::Rename, source))?;
        let synced = self.file_system.sync_folder(&self.path);
        synced.map_err(|source| self.failed(name, Step::SyncFolder, source))
    }

    /// Gives the present content a second name. It is a second line of defence: where it fails, as on file systems
    /// without hard links, the previous version is an older one or none, and the replacement goes on.
    fn keep_previous(&self, name: &str, writer: u32) {
        let previous = previous_name(name);
        let temporary = self.path.join(format!("{previous}.{writer}.{TEMPORARY}"));
        let _ = self.file_system.remove(&temporary);
        if self.file_system.link(&self.path.join(name), &temporary).is_ok() {
            let _ = self.file_system.rename(&temporary, &self.path.join(previous));
            // A rename between two names of one file does nothing and leaves both.
            let _ = self.file_system.remove(&temporary);
        }
    }

    fn failed(&self, name: &str, step: Step, source: io::Error) -> StorageError {
        StorageError { file: self.path.join(name), step, source }
    }
}

/// The name under which a file's previous version stays.
fn previous_name(name: &str) -> String {
    format!("{name}.{PREVIOUS}")
}
