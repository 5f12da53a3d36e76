//! `sagearch identity issue jwks`: a JWKS file of public keys.

use super::signing::{SigningAlgorithm, read_signer};
use crate::commands::identity::error::CommandError;
use crate::commands::identity::files::{read_bytes, replace};
use crate::commands::identity::output::Format;
use clap::Args;
use sagearch_identity::jwks::KeySet;
use serde_json::{Map, Value, json};
use std::path::{Path, PathBuf};

/// A key of a set, with all its members.
type Jwk = Map<String, Value>;

// The arguments of the command. This is no documentation comment, as that would show in its help.
#[derive(Args)]
pub struct Jwks {
    /// The key file
    #[arg(long, value_name = "FILE")]
    key: Option<PathBuf>,
    #[arg(long, value_enum, default_value = "eddsa")]
    algorithm: SigningAlgorithm,
    /// Its name; its thumbprint without
    #[arg(long)]
    kid: Option<String>,
    /// From when it signs; before, it is announced
    #[arg(long, value_name = "MOMENT")]
    from: Option<jiff::Timestamp>,
    /// Until when it is accepted
    #[arg(long, value_name = "MOMENT")]
    until: Option<jiff::Timestamp>,
    /// A kid that is published no more
    #[arg(long, value_name = "KID")]
    retire: Vec<String>,
    /// A kid that is revoked
    #[arg(long, value_name = "KID")]
    revoke: Vec<String>,
    #[arg(long, value_name = "FILE")]
    out: PathBuf,
    #[arg(long)]
    json: bool,
}

impl Jwks {
    /// Changes the key set.
    pub(super) fn run(&self) -> Result<(), CommandError> {
        let mut set = read_keys(&self.out)?;
        set.retain(|jwk| !has_kid(jwk, &self.retire));
        for jwk in set.iter_mut().filter(|jwk| has_kid(jwk, &self.revoke)) {
            jwk.insert("revoked".into(), json!({"revoked_at": sagearch_clock::unix_millis() / 1_000}));
        }
        if let Some(path) = &self.key {
            self.publish(path, &mut set)?;
        }
        let text = serde_json::to_string_pretty(&json!({"keys": set}))?;
        KeySet::parse(text.as_bytes())?;
        replace(&self.out, &text)?;
        let kids: Vec<Value> = set.iter().filter_map(|jwk| jwk.get("kid").cloned()).collect();
        let text = format!("{}: {} keys", self.out.display(), kids.len());
        Format::new(self.json).print(&json!({"keys": kids}), &text);
        Ok(())
    }

    /// Adds a key file's public half, or replaces the key of the same name.
    fn publish(&self, path: &Path, set: &mut Vec<Jwk>) -> Result<(), CommandError> {
        let signer = read_signer(path, self.algorithm, self.kid.as_deref())?;
        let mut jwk = signer.jwk();
        if let Some(from) = self.from {
            jwk.insert("nbf".into(), json!(from.as_second()));
        }
        if let Some(until) = self.until {
            jwk.insert("exp".into(), json!(until.as_second()));
        }
        set.retain(|held| !has_kid(held, std::slice::from_ref(&signer.kid)));
        set.push(jwk);
        Ok(())
    }
}

/// The keys of a file, with all their members; none if there is no file.
fn read_keys(path: &Path) -> Result<Vec<Jwk>, CommandError> {
    if !path.exists() {
        return Ok(Vec::new());
    }
    let bytes = read_bytes(path)?;
    KeySet::parse(&bytes).map_err(CommandError::invalid_file(path))?;
    let set: Value = serde_json::from_slice(&bytes)?;
    let keys = set["keys"].as_array().cloned().unwrap_or_default();
    Ok(keys.into_iter().filter_map(|key| key.as_object().cloned()).collect())
}

/// Whether a key has one of these names.
fn has_kid(jwk: &Jwk, kids: &[String]) -> bool {
    let kid = jwk.get("kid").and_then(Value::as_str);
    kid.is_some_and(|kid| kids.iter().any(|named| named == kid))
}
