//! `sagearch identity issue authority`: a certificate authority.

use super::pair::{validity, write_pair};
use crate::commands::identity::error::CommandError;
use crate::commands::identity::output::Format;
use crate::issue::create_authority;
use clap::Args;
use std::path::PathBuf;

// The arguments of the command. This is no documentation comment, as that would show in its help.
#[derive(Args)]
pub struct Authority {
    #[arg(long)]
    name: String,
    #[arg(long, default_value = "8760h")]
    life: jiff::SignedDuration,
    #[arg(long, value_name = "PREFIX")]
    out: PathBuf,
    #[arg(long)]
    json: bool,
}

impl Authority {
    /// Issues the authority.
    pub(super) fn run(&self) -> Result<(), CommandError> {
        let authority = create_authority(&self.name, validity(self.life)?)?;
        write_pair(&self.out, &authority, Format::new(self.json))
    }
}
