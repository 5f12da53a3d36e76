//! `sagearch identity issue certificate`: a certificate by an authority.

use super::pair::{read_authority, validity, write_pair};
use crate::commands::identity::error::CommandError;
use crate::commands::identity::output::Format;
use crate::issue::CertificateRequest;
use clap::Args;
use std::path::PathBuf;

// The arguments of the command. This is no documentation comment, as that would show in its help.
#[derive(Args)]
pub struct Certificate {
    /// The authority's PREFIX
    #[arg(long, value_name = "PREFIX")]
    authority: PathBuf,
    #[arg(long)]
    uri: Vec<String>,
    /// DNS names and addresses
    #[arg(long)]
    dns: Vec<String>,
    /// For a server, not a client
    #[arg(long)]
    server: bool,
    #[arg(long, default_value = "720h")]
    life: jiff::SignedDuration,
    #[arg(long, value_name = "PREFIX")]
    out: PathBuf,
    #[arg(long)]
    json: bool,
}

impl Certificate {
    /// Issues the certificate.
    pub(super) fn run(&self) -> Result<(), CommandError> {
        let request = CertificateRequest {
            uris: self.uri.clone(),
            names: self.dns.clone(),
            server: self.server,
            serial: None,
        };
        let authority = read_authority(&self.authority)?;
        let issued = authority.issue_certificate(&request, validity(self.life)?)?;
        write_pair(&self.out, &issued, Format::new(self.json))
    }
}
