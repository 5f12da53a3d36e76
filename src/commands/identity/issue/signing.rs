//! Keys that sign tokens.

use crate::commands::identity::error::{CommandError, FileProblem};
use crate::commands::identity::files::read_bytes;
use clap::ValueEnum;
use ring::rand::SystemRandom;
use rustls::pki_types::PrivatePkcs8KeyDer;
use rustls::pki_types::pem::PemObject;
use sagearch_identity::issue::Signer;
use sagearch_identity::jwks::Algorithm;
use std::path::Path;

// The values of `--algorithm`. These are no documentation comments, as those would show in the help.
#[derive(Clone, Copy, ValueEnum)]
pub enum SigningAlgorithm {
    Eddsa,
    Es256,
    Rs256,
}

impl From<SigningAlgorithm> for Algorithm {
    fn from(algorithm: SigningAlgorithm) -> Algorithm {
        match algorithm {
            SigningAlgorithm::Eddsa => Algorithm::EdDsa,
            SigningAlgorithm::Es256 => Algorithm::Es256,
            SigningAlgorithm::Rs256 => Algorithm::Rs256,
        }
    }
}

/// Reads a key file. Without a `kid` the key's name is its thumbprint.
pub(super) fn read_signer(
    path: &Path,
    algorithm: SigningAlgorithm,
    kid: Option<&str>,
) -> Result<Signer, CommandError> {
    let bytes = read_bytes(path)?;
    let key = PrivatePkcs8KeyDer::from_pem_slice(&bytes)
        .map_err(|_| CommandError::wrong_file(path, FileProblem::NoPrivateKey))?;
    let kid = kid.map(str::to_string);
    Signer::read(kid, algorithm.into(), key.secret_pkcs8_der(), &SystemRandom::new())
        .map_err(CommandError::invalid_file(path))
}
