//! Identity: issuers, tenants, operators, revocations, and whom to trust with certificates.

use crate::diagnostic::{Diagnostic, Diagnostics};
use crate::item::Item;
use sagearch_identity::certificate::serial_of;
use sagearch_identity::jwks::Algorithm;
use sagearch_identity::rights::{Method, Rule};
use sagearch_identity::settings::{
    CertificateMark, Issuer, KeyTerms, Operator, Revoked, Settings, Source, Tenant, Times, TokenMark,
};
use std::fmt::Display;
use std::path::PathBuf;

/// Keys that were heard are good for so many periods of asking, where `hold` states nothing else.
const DEFAULT_HOLD_PERIODS: u64 = 10;

/// The whole section.
#[derive(Clone, Debug, PartialEq)]
pub struct Identity {
    /// Issuers, tenants, operators and revocations.
    pub settings: Settings,
    /// Whom to trust with certificates.
    pub trust: TrustFiles,
}

/// Files with whom to trust with certificates.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TrustFiles {
    /// PEM files of authorities.
    pub roots: Vec<PathBuf>,
    /// PEM files of revocation lists.
    pub lists: Vec<PathBuf>,
    /// A list that has run out counts as none of its issuer's certificates being good.
    pub lists_expire: bool,
}

fn token_mark(item: &Item) -> Result<TokenMark, Diagnostic> {
    let claim = match (item.optional_text("claim")?, item.optional_text("value")?) {
        (Some(claim), Some(value)) => Some((claim, value)),
        (None, None) => None,
        _ => return Err(item.diagnostic("a claim needs its value, and a value its claim")),
    };
    Ok(TokenMark { issuer: item.text("issuer")?, claim })
}

fn certificate_mark(item: &Item) -> Result<CertificateMark, Diagnostic> {
    match (item.optional_text("uri")?, item.optional_text("dns")?) {
        (Some(uri), None) => Ok(CertificateMark::Uri(uri)),
        (None, Some(name)) if name.strip_prefix("*.").unwrap_or(&name).contains('*') => {
            Err(item
                .diagnostic_at("dns", "a star stands for the first label alone, as in \"*.team.example\""))
        }
        (None, Some(name)) => Ok(CertificateMark::Dns(name)),
        _ => Err(item.diagnostic("a certificate is told by uri=\"…\" or by dns=\"…\"")),
    }
}

fn rule(item: &Item, allow: bool) -> Result<Rule, Diagnostic> {
    let methods = item.optional_text("methods")?.unwrap_or_default();
    Ok(Rule {
        allow,
        classes: item.texts()?,
        methods: methods.split_whitespace().filter_map(Method::of).collect(),
        prefix: item.optional_text("prefix")?.unwrap_or_default(),
    })
}

fn tenant(item: &Item) -> Result<Tenant, Diagnostic> {
    let mut tenant = Tenant { name: item.one_text()?, ..Tenant::default() };
    for child in item.children() {
        match child.name() {
            "token" => tenant.tokens.push(token_mark(child)?),
            "certificate" => tenant.certificates.push(certificate_mark(child)?),
            "resolvers" => tenant.networks.extend(child.networks()?),
            "allow" => tenant.rules.push(rule(child, true)?),
            "deny" => tenant.rules.push(rule(child, false)?),
            _ => return Err(child.unknown()),
        }
    }
    Ok(tenant)
}

fn operator(item: &Item) -> Result<Operator, Diagnostic> {
    let may_change = item.text("may")? == "change";
    let mut tokens = Vec::new();
    let mut certificates = Vec::new();
    for child in item.children() {
        match child.name() {
            "token" => tokens.push(token_mark(child)?),
            _ => certificates.push(certificate_mark(child)?),
        }
    }
    Ok(Operator { name: item.one_text()?, tokens, certificates, may_change })
}

fn source(item: &Item) -> Result<Source, Diagnostic> {
    match (item.optional_path("file")?, item.optional_text("set")?, item.optional_text("url")?) {
        (Some(file), None, None) => Ok(Source::File(file.to_string_lossy().into_owned())),
        (None, Some(set), None) => Ok(Source::Set(set)),
        (None, None, Some(url)) => url_source(item, url),
        _ => Err(item.diagnostic("keys come from one of file=\"…\", set=\"…\" and url=\"…\"")),
    }
}

