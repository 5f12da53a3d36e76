//! TLS: which addresses speak it, with which certificates.

use crate::diagnostic::Diagnostic;
use crate::item::Item;
use std::path::PathBuf;
use std::time::Duration;

/// TLS on the gateway's addresses.
#[derive(Clone, Debug, PartialEq)]
pub struct Tls {
    /// Handshakes under way at once; beyond, the oldest makes way.
    pub handshakes: usize,
    /// The longest handshake.
    pub handshake_timeout: Duration,
    /// TLS 1.2 as well; it knows renegotiation, which is refused.
    pub allows_tls12: bool,
    /// The clients' address. `None`: without TLS.
    pub clients: Option<Endpoint>,
    /// The admin address. `None`: without TLS.
    pub admin: Option<Endpoint>,
}

/// One listening address.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Endpoint {
    /// The first is shown to those who name none, or one that nobody has.
    pub certificates: Vec<KeyPair>,
    /// Whether clients are asked for certificates.
    pub client_auth: ClientAuth,
}

/// Files of a certificate's chain and its key.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyPair {
    /// PEM file of the chain.
    pub chain: PathBuf,
    /// PEM file of the private key.
    pub key: PathBuf,
}

/// Whether clients are asked for certificates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ClientAuth {
    /// They are not.
    #[default]
    Off,
    /// They are, and may have none.
    Optional,
    /// They are, and must show one.
    Required,
}

impl Tls {
    /// Whether any client is asked for a certificate.
    pub fn requests_client_certificates(&self) -> bool {
        [&self.clients, &self.admin]
            .into_iter()
            .flatten()
            .any(|endpoint| endpoint.client_auth != ClientAuth::Off)
    }
}

fn endpoint(item: &Item) -> Result<Endpoint, Diagnostic> {
    let client_auth = match item.text("client-certificates")?.as_str() {
        "optional" => ClientAuth::Optional,
        "required" => ClientAuth::Required,
        _ => ClientAuth::Off,
    };
    let mut certificates = Vec::new();
    for child in item.children() {
        let chain = child.paths()?.pop().ok_or_else(|| child.unknown())?;
        certificates.push(KeyPair { chain, key: child.path("key")? });
    }
    if certificates.is_empty() {
        return Err(item.diagnostic(format!("{:?} has no certificate to show", item.name())));
    }
    Ok(Endpoint { certificates, client_auth })
}

pub(crate) fn tls(item: &Item) -> Result<Tls, Diagnostic> {
    let named = |name| item.children_named(name).next().map(endpoint).transpose();
    Ok(Tls {
        handshakes: item.number("handshakes")? as usize,
        handshake_timeout: Duration::from_millis(item.millis("within")?),
        allows_tls12: item.flag("old-version")?,
        clients: named("clients")?,
        admin: named("admin")?,
    })
}
