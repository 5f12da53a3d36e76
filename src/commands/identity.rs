//! `sagearch identity`: what a token or certificate stands for, the lives of keys, and issuing for small
//! installations.

use crate::files::Disk;
use crate::issue::{self, Issued, Life, Wanted};
use crate::net::configuration::identity::fetch;
use crate::net::frontend::tls::{TrustParts, bytes_of};
use clap::{Args, Subcommand, ValueEnum};
use ring::rand::SystemRandom;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivatePkcs8KeyDer};
use sagearch_identity::authority::{Ask, Report};
use sagearch_identity::issue::{Signer, generate};
use sagearch_identity::jwks::{Algorithm, KeySet};
use sagearch_identity::settings::Source;
use sagearch_identity::{Authority, Credentials, Now, Presented, Reason};
use sagearch_operators::Anywhere;
use sagearch_operators::identity::Identity;
use serde_json::{Map, Value, json};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Why a command did not end well: a refusal is an answer, a fault is none.
enum Ended {
    Refused(Reason),
    Fault(String),
}

impl<T: Into<String>> From<T> for Ended {
    fn from(cause: T) -> Ended {
        Ended::Fault(cause.into())
    }
}

#[derive(Subcommand)]
pub enum Command {
    /// Say who a token or certificate stands for and what it may. Exit code 0: accepted, 1: refused, 2: fault
    Check(Check),
    /// Show the keys of all issuers and where in their lives they are
    Keys(Keys),
    /// Issue keys, tokens and certificates, for tests and small installations
    #[command(subcommand)]
    Issue(Issue),
}

