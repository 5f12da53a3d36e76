//! A whole file, as types: each section is read by its own module, and references between sections are checked here.

use crate::control::{self, Control, KeySetDocument, Limits};
use crate::deployment::{Anywhere, DeploymentContext};
use crate::diagnostic::{Diagnostic, Diagnostics};
use crate::feed::{self, Feed};
use crate::files::{Files, OneFile};
use crate::fleet::{self, Fleet};
use crate::fronts::{self, Dns, Raft, Routes};
use crate::identity::{self, Identity};
use crate::item::Item;
use crate::tls::{self, Tls};
use crate::{check, format, schema};
use kdl::KdlValue;
use sagearch_identity::settings::Source;
use std::collections::BTreeMap;
use std::fmt::Write;

/// A file, as types. Sections that it does not state are `None`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operators {
    /// Callers, tenants and operators.
    pub identity: Option<Identity>,
    /// TLS on the gateway's addresses.
    pub tls: Option<Tls>,
    /// The name front.
    pub dns: Option<Dns>,
    /// The group that agrees on the name front's routes.
    pub raft: Option<Raft>,
    /// Routes of the name front that came in a version of their own.
    pub routes: Option<Routes>,
    /// Bounds that may change in service.
    pub limits: Option<Limits>,
    /// Where versions come from.
    pub control: Option<Control>,
    /// The gateways that share state with this one.
    pub fleet: Option<Fleet>,
    /// The relays of the event feed.
    pub feed: Option<Feed>,
    /// Sets of keys by name, as JSON.
    pub key_sets: BTreeMap<String, String>,
}

/// Reads a file and what it includes.
///
/// # Errors
///
/// All findings, if there are any.
pub fn read(
    name: &str,
    files: &dyn Files,
    deployment: &dyn DeploymentContext,
) -> Result<Operators, Diagnostics> {
    decode(&check::read(name, files, &schema::FILE)?, files, deployment)
}

/// Reads a text that includes nothing.
///
/// # Errors
///
/// All findings, if there are any.
pub fn parse(name: &str, text: &str, deployment: &dyn DeploymentContext) -> Result<Operators, Diagnostics> {
    read(name, &OneFile { name, text }, deployment)
}

/// Reads a version that a control service streams, in which less may stand.
///
/// # Errors
///
/// All findings, if there are any.
pub fn streamed(
    name: &str,
    text: &str,
    deployment: &dyn DeploymentContext,
) -> Result<Operators, Diagnostics> {
    let files = OneFile { name, text };
    let items = check::read(name, &files, &schema::STREAMED)?;
    let read = decode(&items, &files, deployment)?;
    let names_files = read.identity.as_ref().is_some_and(names_local_files);
    match items.iter().find(|item| names_files && item.name() == "identity") {
        Some(item) => {
            Err(item.diagnostic("paths of a machine can't be streamed: keys come from a set or a URL").into())
        }
        None => Ok(read),
    }
}

/// Whether it names files, which mean something else on each machine.
fn names_local_files(identity: &Identity) -> bool {
    let names_file = |source: &Source| match source {
        Source::File(_) => true,
        Source::Url { roots, .. } => roots.is_some(),
        Source::Set(_) => false,
    };
    let mut sources = identity.settings.issuers.iter().map(|issuer| &issuer.source);
    identity.trust != identity::TrustFiles::default() || sources.any(names_file)
}

/// One text of all that a file includes and names, fit to be streamed.
///
/// # Errors
///
/// All findings, if there are any.
pub fn flatten(name: &str, files: &dyn Files) -> Result<String, Diagnostics> {
    let mut items = check::read(name, files, &schema::STREAMED)?;
    let read = decode(&items, files, &Anywhere)?;
    items.retain(|item| item.name() != "key-set");
    let mut text = format::flat(&items);
    for (name, json) in read.key_sets {
        let [name, json] = [name, json].map(KdlValue::String);
        // Writing to a string does not fail.
        let _ = writeln!(text, "key-set {name} json={json}");
    }
    streamed(name, &text, &Anywhere)?;
    Ok(text)
}

/// Makes types of items that have been checked against the schema.
///
/// # Errors
///
/// All findings, if there are any.
pub fn decode(
    items: &[Item],
    files: &dyn Files,
    deployment: &dyn DeploymentContext,
) -> Result<Operators, Diagnostics> {
    let mut decoder =
        Decoder { files, deployment, operators: Operators::default(), diagnostics: Diagnostics::default() };
    for item in items {
        let read = decoder.section(item);
        decoder.diagnostics.record(read);
    }
    decoder.check_key_sets(items);
    decoder.check_client_roots(items);
    decoder.diagnostics.into_result(decoder.operators)
}

struct Decoder<'a> {
    files: &'a dyn Files,
    deployment: &'a dyn DeploymentContext,
    operators: Operators,
    diagnostics: Diagnostics,
}

impl Decoder<'_> {
    fn section(&mut self, item: &Item) -> Result<(), Diagnostic> {
        let Decoder { files, deployment, operators, diagnostics } = self;
        match item.name() {
            "identity" => operators.identity = Some(identity::identity(item, diagnostics)?),
            "tls" => operators.tls = Some(tls::tls(item)?),
            "dns" => operators.dns = Some(fronts::dns(item, *deployment, diagnostics)?),
            "group" => operators.raft = Some(fronts::group(item)?),
            "routes" => operators.routes = Some(fronts::routes(item, *deployment, diagnostics)?),
            "limits" => operators.limits = Some(control::limits(item)?),
            "control" => operators.control = Some(control::control(item)?),
            "fleet" => operators.fleet = Some(fleet::fleet(item, diagnostics)?),
            "feed" => operators.feed = Some(feed::feed(item, diagnostics)?),
            "key-set" => {
                let KeySetDocument { name, json } = control::key_set(item, *files)?;
                if operators.key_sets.contains_key(&name) {
                    return Err(item.diagnostic(format!("key set {name:?} stands twice")));
                }
                operators.key_sets.insert(name, json);
            }
            _ => return Err(item.unknown()),
        }
        Ok(())
    }

    /// Each key set that an issuer names must be there.
    fn check_key_sets(&mut self, items: &[Item]) {
        let Some(identity) = &self.operators.identity else { return };
        let Some(section) = items.iter().find(|item| item.name() == "identity") else { return };
        for issuer in &identity.settings.issuers {
            let Source::Set(set) = &issuer.source else { continue };
            if self.operators.key_sets.contains_key(set) {
                continue;
            }
            let named = section.children().iter().find(|child| child.first_text() == Some(&issuer.name));
            let cause = format!("issuer {:?}: there is no key set {set:?}", issuer.name);
            self.diagnostics.push(named.unwrap_or(section).diagnostic(cause));
        }
    }

    /// Who asks for client certificates must say whom to trust with them.
    fn check_client_roots(&mut self, items: &[Item]) {
        let has_roots =
            self.operators.identity.as_ref().is_some_and(|identity| !identity.trust.roots.is_empty());
        let needs_roots = self.operators.tls.as_ref().is_some_and(Tls::requests_client_certificates);
        if has_roots || !needs_roots {
            return;
        }
        if let Some(section) = items.iter().find(|item| item.name() == "tls") {
            let cause = "client certificates are asked for, and identity names no roots";
            self.diagnostics.push(section.diagnostic(cause));
        }
    }
}
