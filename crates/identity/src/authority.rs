//! All that decides who a caller is, behind a few calls: feed it settings, key sets and trust, and ask it.
//!
//! A call takes `&mut self` and little time, and none waits for anything. Where something inside is not as it
//! should be, the answer is a refusal.

use crate::Millis;
use crate::caller::{Caller, Proof, Reason};
use crate::certificate::{ChainFact, Presented, Trust};
use crate::jwks::{Algorithm, KeySet};
use crate::keyring::{Ends, KeyInfo, Keyring};
use crate::lookup::Lookups;
use crate::rights::{Rights, Texts};
use crate::settings::*;
use crate::steady::{Now, Steady};
use crate::tenants::{Found, Marks, Networks, Place};
use crate::token::{self, Claims, Signed};
use lru::LruCache;
use ring::digest;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::IpAddr;
use std::num::NonZeroUsize;
use std::sync::Arc;

/// What a request shows. A token goes before a certificate, and a bad one is not made good by the other.
#[derive(Clone, Copy, Debug, Default)]
pub struct Credentials<'a> {
    pub bearer: Option<&'a str>,
    pub certificate: Option<&'a Presented>,
}

/// An operator who has been recognised.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorCaller {
    pub name: Arc<str>,
    pub may_change: bool,
}

/// An issuer that is to be asked for its keys now.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    pub issuer: String,
    pub url: String,
    pub roots: Option<String>,
}

/// What a process passes on to the one that takes over, so that this accepts nothing that was refused already.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Handover {
    /// The time that was judged by.
    floor: Millis,
    issuers: BTreeMap<String, Ends>,
}

/// Figures for metrics and people.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Report {
    pub version: u64,
    pub tenants: usize,
    pub tokens_cached: usize,
    pub chains_cached: usize,
    pub clock_steps: u64,
    pub issuers: Vec<IssuerReport>,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct IssuerReport {
    pub name: String,
    /// How long ago its keys were last taken in; `None`: never.
    pub heard_ms_ago: Option<Millis>,
    pub lookups: u64,
    pub lookups_spared: u64,
    pub keys: Vec<KeyInfo>,
}

/// That a signature was made by a key, and what was signed. Whether that is good for anything is decided each time.
struct TokenFact {
    kid: String,
    print: [u8; 32],
    algorithm: Algorithm,
    issuer: Arc<str>,
    payload: Box<[u8]>,
    exp: Millis,
    nbf: Option<Millis>,
    iat: Option<Millis>,
    /// The version under which it was mapped, and to whom.
    version: u64,
    caller: Arc<Caller>,
}

struct Tenant {
    name: Arc<str>,
    rights: Arc<Rights>,
}

/// Which key verified a signature: its kid and its thumbprint.
type Verifier = (String, [u8; 32]);

/// One version of the settings, compiled: whole, checked and never changed.
pub struct Policy {
    settings: Settings,
    tenants: Vec<Tenant>,
    marks: Marks,
    operators: Marks,
    networks: Networks,
    issuers: HashMap<String, usize>,
    anonymous: Option<Arc<Caller>>,
}

impl Policy {
    fn empty() -> Policy {
        Policy {
            settings: Settings::default(),
            tenants: Vec::new(),
            marks: Marks::default(),
            operators: Marks::default(),
            networks: Networks::default(),
            issuers: HashMap::new(),
            anonymous: None,
        }
    }

