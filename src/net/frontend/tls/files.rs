//! The files of TLS: certificates, keys, roots and revocation lists.

use super::error::{FileError, TlsError};
use super::provider;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, CertificateRevocationListDer};
use sagearch_identity::certificate::Trust;
use sagearch_operators::identity::TrustFiles;
use std::fs;
use std::path::{Path, PathBuf};

/// The largest file of certificates, keys or revocation lists that is read.
pub(super) const MAX_FILE_BYTES: u64 = 4 * 1024 * 1024;
/// The most certificates or revocation lists in one file.
pub(super) const MAX_ITEMS: usize = 1_000;

/// Reads a file of certificates, keys or revocation lists.
///
/// # Errors
///
/// If it can't be read or is too large. The message names the file and never what it holds.
pub fn bytes_of(path: &Path) -> Result<Vec<u8>, FileError> {
    let unreadable = |source| FileError::Read { path: path.into(), source };
    let size = fs::metadata(path).map_err(unreadable)?.len();
    if size > MAX_FILE_BYTES {
        return Err(FileError::TooLarge { path: path.into(), size });
    }
    fs::read(path).map_err(unreadable)
}

/// Reads all items of one kind from PEM files. `kind` names it in messages; a file without any is an error.
pub(super) fn read_pem<T: PemObject>(paths: &[PathBuf], kind: &'static str) -> Result<Vec<T>, TlsError> {
    let mut all = Vec::new();
    for path in paths {
        let bytes = bytes_of(path)?;
        let before = all.len();
        for item in T::pem_slice_iter(&bytes) {
            all.push(item.map_err(|_| TlsError::NotPem { path: path.clone() })?);
        }
        if all.len() == before || all.len() > MAX_ITEMS {
            return Err(TlsError::ItemCount { path: path.clone(), kind });
        }
    }
    Ok(all)
}

/// Roots and revocation lists as they were read.
#[derive(Clone, Default)]
pub struct TrustParts {
    roots: Vec<CertificateDer<'static>>,
    lists: Vec<CertificateRevocationListDer<'static>>,
    lists_expire: bool,
}

impl TrustParts {
    /// Reads the files that the operators name.
    ///
    /// # Errors
    ///
    /// If a file can't be read, is not PEM, or holds nothing of its kind.
    pub fn read(files: &TrustFiles) -> Result<TrustParts, TlsError> {
        Ok(TrustParts {
            roots: read_pem(&files.roots, "certificate")?,
            lists: read_pem(&files.lists, "revocation list")?,
            lists_expire: files.lists_expire,
        })
    }

    /// The verifier of clients' certificates; `None`: no roots are named. `required`: a client without a certificate fails
    /// its handshake.
    ///
    /// # Errors
    ///
    /// If a root or a list can't be used.
    pub fn trust(&self, required: bool) -> Result<Option<Trust>, TlsError> {
        if self.roots.is_empty() {
            return Ok(None);
        }
        let lists = self.lists.clone();
        let trust = Trust::new(&self.roots, lists, self.lists_expire, required, provider());
        trust.map(Some).map_err(|error| TlsError::Trust(error.into()))
    }
}
