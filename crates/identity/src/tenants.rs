//! The mapping of token claims, certificate names and networks to tenants or operators.

use crate::settings::{CertificateMark, Settings, TokenMark};
use crate::token::Claims;
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;
use serde_json::Value;
use std::collections::HashMap;
use std::net::IpAddr;
use thiserror::Error;

/// The index of a tenant or an operator in the settings.
pub type EntryIndex = usize;

/// The index from marks of tokens and certificates to the entries that state them.
#[derive(Debug, Default)]
pub struct MarkIndex {
    /// The marks of tokens by issuer.
    tokens: HashMap<String, IssuerMarkIndex>,
    uris: HashMap<String, EntryIndex>,
    names: HashMap<String, EntryIndex>,
}

/// The marks of one issuer's tokens.
#[derive(Debug, Default)]
struct IssuerMarkIndex {
    /// The entries by the claim's name and value.
    claims: HashMap<String, HashMap<String, EntryIndex>>,
    /// The entry of tokens whose claims match no other entry.
    default_entry: Option<EntryIndex>,
}

/// Two tenants, or two operators, state the same mark or network.
#[derive(Debug, Error)]
pub enum MarkConflict {
    /// The tokens of an issuer, or those of them with a claim.
    #[error("tokens of {issuer:?}{} are another's already", claim_text(.claim.as_ref()))]
    Token {
        /// The issuer.
        issuer: String,
        /// The claim and its value; `None` for all tokens of the issuer.
        claim: Option<(String, String)>,
    },
    /// The certificates with a name.
    #[error("{0:?} is another's already")]
    Certificate(CertificateMark),
    /// A network of resolvers.
    #[error("{0} is another's already")]
    Network(IpNet),
}

fn claim_text(claim: Option<&(String, String)>) -> String {
    claim.map_or_else(String::new, |(name, value)| format!(" with {name} {value:?}"))
}

/// The entries that a caller's claims or names match.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Match {
    /// No entry.
    None,
    /// One entry.
    One(EntryIndex),
    /// Several entries, so that the caller is ambiguous.
    Several,
}

impl Match {
    /// Adds the entry that was found, if any, to this match.
    fn with(self, index: Option<EntryIndex>) -> Match {
        match (self, index) {
            (found, None) => found,
            (Match::None, Some(index)) => Match::One(index),
            (Match::One(first), Some(index)) if first == index => self,
            _ => Match::Several,
        }
    }
}

impl MarkIndex {
    /// Adds the marks of an entry.
    ///
    /// # Errors
    ///
    /// Another entry has stated the same mark.
    pub fn add(
        &mut self,
        index: EntryIndex,
        tokens: &[TokenMark],
        certificates: &[CertificateMark],
    ) -> Result<(), MarkConflict> {
        for mark in tokens {
            let issuer = self.tokens.entry(mark.issuer.clone()).or_default();
            let previous = match &mark.claim {
                None => issuer.default_entry.replace(index),
                Some((claim, value)) => {
                    issuer.claims.entry(claim.clone()).or_default().insert(value.clone(), index)
                }
            };
            if previous.is_some_and(|previous| previous != index) {
                let (issuer, claim) = (mark.issuer.clone(), mark.claim.clone());
                return Err(MarkConflict::Token { issuer, claim });
            }
        }
        for mark in certificates {
            let (map, name) = match mark {
                CertificateMark::Uri(uri) => (&mut self.uris, uri.clone()),
                CertificateMark::Dns(name) => (&mut self.names, name.to_ascii_lowercase()),
            };
            if map.insert(name, index).is_some_and(|previous| previous != index) {
                return Err(MarkConflict::Certificate(mark.clone()));
            }
        }
        Ok(())
    }

    /// Returns the entries that a token's claims match, or the issuer's default entry if they match none.
    pub fn token(&self, claims: &Claims) -> Match {
        let Some(issuer) = self.tokens.get(&claims.iss) else { return Match::None };
        let mut found = Match::None;
        for (claim, values) in &issuer.claims {
            match claims.all.get(claim) {
                Some(Value::String(value)) => found = found.with(values.get(value).copied()),
                // One matching value of a list is sufficient, as for group memberships.
                Some(Value::Array(list)) => {
                    for value in list.iter().filter_map(Value::as_str) {
                        found = found.with(values.get(value).copied());
                    }
                }
                _ => {}
            }
        }
        if found == Match::None { found.with(issuer.default_entry) } else { found }
    }

    /// Returns the entries that a certificate's names match.
    pub fn certificate(&self, uris: &[String], names: &[String]) -> Match {
        let mut found = Match::None;
        for uri in uris {
            found = found.with(self.uri(uri));
        }
        for name in names {
            let name = name.to_ascii_lowercase();
            let wildcard = || Some(format!("*.{}", name.split_once('.')?.1));
            let index = self.names.get(&name).copied();
            found = found.with(index.or_else(|| self.names.get(&wildcard()?).copied()));
        }
        found
    }

    /// Returns the entry of the URI, or that of its longest parent path.
    fn uri(&self, uri: &str) -> Option<EntryIndex> {
        let parents = uri.rmatch_indices('/').map(|(slash, _)| &uri[..=slash]);
        std::iter::once(uri).chain(parents).find_map(|path| self.uris.get(path)).copied()
    }
}

/// The index from networks of resolvers to the tenants that state them.
#[derive(Default)]
pub struct NetworkIndex {
    v4: PrefixMap<Ipv4Net, EntryIndex>,
    v6: PrefixMap<Ipv6Net, EntryIndex>,
}

impl NetworkIndex {
    /// Indexes the networks of all tenants.
    ///
    /// # Errors
    ///
    /// Two tenants state the same network.
    pub fn new(settings: &Settings) -> Result<NetworkIndex, MarkConflict> {
        let mut networks = NetworkIndex::default();
        for (index, tenant) in settings.tenants.iter().enumerate() {
            for net in &tenant.networks {
                let previous = match net.trunc() {
                    IpNet::V4(net) => networks.v4.insert(net, index),
                    IpNet::V6(net) => networks.v6.insert(net, index),
                };
                if previous.is_some_and(|previous| previous != index) {
                    return Err(MarkConflict::Network(*net));
                }
            }
        }
        Ok(networks)
    }

    /// Returns the tenant of the longest prefix that contains the address. An IPv4-mapped IPv6 address (RFC 4291,
    /// section 2.5.5.2) is looked up as the IPv4 address.
    pub fn longest_match(&self, from: IpAddr) -> Option<EntryIndex> {
        match from.to_canonical() {
            IpAddr::V4(ip) => self.v4.get_lpm(&ip.into()).map(|(_, index)| *index),
            IpAddr::V6(ip) => self.v6.get_lpm(&ip.into()).map(|(_, index)| *index),
        }
    }
}
