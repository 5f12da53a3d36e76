//! `sagearch identity issue key`: a private key for signing tokens, as PEM (PKCS #8).

use super::signing::{SigningAlgorithm, read_signer};
use crate::commands::identity::error::CommandError;
use crate::commands::identity::files::{Readers, pem, write};
use crate::commands::identity::output::Format;
use clap::Args;
use ring::rand::SystemRandom;
use sagearch_identity::issue::generate;
use serde_json::json;
use std::path::PathBuf;

// The arguments of the command. This is no documentation comment, as that would show in its help.
#[derive(Args)]
pub struct Key {
    #[arg(long, value_enum, default_value = "eddsa")]
    algorithm: SigningAlgorithm,
    #[arg(long, value_name = "FILE")]
    out: PathBuf,
    #[arg(long)]
    json: bool,
}

impl Key {
    /// Issues the key.
    pub(super) fn run(&self) -> Result<(), CommandError> {
        let key = generate(self.algorithm.into(), &SystemRandom::new())?;
        write(&self.out, &pem("PRIVATE KEY", &key), Readers::Owner)?;
        let kid = read_signer(&self.out, self.algorithm, None)?.kid;
        let name = self.out.display().to_string();
        let json = json!({"key": name, "thumbprint": kid});
        Format::new(self.json).print(&json, &format!("{name}: thumbprint {kid}"));
        Ok(())
    }
}
