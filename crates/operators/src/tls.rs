//! TLS: which addresses speak it, with which certificates.

use crate::fault::Fault;
use crate::item::Item;
use std::path::PathBuf;
use std::time::Duration;

#[derive(Clone, Debug, PartialEq)]
pub struct Tls {
    pub handshakes: usize,
    pub within: Duration,
    /// TLS 1.2 as well; it knows renegotiation, which is refused.
    pub old: bool,
    pub clients: Option<Endpoint>,
    pub admin: Option<Endpoint>,
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

impl Tls {
    /// Whether anyone is asked for a certificate.
    pub fn asks(&self) -> bool {
        [&self.clients, &self.admin].into_iter().flatten().any(|endpoint| endpoint.asks != Asks::Off)
    }
}

fn endpoint(item: &Item) -> Result<Endpoint, Fault> {
    let asks = match item.text("client-certificates")?.as_str() {
        "optional" => Asks::Optional,
        "required" => Asks::Required,
        _ => Asks::Off,
    };
    let mut certificates = Vec::new();
    for child in item.children() {
        let chain = child.paths()?.pop().ok_or_else(|| child.unknown())?;
        certificates.push(KeyPair { chain, key: child.path("key")? });
    }
    if certificates.is_empty() {
        return Err(item.fault(format!("{:?} has no certificate to show", item.name())));
    }
    Ok(Endpoint { certificates, asks })
}

pub(crate) fn tls(item: &Item) -> Result<Tls, Fault> {
    let named = |name| item.children().iter().find(|child| child.name() == name).map(endpoint).transpose();
    Ok(Tls {
        handshakes: item.number("handshakes")? as usize,
        within: Duration::from_millis(item.millis("within")?),
        old: item.flag("old-version")?,
        clients: named("clients")?,
        admin: named("admin")?,
    })
}
