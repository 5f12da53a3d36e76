//! The compiled form of a version: JSON that gateways take in without reading the language.

use crate::control::Limits;
use crate::deployment::{Anywhere, DeploymentContext};
use crate::diagnostic::{Diagnostic, Diagnostics};
use crate::document::{Operators, streamed};
use crate::fronts::{Routes, Source};
use crate::identity::{Identity, TrustFiles};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A version as it has been read and checked once, for those who take it in a thousand times: reading the language
/// takes seconds for ten thousand tenants, and this some milliseconds.
#[derive(Serialize, Deserialize)]
struct Compiled {
    identity: Option<sagearch_identity::Settings>,
    routes: Option<Routes>,
    limits: Option<Limits>,
    key_sets: BTreeMap<String, String>,
}

/// The compiled form of a version.
///
/// # Errors
///
/// All findings, if there are any.
pub fn compile(name: &str, text: &str) -> Result<String, Diagnostics> {
    let read = streamed(name, text, &Anywhere)?;
    let identity = read.identity.map(|identity| identity.settings);
    let compiled = Compiled { identity, routes: read.routes, limits: read.limits, key_sets: read.key_sets };
    serde_json::to_string(&compiled).map_err(|error| Diagnostic::unreadable(name, error).into())
}

/// Reads a version that is there in both forms. The compiled one is taken; where something in it does not fit here, or
/// does not read, the text is read, which says what and at which place.
///
/// # Errors
///
/// All findings in the text, if it was read and there are any.
pub fn compiled(
    name: &str,
    text: &str,
    form: &str,
    deployment: &dyn DeploymentContext,
) -> Result<Operators, Diagnostics> {
    let Ok(read) = serde_json::from_str::<Compiled>(form) else { return streamed(name, text, deployment) };
    let is_unknown = |source: &Source| !deployment.has_zone(&source.zone);
    if read.routes.as_ref().is_some_and(|routes| routes.sources.iter().any(is_unknown)) {
        return streamed(name, text, deployment);
    }
    let without_files = |settings| Identity { settings, trust: TrustFiles::default() };
    Ok(Operators {
        identity: read.identity.map(without_files),
        routes: read.routes,
        limits: read.limits,
        key_sets: read.key_sets,
        ..Operators::default()
    })
}
