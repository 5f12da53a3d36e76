//! Storage of the last good versions: one file each, written to a temporary file and renamed into place, with a
//! checksum over its body.
//!
//! ```text
//! "SGCV" | format: 2 bytes | SHA-256 of the body: 32 bytes | length of the body: 8 bytes | body: JSON
//! ```
//!
//! Integers are big-endian. A file that is incomplete, damaged or of a newer format is skipped and reported, and the
//! next older version is used. Files are never modified in place.

use crate::version::Version;
use ring::digest::{SHA256, digest};
use sagearch_folder::FileStore;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;
use thiserror::Error;

const MAGIC: &[u8; 4] = b"SGCV";
const FORMAT_VERSION: u16 = 1;
const HEADER_BYTES: usize = 4 + 2 + 32 + 8;
/// The maximum size of a file that is read, in bytes.
pub const MAX_FILE_BYTES: usize = 300 * 1024 * 1024;

/// The reason why a file is unusable.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum FileError {
    /// The file does not start with the magic number.
    #[error("missing magic number")]
    UnknownFormat,
    /// The file has this format version, which this release does not support.
    #[error("unsupported format version {0}; expected {FORMAT_VERSION}")]
    UnsupportedFormat(u16),
    /// The length of the file does not match its header.
    #[error("file length does not match the header")]
    Truncated,
    /// The content does not match the checksum or the file name, or can't be decoded.
    #[error("content does not match the checksum or the file name")]
    ChecksumMismatch,
    /// The file could not be read.
    #[error("{message}")]
    Unreadable {
        /// The kind of the I/O error.
        kind: io::ErrorKind,
        /// The text of the I/O error.
        message: String,
    },
}

impl From<io::Error> for FileError {
    fn from(error: io::Error) -> FileError {
        FileError::Unreadable { kind: error.kind(), message: error.to_string() }
    }
}

/// An unusable file and the reason.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{name}: {error}")]
pub struct UnusableFile {
    /// The name of the file, or `.` for the folder itself.
    pub name: String,
    /// The reason why the file is unusable.
    pub error: FileError,
}

/// Encodes a value as the content of a file.
///
/// # Errors
/// An I/O error if the value can't be represented as JSON.
pub fn encode(value: &impl Serialize) -> io::Result<Vec<u8>> {
    let body = serde_json::to_vec(value)?;
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend_from_slice(MAGIC);
    bytes.extend_from_slice(&FORMAT_VERSION.to_be_bytes());
    bytes.extend_from_slice(digest(&SHA256, &body).as_ref());
    bytes.extend_from_slice(&(body.len() as u64).to_be_bytes());
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// Decodes the value in the content of a file.
///
/// # Errors
/// Any [`FileError`] except [`FileError::Unreadable`].
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, FileError> {
    let Some((magic, rest)) = bytes.split_first_chunk::<4>() else { return Err(FileError::Truncated) };
    if magic != MAGIC {
        return Err(FileError::UnknownFormat);
    }
    let Some((format, rest)) = rest.split_first_chunk::<2>() else { return Err(FileError::Truncated) };
    let format = u16::from_be_bytes(*format);
    if format != FORMAT_VERSION {
        return Err(FileError::UnsupportedFormat(format));
    }
    let Some((checksum, rest)) = rest.split_first_chunk::<32>() else { return Err(FileError::Truncated) };
    let Some((length, body)) = rest.split_first_chunk::<8>() else { return Err(FileError::Truncated) };
    if u64::from_be_bytes(*length) != body.len() as u64 {
        return Err(FileError::Truncated);
    }
    if digest(&SHA256, body).as_ref() != checksum {
        return Err(FileError::ChecksumMismatch);
    }
    serde_json::from_slice(body).map_err(|_| FileError::ChecksumMismatch)
}

const EXTENSION: &str = ".version";

fn file_name(version: &Version) -> String {
    let (epoch, number) = version.id.sequence();
    // The name includes the digest because two services may use the same number for different content.
    format!("{epoch:016x}-{number:016x}-{}{EXTENSION}", version.id.digest.get(..16).unwrap_or_default())
}

/// Stores a version, and then removes the oldest ones beyond `max_versions`. `writer` is passed to
/// [`FileStore::replace`].
///
/// # Errors
/// The errors of [`write()`]. Old versions that can't be removed now are removed on a later call.
pub fn store_version(
    files: &dyn FileStore,
    version: &Version,
    max_versions: usize,
    writer: u32,
) -> io::Result<()> {
    write(files, &file_name(version), version, writer)?;
    // The version is stored: a failure to remove old versions is not an error.
    let mut names: Vec<String> = files.list().unwrap_or_default();
    names.retain(|name| name.ends_with(EXTENSION));
    names.sort_unstable();
    for old in names.iter().rev().skip(max_versions.max(1)) {
        let _ = files.remove(old);
    }
    Ok(())
}

/// Encodes a value and replaces the content of a file with it.
///
/// # Errors
/// The errors of [`encode`] and [`FileStore::replace`].
pub fn write(files: &dyn FileStore, name: &str, value: &impl Serialize, writer: u32) -> io::Result<()> {
    files.replace(name, &encode(value)?, writer)
}

/// The result of reading the stored versions.
#[derive(Debug, Default)]
pub struct StoredVersions {
    /// The intact versions, newest first.
    pub versions: Vec<Version>,
    /// Files that are named like versions but are unusable.
    pub unusable: Vec<UnusableFile>,
}

/// Reads the stored versions. A folder that can't be read yields no versions and is reported as unusable.
pub fn load_versions(files: &dyn FileStore) -> StoredVersions {
    let mut stored = StoredVersions::default();
    let mut names = match files.list() {
        Ok(names) => names,
        Err(error) => {
            stored.unusable.push(UnusableFile { name: ".".into(), error: error.into() });
            return stored;
        }
    };
    names.sort_unstable();
    for name in names.into_iter().rev().filter(|name| name.ends_with(EXTENSION)) {
        match load_version(files, &name) {
            Ok(version) => stored.versions.push(version),
            Err(error) => stored.unusable.push(UnusableFile { name, error }),
        }
    }
    stored
}

fn load_version(files: &dyn FileStore, name: &str) -> Result<Version, FileError> {
    let version: Version = decode(&files.read(name)?)?;
    if version.is_intact() && file_name(&version) == name {
        Ok(version)
    } else {
        Err(FileError::ChecksumMismatch)
    }
}
