//! What operators state of identity, as types. Where it is read from is not known here.

use crate::Millis;
use crate::jwks::Algorithm;
use crate::rights::Rule;
use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Bounds of a file: what goes beyond turns it down.
pub const MOST_ISSUERS: usize = 64;
pub const MOST_TENANTS: usize = 20_000;
pub const MOST_RULES: usize = 1_000;
/// Of one tenant's claims, names and networks together.
pub const MOST_MARKS: usize = 1_000;

/// All of identity, as one version of the operators' file has it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// A token is taken if it is for one of these.
    pub audiences: Vec<String>,
    /// By how much clocks may differ, for the times in tokens. Keys' lives know no leeway.
    pub leeway: Millis,
    /// Verified tokens, and certificates' chains, that are remembered at most, each.
    pub cached: usize,
    /// The tenant of requests that show nothing; `None`: they are refused.
    pub anonymous: Option<String>,
    pub issuers: Vec<Issuer>,
    pub tenants: Vec<Tenant>,
    pub operators: Vec<Operator>,
    pub revoked: Revoked,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            audiences: Vec::new(),
            leeway: 30_000,
            cached: 10_000,
            anonymous: None,
            issuers: Vec::new(),
            tenants: Vec::new(),
            operators: Vec::new(),
            revoked: Revoked::default(),
        }
    }
}

/// Who signs tokens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Issuer {
    /// The `iss` of its tokens.
    pub name: String,
    pub algorithms: Vec<Algorithm>,
    pub source: Source,
    /// The claim that names the principal.
    pub principal: String,
    /// The longest life of one of its tokens.
    pub longest: Millis,
    /// A key that it publishes no more is accepted for this long.
    pub retiring: Millis,
    /// What operators say of single keys, whatever the issuer publishes.
    pub keys: Vec<KeyTerms>,
}

/// Where an issuer's keys come from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Source {
    /// A file, which is read again when it changes. It is this machine's own, and never too old.
    File(String),
    /// A set that comes with the settings, by its name.
    Set(String),
    /// Asked for over HTTP.
    Url {
        url: String,
        /// Certificates of those who may vouch for an https server, as a file.
        roots: Option<String>,
        times: Times,
    },
}

/// When an issuer is asked.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Times {
    /// As a rule.
    pub every: Millis,
    /// And never sooner than this after the last time, whatever tokens come.
    pub interval: Millis,
    /// Its keys are good for this long after it was last heard.
    pub hold: Millis,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct KeyTerms {
    pub kid: String,
    pub active_from: Option<Millis>,
    pub retired_at: Option<Millis>,
}

/// For whom requests come.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    pub name: String,
    pub tokens: Vec<TokenMark>,
    pub certificates: Vec<CertificateMark>,
    /// Networks of resolvers that ask for it.
    pub networks: Vec<IpNet>,
    pub rules: Vec<Rule>,
}

/// Tokens that are a tenant's: those of an issuer in which a claim has a value, or all of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TokenMark {
    pub issuer: String,
    pub claim: Option<(String, String)>,
}

/// Names in certificates (RFC 5280, subjectAltName) that are a tenant's.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CertificateMark {
    /// A URI, or with a slash at its end all under it.
    Uri(String),
    /// A DNS name, or `*.` and a domain for the names one label below it.
    Dns(String),
}

/// Who may call the operators' address.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Operator {
    pub name: String,
    pub tokens: Vec<TokenMark>,
    pub certificates: Vec<CertificateMark>,
    /// May change things; one who may not may still look.
    pub may_change: bool,
}

/// What is accepted no more, whatever else is in order.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Revoked {
    /// Keys, by issuer and kid.
    pub keys: BTreeSet<(String, String)>,
    /// Tokens, by issuer and `jti`.
    pub tokens: BTreeSet<(String, String)>,
    /// Principals, by tenant.
    pub principals: BTreeSet<(String, String)>,
    /// Certificates, by serial number in lower-case hex.
    pub serials: BTreeSet<String>,
}
