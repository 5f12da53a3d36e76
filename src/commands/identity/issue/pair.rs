//! Certificates and their keys as pairs of files, and for how long they are valid.

use crate::commands::identity::error::CommandError;
use crate::commands::identity::files::{Readers, with_ending, write};
use crate::commands::identity::output::Format;
use crate::issue::{CertificateAndKey, Validity};
use rustls::pki_types::CertificateDer;
use rustls::pki_types::pem::PemObject;
use sagearch_identity::Presented;
use serde_json::json;
use std::fs;
use std::path::Path;
use std::time::Duration;

const CERTIFICATE_ENDING: &str = ".pem";
const KEY_ENDING: &str = ".key";

/// The argument of `--life`.
pub(super) fn positive_span(life: jiff::SignedDuration) -> Result<Duration, CommandError> {
    Duration::try_from(life).map_err(CommandError::NegativeLife)
}

/// The validity from now on for the argument of `--life`.
pub(super) fn validity(life: jiff::SignedDuration) -> Result<Validity, CommandError> {
    Ok(Validity::for_next(positive_span(life)?))
}

/// Reads an authority's certificate and key.
pub(super) fn read_authority(prefix: &Path) -> Result<CertificateAndKey, CommandError> {
    let read = |ending| {
        let path = with_ending(prefix, ending);
        fs::read_to_string(&path).map_err(CommandError::file(&path))
    };
    Ok(CertificateAndKey { certificate: read(CERTIFICATE_ENDING)?, key: read(KEY_ENDING)? })
}

/// Writes a certificate and its key, and prints the serial number.
pub(super) fn write_pair(
    prefix: &Path,
    pair: &CertificateAndKey,
    format: Format,
) -> Result<(), CommandError> {
    write(&with_ending(prefix, KEY_ENDING), &pair.key, Readers::Owner)?;
    write(&with_ending(prefix, CERTIFICATE_ENDING), &pair.certificate, Readers::All)?;
    let der = CertificateDer::from_pem_slice(pair.certificate.as_bytes());
    let der = der.map_err(|error| CommandError::NewCertificate(error.into()))?;
    let certificate = Presented::read(&[der]).map_err(|error| CommandError::NewCertificate(error.into()))?;
    let (name, serial) = (prefix.display().to_string(), certificate.serial);
    let text = format!("{name}{CERTIFICATE_ENDING}, {name}{KEY_ENDING}: serial {serial}");
    format.print(&json!({"prefix": name, "serial": serial}), &text);
    Ok(())
}
