//! Decodes and checks the configuration file, and fills in defaults.

use super::{Config, ConfigError, InvalidValue, Shape};
use crate::events::Batch;
use crate::settings;
use sagearch_operators::Operators;
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// Descriptors of the process where the configuration sets no limit, and the fewest that the gateway can work with.
const DEFAULT_SOCKETS: usize = 1_024;
const MIN_SOCKETS: usize = 64;
/// The same for memory, in megabytes. A gateway at rest takes less than 8; the rest is for open requests.
const DEFAULT_MEMORY_MB: usize = 192;
const MIN_MEMORY_MB: usize = 24;

/// The configuration file.
#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    seed: Option<Value>,
    #[serde(default)]
    limits: Limits,
    admin: Option<String>,
    bus: Option<String>,
    peer_listen: Option<String>,
    known: Option<Value>,
    settings: Option<Value>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Limits {
    memory_mb: Option<usize>,
    sockets: Option<usize>,
}

/// Decodes the configuration. `name` and `listen` take precedence over the file's values where they are given.
///
/// # Errors
///
/// [`ConfigError`] at the first key that is missing or has a value that can't be used.
pub fn decode(text: &str, name: Option<String>, listen: Option<String>) -> Result<Config, ConfigError> {
    let mut document: Value = serde_json::from_str(text).map_err(at("NODE_CONFIG"))?;
    let file = File::deserialize(&document).map_err(at("NODE_CONFIG"))?;
    // Events come and go.
    if let Some(keys) = document.as_object_mut() {
        keys.remove("known");
    }
    let listen_key = if listen.is_some() { "NODE_LISTEN" } else { "listen" };
    let settings_object = file.settings.ok_or_else(missing("settings"))?;
    let deployment = settings::decode(settings_object).map_err(at("settings"))?;
    Ok(Config {
        name: name.or(file.name).ok_or_else(missing("name"))?,
        listen: address(listen_key, listen.or(file.listen).as_deref())?,
        seed: seed(file.seed.as_ref())?,
        memory_mb: limit("limits.memory_mb", file.limits.memory_mb, DEFAULT_MEMORY_MB, MIN_MEMORY_MB)?,
        sockets: limit("limits.sockets", file.limits.sockets, DEFAULT_SOCKETS, MIN_SOCKETS)?,
        admin: file.admin.as_deref().map(|text| address("admin", Some(text))).transpose()?,
        socket: None,
        lasting: None,
        bus: address("bus", file.bus.as_deref())?,
        // Only used where operators have it: a slip in it must not stop a start.
        peer_listen: file.peer_listen.and_then(|text| text.parse().ok()),
        known: known_events(file.known)?,
        settings: deployment.settings,
        names: deployment.names,
        shape: Shape(document),
        operators: Ok(Operators::default()),
    })
}

/// Maps a cause to an error at this key.
fn at<E: Into<InvalidValue>>(key: &str) -> impl Fn(E) -> ConfigError {
    move |cause| ConfigError::new(key, cause)
}

fn missing(key: &str) -> impl Fn() -> ConfigError {
    move || ConfigError::new(key, InvalidValue::Missing)
}

/// Parses the address at a key.
pub(super) fn address(key: &str, text: Option<&str>) -> Result<SocketAddr, ConfigError> {
    let text = text.ok_or_else(missing(key))?;
    text.parse().map_err(|_| ConfigError::new(key, InvalidValue::NoAddress(text.into())))
}

/// The seed: a number, or a string of hexadecimal digits.
fn seed(value: Option<&Value>) -> Result<u64, ConfigError> {
    let invalid = |cause| ConfigError::new("seed", cause);
    match value {
        None => Err(invalid(InvalidValue::Missing)),
        Some(Value::String(text)) => u64::from_str_radix(text.trim_start_matches("0x"), 16)
            .map_err(|_| invalid(InvalidValue::NoHexNumber(text.clone()))),
        Some(other) => other.as_u64().ok_or_else(|| invalid(InvalidValue::NoNumber)),
    }
}

/// A limit at a key, with its default and its least value.
fn limit(key: &str, stated: Option<usize>, default: usize, minimum: usize) -> Result<usize, ConfigError> {
    let value = stated.unwrap_or(default);
    if value < minimum {
        return Err(ConfigError::new(key, InvalidValue::BelowMinimum { value, minimum }));
    }
    Ok(value)
}

/// The event bus's events of the start.
fn known_events(known: Option<Value>) -> Result<Batch, ConfigError> {
    known.map_or_else(|| Ok(Batch::default()), |known| serde_json::from_value(known).map_err(at("known")))
}
