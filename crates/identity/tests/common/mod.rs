//! Signing keys, tokens and key sets of a test issuer, and settings with that issuer.
#![allow(dead_code)]

use ring::rand::SystemRandom;
use sagearch_identity::issue::{Signer, generate};
use sagearch_identity::jwks::{Algorithm, KeySet, KeySetError};
use sagearch_identity::rights::{Method, Rule};
use sagearch_identity::settings::{CertificateMark, Issuer, Settings, Source, Tenant, Times, TokenMark};
use sagearch_identity::{Authority, Caller, Credentials, Millis, Now, Reason};
use serde_json::{Value, json};
use std::sync::Arc;

/// The name of the test issuer.
pub const ISS: &str = "https://issuer.example";
/// The Unix time in milliseconds at which the tests start, a day in 2025.
pub const T0: Millis = 1_750_000_000_000;

/// Returns the readings of both clocks this many milliseconds after the start.
pub fn at(ms: Millis) -> Now {
    Now { unix: T0 + ms, monotonic: 1_000_000 + ms }
}

pub fn signer(kid: &str, algorithm: Algorithm) -> Signer {
    let random = SystemRandom::new();
    let key = generate(algorithm, &random).unwrap();
    Signer::read(Some(kid.into()), algorithm, &key, &random).unwrap()
}

/// Claims of the tenant `payments` that are valid for ten minutes.
pub fn claims() -> Value {
    let now = T0 / 1_000;
    json!({"iss": ISS, "aud": "gateway", "sub": "till-7", "tenant": "payments", "iat": now, "exp": now + 600})
}

/// Returns [`claims`] with these claims replaced, or removed if they are null.
pub fn with(change: &Value) -> Value {
    let mut claims = claims();
    for (key, value) in change.as_object().unwrap() {
        match value {
            Value::Null => drop(claims.as_object_mut().unwrap().remove(key)),
            value => claims[key] = value.clone(),
        }
    }
    claims
}

pub fn token(signer: &Signer, claims: &Value) -> String {
    signer.token(claims, &SystemRandom::new()).unwrap()
}

pub fn jwks(keys: &[&Signer]) -> KeySet {
    published(&keys.iter().map(|key| (*key, json!({}))).collect::<Vec<_>>()).unwrap()
}

/// Returns a key set with additional members of its keys.
pub fn published(keys: &[(&Signer, Value)]) -> Result<KeySet, KeySetError> {
    let jwk = |(key, members): &(&Signer, Value)| {
        let mut jwk = key.jwk();
        jwk.extend(members.as_object().unwrap().clone());
        Value::Object(jwk)
    };
    KeySet::parse(json!({"keys": keys.iter().map(jwk).collect::<Vec<_>>()}).to_string().as_bytes())
}

pub fn rule(allow: bool, classes: &[&str], methods: &[Method], prefix: &str) -> Rule {
    Rule {
        allow,
        classes: classes.iter().map(ToString::to_string).collect(),
        methods: methods.to_vec(),
        prefix: prefix.into(),
    }
}

pub fn url_source(every: Millis, interval: Millis, hold: Millis) -> Source {
    Source::Url { url: "http://127.0.0.1:1/".into(), roots: None, times: Times { every, interval, hold } }
}

pub fn settings() -> Settings {
    let mark = |value: &str| TokenMark { issuer: ISS.into(), claim: Some(("tenant".into(), value.into())) };
    let payments = Tenant {
        name: "payments".into(),
        tokens: vec![mark("payments")],
        certificates: vec![
            CertificateMark::Uri("spiffe://example/payments/".into()),
            CertificateMark::Dns("*.payments.example".into()),
        ],
        networks: vec!["10.0.0.0/8".parse().unwrap(), "2001:db8::/32".parse().unwrap()],
        rules: vec![rule(false, &["video"], &[], "secret-"), rule(true, &["video"], &[Method::Get], "")],
    };
    let guides = Tenant {
        name: "guides".into(),
        tokens: vec![mark("guides")],
        certificates: vec![CertificateMark::Uri("spiffe://example/guides".into())],
        networks: vec!["10.1.0.0/16".parse().unwrap()],
        rules: vec![rule(true, &[], &[], "")],
    };
    Settings {
        audiences: vec!["gateway".into()],
        issuers: vec![Issuer {
            name: ISS.into(),
            algorithms: vec![Algorithm::EdDsa, Algorithm::Es256, Algorithm::Rs256],
            source: Source::File("keys.json".into()),
            principal: "sub".into(),
            longest: 24 * 3_600_000,
            retiring: 60_000,
            keys: Vec::new(),
        }],
        tenants: vec![payments, guides],
        ..Settings::default()
    }
}

pub fn authority(settings: Settings, set: &KeySet) -> Authority {
    let mut authority = Authority::with_settings(settings, 7, at(0)).unwrap();
    authority.install_key_set(ISS, set, at(0)).unwrap();
    authority
}

/// Identifies the caller of a token.
pub fn ask(authority: &mut Authority, token: &str, ms: Millis) -> Result<Arc<Caller>, Reason> {
    authority.identify(Credentials { bearer: Some(token), certificate: None }, at(ms))
}
