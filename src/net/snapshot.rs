//! The immutable configuration under which a request is served.

use crate::net::frontend::tls::Endpoints;
use crate::settings::Deployment;
use sagearch_operators::control::Limits;
use sagearch_operators::fronts::Routes;
use std::sync::Arc;

/// One version of the configuration. It is immutable and is replaced as a unit by another version. A request obtains the
/// snapshot in force once, when its caller is admitted, and uses it until its end.
#[derive(Clone)]
pub struct Snapshot {
    /// The name of the version, for logs and for operators.
    pub version: Arc<str>,
    /// The settings and names of the deployment.
    pub deployment: Arc<Deployment>,
    /// The networks that the DNS frontend answers, and the deadline of its lookups, as far as no consensus group agrees on
    /// them.
    pub routes: Arc<Routes>,
    /// The TLS configuration of the client address and of the operator address.
    pub endpoints: Arc<Endpoints>,
    /// Limits that operators configure; `None` if only the limits of the machine apply.
    pub limits: Option<Limits>,
    /// Whether answers state the version in a header field.
    pub shows_version: bool,
    /// Whether and how callers are identified.
    pub identification: Identification,
}

/// Whether and how callers are identified.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Identification {
    /// Every caller is anonymous.
    Off,
    /// Callers are identified by token, certificate or network.
    On,
}
