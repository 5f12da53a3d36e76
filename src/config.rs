//! The one place where the gateway's configuration is read, checked and given its defaults.
//!
//! The platform gives `NODE_CONFIG`, a JSON file; `NODE_NAME` and `NODE_LISTEN`, where set, go before the
//! file's values. The name front is on only where a file (`deploy/dns.json`, or what `--dns` names) gives
//! its listen address, and instances agree on its routes only where another (`deploy/raft.json`, or what
//! `--raft` names) says so. Every message names the key at fault.

use crate::interface::Settings;
use crate::net::bus::Batch;
use crate::settings::{Names, settings};
use serde::Deserialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};

/// Descriptors assumed where the configuration sets no limit, and the fewest that the gateway can work with.
const SOCKETS: usize = 1_024;
const SOCKETS_LEAST: usize = 64;
/// The same for memory. A gateway at rest takes under 8 MB; the rest is for requests that are open.
const MEMORY_MB: usize = 192;
const MEMORY_MB_LEAST: usize = 24;
/// How long a resolver waits, where the file does not say.
const DNS_DEADLINE_MS: u64 = 1_000;

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
    /// The bus's events of the start.
    pub known: Batch,
    pub settings: Settings,
    pub names: Names,
    pub shape: Shape,
    pub dns: Option<Dns>,
    pub raft: Option<Raft>,
}

/// This instance's place in the group that agrees on the name front's routes.
#[derive(Clone, Debug, PartialEq)]
pub struct Raft {
    pub id: u64,
    pub listen: SocketAddr,
    /// The others.
    pub peers: BTreeMap<u64, SocketAddr>,
    /// Where votes and entries are kept; it must outlive restarts.
    pub data: PathBuf,
}

#[derive(Deserialize)]
struct RaftFile {
    id: Option<u64>,
    listen: Option<String>,
    #[serde(default)]
    peers: BTreeMap<u64, String>,
    data: Option<PathBuf>,
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
    known: Option<Value>,
    settings: Option<Value>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Limits {
    memory_mb: Option<usize>,
    sockets: Option<usize>,
}

/// The name front.
#[derive(Clone, Debug, PartialEq)]
pub struct Dns {
    pub listen: SocketAddr,
    /// The suffix under which names are answered, in lower case, without dots at its ends.
    pub domain: String,
    pub routes: Routes,
}

/// What may change while the name front runs: whom it answers, and how long it may take.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Routes {
    pub deadline_ms: u64,
    pub sources: Vec<Source>,
}

/// Resolvers of an address or a network, and where they stand.
#[derive(Clone, Debug, PartialEq)]
pub struct Source {
    pub net: (IpAddr, u8),
    pub zone: String,
    /// These keep answers longer than told: they get the gateway's own address.
    pub ignores_lifetimes: bool,
}

impl Source {
    pub fn holds(&self, from: IpAddr) -> bool {
        let (net, bits) = self.net;
        match (net, from) {
            (IpAddr::V4(net), IpAddr::V4(from)) => {
                let shift = 32 - u32::from(bits.min(32));
                let cut = |ip: u32| ip.checked_shr(shift).unwrap_or(0);
                cut(net.into()) == cut(from.into())
            }
            (IpAddr::V6(net), IpAddr::V6(from)) => {
                let shift = 128 - u32::from(bits.min(128));
                let cut = |ip: u128| ip.checked_shr(shift).unwrap_or(0);
                cut(net.into()) == cut(from.into())
            }
            _ => false,
        }
    }
}

#[derive(Deserialize)]
struct DnsFile {
    listen: Option<String>,
    domain: Option<String>,
    #[serde(flatten)]
    routes: RoutesFile,
}

#[derive(Deserialize)]
struct RoutesFile {
    deadline_ms: Option<u64>,
    #[serde(default)]
    sources: Vec<SourceFile>,
}

#[derive(Deserialize)]
struct SourceFile {
    net: String,
    zone: String,
    #[serde(default)]
    ignores_lifetimes: bool,
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
        known: serde_json::from_value(known).map_err(|e| fault("known", e))?,
        settings,
        names,
        shape: Shape(whole),
        dns: None,
        raft: None,
    })
}

