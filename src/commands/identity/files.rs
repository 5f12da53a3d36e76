//! Files that the commands read and write.

use super::error::CommandError;
use crate::net::frontend::tls::bytes_of;
use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

/// Who may read a new file.
#[derive(Clone, Copy)]
pub(super) enum Readers {
    /// Its owner alone, as it holds a private key.
    Owner,
    /// All users.
    All,
}

impl Readers {
    fn mode(self) -> u32 {
        match self {
            Readers::Owner => 0o600,
            Readers::All => 0o644,
        }
    }
}

/// Reads a file of certificates, keys or revocation lists, of limited size.
pub(super) fn read_bytes(path: &Path) -> Result<Vec<u8>, CommandError> {
    bytes_of(path).map_err(|error| CommandError::TlsFile(error.into()))
}

/// Reads a text without the white space around it; `-` is standard input.
pub(super) fn read_text(path: &Path) -> Result<String, CommandError> {
    let text = if path.as_os_str() == "-" {
        io::read_to_string(io::stdin()).map_err(CommandError::StandardInput)?
    } else {
        fs::read_to_string(path).map_err(CommandError::file(path))?
    };
    Ok(text.trim().to_string())
}

/// Writes a file in its place.
pub(super) fn write(path: &Path, text: &str, readers: Readers) -> Result<(), CommandError> {
    let mut options = OpenOptions::new();
    options.write(true).create(true).truncate(true).mode(readers.mode());
    let written = options.open(path).and_then(|mut file| file.write_all(text.as_bytes()));
    written.map_err(CommandError::file(path))
}

/// Replaces a file atomically: a gateway may be about to read it.
pub(super) fn replace(path: &Path, text: &str) -> Result<(), CommandError> {
    let new = path.with_extension("new");
    write(&new, text, Readers::All)?;
    fs::rename(&new, path).map_err(CommandError::file(path))
}

/// The path of a file whose name is a prefix and an ending.
pub(super) fn with_ending(prefix: &Path, ending: &str) -> PathBuf {
    let mut name = prefix.as_os_str().to_owned();
    name.push(ending);
    name.into()
}

/// Bytes as PEM (RFC 7468).
pub(super) fn pem(label: &str, der: &[u8]) -> String {
    let text = BASE64_STANDARD.encode(der);
    let lines: Vec<&str> =
        text.as_bytes().chunks(64).filter_map(|line| std::str::from_utf8(line).ok()).collect();
    format!("-----BEGIN {label}-----\n{}\n-----END {label}-----\n", lines.join("\n"))
}