    /// Names stand once, whatever is referred to is there, and no bound is passed; or what is wrong.
    pub fn new(settings: Settings) -> Result<Policy, String> {
        bounds(&settings)?;
        let (mut texts, mut marks, mut operators) = (Texts::default(), Marks::default(), Marks::default());
        let mut issuers = HashMap::new();
        for (at, issuer) in settings.issuers.iter().enumerate() {
            if issuers.insert(issuer.name.clone(), at).is_some() {
                return Err(format!("issuer {:?} stands twice", issuer.name));
            }
        }
        let known =
            |tokens: &[TokenMark]| match tokens.iter().find(|mark| !issuers.contains_key(&mark.issuer)) {
                Some(mark) => Err(format!("issuer {:?} is not in the file", mark.issuer)),
                None => Ok(()),
            };
        let (mut tenants, mut names) = (Vec::new(), HashSet::new());
        for (place, tenant) in settings.tenants.iter().enumerate() {
            let fault = |e: String| format!("tenant {:?}: {e}", tenant.name);
            if !names.insert(tenant.name.as_str()) {
                return Err(fault("stands twice".into()));
            }
            known(&tenant.tokens).map_err(fault)?;
            marks.add(place, &tenant.tokens, &tenant.certificates).map_err(fault)?;
            let rights = Arc::new(Rights::new(&tenant.rules, &mut texts));
            tenants.push(Tenant { name: tenant.name.as_str().into(), rights });
        }
        for (place, operator) in settings.operators.iter().enumerate() {
            let fault = |e: String| format!("operator {:?}: {e}", operator.name);
            known(&operator.tokens).map_err(fault)?;
            operators.add(place, &operator.tokens, &operator.certificates).map_err(fault)?;
        }
        let anonymous = match &settings.anonymous {
            None => None,
            Some(name) => {
                let tenant = tenants.iter().find(|tenant| &*tenant.name == name.as_str());
                let tenant =
                    tenant.ok_or_else(|| format!("anonymous: tenant {name:?} is not in the file"))?;
                Some(caller(tenant, "-", Proof::None))
            }
        };
        let networks = Networks::new(&settings)?;
        Ok(Policy { tenants, marks, operators, networks, issuers, anonymous, settings })
    }

    fn issuer(&self, name: &str) -> Option<&Issuer> {
        self.issuers.get(name).map(|at| &self.settings.issuers[*at])
    }

    fn caller(&self, found: Found, principal: &str, proof: Proof) -> Result<Arc<Caller>, Reason> {
        let tenant = match found {
            Found::One(place) => self.tenants.get(place).ok_or(Reason::NoTenant)?,
            Found::None => return Err(Reason::NoTenant),
            Found::Several => return Err(Reason::CertificateNames),
        };
        if !self.settings.revoked.principals.is_empty() {
            let who = (tenant.name.to_string(), principal.to_string());
            if self.settings.revoked.principals.contains(&who) {
                return Err(Reason::Revoked);
            }
        }
        Ok(caller(tenant, principal, proof))
    }

    /// Who a token with good times stands for.
    fn token(&self, claims: &Claims, algorithm: Algorithm, now: Millis) -> Result<Arc<Caller>, Reason> {
        let issuer = self.judge(claims, algorithm, now)?;
        let principal = claims.all.get(&issuer.principal).and_then(|value| value.as_str());
        let principal = principal.filter(|name| !name.is_empty() && name.len() <= crate::LONGEST_NAME);
        let found = match self.marks.token(claims) {
            // Of claims as of names: who calls can't be told.
            Found::Several => Found::None,
            found => found,
        };
        self.caller(found, principal.ok_or(Reason::Malformed)?, Proof::Token)
    }

    /// Whether a token's claims are in order, whoever it stands for.
    fn judge(&self, claims: &Claims, algorithm: Algorithm, now: Millis) -> Result<&Issuer, Reason> {
        let issuer = self.issuer(&claims.iss).ok_or(Reason::IssuerUnknown)?;
        if !issuer.algorithms.contains(&algorithm) {
            return Err(Reason::Algorithm);
        }
        claims.stand(&self.settings.audiences, now, self.settings.leeway, issuer.longest)?;
        if let Some(jti) = &claims.jti
            && self.settings.revoked.tokens.contains(&(claims.iss.clone(), jti.clone()))
        {
            return Err(Reason::Revoked);
        }
        Ok(issuer)
    }
}

/// Whether settings are whole: names stand once, whatever is referred to is there, and no bound is passed.
pub fn check(settings: &Settings) -> Result<(), String> {
    Policy::new(settings.clone()).map(drop)
}

