//! TLS in the operators' file: which addresses speak it, with which certificates.

use super::kdl::{Fault, Node};
use std::path::PathBuf;
use std::time::Duration;

/// Handshakes under way at once, and how long one may take, where the file does not say.
const HANDSHAKES: u64 = 64;
const WITHIN_MS: u64 = 2_000;

#[derive(Clone, Debug, PartialEq)]
pub struct Tls {
    pub handshakes: usize,
    pub within: Duration,
    /// TLS 1.2 as well; it knows renegotiation, which is refused.
    pub old: bool,
    pub clients: Option<Endpoint>,
    pub admin: Option<Endpoint>,
}

impl Tls {
    /// Whether anyone is asked for a certificate.
    pub fn asks(&self) -> bool {
        [&self.clients, &self.admin].into_iter().flatten().any(|endpoint| endpoint.asks != Asks::Off)
    }
}

/// One listening address.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// The first is shown to those who name none, or one that nobody has.
    pub certificates: Vec<KeyPair>,
    pub asks: Asks,
}

/// Files of a certificate's chain and its key.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyPair {
    pub chain: PathBuf,
    pub key: PathBuf,
}

/// Whether clients show certificates of their own.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Asks {
    #[default]
    Off,
    Optional,
    Required,
}

fn endpoint(node: &Node) -> Result<Endpoint, Fault> {
    let asks = node.or("client-certificates", Asks::Off, |value| match value.text()? {
        "off" => Ok(Asks::Off),
        "optional" => Ok(Asks::Optional),
        "required" => Ok(Asks::Required),
        _ => Err(value.fault("client certificates are \"off\", \"optional\" or \"required\"")),
    })?;
    let mut certificates = Vec::new();
    for child in node.children() {
        if child.name() != "certificate" {
            return Err(child.unknown());
        }
        certificates.push(KeyPair { chain: child.argument()?.path()?, key: child.required("key")?.path()? });
        child.leaf()?;
    }
    if certificates.is_empty() {
        return Err(node.fault(format!("{:?} has no certificate to show", node.name())));
    }
    node.done()?;
    Ok(Endpoint { certificates, asks })
}

pub(super) fn tls(node: &Node) -> Result<Tls, Fault> {
    let handshakes = node.or("handshakes", HANDSHAKES, |value| value.number(1, 100_000))? as usize;
    let within = Duration::from_millis(node.or("within", WITHIN_MS, |value| value.span(50, 60_000))?);
    let old = node.or("old-version", false, |value| value.flag())?;
    let mut tls = Tls { handshakes, within, old, clients: None, admin: None };
    for child in node.children() {
        let place = match child.name() {
            "clients" => &mut tls.clients,
            "admin" => &mut tls.admin,
            _ => return Err(child.unknown()),
        };
        if place.replace(endpoint(&child)?).is_some() {
            return Err(child.fault(format!("{:?} stands twice", child.name())));
        }
    }
    node.done()?;
    Ok(tls)
}
