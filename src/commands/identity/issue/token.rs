//! `sagearch identity issue token`: a token.

use super::pair::positive_span;
use super::signing::{SigningAlgorithm, read_signer};
use crate::commands::identity::error::CommandError;
use crate::commands::identity::output::Format;
use clap::Args;
use ring::rand::SystemRandom;
use serde_json::json;
use std::path::PathBuf;

// The arguments of the command. This is no documentation comment, as that would show in its help.
#[derive(Args)]
pub struct Token {
    #[arg(long, value_name = "FILE")]
    key: PathBuf,
    #[arg(long, value_enum, default_value = "eddsa")]
    algorithm: SigningAlgorithm,
    #[arg(long)]
    kid: Option<String>,
    #[arg(long)]
    issuer: String,
    #[arg(long)]
    audience: String,
    #[arg(long)]
    subject: String,
    /// Further claims, as `tenant=payments`
    #[arg(long, value_name = "NAME=VALUE")]
    claim: Vec<String>,
    /// How long it is good
    #[arg(long, default_value = "1h")]
    life: jiff::SignedDuration,
    #[arg(long)]
    json: bool,
}

impl Token {
    /// Issues the token.
    pub(super) fn run(&self) -> Result<(), CommandError> {
        let now = sagearch_clock::unix_millis() / 1_000;
        let until = now + positive_span(self.life)?.as_secs();
        let Token { issuer, audience, subject, .. } = self;
        let mut claims = json!({"iss": issuer, "aud": audience, "sub": subject, "iat": now, "exp": until});
        for pair in &self.claim {
            let (name, value) = pair.split_once('=').ok_or(CommandError::Claim)?;
            claims[name] = json!(value);
        }
        let signer = read_signer(&self.key, self.algorithm, self.kid.as_deref())?;
        let token = signer.token(&claims, &SystemRandom::new())?;
        Format::new(self.json).print(&json!({"token": token, "exp": until}), &token);
        Ok(())
    }
}