fn caller(tenant: &Tenant, principal: &str, proof: Proof) -> Arc<Caller> {
    let rights = Some(tenant.rights.clone());
    Arc::new(Caller { tenant: tenant.name.clone(), principal: principal.into(), proof, rights })
}

/// A set without any key is more likely a fault than the wish to have every token refused; revoking says that.
fn usable(set: &KeySet) -> Result<(), String> {
    if set.keys.is_empty() { Err("no key that can be used".into()) } else { Ok(()) }
}

fn bounds(settings: &Settings) -> Result<(), String> {
    let most = |what: &str, count: usize, most: usize| match count > most {
        true => Err(format!("{count} {what} are over {most}")),
        false => Ok(()),
    };
    most("issuers", settings.issuers.len(), MOST_ISSUERS)?;
    most("tenants", settings.tenants.len(), MOST_TENANTS)?;
    for tenant in &settings.tenants {
        let marks = tenant.tokens.len() + tenant.certificates.len() + tenant.networks.len();
        most(&format!("rules of tenant {:?}", tenant.name), tenant.rules.len(), MOST_RULES)?;
        most(&format!("marks of tenant {:?}", tenant.name), marks, MOST_MARKS)?;
    }
    if !settings.issuers.is_empty() && settings.audiences.is_empty() {
        return Err("tokens are for nobody: no audience".into());
    }
    Ok(())
}

/// Who calls, for whom, with which rights.
pub struct Authority {
    now: Policy,
    version: u64,
    keyrings: HashMap<String, Keyring>,
    lookups: HashMap<String, Lookups>,
    tokens: LruCache<[u8; 32], TokenFact>,
    chains: LruCache<[u8; 32], ChainFact>,
    trust: Option<Trust>,
    /// Counts changes of the trust.
    trusted: u64,
    steady: Steady,
    seed: u64,
}

fn room(cached: usize) -> NonZeroUsize {
    NonZeroUsize::new(cached).unwrap_or(NonZeroUsize::MIN)
}

impl Authority {
    /// Without a policy nobody is anybody, and nothing is accepted before keys and trust have been taken in.
    pub fn new(seed: u64) -> Authority {
        let empty = Policy::empty();
        let cached = room(empty.settings.cached);
        Authority {
            now: empty,
            version: 0,
            keyrings: HashMap::new(),
            lookups: HashMap::new(),
            tokens: LruCache::new(cached),
            chains: LruCache::new(cached),
            trust: None,
            trusted: 0,
            steady: Steady::default(),
            seed,
        }
    }

    /// One under these settings.
    pub fn under(settings: Settings, seed: u64, now: Now) -> Result<Authority, String> {
        let mut authority = Authority::new(seed);
        authority.renew(settings, now)?;
        Ok(authority)
    }

    /// Goes on under new settings, whole or not at all.
    pub fn renew(&mut self, settings: Settings, now: Now) -> Result<(), String> {
        self.adopt(Policy::new(settings)?, now);
        Ok(())
    }

    /// Goes on under a policy. Keys of issuers that stay are kept, and so is every end. Returns the policy of
    /// before: with thousands of tenants it is not to be dropped where somebody waits.
    pub fn adopt(&mut self, compiled: Policy, now: Now) -> Policy {
        let judged = self.steady.now(now);
        for issuer in &compiled.settings.issuers {
            let keyring = self.keyrings.entry(issuer.name.clone()).or_default();
            keyring.agree(issuer);
            keyring.settle(judged);
            match &issuer.source {
                Source::File(_) | Source::Set(_) => drop(self.lookups.remove(&issuer.name)),
                Source::Url { times, .. } => {
                    // Gateways with seeds of their own ask at times of their own, and each issuer apart.
                    let print = digest::digest(&digest::SHA256, issuer.name.as_bytes());
                    let salt = u64::from_le_bytes(print.as_ref()[..8].try_into().unwrap_or_default());
                    let lookups = self.lookups.entry(issuer.name.clone());
                    let seed = self.seed ^ salt;
                    lookups.or_insert_with(|| Lookups::new(*times, seed, now.monotonic)).set_times(*times);
                }
            }
        }
        self.lookups.retain(|name, _| compiled.issuers.contains_key(name));
        // Issuers that are gone leave what must never be accepted again, as long as there is room.
        if self.keyrings.len() > 2 * MOST_ISSUERS {
            self.keyrings.retain(|name, _| compiled.issuers.contains_key(name));
        }
        self.tokens.resize(room(compiled.settings.cached));
        self.chains.resize(room(compiled.settings.cached));
        let before = std::mem::replace(&mut self.now, compiled);
        self.version += 1;
        self.revoke();
        before
    }

