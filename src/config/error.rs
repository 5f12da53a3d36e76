//! Why a configuration can't be used.

use crate::settings::SettingsError;
use sagearch_operators::Diagnostics;
use std::error::Error;
use std::io;
use std::path::PathBuf;

/// Why a configuration can't be used: a key or an environment variable, and what is wrong with its value.
#[derive(Debug, thiserror::Error)]
#[error("{key}: {cause}")]
pub struct ConfigError {
    /// The path of the key, such as `limits.sockets`, or the name of the environment variable.
    pub key: String,
    /// What is wrong with its value.
    #[source]
    pub cause: InvalidValue,
}

impl ConfigError {
    /// An error at a key or an environment variable.
    pub fn new(key: impl Into<String>, cause: impl Into<InvalidValue>) -> ConfigError {
        ConfigError { key: key.into(), cause: cause.into() }
    }

    /// The operators' file was read and can't be brought into force.
    pub fn operators_rejected(cause: impl Error + Send + Sync + 'static) -> ConfigError {
        ConfigError::new("operators", InvalidValue::Rejected(Box::new(cause)))
    }
}

/// What is wrong with the value of a key.
#[derive(Debug, thiserror::Error)]
pub enum InvalidValue {
    /// A key that is required is missing.
    #[error("is missing")]
    Missing,
    /// A key of the configuration in force is missing in the one that is to replace it.
    #[error("is missing, and the configuration in force has it")]
    Removed,
    /// An environment variable that is required is not set.
    #[error("is not set")]
    NotSet,
    /// Not the address of a socket.
    #[error("{0:?} is not an address like 127.0.0.1:5050")]
    NoAddress(String),
    /// Not a seed in hexadecimal digits.
    #[error("{0:?} is not 16 hex digits")]
    NoHexNumber(String),
    /// Not a natural number.
    #[error("is no whole number from 0")]
    NoNumber,
    /// Below the least value with which a gateway can work.
    #[error("{value} is under {minimum}")]
    BelowMinimum {
        /// The stated value.
        value: usize,
        /// The least value.
        minimum: usize,
    },
    /// Not the number of an inherited descriptor.
    #[error("{0:?} is no descriptor from 3")]
    NoDescriptor(String),
    /// Not JSON, or a value of another type. The message names the line and column where they are known.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// The settings can't be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A file that can't be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// Why it can't be read.
        source: io::Error,
    },
    /// The operators' file has faults. The message names file, line and column of each.
    #[error(transparent)]
    Operators(#[from] Diagnostics),
    /// The value is valid and can't be brought into force.
    #[error(transparent)]
    Rejected(Box<dyn Error + Send + Sync>),
}
