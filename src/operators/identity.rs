//! Identity in the operators' file: issuers, tenants, operators, revocations, and whom to trust with certificates.

use super::kdl::{Fault, Node, Value};
use sagearch_identity::certificate::serial_of;
use sagearch_identity::jwks::Algorithm;
use sagearch_identity::rights::{Method, Rule};
use sagearch_identity::settings::*;
use std::path::PathBuf;

const SECOND: u64 = 1_000;
const DAY: u64 = 24 * 3_600 * SECOND;

/// The whole block.
#[derive(Clone, Debug, PartialEq)]
pub struct Identity {
    pub settings: Settings,
    pub trust: TrustFiles,
}

/// Files with whom to trust with certificates.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TrustFiles {
    pub roots: Vec<PathBuf>,
    pub lists: Vec<PathBuf>,
    /// A list that has run out counts as none of its issuer's certificates being good.
    pub lists_expire: bool,
}

fn algorithm(value: &Value) -> Result<Algorithm, Fault> {
    Algorithm::of(value.text()?).ok_or_else(|| value.fault("an algorithm is EdDSA, ES256 or RS256"))
}

fn token_mark(node: &Node) -> Result<TokenMark, Fault> {
    let issuer = node.required("issuer")?.string()?;
    let claim = match (node.property("claim")?, node.property("value")?) {
        (Some(claim), Some(value)) => Some((claim.string()?, value.string()?)),
        (None, None) => None,
        _ => return Err(node.fault("a claim needs its value, and a value its claim")),
    };
    node.leaf()?;
    Ok(TokenMark { issuer, claim })
}

fn certificate_mark(node: &Node) -> Result<CertificateMark, Fault> {
    let mark = match (node.property("uri")?, node.property("dns")?) {
        (Some(uri), None) => CertificateMark::Uri(uri.string()?),
        (None, Some(dns)) => {
            let name = dns.string()?;
            if name.strip_prefix("*.").unwrap_or(&name).contains('*') {
                return Err(dns.fault("a star stands for the first label alone, as in \"*.team.example\""));
            }
            CertificateMark::Dns(name)
        }
        _ => return Err(node.fault("a certificate is told by uri=\"…\" or by dns=\"…\"")),
    };
    node.leaf()?;
    Ok(mark)
}

/// `allow "video" "image" methods="GET LOOKUP" prefix="guide-"`; without classes, all.
fn rule(node: &Node, allow: bool) -> Result<Rule, Fault> {
    let classes = node.arguments().iter().map(Value::string).collect::<Result<_, _>>()?;
    let methods = node.or("methods", Vec::new(), |value| {
        let method =
            |word| Method::of(word).ok_or_else(|| value.fault(format!("{word:?} is not GET, PUT or LOOKUP")));
        value.text()?.split_whitespace().map(method).collect()
    })?;
    let prefix = node.or("prefix", String::new(), |value| value.string())?;
    node.leaf()?;
    Ok(Rule { allow, classes, methods, prefix })
}

fn tenant(node: &Node) -> Result<Tenant, Fault> {
    let mut tenant = Tenant { name: node.argument()?.string()?, ..Tenant::default() };
    for child in node.children() {
        match child.name() {
            "token" => tenant.tokens.push(token_mark(&child)?),
            "certificate" => tenant.certificates.push(certificate_mark(&child)?),
            "resolvers" => {
                for value in child.arguments() {
                    tenant.networks.push(value.network()?);
                }
                child.leaf()?;
            }
            "allow" => tenant.rules.push(rule(&child, true)?),
            "deny" => tenant.rules.push(rule(&child, false)?),
            _ => return Err(child.unknown()),
        }
    }
    node.done()?;
    Ok(tenant)
}

fn operator(node: &Node) -> Result<Operator, Fault> {
    let name = node.argument()?.string()?;
    let may_change = node.or("may", false, |value| match value.text()? {
        "look" => Ok(false),
        "change" => Ok(true),
        _ => Err(value.fault("an operator may \"look\" or \"change\"")),
    })?;
    let mut operator = Operator { name, tokens: Vec::new(), certificates: Vec::new(), may_change };
    for child in node.children() {
        match child.name() {
            "token" => operator.tokens.push(token_mark(&child)?),
            "certificate" => operator.certificates.push(certificate_mark(&child)?),
            _ => return Err(child.unknown()),
        }
    }
    node.done()?;
    Ok(operator)
}

/// `keys file="keys.json"`, or `keys url="http://…" every="1m" interval="5s" hold="10m" roots="ca.pem"`
fn source(node: &Node) -> Result<Source, Fault> {
    let source = match (node.property("file")?, node.property("url")?) {
        (Some(file), None) => Source::File(file.path_text()?),
        (None, Some(url)) => {
            let text = url.string()?;
            let secure = text.starts_with("https://");
            if !secure && !text.starts_with("http://") {
                return Err(url.fault("an issuer's keys are asked for by http:// or https://"));
            }
            let roots = node.property("roots")?.map(|roots| roots.path_text()).transpose()?;
            if secure && roots.is_none() {
                return Err(url.fault("https needs roots=\"…\": whom to trust with the server's certificate"));
            }
            let every = node.or("every", 60 * SECOND, |value| value.span(100, DAY))?;
            let interval = node.or("interval", 5 * SECOND, |value| value.span(50, DAY))?;
            let hold = node.or("hold", 10 * every, |value| value.span(SECOND, 30 * DAY))?;
            if interval > every || hold < every {
                return Err(node.fault("interval is at most every, and hold at least that"));
            }
            Source::Url { url: text, roots, times: Times { every, interval, hold } }
        }
        _ => return Err(node.fault("keys come from file=\"…\" or from url=\"…\"")),
    };
    node.leaf()?;
    Ok(source)
}

