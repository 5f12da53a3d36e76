//! `sagearch identity issue revocation-list`: a list of revoked certificates.

use super::pair::{read_authority, validity};
use crate::commands::identity::error::CommandError;
use crate::commands::identity::files::replace;
use crate::commands::identity::output::Format;
use clap::Args;
use serde_json::json;
use std::path::PathBuf;

// The arguments of the command. This is no documentation comment, as that would show in its help.
#[derive(Args)]
pub struct RevocationList {
    #[arg(long, value_name = "PREFIX")]
    authority: PathBuf,
    /// Serial numbers in hex
    #[arg(long)]
    serial: Vec<String>,
    #[arg(long, default_value = "168h")]
    life: jiff::SignedDuration,
    #[arg(long, value_name = "FILE")]
    out: PathBuf,
    #[arg(long)]
    json: bool,
}

impl RevocationList {
    /// Issues the list.
    pub(super) fn run(&self) -> Result<(), CommandError> {
        let authority = read_authority(&self.authority)?;
        let list = authority.revocation_list(&self.serial, validity(self.life)?)?;
        replace(&self.out, &list)?;
        let text = format!("{}: {} certificates", self.out.display(), self.serial.len());
        Format::new(self.json).print(&json!({"revoked": self.serial}), &text);
        Ok(())
    }
}
