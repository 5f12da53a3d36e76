//! The settings of caller identification, independent of the file format that operators write.
//!
//! Durations are in milliseconds, and points in time in milliseconds since the Unix epoch.

use crate::Millis;
use crate::jwks::Algorithm;
use crate::rights::Rule;
use ipnet::IpNet;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The maximum number of issuers.
pub const MAX_ISSUERS: usize = 64;
/// The maximum number of tenants.
pub const MAX_TENANTS: usize = 20_000;
/// The maximum number of rules of one tenant.
pub const MAX_RULES: usize = 1_000;
/// The maximum number of token claims, certificate names and networks of one tenant together.
pub const MAX_MARKS: usize = 1_000;

/// The settings of caller identification in one version of the operators' file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// The audiences of the gateway; a token is accepted if it is for one of them.
    pub audiences: Vec<String>,
    /// The tolerated difference between the clocks of issuers and gateway for the times in tokens. There is no leeway
    /// for the times of keys.
    pub leeway: Millis,
    /// The maximum number of entries in the cache of verified tokens, and in that of verified certificate chains.
    pub cached: usize,
    /// The tenant of requests without credentials; `None` if they are refused.
    pub anonymous: Option<String>,
    /// The issuers of tokens.
    pub issuers: Vec<Issuer>,
    /// The tenants that requests are made for.
    pub tenants: Vec<Tenant>,
    /// The operators who may call the operators' address.
    pub operators: Vec<Operator>,
    /// The keys, tokens, principals and certificates that are revoked.
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

/// An issuer of tokens.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Issuer {
    /// The issuer's name, which is the `iss` claim of its tokens.
    pub name: String,
    /// The algorithms that the issuer's tokens may be signed with.
    pub algorithms: Vec<Algorithm>,
    /// The source of the issuer's key set.
    pub source: Source,
    /// The name of the claim that states the principal.
    pub principal: String,
    /// The maximum validity period of a token.
    pub longest: Millis,
    /// The time for which a key is accepted after the issuer has stopped publishing it.
    pub retiring: Millis,
    /// The operators' terms for single keys, which apply in addition to what the issuer publishes.
    pub keys: Vec<KeyTerms>,
}

/// The source of an issuer's key set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Source {
    /// A file of this machine, which is read again when it changes. It is never stale.
    File(String),
    /// The name of a set that is distributed with the settings.
    Set(String),
    /// An HTTP server, from which the set is fetched repeatedly.
    Url {
        /// The URL of the key set.
        url: String,
        /// The file with the roots that verify an https server's certificate; `None` for plain http.
        roots: Option<String>,
        /// The intervals of the requests.
        times: Times,
    },
}

/// The intervals at which an issuer's key set is fetched.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Times {
    /// The usual interval between two requests.
    pub every: Millis,
    /// The minimum interval between two requests, which applies also if tokens name unknown keys.
    pub interval: Millis,
    /// The time for which the issuer's keys are accepted after the last set was installed.
    pub hold: Millis,
}

/// The operators' terms for one key of an issuer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct KeyTerms {
    /// The key id.
    pub kid: String,
    /// The time from which the key signs, in milliseconds since the Unix epoch.
    pub active_from: Option<Millis>,
    /// The time until which the key is accepted, in milliseconds since the Unix epoch.
    pub retired_at: Option<Millis>,
}

/// A tenant that requests are made for.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// The tenant's name.
    pub name: String,
    /// The tokens that map to the tenant.
    pub tokens: Vec<TokenMark>,
    /// The certificates that map to the tenant.
    pub certificates: Vec<CertificateMark>,
    /// The networks of the resolvers whose DNS queries map to the tenant.
    pub networks: Vec<IpNet>,
    /// The tenant's authorization rules, of which the first that matches decides.
    pub rules: Vec<Rule>,
}

/// The tokens that map to a tenant or an operator: those of an issuer with a certain claim value, or all its other
/// tokens.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct TokenMark {
    /// The issuer's name.
    pub issuer: String,
    /// The claim and its value; `None` for the issuer's tokens whose claims map to no other entry.
    pub claim: Option<(String, String)>,
}

/// A name in certificates (RFC 5280, subjectAltName) that maps to a tenant or an operator.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum CertificateMark {
    /// A URI, or all URIs below it if it ends with a slash.
    Uri(String),
    /// A DNS name, or `*.` and a domain for all names one label below the domain.
    Dns(String),
}

/// An operator who may call the operators' address.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Operator {
    /// The operator's name.
    pub name: String,
    /// The tokens that map to the operator.
    pub tokens: Vec<TokenMark>,
    /// The certificates that map to the operator.
    pub certificates: Vec<CertificateMark>,
    /// Whether the operator may make changes; every operator may read.
    pub may_change: bool,
}

/// Keys, tokens, principals and certificates that are no longer accepted, although they are otherwise valid.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Revoked {
    /// The revoked keys, by issuer and `kid`.
    pub keys: BTreeSet<(String, String)>,
    /// The revoked tokens, by issuer and `jti`.
    pub tokens: BTreeSet<(String, String)>,
    /// The revoked principals, by tenant and name.
    pub principals: BTreeSet<(String, String)>,
    /// The revoked certificates, by serial number in lower-case hex without leading zeros.
    pub serials: BTreeSet<String>,
}
