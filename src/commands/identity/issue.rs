//! `sagearch identity issue`: keys, tokens and certificates, for tests and small installations.

mod authority;
mod certificate;
mod jwks;
mod key;
mod pair;
mod revocation_list;
mod signing;
mod token;

use super::error::CommandError;
use clap::Subcommand;

/// The subcommands.
#[derive(Subcommand)]
pub enum Issue {
    /// A private key for signing tokens, as PEM (PKCS #8)
    Key(key::Key),
    /// Publish a key in a JWKS file, beside those that are in it; `--retire` and `--revoke` change those
    Jwks(jwks::Jwks),
    /// A token, on standard output
    Token(token::Token),
    /// A certificate authority: PREFIX.pem and PREFIX.key
    Authority(authority::Authority),
    /// A certificate by such an authority: PREFIX.pem and PREFIX.key
    Certificate(certificate::Certificate),
    /// A list of certificates that such an authority has revoked
    RevocationList(revocation_list::RevocationList),
}

impl Issue {
    /// Issues what the subcommand names.
    pub(super) fn run(&self) -> Result<(), CommandError> {
        match self {
            Issue::Key(key) => key.run(),
            Issue::Jwks(jwks) => jwks.run(),
            Issue::Token(token) => token.run(),
            Issue::Authority(authority) => authority.run(),
            Issue::Certificate(certificate) => certificate.run(),
            Issue::RevocationList(list) => list.run(),
        }
    }
}
