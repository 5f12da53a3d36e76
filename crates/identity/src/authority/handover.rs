//! The state that a process hands over to its successor.

use crate::Millis;
use crate::keyring::KeyringHandover;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The state that a process hands over to its successor, so that the successor accepts nothing that was already
/// refused.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Handover {
    /// The step-tolerant time at the handover, in milliseconds since the Unix epoch; the successor starts no earlier.
    pub(super) floor: Millis,
    /// Keys by issuer.
    pub(super) issuers: BTreeMap<String, KeyringHandover>,
}