fn network(text: &str) -> Result<(IpAddr, u8), ConfigError> {
    let bad = || fault("dns.sources.net", format!("{text:?} is not a network like 127.0.0.0/8"));
    let (ip, bits) = text.split_once('/').map_or((text, None), |(ip, bits)| (ip, Some(bits)));
    let ip: IpAddr = ip.parse().map_err(|_| bad())?;
    let most = if ip.is_ipv4() { 32 } else { 128 };
    let bits = bits.map_or(Ok(most), str::parse).map_err(|_| bad())?;
    if bits > most { Err(bad()) } else { Ok((ip, bits)) }
}

/// Decodes the name front's file. `None`: it names no listen address, so the front stays off.
pub fn decode_dns(text: &str, names: &Names) -> Result<Option<Dns>, ConfigError> {
    let file: DnsFile = serde_json::from_str(text).map_err(|e| fault("dns", e))?;
    let Some(listen) = file.listen else { return Ok(None) };
    let listen = loopback("dns.listen", Some(&listen))?;
    if !names.connections.probes {
        return Err(fault("dns.listen", "the settings allow no probes, and look-ups check by them"));
    }
    let domain = file.domain.ok_or_else(|| fault("dns.domain", "is missing"))?;
    let domain = domain.trim_matches('.').to_ascii_lowercase();
    if domain.is_empty() {
        return Err(fault("dns.domain", "is empty"));
    }
    Ok(Some(Dns { listen, domain, routes: routes(file.routes, names)? }))
}

fn routes(file: RoutesFile, names: &Names) -> Result<Routes, ConfigError> {
    let mut sources = Vec::new();
    for source in file.sources {
        if !names.zones.contains_key(&source.zone) {
            return Err(fault("dns.sources.zone", format!("{:?} is not in the settings", source.zone)));
        }
        let net = network(&source.net)?;
        sources.push(Source { net, zone: source.zone, ignores_lifetimes: source.ignores_lifetimes });
    }
    let deadline_ms = file.deadline_ms.unwrap_or(DNS_DEADLINE_MS);
    if !(10..=60_000).contains(&deadline_ms) {
        return Err(fault("dns.deadline_ms", format!("{deadline_ms} is not from 10 to 60000")));
    }
    Ok(Routes { deadline_ms, sources })
}

/// Decodes the document that instances agree on: `deadline_ms` and `sources`, as in the name front's file.
pub fn decode_routes(text: &[u8], names: &Names) -> Result<Routes, ConfigError> {
    routes(serde_json::from_slice(text).map_err(|e| fault("dns", e))?, names)
}

fn loopback(key: &str, text: Option<&str>) -> Result<SocketAddr, ConfigError> {
    let at = address(key, text)?;
    if at.ip().is_loopback() { Ok(at) } else { Err(fault(key, format!("{at} is not a loopback address"))) }
}

/// Decodes the group's file. `None`: it names no listen address, so nothing is agreed on.
pub fn decode_raft(text: &str) -> Result<Option<Raft>, ConfigError> {
    let file: RaftFile = serde_json::from_str(text).map_err(|e| fault("raft", e))?;
    let Some(listen) = file.listen else { return Ok(None) };
    let listen = loopback("raft.listen", Some(&listen))?;
    let id = file.id.filter(|id| *id > 0).ok_or_else(|| fault("raft.id", "is missing or 0"))?;
    let mut peers = BTreeMap::new();
    for (peer, at) in &file.peers {
        if *peer == id || *peer == 0 {
            return Err(fault("raft.peers", format!("{peer} is this instance's own id, or 0")));
        }
        peers.insert(*peer, loopback("raft.peers", Some(at))?);
    }
    if peers.is_empty() {
        return Err(fault("raft.peers", "are missing"));
    }
    let data = file.data.ok_or_else(|| fault("raft.data", "is missing"))?;
    Ok(Some(Raft { id, listen, peers, data }))
}

/// A file of ours that may be absent.
fn optional(key: &str, path: &Path) -> Result<Option<String>, ConfigError> {
    match std::fs::read_to_string(path) {
        Ok(text) => Ok(Some(text)),
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(None),
        Err(e) => Err(fault(key, format!("{}: {e}", path.display()))),
    }
}

/// Reads the environment and the files that it names.
pub fn read(config: Option<&Path>, dns: &Path, raft: &Path) -> Result<Config, ConfigError> {
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
    config.lasting = var("TMPDIR").map(Into::into);
    if let Some(text) = optional("dns", dns)? {
        config.dns = decode_dns(&text, &config.names)?;
    }
    if let Some(text) = optional("raft", raft)? {
        config.raft = decode_raft(&text)?;
    }
    Ok(config)
}
