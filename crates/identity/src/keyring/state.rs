//! The states of a key and their description for reports.

use crate::Millis;
use serde::{Deserialize, Serialize};

/// The state of a key. The table in [`crate::keyring`] describes the states and their transitions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum KeyState {
    /// The key is published with a start in the future.
    Announced,
    /// Tokens that the key signed are accepted.
    Active,
    /// Tokens that the key signed are accepted until a known time.
    Retiring,
    /// The end of the key's acceptance is reached.
    Retired,
    /// The issuer or the operators have revoked the key.
    Revoked,
}

impl KeyState {
    /// All states.
    pub const ALL: [KeyState; 5] =
        [KeyState::Announced, KeyState::Active, KeyState::Retiring, KeyState::Retired, KeyState::Revoked];

    /// The state's name, as metrics and commands show it.
    pub fn name(self) -> &'static str {
        match self {
            KeyState::Announced => "announced",
            KeyState::Active => "active",
            KeyState::Retiring => "retiring",
            KeyState::Retired => "retired",
            KeyState::Revoked => "revoked",
        }
    }
}

/// A key and its state, for metrics and operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KeyInfo {
    /// The issuer that published the key.
    pub issuer: String,
    /// The key id.
    pub kid: String,
    /// The name of the key's algorithm, as in `alg`.
    pub algorithm: String,
    /// The key's thumbprint (RFC 7638) in hex.
    pub thumbprint: String,
    /// The key's current state.
    pub state: KeyState,
    /// The time at which the key was first seen in a key set, in milliseconds since the Unix epoch.
    pub seen: Millis,
    /// The start of the active state, in milliseconds since the Unix epoch; `None` if the key is active since it was
    /// published.
    pub from: Option<Millis>,
    /// The end of the key's acceptance, in milliseconds since the Unix epoch; `None` if no end is known.
    pub until: Option<Millis>,
}
