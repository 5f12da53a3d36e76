//! All that one request needs of what was decided before it came.

use super::tls::Endpoints;
use crate::settings::Deployment;
use sagearch_operators::control::Limits;
use sagearch_operators::fronts::Routes;
use std::sync::Arc;

/// One version in force: immutable, and replaced as a whole. A request takes it once, together with who calls, and
/// keeps it to its end.
#[derive(Clone)]
pub struct Snapshot {
    /// Which version of the operators' configuration this is, for logs and operators.
    pub version: Arc<str>,
    pub deployment: Arc<Deployment>,
    /// Whom the name front answers.
    pub routes: Arc<Routes>,
    pub endpoints: Arc<Endpoints>,
    pub limits: Option<Limits>,
    /// Answers say under which version they were given.
    pub shows_version: bool,
    pub who: Who,
}

/// Whether callers are told apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Who {
    Off,
    /// Nothing can be told, and so nobody is served.
    Sealed,
    On,
}
