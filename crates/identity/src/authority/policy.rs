//! The settings compiled for lookups of the tenant or operator that claims and certificate names map to.

use super::policy_error::{EntryError, PolicyError};
use super::settings_limits::check_limits;
use crate::caller::{Caller, Proof, Reason};
use crate::certificate::Presented;
use crate::jwks::Algorithm;
use crate::rights::{Rights, StringInterner};
use crate::settings::{Issuer, Operator, Settings, TokenMark};
use crate::tenants::{MarkIndex, Match, NetworkIndex};
use crate::token::Claims;
use crate::{MAX_NAME_BYTES, Millis};
use std::collections::{HashMap, HashSet};
use std::net::IpAddr;
use std::sync::Arc;

/// A tenant with its compiled rules.
struct Tenant {
    name: Arc<str>,
    rights: Arc<Rights>,
}

/// One version of the settings, checked and compiled. It is immutable.
pub struct Policy {
    pub(super) settings: Settings,
    tenants: Vec<Tenant>,
    marks: MarkIndex,
    operators: MarkIndex,
    networks: NetworkIndex,
    issuers: IssuerIndex,
    anonymous: Option<Arc<Caller>>,
}

impl Policy {
    /// Creates the policy of a process that has no settings yet.
    pub(super) fn empty() -> Policy {
        Policy {
            settings: Settings::default(),
            tenants: Vec::new(),
            marks: MarkIndex::default(),
            operators: MarkIndex::default(),
            networks: NetworkIndex::default(),
            issuers: HashMap::new(),
            anonymous: None,
        }
    }

    /// Checks and compiles settings.
    ///
    /// # Errors
    ///
    /// A name or a mark appears twice, a reference has no target, or a limit is exceeded.
    pub fn new(settings: Settings) -> Result<Policy, PolicyError> {
        check_limits(&settings)?;
        let issuers = index_issuers(&settings)?;
        let (tenants, marks) = compile_tenants(&settings, &issuers)?;
        let operators = compile_operators(&settings, &issuers)?;
        let anonymous = match &settings.anonymous {
            Some(name) => Some(anonymous_caller(name, &tenants)?),
            None => None,
        };
        let networks = NetworkIndex::new(&settings).map_err(PolicyError::Network)?;
        Ok(Policy { settings, tenants, marks, operators, networks, issuers, anonymous })
    }

    /// Returns the settings of an issuer.
    pub(super) fn issuer(&self, name: &str) -> Option<&Issuer> {
        self.issuers.get(name).map(|index| &self.settings.issuers[*index])
    }

    /// Returns the caller of the matched tenant, unless the principal is revoked.
    fn caller(&self, matched: Match, principal: &str, proof: Proof) -> Result<Arc<Caller>, Reason> {
        let tenant = match matched {
            Match::One(index) => self.tenants.get(index).ok_or(Reason::NoTenant)?,
            Match::None => return Err(Reason::NoTenant),
            Match::Several => return Err(Reason::CertificateNames),
        };
        if !self.settings.revoked.principals.is_empty() {
            let tenant_and_principal = (tenant.name.to_string(), principal.to_string());
            if self.settings.revoked.principals.contains(&tenant_and_principal) {
                return Err(Reason::Revoked);
            }
        }
        Ok(caller(tenant, principal, proof))
    }

    /// Returns the caller that a token maps to, after checking its claims.
    pub(super) fn token_caller(
        &self,
        claims: &Claims,
        algorithm: Algorithm,
        now: Millis,
    ) -> Result<Arc<Caller>, Reason> {
        let issuer = self.check_claims(claims, algorithm, now)?;
        let principal = claims.all.get(&issuer.principal).and_then(|value| value.as_str());
        let principal = principal.filter(|name| !name.is_empty() && name.len() <= MAX_NAME_BYTES);
        let matched = match self.marks.token(claims) {
            // An ambiguous token maps to no tenant; only certificates have a separate reason for this.
            Match::Several => Match::None,
            matched => matched,
        };
        self.caller(matched, principal.ok_or(Reason::Malformed)?, Proof::Token)
    }

    /// Returns the caller that the names in a verified certificate map to.
    pub(super) fn certificate_caller(&self, presented: &Presented) -> Result<Arc<Caller>, Reason> {
        let matched = self.marks.certificate(&presented.uris, &presented.names);
        self.caller(matched, presented.principal(), Proof::Certificate)
    }

    /// Returns the caller that a resolver's address maps to.
    pub(super) fn network_caller(&self, from: IpAddr) -> Result<Arc<Caller>, Reason> {
        let index = self.networks.longest_match(from).ok_or(Reason::NoTenant)?;
        self.caller(Match::One(index), &from.to_canonical().to_string(), Proof::Network)
    }

    /// Returns the caller of requests without credentials, if the settings name a tenant for them.
    pub(super) fn anonymous_caller(&self) -> Option<Arc<Caller>> {
        self.anonymous.clone()
    }