fn url_source(item: &Item, url: String) -> Result<Source, Diagnostic> {
    let is_secure = url.starts_with("https://");
    if !is_secure && !url.starts_with("http://") {
        return Err(item.diagnostic_at("url", "an issuer's keys are asked for by http:// or https://"));
    }
    let roots = item.optional_path("roots")?.map(|path| path.to_string_lossy().into_owned());
    if is_secure && roots.is_none() {
        let cause = "https needs roots=\"…\": whom to trust with the server's certificate";
        return Err(item.diagnostic_at("url", cause));
    }
    let every = item.millis("every")?;
    let interval = item.millis("interval")?;
    let hold = item.optional_millis("hold")?.unwrap_or(DEFAULT_HOLD_PERIODS * every);
    if interval > every || hold < every {
        return Err(item.diagnostic("interval is at most every, and hold at least that"));
    }
    Ok(Source::Url { url, roots, times: Times { every, interval, hold } })
}

fn issuer(item: &Item) -> Result<Issuer, Diagnostic> {
    let name = item.one_text()?;
    let mut algorithms = vec![Algorithm::EdDsa, Algorithm::Es256];
    let mut key_source = None;
    let mut keys = Vec::new();
    for child in item.children() {
        match child.name() {
            "algorithms" => {
                algorithms = child.texts()?.iter().filter_map(|name| Algorithm::of(name)).collect();
            }
            "keys" => key_source = Some(source(child)?),
            "key" => keys.push(KeyTerms {
                kid: child.one_text()?,
                active_from: child.optional_millis("active-from")?,
                retired_at: child.optional_millis("retired-at")?,
            }),
            _ => {}
        }
    }
    Ok(Issuer {
        algorithms,
        source: key_source.ok_or_else(|| item.diagnostic(format!("issuer {name:?} has no keys")))?,
        principal: item.child_text("principal")?.unwrap_or_default(),
        longest: item.child_millis("longest")?,
        retiring: item.child_millis("retiring")?,
        keys,
        name,
    })
}

fn revoked(item: &Item, revoked: &mut Revoked) -> Result<(), Diagnostic> {
    for child in item.children() {
        let what = child.one_text()?;
        match child.name() {
            "key" => {
                revoked.keys.insert((child.text("issuer")?, what));
            }
            "token" => {
                revoked.tokens.insert((child.text("issuer")?, what));
            }
            "principal" => {
                revoked.principals.insert((child.text("tenant")?, what));
            }
            _ => {
                revoked.serials.insert(serial_of(&what));
            }
        }
    }
    Ok(())
}

fn trust(item: &Item) -> Result<TrustFiles, Diagnostic> {
    let mut trust = TrustFiles { lists_expire: item.child_flag("lists-expire")?, ..TrustFiles::default() };
    for child in item.children() {
        match child.name() {
            "roots" => trust.roots.extend(child.paths()?),
            "revocation-lists" => trust.lists.extend(child.paths()?),
            _ => {}
        }
    }
    Ok(trust)
}

pub(crate) fn identity(item: &Item, diagnostics: &mut Diagnostics) -> Result<Identity, Diagnostic> {
    let settings = Settings {
        leeway: item.child_millis("leeway")?,
        cached: item.child_number("cached")? as usize,
        anonymous: item.child_text("anonymous")?,
        ..Settings::default()
    };
    let mut identity = Identity { settings, trust: TrustFiles::default() };
    let mut is_whole = true;
    for child in item.children() {
        is_whole &= diagnostics.record(part(child, &mut identity)).is_some();
    }
    // References, duplicates and bounds are judged by the identity package, over the whole of it.
    if is_whole {
        let checked = sagearch_identity::authority::check(&identity.settings);
        checked.map_err(|cause| diagnostic_at_named_part(item, &cause))?;
    }
    Ok(identity)
}

fn part(item: &Item, identity: &mut Identity) -> Result<(), Diagnostic> {
    let settings = &mut identity.settings;
    match item.name() {
        "audience" => settings.audiences.extend(item.texts()?),
        "issuer" => settings.issuers.push(issuer(item)?),
        "tenant" => settings.tenants.push(tenant(item)?),
        "operator" => settings.operators.push(operator(item)?),
        "revoked" => revoked(item, &mut settings.revoked)?,
        "certificates" => identity.trust = trust(item)?,
        // Values of the section itself.
        _ => {}
    }
    Ok(())
}

/// A finding at the part that the cause begins with, such as `tenant "red"`, or at the whole section.
fn diagnostic_at_named_part(section: &Item, cause: &dyn Display) -> Diagnostic {
    let cause = cause.to_string();
    let is_named = |child: &&Item| {
        let name = child.first_text().unwrap_or_default();
        !name.is_empty() && cause.starts_with(&format!("{} {name:?}", child.name()))
    };
    section.children().iter().rfind(is_named).unwrap_or(section).diagnostic(&cause)
}
