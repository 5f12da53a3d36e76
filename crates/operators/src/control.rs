//! Where versions come from, bounds that change in service, and key sets that come with a version.

use crate::diagnostic::{Diagnostic, Diagnostics};
use crate::files::Files;
use crate::item::Item;
use crate::value::Value;
use sagearch_identity::Millis;
use sagearch_identity::jwks::KeySet;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The control services of a gateway, and how it keeps what they send.
#[derive(Clone, Debug, PartialEq)]
pub struct Control {
    /// In order of preference.
    pub addresses: Vec<ServiceAddress>,
    /// Where versions are kept. `None`: in memory alone.
    pub data: Option<PathBuf>,
    /// Versions that are kept.
    pub keep: usize,
    /// Bytes of a version.
    pub largest: usize,
    /// Over which gateways come back after the service was away.
    pub spread: Millis,
    /// Between heartbeats.
    pub beat: Millis,
    /// Whether requests are refused before the first version is in force.
    pub refuses_without: bool,
    /// Whether answers carry `Config-Version`.
    pub shows_version: bool,
    /// Whom to trust with the service's certificate.
    pub roots: PathBuf,
    /// The gateway's own certificate.
    pub certificate: PathBuf,
    /// The private key of that certificate.
    pub key: PathBuf,
}

/// Where a control service is reached.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceAddress {
    /// Its address.
    pub address: SocketAddr,
    /// The name that its certificate must hold.
    pub server_name: String,
}

/// Bounds that may change in service.
#[derive(Clone, Copy, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Limits {
    /// Connections of clients; never over what the descriptors allow.
    pub clients: Option<usize>,
    /// Look-ups by name under way.
    pub lookups: usize,
}

pub(crate) fn limits(item: &Item) -> Result<Limits, Diagnostic> {
    let clients = item.optional_number("clients")?.map(|number| number as usize);
    Ok(Limits { clients, lookups: item.number("lookups")? as usize })
}

pub(crate) fn control(item: &Item) -> Result<Control, Diagnostic> {
    let mut addresses = Vec::new();
    for child in item.children() {
        let [Value::Address(address)] = child.values()?[..] else { return Err(child.unknown()) };
        addresses.push(ServiceAddress { address, server_name: child.text("name")? });
    }
    if addresses.is_empty() {
        return Err(item.diagnostic("control names no address"));
    }
    Ok(Control {
        addresses,
        data: item.optional_path("data")?,
        keep: item.number("keep")? as usize,
        largest: item.number("largest")? as usize,
        spread: item.millis("spread")?,
        beat: item.millis("beat")?,
        refuses_without: item.text("without-version")? == "refuse",
        shows_version: item.flag("show-version")?,
        roots: item.path("roots")?,
        certificate: item.path("certificate")?,
        key: item.path("key")?,
    })
}

/// A set of keys that issuers name.
pub(crate) struct KeySetDocument {
    pub(crate) name: String,
    /// The set as it was stated, which holds keys.
    pub(crate) json: String,
}

pub(crate) fn key_set(item: &Item, files: &dyn Files) -> Result<KeySetDocument, Diagnostic> {
    let name = item.one_text()?;
    let json = match (item.optional_path("file")?, item.optional_text("json")?) {
        (None, Some(json)) => json,
        (Some(path), None) => {
            let path = path.to_string_lossy();
            files.read(&path).map_err(|cause| item.diagnostic_at("file", format!("{path}: {cause}")))?
        }
        _ => return Err(item.diagnostic("a key set is one of file=\"…\" and json=\"…\"")),
    };
    KeySet::parse(json.as_bytes()).map_err(|cause| item.diagnostic(format!("key set {name:?}: {cause}")))?;
    Ok(KeySetDocument { name, json })
}

/// A control service, as its file states it. Fields have the names of the file's properties.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceFile {
    /// Where gateways and operators connect, by TLS.
    pub listen: SocketAddr,
    /// A folder that outlives restarts.
    pub data: PathBuf,
    /// Grows by hand where that folder was lost.
    pub epoch: u64,
    /// PEM file of the service's certificate chain.
    pub certificate: PathBuf,
    /// PEM file of its private key.
    pub key: PathBuf,
    /// Authorities of gateways' and operators' certificates.
    pub roots: PathBuf,
    /// What the URI name of a gateway's certificate begins with; its name follows.
    pub gateways: String,
    /// Between heartbeats.
    pub beat: Millis,
    /// Over which gateways come back after the service was away.
    pub spread: Millis,
    /// Versions that are being sent at once.
    pub at_once: usize,
    /// Connections; beyond, others are told to come back.
    pub connections: usize,
    /// Versions that are kept.
    pub keep: usize,
    /// Bytes of a version.
    pub largest: usize,
    /// Who may ask and publish.
    pub operators: Vec<ServiceOperator>,
}

/// An operator of a control service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceOperator {
    /// The operator's name.
    pub name: String,
    /// What the URI name of the operator's certificate begins with.
    pub uri: String,
    /// Whether changes are allowed, and not questions alone.
    pub may_change: bool,
}

/// Reads a control service's file.
///
/// # Errors
///
/// All findings, if there are any.
pub fn service(name: &str, files: &dyn Files) -> Result<ServiceFile, Diagnostics> {
    let items = crate::check::read(name, files, &crate::schema::SERVICE_FILE)?;
    let item = items.first().ok_or_else(|| Diagnostic::unreadable(name, "states no service"))?;
    Ok(service_of(item)?)
}

fn service_of(item: &Item) -> Result<ServiceFile, Diagnostic> {
    let mut operators = Vec::new();
    for child in item.children() {
        let (uri, may_change) = (child.text("uri")?, child.text("may")? == "change");
        operators.push(ServiceOperator { name: child.one_text()?, uri, may_change });
    }
    Ok(ServiceFile {
        listen: item.address("listen")?,
        data: item.path("data")?,
        epoch: item.number("epoch")?,
        certificate: item.path("certificate")?,
        key: item.path("key")?,
        roots: item.path("roots")?,
        gateways: item.text("gateways")?,
        beat: item.millis("beat")?,
        spread: item.millis("spread")?,
        at_once: item.number("at-once")? as usize,
        connections: item.number("connections")? as usize,
        keep: item.number("keep")? as usize,
        largest: item.number("largest")? as usize,
        operators,
    })
}