fn key_terms(node: &Node) -> Result<KeyTerms, Fault> {
    let moment = |name| node.property(name)?.map(|value| value.moment()).transpose();
    let terms = KeyTerms {
        kid: node.argument()?.string()?,
        active_from: moment("active-from")?,
        retired_at: moment("retired-at")?,
    };
    node.leaf()?;
    Ok(terms)
}

fn issuer(node: &Node) -> Result<Issuer, Fault> {
    let mut algorithms = vec![Algorithm::EdDsa, Algorithm::Es256];
    let (mut from, mut keys) = (None, Vec::new());
    let (mut principal, mut longest, mut retiring) = ("sub".to_string(), DAY, 3_600 * SECOND);
    for child in node.children() {
        match child.name() {
            "algorithms" => {
                algorithms = child.arguments().iter().map(algorithm).collect::<Result<_, _>>()?;
                child.leaf()?;
            }
            "keys" if from.is_some() => return Err(child.fault("keys stand twice")),
            "keys" => from = Some(source(&child)?),
            "key" => keys.push(key_terms(&child)?),
            "principal" => {
                principal = child.argument()?.string()?;
                child.leaf()?;
            }
            "longest" => {
                longest = child.argument()?.span(SECOND, 366 * DAY)?;
                child.leaf()?;
            }
            "retiring" => {
                retiring = child.argument()?.span(0, 366 * DAY)?;
                child.leaf()?;
            }
            _ => return Err(child.unknown()),
        }
    }
    let name = node.argument()?.string()?;
    node.done()?;
    let source = from.ok_or_else(|| node.fault(format!("issuer {name:?} has no keys")))?;
    Ok(Issuer { name, algorithms, source, principal, longest, retiring, keys })
}

fn revoked(node: &Node) -> Result<Revoked, Fault> {
    let mut revoked = Revoked::default();
    for child in node.children() {
        let what = child.argument()?;
        let whose = |name| Ok((child.required(name)?.string()?, what.string()?));
        match child.name() {
            "key" => drop(revoked.keys.insert(whose("issuer")?)),
            "token" => drop(revoked.tokens.insert(whose("issuer")?)),
            "principal" => drop(revoked.principals.insert(whose("tenant")?)),
            "certificate" => drop(revoked.serials.insert(serial_of(what.text()?))),
            _ => return Err(child.unknown()),
        }
        child.leaf()?;
    }
    node.done()?;
    Ok(revoked)
}

fn trust(node: &Node) -> Result<TrustFiles, Fault> {
    let mut trust = TrustFiles::default();
    for child in node.children() {
        let paths = child.arguments().iter().map(Value::path).collect::<Result<Vec<_>, _>>();
        match child.name() {
            "roots" => trust.roots.extend(paths?),
            "revocation-lists" => trust.lists.extend(paths?),
            "lists-expire" => trust.lists_expire = child.argument()?.flag()?,
            _ => return Err(child.unknown()),
        }
        child.leaf()?;
    }
    node.done()?;
    Ok(trust)
}

pub(super) fn identity(node: &Node) -> Result<Identity, Fault> {
    let (mut settings, mut files) = (Settings::default(), TrustFiles::default());
    for child in node.children() {
        match child.name() {
            "audience" => {
                settings
                    .audiences
                    .extend(child.arguments().iter().map(Value::string).collect::<Result<Vec<_>, _>>()?);
                child.leaf()?;
            }
            "leeway" => {
                settings.leeway = child.argument()?.span(0, 600 * SECOND)?;
                child.leaf()?;
            }
            "cached" => {
                settings.cached = child.argument()?.number(1, 1_000_000)? as usize;
                child.leaf()?;
            }
            "anonymous" => {
                settings.anonymous = Some(child.argument()?.string()?);
                child.leaf()?;
            }
            "issuer" => settings.issuers.push(issuer(&child)?),
            "tenant" => settings.tenants.push(tenant(&child)?),
            "operator" => settings.operators.push(operator(&child)?),
            "revoked" => {
                let more = revoked(&child)?;
                let held = &mut settings.revoked;
                held.keys.extend(more.keys);
                held.tokens.extend(more.tokens);
                held.principals.extend(more.principals);
                held.serials.extend(more.serials);
            }
            "certificates" => files = trust(&child)?,
            _ => return Err(child.unknown()),
        }
    }
    node.done()?;
    // References, doubles and bounds are the package's own to judge, over the whole of it.
    sagearch_identity::authority::check(&settings).map_err(|cause| node.fault(cause))?;
    Ok(Identity { settings, trust: files })
}