#[derive(Args)]
pub struct Check {
    /// A file with the token; `-` is standard input
    #[arg(long, value_name = "FILE", required_unless_present = "certificate")]
    token: Option<PathBuf>,
    /// A file with the certificate's chain
    #[arg(long, value_name = "FILE", conflicts_with = "token")]
    certificate: Option<PathBuf>,
    /// When, as 2026-11-30T18:00:00Z; now without
    #[arg(long, value_name = "MOMENT")]
    at: Option<jiff::Timestamp>,
    /// Whether it may ask for this
    #[arg(long, requires = "object")]
    class: Option<String>,
    #[arg(long, requires = "class")]
    object: Option<String>,
    #[arg(long, default_value = "GET")]
    method: String,
    /// Keys of an issuer as `ISSUER=FILE`, in place of where the operators' file says
    #[arg(long, value_name = "ISSUER=FILE")]
    keys: Vec<String>,
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
pub struct Keys {
    /// Of a running gateway, at its admin address: http://127.0.0.1:9000
    #[arg(long, value_name = "URL")]
    admin: Option<String>,
    /// A file with the token of an operator
    #[arg(long, value_name = "FILE", requires = "admin")]
    token: Option<PathBuf>,
    /// Whom to trust with the admin address's certificate
    #[arg(long, value_name = "FILE", requires = "admin")]
    roots: Option<PathBuf>,
    /// A certificate and its key, to be shown to it
    #[arg(long, value_name = "FILE", requires = "key")]
    certificate: Option<PathBuf>,
    #[arg(long, value_name = "FILE", requires = "certificate")]
    key: Option<PathBuf>,
    /// When, as 2026-11-30T18:00:00Z; now without
    #[arg(long, value_name = "MOMENT")]
    at: Option<jiff::Timestamp>,
    #[arg(long)]
    json: bool,
}

#[derive(Clone, Copy, ValueEnum)]
pub enum Signing {
    Eddsa,
    Es256,
    Rs256,
}

impl Signing {
    fn algorithm(self) -> Algorithm {
        match self {
            Signing::Eddsa => Algorithm::EdDsa,
            Signing::Es256 => Algorithm::Es256,
            Signing::Rs256 => Algorithm::Rs256,
        }
    }
}

#[derive(Subcommand)]
pub enum Issue {
    /// A private key for signing tokens, as PEM (PKCS #8)
    Key {
        #[arg(long, value_enum, default_value = "eddsa")]
        algorithm: Signing,
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// Publish a key in a JWKS file, beside those that are in it; `--retire` and `--revoke` change those
    Jwks {
        /// The key file
        #[arg(long, value_name = "FILE")]
        key: Option<PathBuf>,
        #[arg(long, value_enum, default_value = "eddsa")]
        algorithm: Signing,
        /// Its name; its thumbprint without
        #[arg(long)]
        kid: Option<String>,
        /// From when it signs; before, it is announced
        #[arg(long, value_name = "MOMENT")]
        from: Option<jiff::Timestamp>,
        /// Until when it is accepted
        #[arg(long, value_name = "MOMENT")]
        until: Option<jiff::Timestamp>,
        /// A kid that is published no more
        #[arg(long, value_name = "KID")]
        retire: Vec<String>,
        /// A kid that is revoked
        #[arg(long, value_name = "KID")]
        revoke: Vec<String>,
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// A token, on standard output
    Token {
        #[arg(long, value_name = "FILE")]
        key: PathBuf,
        #[arg(long, value_enum, default_value = "eddsa")]
        algorithm: Signing,
        #[arg(long)]
        kid: Option<String>,
        #[arg(long)]
        issuer: String,
        #[arg(long)]
        audience: String,
        #[arg(long)]
        subject: String,
        /// Further claims, as `tenant=payments`
        #[arg(long, value_name = "NAME=VALUE")]
        claim: Vec<String>,
        /// How long it is good
        #[arg(long, default_value = "1h")]
        life: jiff::SignedDuration,
        #[arg(long)]
        json: bool,
    },
    /// A certificate authority: PREFIX.pem and PREFIX.key
    Authority {
        #[arg(long)]
        name: String,
        #[arg(long, default_value = "8760h")]
        life: jiff::SignedDuration,
        #[arg(long, value_name = "PREFIX")]
        out: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// A certificate by such an authority: PREFIX.pem and PREFIX.key
    Certificate {
        /// The authority's PREFIX
        #[arg(long, value_name = "PREFIX")]
        authority: PathBuf,
        #[arg(long)]
        uri: Vec<String>,
        /// DNS names and addresses
        #[arg(long)]
        dns: Vec<String>,
        /// For a server, not a client
        #[arg(long)]
        server: bool,
        #[arg(long, default_value = "720h")]
        life: jiff::SignedDuration,
        #[arg(long, value_name = "PREFIX")]
        out: PathBuf,
        #[arg(long)]
        json: bool,
    },
    /// A list of certificates that such an authority has revoked
    RevocationList {
        #[arg(long, value_name = "PREFIX")]
        authority: PathBuf,
        /// Serial numbers in hex
        #[arg(long)]
        serial: Vec<String>,
        #[arg(long, default_value = "168h")]
        life: jiff::SignedDuration,
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
        #[arg(long)]
        json: bool,
    },
}

fn moment(at: Option<jiff::Timestamp>) -> Now {
    let unix =
        at.map_or_else(sagearch_clock::unix_millis, |at| u64::try_from(at.as_millisecond()).unwrap_or(0));
    Now { unix, monotonic: 0 }
}

fn life(told: jiff::SignedDuration) -> Result<Duration, String> {
    Duration::try_from(told).map_err(|_| "a life can't be negative".into())
}

fn read_text(path: &Path) -> Result<String, String> {
    let text = match path.as_os_str() == "-" {
        true => std::io::read_to_string(std::io::stdin()).map_err(|e| format!("standard input: {e}"))?,
        false => std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?,
    };
    Ok(text.trim().to_string())
}

/// A private key, or a file that has one in it, is for its owner alone.
fn write(path: &Path, text: &str, secret: bool) -> Result<(), String> {
    use std::io::Write;
    use std::os::unix::fs::OpenOptionsExt;
    let mut options = std::fs::OpenOptions::new();
    options.write(true).create(true).truncate(true).mode(if secret { 0o600 } else { 0o644 });
    let written = options.open(path).and_then(|mut file| file.write_all(text.as_bytes()));
    written.map_err(|e| format!("{}: {e}", path.display()))
}

/// Puts a new text in a file's place as a whole: a gateway may be about to read it.
fn replace(path: &Path, text: &str) -> Result<(), String> {
    let beside = path.with_extension("new");
    write(&beside, text, false)?;
    std::fs::rename(&beside, path).map_err(|e| format!("{}: {e}", path.display()))
}

fn with_ending(prefix: &Path, ending: &str) -> PathBuf {
    let mut name = prefix.as_os_str().to_owned();
    name.push(ending);
    name.into()
}

fn stated(operators: &Path) -> Result<(Identity, BTreeMap<String, String>), String> {
    let read = sagearch_operators::read(&operators.to_string_lossy(), &Disk, &Anywhere);
    let read = read.map_err(|faults| faults.to_string())?;
    let identity = read.identity.ok_or_else(|| format!("{}: states no identity", operators.display()))?;
    Ok((identity, read.key_sets))
}

/// Reads a file of keys or certificates.
fn read_file(path: &Path) -> Result<Vec<u8>, String> {
    bytes_of(path).map_err(|error| error.to_string())
}

/// What a gateway under this file knows at that moment, with `ISSUER=FILE` in place of other sources.
fn authority(
    identity: &Identity,
    sets: &BTreeMap<String, String>,
    keys: &[String],
    now: Now,
) -> Result<Authority, String> {
    let mut authority = Authority::under(identity.settings.clone(), 0, now)?;
    let told = |issuer: &str| keys.iter().find_map(|key| key.strip_prefix(issuer)?.strip_prefix('='));
    for issuer in &identity.settings.issuers {
        let set = match (told(&issuer.name), &issuer.source) {
            (Some(file), _) => KeySet::parse(&read_file(Path::new(file))?),
            (None, Source::File(file)) => KeySet::parse(&read_file(Path::new(file))?),
            (None, Source::Set(set)) => KeySet::parse(sets.get(set).map_or("", String::as_str).as_bytes()),
            (None, Source::Url { url, roots, .. }) => {
                let ask = Ask { issuer: issuer.name.clone(), url: url.clone(), roots: roots.clone() };
                fetch(&ask).map_err(|error| error.to_string())
            }
        };
        authority.keys(&issuer.name, set, now).map_err(|e| format!("issuer {}: {e}", issuer.name))?;
    }
    let trust = TrustParts::read(&identity.trust).and_then(|parts| parts.trust(true));
    authority.set_trust(trust.map_err(|error| error.to_string())?);
    Ok(authority)
}

fn check(told: &Check, operators: &Path) -> Result<(), Ended> {
    let ((identity, sets), now) = (stated(operators)?, moment(told.at));
    let mut authority = authority(&identity, &sets, &told.keys, now)?;
    let token = told.token.as_deref().map(read_text).transpose()?;
    let chain = match &told.certificate {
        Some(path) => {
            let bytes = read_file(path)?;
            let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&bytes).collect();
            let chain = chain.map_err(|_| format!("{}: not PEM", path.display()))?;
            Some(Presented::read(&chain).map_err(Ended::Refused)?)
        }
        None => None,
    };
    let shown = Credentials { bearer: token.as_deref(), certificate: chain.as_ref() };
    let caller = authority.admit(shown, now).map_err(Ended::Refused)?;
    let tenant = identity.settings.tenants.iter().find(|tenant| *tenant.name == *caller.tenant);
    let rules = || tenant.into_iter().flat_map(|tenant| &tenant.rules);
    let may = match (&told.class, &told.object) {
        (Some(class), Some(object)) => Some(caller.may(class, &told.method, object)),
        _ => None,
    };
    if may == Some(false) {
        return Err(Ended::Refused(Reason::RightMissing));
    }
    if told.json {
        let rule = |rule: &sagearch_identity::rights::Rule| {
            json!({"allow": rule.allow, "classes": rule.classes, "prefix": rule.prefix,
                "methods": rule.methods.iter().map(|method| method.name()).collect::<Vec<_>>()})
        };
        let rules: Vec<Value> = rules().map(rule).collect();
        println!(
            "{}",
            json!({"accepted": true, "tenant": *caller.tenant, "principal": *caller.principal,
                "rules": rules, "may": may})
        );
    } else {
        println!("tenant {}, principal {}", caller.tenant, caller.principal);
        for rule in rules() {
            let or_all = |list: Vec<&str>| if list.is_empty() { "all".into() } else { list.join(" ") };
            let classes = or_all(rule.classes.iter().map(String::as_str).collect());
            let methods = or_all(rule.methods.iter().map(|method| method.name()).collect());
            let word = if rule.allow { "allow" } else { "deny" };
            println!("{word} classes {classes}, methods {methods}, objects {}*", rule.prefix);
        }
    }
    Ok(())
}

fn report_of(told: &Keys, operators: &Path) -> Result<Report, String> {
    let Some(url) = &told.admin else {
        let now = moment(told.at);
        let (identity, sets) = stated(operators)?;
        return Ok(authority(&identity, &sets, &[], now)?.report(now));
    };
    let mut tls = ureq::tls::TlsConfig::builder();
    let certificates = |path: &Path| {
        let bytes = read_file(path)?;
        let all = ureq::tls::parse_pem(&bytes).filter_map(|item| match item {
            Ok(ureq::tls::PemItem::Certificate(one)) => Some(Ok(one)),
            Ok(_) => None,
            Err(e) => Some(Err(format!("{}: {e}", path.display()))),
        });
        all.collect::<Result<Vec<_>, String>>()
    };
    if let Some(roots) = &told.roots {
        tls = tls.root_certs(ureq::tls::RootCerts::new_with_certs(&certificates(roots)?));
    }
    if let (Some(chain), Some(key)) = (&told.certificate, &told.key) {
        let key = ureq::tls::PrivateKey::from_pem(&read_file(key)?).map_err(|e| e.to_string())?;
        tls = tls.client_cert(Some(ureq::tls::ClientCert::new_with_certs(&certificates(chain)?, key)));
    }
    let config = ureq::Agent::config_builder().timeout_global(Some(Duration::from_secs(5))).proxy(None);
    let agent = config.tls_config(tls.build()).build().new_agent();
    let mut call = agent.get(format!("{}/v1/identity/keys", url.trim_end_matches('/')));
    if let Some(token) = &told.token {
        call = call.header("Authorization", format!("Bearer {}", read_text(token)?));
    }
    let text = call.call().map_err(|e| format!("{url}: {e}"))?.body_mut().read_to_string();
    serde_json::from_str(&text.map_err(|e| format!("{url}: {e}"))?).map_err(|e| format!("{url}: {e}"))
}

fn keys(told: &Keys, operators: &Path) -> Result<(), String> {
    let report = report_of(told, operators)?;
    if told.json {
        println!("{}", serde_json::to_string(&report).map_err(|e| e.to_string())?);
        return Ok(());
    }
    let when = |ms: Option<u64>| {
        let moment = ms.and_then(|ms| jiff::Timestamp::from_millisecond(i64::try_from(ms).ok()?).ok());
        moment.map_or_else(|| "-".to_string(), |moment| moment.to_string())
    };
    println!("{:<10} {:<7} {:<24} {:<24} {:<24} KID", "STATE", "ALG", "SEEN", "FROM", "UNTIL");
    for issuer in &report.issuers {
        let heard =
            issuer.heard_ms_ago.map_or("never heard".into(), |ms| format!("heard {} s ago", ms / 1_000));
        println!("{} ({heard}, asked {} times)", issuer.name, issuer.lookups);
        for key in &issuer.keys {
            let (seen, from, until) = (when(Some(key.seen)), when(key.from), when(key.until));
            let (state, algorithm) = (key.state.name(), &key.algorithm);
            println!("{state:<10} {algorithm:<7} {seen:<24} {from:<24} {until:<24} {}", key.kid);
        }
    }
    Ok(())
}

fn signer(path: &Path, algorithm: Signing, kid: &Option<String>) -> Result<Signer, String> {
    let bytes = read_file(path)?;
    let key = PrivatePkcs8KeyDer::from_pem_slice(&bytes)
        .map_err(|_| format!("{}: holds no private key in PKCS #8", path.display()))?;
    let random = SystemRandom::new();
    Signer::read(kid.clone(), algorithm.algorithm(), key.secret_pkcs8_der(), &random)
        .map_err(|e| format!("{}: {e}", path.display()))
}

/// The set that a file holds, as it stands there: further members of its keys are kept.
fn held_set(path: &Path) -> Result<Vec<Map<String, Value>>, String> {
    if !path.exists() {
        return Ok(Vec::new());
    }
    let bytes = read_file(path)?;
    KeySet::parse(&bytes).map_err(|e| format!("{}: {e}", path.display()))?;
    let set: Value = serde_json::from_slice(&bytes).map_err(|e| e.to_string())?;
    let keys = set["keys"].as_array().cloned().unwrap_or_default();
    Ok(keys.into_iter().filter_map(|key| key.as_object().cloned()).collect())
}

fn told(json: bool, said: Value, line: String) {
    if json { println!("{said}") } else { println!("{line}") }
}

fn authority_at(prefix: &Path) -> Result<Issued, String> {
    let read = |ending| {
        let path = with_ending(prefix, ending);
        std::fs::read_to_string(&path).map_err(|e| format!("{}: {e}", path.display()))
    };
    Ok(Issued { certificate: read(".pem")?, key: read(".key")? })
}

fn write_pair(prefix: &Path, issued: &Issued, json: bool) -> Result<(), String> {
    write(&with_ending(prefix, ".key"), &issued.key, true)?;
    write(&with_ending(prefix, ".pem"), &issued.certificate, false)?;
    let der = CertificateDer::from_pem_slice(issued.certificate.as_bytes()).map_err(|e| e.to_string())?;
    let serial = Presented::read(&[der]).map_err(|e| e.to_string())?.serial;
    let name = prefix.display().to_string();
    told(json, json!({"prefix": name, "serial": serial}), format!("{name}.pem, {name}.key: serial {serial}"));
    Ok(())
}

fn issue(what: &Issue) -> Result<(), String> {
    let random = SystemRandom::new();
    match what {
        Issue::Key { algorithm, out, json } => {
            let key = generate(algorithm.algorithm(), &random)?;
            let pem = pem_of("PRIVATE KEY", &key);
            write(out, &pem, true)?;
            let kid = signer(out, *algorithm, &None)?.kid;
            let name = out.display().to_string();
            told(*json, json!({"key": name, "thumbprint": kid}), format!("{name}: thumbprint {kid}"));
            Ok(())
        }
        Issue::Jwks { key, algorithm, kid, from, until, retire, revoke, out, json } => {
            let mut set = held_set(out)?;
            let named = |jwk: &Map<String, Value>, kids: &[String]| {
                jwk.get("kid")
                    .and_then(Value::as_str)
                    .is_some_and(|kid| kids.iter().any(|named| named == kid))
            };
            set.retain(|jwk| !named(jwk, retire));
            for jwk in set.iter_mut().filter(|jwk| named(jwk, revoke)) {
                jwk.insert("revoked".into(), json!({"revoked_at": sagearch_clock::unix_millis() / 1_000}));
            }
            if let Some(path) = key {
                let signer = signer(path, *algorithm, kid)?;
                let mut jwk = signer.jwk();
                from.iter().for_each(|from| drop(jwk.insert("nbf".into(), json!(from.as_second()))));
                until.iter().for_each(|until| drop(jwk.insert("exp".into(), json!(until.as_second()))));
                set.retain(|held| !named(held, std::slice::from_ref(&signer.kid)));
                set.push(jwk);
            }
            let text = serde_json::to_string_pretty(&json!({"keys": set})).map_err(|e| e.to_string())?;
            KeySet::parse(text.as_bytes())?;
            replace(out, &text)?;
            let kids: Vec<Value> = set.iter().filter_map(|jwk| jwk.get("kid").cloned()).collect();
            told(*json, json!({"keys": kids}), format!("{}: {} keys", out.display(), kids.len()));
            Ok(())
        }
        Issue::Token { key, algorithm, kid, issuer, audience, subject, claim, life: lasts, json } => {
            let now = sagearch_clock::unix_millis() / 1_000;
            let until = now + life(*lasts)?.as_secs();
            let mut claims =
                json!({"iss": issuer, "aud": audience, "sub": subject, "iat": now, "exp": until});
            for pair in claim {
                let (name, value) = pair.split_once('=').ok_or("a claim is NAME=VALUE")?;
                claims[name] = json!(value);
            }
            let token = signer(key, *algorithm, kid)?.token(&claims, &random)?;
            told(*json, json!({"token": token, "exp": until}), token.clone());
            Ok(())
        }
        Issue::Authority { name, life: lasts, out, json } => {
            write_pair(out, &issue::authority(name, Life::of(life(*lasts)?))?, *json)
        }
        Issue::Certificate { authority, uri, dns, server, life: lasts, out, json } => {
            let wanted = Wanted { uris: uri.clone(), names: dns.clone(), server: *server, serial: None };
            write_pair(out, &authority_at(authority)?.issue(&wanted, Life::of(life(*lasts)?))?, *json)
        }
        Issue::RevocationList { authority, serial, life: lasts, out, json } => {
            let list = authority_at(authority)?.revoke(serial, Life::of(life(*lasts)?))?;
            replace(out, &list)?;
            let line = format!("{}: {} certificates", out.display(), serial.len());
            told(*json, json!({"revoked": serial}), line);
            Ok(())
        }
    }
}

/// RFC 7468.
fn pem_of(label: &str, der: &[u8]) -> String {
    use base64::Engine;
    let text = base64::prelude::BASE64_STANDARD.encode(der);
    let lines: Vec<&str> =
        text.as_bytes().chunks(64).filter_map(|line| std::str::from_utf8(line).ok()).collect();
    format!("-----BEGIN {label}-----\n{}\n-----END {label}-----\n", lines.join("\n"))
}

/// Carries a command out. The exit code is part of its answer.
pub fn run(command: &Command, operators: &Path) -> ExitCode {
    let (ended, json) = match command {
        Command::Check(told) => (check(told, operators), told.json),
        Command::Keys(told) => (keys(told, operators).map_err(Ended::Fault), told.json),
        Command::Issue(what) => (issue(what).map_err(Ended::Fault), false),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(Ended::Refused(reason)) => {
            told(json, json!({"accepted": false, "reason": reason.label()}), format!("refused: {reason}"));
            ExitCode::from(1)
        }
        Err(Ended::Fault(cause)) => {
            eprintln!("{cause}");
            ExitCode::from(2)
        }
    }
}
