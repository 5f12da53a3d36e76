//! The one place where the gateway's configuration is read, checked and given its defaults.
//!
//! The platform gives `NODE_CONFIG`, a JSON file; `NODE_NAME` and `NODE_LISTEN`, where set, go before the
//! file's values. What the platform does not know stands in the operators' file ([`sagearch_operators`]). Every message
//! names the key at fault, or the place.

use crate::events::Batch;
use crate::files;
use crate::interface::Settings;
use crate::settings::{Names, settings};
use sagearch_operators::Operators;
use serde::Deserialize;
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Descriptors assumed where the configuration sets no limit, and the fewest that the gateway can work with.
const SOCKETS: usize = 1_024;
const SOCKETS_LEAST: usize = 64;
/// The same for memory. A gateway at rest takes under 8 MB; the rest is for requests that are open.
const MEMORY_MB: usize = 192;
const MEMORY_MB_LEAST: usize = 24;

/// What is wrong, and with which key.
#[derive(Debug, PartialEq, Eq)]
pub struct ConfigError {
    pub key: String,
    pub cause: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.cause)
    }
}

impl std::error::Error for ConfigError {}

fn fault(key: &str, cause: impl fmt::Display) -> ConfigError {
    ConfigError { key: key.into(), cause: cause.to_string() }
}

/// All that a gateway is told at its start.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub seed: u64,
    pub memory_mb: usize,
    pub sockets: usize,
    /// Where operators call, if anywhere.
    pub admin: Option<SocketAddr>,
    /// The descriptor at which the clients' listening socket is inherited, where the platform holds it.
    pub socket: Option<i32>,
    /// The folder of what outlives this process: `$TMPDIR`, where that is set.
    pub lasting: Option<PathBuf>,
    pub bus: SocketAddr,
    /// Where datagrams of other gateways come in.
    pub peer_listen: Option<SocketAddr>,
    /// The bus's events of the start.
    pub known: Batch,
    pub settings: Settings,
    pub names: Names,
    pub shape: Shape,
    /// What operators add. One that can't be used holds its cause: such a gateway starts and serves nobody, as it
    /// could not tell whom it may serve.
    pub operators: Result<Operators, String>,
}

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

fn address(key: &str, text: Option<&str>) -> Result<SocketAddr, ConfigError> {
    let text = text.ok_or_else(|| fault(key, "is missing"))?;
    text.parse().map_err(|_| fault(key, format!("{text:?} is not an address like 127.0.0.1:5050")))
}

fn seed(value: Option<&Value>) -> Result<u64, ConfigError> {
    match value {
        None => Err(fault("seed", "is missing")),
        Some(Value::String(text)) => u64::from_str_radix(text.trim_start_matches("0x"), 16)
            .map_err(|_| fault("seed", format!("{text:?} is not 16 hex digits"))),
        Some(other) => other.as_u64().ok_or_else(|| fault("seed", "is no whole number from 0")),
    }
}

fn at_least(key: &str, value: usize, least: usize) -> Result<usize, ConfigError> {
    if value < least { Err(fault(key, format!("{value} is under {least}"))) } else { Ok(value) }
}

/// Which keys a configuration holds. Many have defaults, so that a file may leave them out; but one that
/// replaces another is whole only if it holds all that the other did.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shape(Value);

impl Shape {
    /// Names the first key that the other lacks.
    pub fn held_by(&self, other: &Shape) -> Result<(), ConfigError> {
        match lacking(&self.0, &other.0) {
            Some(key) => Err(fault(&key, "is missing, and the configuration in force has it")),
            None => Ok(()),
        }
    }
}

/// The path of the first key that stands in `old` and not in `new`. Entries of a list come and go: each new one
/// is held against the keys that all old ones share.
fn lacking(old: &Value, new: &Value) -> Option<String> {
    let under = |key: &str, path: String| if path.is_empty() { key.into() } else { format!("{key}.{path}") };
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => old.iter().find_map(|(key, value)| match new.get(key) {
            Some(held) => lacking(value, held).map(|path| under(key, path)),
            None => Some(key.clone()),
        }),
        (Value::Array(old), Value::Array(new)) => {
            let first = old.first().and_then(Value::as_object)?;
            let shared = |key: &&String| old.iter().all(|entry| entry.get(key.as_str()).is_some());
            let keys: Vec<&String> = first.keys().filter(shared).collect();
            let lacks = |entry: &Value| keys.iter().find(|key| entry.get(key.as_str()).is_none());
            new.iter().find_map(lacks).map(|key| key.to_string())
        }
        // Something else stands where keys or entries stood.
        (Value::Object(_) | Value::Array(_), _) => Some(String::new()),
        (old, Value::Null) if !old.is_null() => Some(String::new()),
        _ => None,
    }
}

