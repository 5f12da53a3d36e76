//! What is wrong with one purge at one gateway.

use serde::Serialize;

/// The rule that a purge breaks at a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Applied, but after the bound.
    Late,
    /// Not applied for as long as the gateway ran.
    Missing,
    /// Reported as applied before it was issued.
    Early,
}

/// A broken rule, with the purge and the gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// The broken rule.
    pub rule: Rule,
    /// The gateway's number in the fleet.
    pub gateway: usize,
    /// The purge's offset.
    pub offset: u64,
    /// How long after the purge was issued, in microseconds. For [`Rule::Missing`] how long the gateway ran without it, for
    /// [`Rule::Early`] how long before.
    pub after_us: u64,
}
