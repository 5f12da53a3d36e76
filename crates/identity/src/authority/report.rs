//! The report on caller identification, for metrics and operators.

use crate::Millis;
use crate::keyring::KeyInfo;
use serde::{Deserialize, Serialize};

/// The state of caller identification, for metrics and operators.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// The number of policies that have been applied.
    pub version: u64,
    /// The number of tenants.
    pub tenants: usize,
    /// The number of verified tokens in the cache.
    pub tokens_cached: usize,
    /// The number of verified certificate chains in the cache.
    pub chains_cached: usize,
    /// The number of steps of the Unix clock that were detected.
    pub clock_steps: u64,
    /// The state of each issuer in the settings.
    pub issuers: Vec<IssuerReport>,
}

/// The state of an issuer.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct IssuerReport {
    /// The issuer's name.
    pub name: String,
    /// The age of its last installed key set in milliseconds; `None` if none was installed.
    pub heard_ms_ago: Option<Millis>,
    /// The number of requests for its key set.
    pub lookups: u64,
    /// The number of tokens with unknown keys that caused no additional request for the key set.
    pub lookups_spared: u64,
    /// The state of its keys.
    pub keys: Vec<KeyInfo>,
}