    /// Returns the operator that a token maps to, after checking its claims.
    pub(super) fn token_operator(
        &self,
        claims: &Claims,
        algorithm: Algorithm,
        now: Millis,
    ) -> Result<&Operator, Reason> {
        self.check_claims(claims, algorithm, now)?;
        self.operator(self.operators.token(claims))
    }

    /// Returns the operator that the names in a verified certificate map to.
    pub(super) fn certificate_operator(&self, presented: &Presented) -> Result<&Operator, Reason> {
        self.operator(self.operators.certificate(&presented.uris, &presented.names))
    }

    /// Returns the matched operator.
    fn operator(&self, matched: Match) -> Result<&Operator, Reason> {
        let Match::One(index) = matched else { return Err(Reason::RightMissing) };
        self.settings.operators.get(index).ok_or(Reason::RightMissing)
    }

    /// The number of tenants.
    pub(super) fn tenant_count(&self) -> usize {
        self.tenants.len()
    }

    /// Checks a token's claims, independently of its tenant or operator, and returns its issuer.
    fn check_claims(&self, claims: &Claims, algorithm: Algorithm, now: Millis) -> Result<&Issuer, Reason> {
        let issuer = self.issuer(&claims.iss).ok_or(Reason::IssuerUnknown)?;
        if !issuer.algorithms.contains(&algorithm) {
            return Err(Reason::Algorithm);
        }
        claims.check(&self.settings.audiences, now, self.settings.leeway, issuer.longest)?;
        if let Some(jti) = &claims.jti
            && self.settings.revoked.tokens.contains(&(claims.iss.clone(), jti.clone()))
        {
            return Err(Reason::Revoked);
        }
        Ok(issuer)
    }
}

/// Checks settings as [`Policy::new`] does, and discards the policy.
///
/// # Errors
///
/// A name or a mark appears twice, a reference has no target, or a limit is exceeded.
pub fn check(settings: &Settings) -> Result<(), PolicyError> {
    Policy::new(settings.clone()).map(drop)
}

fn caller(tenant: &Tenant, principal: &str, proof: Proof) -> Arc<Caller> {
    let rights = Some(tenant.rights.clone());
    Arc::new(Caller { tenant: tenant.name.clone(), principal: principal.into(), proof, rights })
}

/// The indices of issuers in the settings, by name.
type IssuerIndex = HashMap<String, usize>;

fn index_issuers(settings: &Settings) -> Result<IssuerIndex, PolicyError> {
    let mut issuers = HashMap::new();
    for (index, issuer) in settings.issuers.iter().enumerate() {
        if issuers.insert(issuer.name.clone(), index).is_some() {
            return Err(PolicyError::DuplicateIssuer(issuer.name.clone()));
        }
    }
    Ok(issuers)
}

fn compile_tenants(
    settings: &Settings,
    issuers: &IssuerIndex,
) -> Result<(Vec<Tenant>, MarkIndex), PolicyError> {
    let (mut tenants, mut marks, mut names) = (Vec::new(), MarkIndex::default(), HashSet::new());
    let mut strings = StringInterner::default();
    for (index, tenant) in settings.tenants.iter().enumerate() {
        let error = |source| PolicyError::Tenant { tenant: tenant.name.clone(), source };
        if !names.insert(tenant.name.as_str()) {
            return Err(error(EntryError::Duplicate));
        }
        check_issuers(&tenant.tokens, issuers).map_err(error)?;
        let added = marks.add(index, &tenant.tokens, &tenant.certificates);
        added.map_err(|conflict| error(conflict.into()))?;
        let rights = Arc::new(Rights::new(&tenant.rules, &mut strings));
        tenants.push(Tenant { name: tenant.name.as_str().into(), rights });
    }
    Ok((tenants, marks))
}

fn compile_operators(settings: &Settings, issuers: &IssuerIndex) -> Result<MarkIndex, PolicyError> {
    let mut marks = MarkIndex::default();
    for (index, operator) in settings.operators.iter().enumerate() {
        let error = |source| PolicyError::Operator { operator: operator.name.clone(), source };
        check_issuers(&operator.tokens, issuers).map_err(error)?;
        let added = marks.add(index, &operator.tokens, &operator.certificates);
        added.map_err(|conflict| error(conflict.into()))?;
    }
    Ok(marks)
}

/// Checks that the issuers of token marks are in the settings.
fn check_issuers(tokens: &[TokenMark], issuers: &IssuerIndex) -> Result<(), EntryError> {
    match tokens.iter().find(|mark| !issuers.contains_key(&mark.issuer)) {
        Some(mark) => Err(EntryError::UnknownIssuer(mark.issuer.clone())),
        None => Ok(()),
    }
}

fn anonymous_caller(name: &str, tenants: &[Tenant]) -> Result<Arc<Caller>, PolicyError> {
    let tenant = tenants.iter().find(|tenant| &*tenant.name == name);
    let tenant = tenant.ok_or_else(|| PolicyError::UnknownAnonymousTenant(name.into()))?;
    Ok(caller(tenant, "-", Proof::None))
}