/// Decodes the configuration. `name` and `listen` go before the file's where they are given.
pub fn decode(text: &str, name: Option<String>, listen: Option<String>) -> Result<Config, ConfigError> {
    let mut whole: Value = serde_json::from_str(text).map_err(|e| fault("NODE_CONFIG", e))?;
    let file: File = File::deserialize(&whole).map_err(|e| fault("NODE_CONFIG", e))?;
    // Events come and go.
    whole.as_object_mut().into_iter().for_each(|keys| drop(keys.remove("known")));
    let listen_key = if listen.is_some() { "NODE_LISTEN" } else { "listen" };
    let known = file.known.unwrap_or_else(|| serde_json::json!({"offset": 0, "batch": []}));
    let (settings, names) = settings(file.settings.ok_or_else(|| fault("settings", "is missing"))?)
        .map_err(|e| fault("settings", e))?;
    // Nobody hears there unless operators have it: a slip in it must not stop a start.
    let peer_listen = file.peer_listen.and_then(|at| at.parse().ok());
    Ok(Config {
        name: name.or(file.name).ok_or_else(|| fault("name", "is missing"))?,
        listen: address(listen_key, listen.or(file.listen).as_deref())?,
        seed: seed(file.seed.as_ref())?,
        memory_mb: at_least("limits.memory_mb", file.limits.memory_mb.unwrap_or(MEMORY_MB), MEMORY_MB_LEAST)?,
        sockets: at_least("limits.sockets", file.limits.sockets.unwrap_or(SOCKETS), SOCKETS_LEAST)?,
        admin: file.admin.as_deref().map(|at| address("admin", Some(at))).transpose()?,
        socket: None,
        lasting: None,
        bus: address("bus", file.bus.as_deref())?,
        peer_listen,
        known: serde_json::from_value(known).map_err(|e| fault("known", e))?,
        settings,
        names,
        shape: Shape(whole),
        operators: Ok(Operators::default()),
    })
}

/// The descriptors that the system lets the process have of those that the configuration states. Only these can be shared
/// out: beyond them nothing could be opened at all, the event bus included.
fn granted(stated: usize) -> usize {
    match rlimit::increase_nofile_limit(stated as u64) {
        Ok(limit) if limit < stated as u64 => {
            log::warn!("limits.sockets: {stated}, but the system grants {limit} descriptors: going by these");
            limit as usize
        }
        Ok(_) => stated,
        Err(e) => {
            log::warn!("descriptors: {e}; going by limits.sockets, {stated}");
            stated
        }
    }
}

/// Reads the environment and the files that it names.
pub fn read(config: Option<&Path>, operators: &Path) -> Result<Config, ConfigError> {
    let var = |key| std::env::var(key).ok().filter(|value| !value.is_empty());
    let path = config.map(Path::to_path_buf).or(var("NODE_CONFIG").map(Into::into));
    let path = path.ok_or_else(|| fault("NODE_CONFIG", "is not set"))?;
    let text = std::fs::read_to_string(&path)
        .map_err(|e| fault("NODE_CONFIG", format!("{}: {e}", path.display())))?;
    let mut config = decode(&text, var("NODE_NAME"), var("NODE_LISTEN"))?;
    if let Some(at) = var("NODE_ADMIN") {
        config.admin = Some(address("NODE_ADMIN", Some(&at))?);
    }
    if let Some(text) = var("NODE_SOCKET_FD") {
        let bad = || fault("NODE_SOCKET_FD", format!("{text:?} is no descriptor from 3"));
        config.socket = Some(text.parse().ok().filter(|fd| *fd >= 3).ok_or_else(bad)?);
    }
    config.sockets = granted(config.sockets);
    config.lasting = var("TMPDIR").map(Into::into);
    config.operators = files::operators(operators, &config.names).map_err(|faults| faults.to_string());
    Ok(config)
}
