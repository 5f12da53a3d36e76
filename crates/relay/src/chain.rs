//! The chain of relays from an answering relay to the event bus, as sent in the `Feed-Via` header.
//!
//! A relay prepends its own name to the chain of its upstream. A relay that finds its own name in an answer's chain has
//! detected a loop of relays; such an answer is no proof of freshness.

use std::fmt;
use thiserror::Error;

/// The name of the header with the chain: relay names separated by commas, the answering relay first.
pub const FEED_VIA: &str = "feed-via";
/// The maximum number of relays in an accepted chain.
pub const MAX_CHAIN_LENGTH: usize = 16;

/// Names of relays, from the answering relay to the one nearest to the event bus.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Chain {
    relays: Vec<String>,
}

/// An error in the relay chain of an answer.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ChainError {
    /// The relay itself is part of the chain.
    #[error("the relays form a loop: {0}")]
    Loop(Chain),
    /// With this relay, the chain has more than [`MAX_CHAIN_LENGTH`] relays.
    #[error("the chain to the event bus has more than {MAX_CHAIN_LENGTH} relays")]
    TooLong,
}

impl Chain {
    /// The chain of a single relay, which polls the event bus or has no upstream yet.
    pub fn single(name: &str) -> Chain {
        Chain { relays: vec![name.to_string()] }
    }

    /// Parses the value of the header. The event bus itself sends no such header.
    pub fn parse(header: Option<&str>) -> Chain {
        let names = header.unwrap_or_default().split(',').map(str::trim).filter(|name| !name.is_empty());
        Chain { relays: names.map(str::to_string).collect() }
    }

    /// The chain of a relay whose upstream answered with this chain.
    ///
    /// # Errors
    /// [`ChainError`] if the relay is part of the chain already, or if the chain is too long.
    pub fn prepended_with(&self, name: &str) -> Result<Chain, ChainError> {
        if self.relays.iter().any(|relay| relay == name) {
            return Err(ChainError::Loop(self.clone()));
        }
        if self.relays.len() >= MAX_CHAIN_LENGTH {
            return Err(ChainError::TooLong);
        }
        let relays = std::iter::once(name.to_string()).chain(self.relays.iter().cloned()).collect();
        Ok(Chain { relays })
    }

    /// The relays' names, the answering relay first.
    pub fn relays(&self) -> &[String] {
        &self.relays
    }
}

impl fmt::Display for Chain {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.relays.join(","))
    }
}