    /// Whether a set could be taken in for an issuer, with what is held of it.
    pub fn check_keys(&self, issuer: &str, set: &KeySet) -> Result<(), String> {
        usable(set)?;
        self.keyrings.get(issuer).map_or(Ok(()), |keyring| keyring.has_room(set))
    }

    fn revoke(&mut self) {
        for (issuer, kid) in &self.now.settings.revoked.keys {
            if let Some(keyring) = self.keyrings.get_mut(issuer) {
                keyring.revoke(kid);
            }
        }
    }

    pub fn settings(&self) -> &Settings {
        &self.now.settings
    }

    /// Takes in whom to trust with certificates.
    pub fn set_trust(&mut self, trust: Option<Trust>) {
        self.trust = trust;
        self.trusted += 1;
    }

    /// Issuers that are to be asked now; each answer comes to [`Authority::keys`], and so does a failure.
    pub fn due(&mut self, now: Now) -> Vec<Ask> {
        let mut asks = Vec::new();
        for issuer in &self.now.settings.issuers {
            let Source::Url { url, roots, .. } = &issuer.source else { continue };
            if self.lookups.get_mut(&issuer.name).is_some_and(|lookups| lookups.due(now.monotonic)) {
                asks.push(Ask { issuer: issuer.name.clone(), url: url.clone(), roots: roots.clone() });
            }
        }
        asks
    }

    /// Takes in what an issuer publishes, or that it could not be had. What can't be used changes nothing: the last
    /// good keys hold until they are too old.
    pub fn keys(&mut self, issuer: &str, set: Result<KeySet, String>, now: Now) -> Result<(), String> {
        let judged = self.steady.now(now);
        let taken = self.take_in(issuer, set, judged);
        if let Some(lookups) = self.lookups.get_mut(issuer) {
            lookups.ended(now.monotonic, taken.is_ok());
        }
        self.revoke();
        taken
    }

    fn take_in(&mut self, name: &str, set: Result<KeySet, String>, now: Millis) -> Result<(), String> {
        let issuer = self.now.issuer(name).ok_or("the issuer is gone")?;
        let set = set?;
        usable(&set)?;
        self.keyrings.entry(name.into()).or_default().take_in(&set, issuer, now)
    }

    /// Who a request is carried out for. Whether it may is [`Caller::may`]'s to say.
    pub fn admit(&mut self, shown: Credentials, now: Now) -> Result<Arc<Caller>, Reason> {
        let judged = self.steady.now(now);
        match shown {
            Credentials { bearer: Some(token), .. } => self.token(token, judged, now.monotonic),
            Credentials { certificate: Some(presented), .. } => self.certificate(presented, judged),
            _ => self.now.anonymous.clone().ok_or(Reason::Missing),
        }
    }

    fn token(&mut self, token: &str, now: Millis, monotonic: Millis) -> Result<Arc<Caller>, Reason> {
        if token.len() > token::LONGEST {
            return Err(Reason::TooLarge);
        }
        let print = digest::digest(&digest::SHA256, token.as_bytes());
        let print: [u8; 32] = print.as_ref().try_into().map_err(|_| Reason::Malformed)?;
        if let Some(fact) = self.tokens.get_mut(&print) {
            let judged = still(&self.now, &self.keyrings, self.version, fact, now);
            if judged.is_err() {
                self.tokens.pop(&print);
            }
            return judged;
        }
        let fact = self.verified(token, now, monotonic)?;
        let caller = fact.caller.clone();
        self.tokens.put(print, fact);
        Ok(caller)
    }

    /// Verifies a token from the beginning.
    fn verified(&mut self, token: &str, now: Millis, monotonic: Millis) -> Result<TokenFact, Reason> {
        let (signed, claims, key) = self.signed(token, now, monotonic)?;
        let caller = self.now.token(&claims, signed.algorithm, now)?;
        Ok(TokenFact {
            kid: key.0,
            print: key.1,
            algorithm: signed.algorithm,
            issuer: claims.iss.as_str().into(),
            payload: signed.payload().into(),
            exp: claims.exp,
            nbf: claims.nbf,
            iat: claims.iat,
            version: self.version,
            caller,
        })
    }

    /// The part of it that tenants and operators share: the signature by a key that is accepted now.
    fn signed<'a>(
        &mut self,
        token: &'a str,
        now: Millis,
        monotonic: Millis,
    ) -> Result<(Signed<'a>, Claims, Verifier), Reason> {
        let signed = Signed::parse(token)?;
        let claims = signed.claims()?;
        let issuer = self.now.issuer(&claims.iss).ok_or(Reason::IssuerUnknown)?;
        if !issuer.algorithms.contains(&signed.algorithm) {
            return Err(Reason::Algorithm);
        }
        let keyring = self.keyrings.get(&issuer.name).ok_or(Reason::KeyUnknown)?;
        keyring.fresh(issuer, now)?;
        let key = match keyring.verify(&signed, now) {
            Ok(key) => (key.kid.clone(), key.thumbprint),
            Err(reason) => {
                if reason == Reason::KeyUnknown
                    && let Some(lookups) = self.lookups.get_mut(&claims.iss)
                {
                    lookups.unknown(monotonic);
                }
                return Err(reason);
            }
        };
        Ok((signed, claims, key))
    }

    /// Whether a chain is in order now.
    fn chain(&mut self, presented: &Presented, now: Millis) -> Result<(), Reason> {
        let trust = self.trust.as_ref().ok_or(Reason::CertificateUntrusted)?;
        if now >= presented.not_after {
            return Err(Reason::CertificateExpired);
        }
        if self.now.settings.revoked.serials.contains(&presented.serial) {
            return Err(Reason::CertificateRevoked);
        }
        if self.chains.get(&presented.digest).is_some_and(|fact| fact.holds(self.trusted, now)) {
            return Ok(());
        }
        self.chains.pop(&presented.digest);
        trust.verify(presented, now)?;
        self.chains.put(presented.digest, ChainFact::of(presented, self.trusted, now));
        Ok(())
    }

    fn certificate(&mut self, presented: &Presented, now: Millis) -> Result<Arc<Caller>, Reason> {
        self.chain(presented, now)?;
        let found = self.now.marks.certificate(&presented.uris, &presented.names);
        self.now.caller(found, presented.principal(), Proof::Certificate)
    }

    /// Whether an idle connection's certificate is still good for anything.
    pub fn certificate_stands(&mut self, presented: &Presented, now: Now) -> bool {
        let judged = self.steady.now(now);
        self.certificate(presented, judged).is_ok()
    }

    /// The operator who calls.
    pub fn operator(&mut self, shown: Credentials, now: Now) -> Result<OperatorCaller, Reason> {
        let judged = self.steady.now(now);
        let found = match shown {
            Credentials { bearer: Some(token), .. } => {
                let (signed, claims, _) = self.signed(token, judged, now.monotonic)?;
                self.now.judge(&claims, signed.algorithm, judged)?;
                self.now.operators.token(&claims)
            }
            Credentials { certificate: Some(presented), .. } => {
                self.chain(presented, judged)?;
                self.now.operators.certificate(&presented.uris, &presented.names)
            }
            _ => return Err(Reason::Missing),
        };
        let Found::One(place) = found else { return Err(Reason::RightMissing) };
        let operator = self.now.settings.operators.get(place).ok_or(Reason::RightMissing)?;
        Ok(OperatorCaller { name: operator.name.as_str().into(), may_change: operator.may_change })
    }

    /// Whether operators are named at all: without, their address asks for nothing.
    pub fn has_operators(&self) -> bool {
        !self.now.settings.operators.is_empty()
    }

    /// Who a resolver's look-ups are carried out for.
    pub fn network(&self, from: IpAddr) -> Result<Arc<Caller>, Reason> {
        let place: Place = self.now.networks.find(from).ok_or(Reason::NoTenant)?;
        self.now.caller(Found::One(place), &from.to_canonical().to_string(), Proof::Network)
    }

    /// Lets ends take hold that have come with time alone; and the figures.
    pub fn report(&mut self, now: Now) -> Report {
        let judged = self.steady.now(now);
        let mut issuers = Vec::new();
        for issuer in &self.now.settings.issuers {
            let keyring = self.keyrings.entry(issuer.name.clone()).or_default();
            keyring.settle(judged);
            let lookups = self.lookups.get(&issuer.name);
            issuers.push(IssuerReport {
                name: issuer.name.clone(),
                heard_ms_ago: keyring.heard().map(|heard| judged.saturating_sub(heard)),
                lookups: lookups.map_or(0, |lookups| lookups.made),
                lookups_spared: lookups.map_or(0, |lookups| lookups.spared),
                keys: keyring.infos(&issuer.name, judged),
            });
        }
        Report {
            version: self.version,
            tenants: self.now.tenants.len(),
            tokens_cached: self.tokens.len(),
            chains_cached: self.chains.len(),
            clock_steps: self.steady.steps,
            issuers,
        }
    }

    /// The time to judge by, for handshakes.
    pub fn time(&mut self, now: Now) -> Millis {
        self.steady.now(now)
    }

    /// What the process that takes over must know.
    pub fn hand_over(&mut self, now: Now) -> Handover {
        let floor = self.steady.now(now);
        self.keyrings.values_mut().for_each(|keyring| keyring.settle(floor));
        let issuers = self.keyrings.iter().map(|(name, keyring)| (name.clone(), keyring.ends())).collect();
        Handover { floor, issuers }
    }

    /// Accepts nothing from here on that another process of this gateway has refused.
    pub fn take_over(&mut self, told: Handover, now: Now) {
        self.steady = Steady::from(told.floor, now);
        for (name, ends) in told.issuers.into_iter().take(2 * MOST_ISSUERS) {
            let keyring = self.keyrings.entry(name.clone()).or_default();
            match self.now.issuers.get(&name) {
                Some(at) => keyring.take_over(ends, &self.now.settings.issuers[*at]),
                None => keyring.remember(ends),
            }
        }
    }
}

/// Whether what has been verified once is still good, and for whom.
fn still(
    compiled: &Policy,
    keyrings: &HashMap<String, Keyring>,
    version: u64,
    fact: &mut TokenFact,
    now: Millis,
) -> Result<Arc<Caller>, Reason> {
    let issuer = compiled.issuer(&fact.issuer).ok_or(Reason::IssuerUnknown)?;
    let keyring = keyrings.get(&*fact.issuer).ok_or(Reason::KeyUnknown)?;
    keyring.fresh(issuer, now)?;
    keyring.still(&fact.kid, &fact.print, now)?;
    token::stands(fact.exp, fact.nbf, fact.iat, now, compiled.settings.leeway)?;
    if fact.version != version {
        // The signature stands; whom it stands for is asked anew.
        fact.caller = compiled.token(&Claims::parse(&fact.payload)?, fact.algorithm, now)?;
        fact.version = version;
    }
    Ok(fact.caller.clone())
}
