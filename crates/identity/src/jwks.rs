//! Public keys, as issuers publish them: JSON Web Key Sets (RFC 7517), with Ed25519 by RFC 8037, and P-256 and RSA
//! by RFC 7518.
//!
//! A set is taken whole or not at all. Keys of kinds that are not used here are passed over, as RFC 7517 (section
//! 5) asks; a key that looks usable and is not turns the whole set down, as does one that gives away its private
//! half.

use crate::json::{self, Bounds};
use crate::{LONGEST_NAME, Millis};
use base64::Engine;
use base64::prelude::BASE64_URL_SAFE_NO_PAD;
use ring::digest;
use ring::signature::{self, RsaPublicKeyComponents, UnparsedPublicKey};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::fmt;

/// The largest set, and its most keys.
pub const LARGEST: usize = 256 * 1024;
pub const MOST_KEYS: usize = 256;
const BOUNDS: Bounds = Bounds { bytes: LARGEST, depth: 6, entries: MOST_KEYS };
/// RSA moduli in bytes: 2,048 to 8,192 bits.
const RSA: std::ops::RangeInclusive<usize> = 256..=1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Algorithm {
    EdDsa,
    Es256,
    Rs256,
}

impl Algorithm {
    pub fn of(name: &str) -> Option<Algorithm> {
        match name {
            "EdDSA" | "Ed25519" => Some(Algorithm::EdDsa),
            "ES256" => Some(Algorithm::Es256),
            "RS256" => Some(Algorithm::Rs256),
            _ => None,
        }
    }

    pub fn name(self) -> &'static str {
        match self {
            Algorithm::EdDsa => "EdDSA",
            Algorithm::Es256 => "ES256",
            Algorithm::Rs256 => "RS256",
        }
    }
}

#[derive(Clone, PartialEq)]
enum Material {
    Point(Vec<u8>),
    Rsa { n: Vec<u8>, e: Vec<u8> },
}

/// A key that verifies.
#[derive(Clone, PartialEq)]
pub struct PublicKey {
    pub kid: String,
    pub algorithm: Algorithm,
    /// SHA-256 over the key's own members (RFC 7638): two keys are one if this is the same.
    pub thumbprint: [u8; 32],
    material: Material,
}

impl fmt::Debug for PublicKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.algorithm.name(), self.kid)
    }
}

impl PublicKey {
    /// Whether the signature is by this key, with the key's own algorithm.
    pub fn verifies(&self, input: &[u8], signed: &[u8]) -> bool {
        let verified = match (&self.material, self.algorithm) {
            (Material::Point(point), Algorithm::EdDsa) => {
                UnparsedPublicKey::new(&signature::ED25519, point).verify(input, signed)
            }
            (Material::Point(point), _) => {
                UnparsedPublicKey::new(&signature::ECDSA_P256_SHA256_FIXED, point).verify(input, signed)
            }
            (Material::Rsa { n, e }, _) => {
                RsaPublicKeyComponents { n, e }.verify(&signature::RSA_PKCS1_2048_8192_SHA256, input, signed)
            }
        };
        verified.is_ok()
    }
}

/// A key of a set, with what the set says of its life: from when it signs, until when it is good, and whether it
/// has been revoked (the members that OpenID Federation 1.0, section 8.7, gives keys).
#[derive(Clone, Debug, PartialEq)]
pub struct Published {
    pub key: PublicKey,
    pub nbf: Option<Millis>,
    pub exp: Option<Millis>,
    pub revoked: bool,
}

/// A set that has been read.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KeySet {
    pub keys: Vec<Published>,
    /// Keys of other kinds, or for other uses.
    pub passed_over: usize,
}

fn text<'a>(jwk: &'a Map<String, Value>, name: &str) -> Result<&'a str, String> {
    jwk.get(name).and_then(Value::as_str).ok_or_else(|| format!("{name} is missing or no text"))
}

fn bytes(jwk: &Map<String, Value>, name: &str) -> Result<Vec<u8>, String> {
    BASE64_URL_SAFE_NO_PAD.decode(text(jwk, name)?).map_err(|_| format!("{name} is not base64url"))
}

fn coordinate(jwk: &Map<String, Value>, name: &str) -> Result<Vec<u8>, String> {
    let value = bytes(jwk, name)?;
    if value.len() == 32 { Ok(value) } else { Err(format!("{name} has {} bytes, not 32", value.len())) }
}

fn date(jwk: &Map<String, Value>, name: &str) -> Result<Option<Millis>, String> {
    let Some(value) = jwk.get(name) else { return Ok(None) };
    let seconds = value.as_f64().filter(|seconds| (0.0..1e12).contains(seconds));
    seconds.map(|seconds| Some((seconds * 1e3) as Millis)).ok_or(format!("{name} is no time in seconds"))
}

/// The members that make a thumbprint, in their order (RFC 7638, section 3.2).
fn thumbprint(members: &[(&str, &str)]) -> [u8; 32] {
    let inner: Vec<String> = members.iter().map(|(name, value)| format!("\"{name}\":\"{value}\"")).collect();
    let hash = digest::digest(&digest::SHA256, format!("{{{}}}", inner.join(",")).as_bytes());
    hash.as_ref().try_into().unwrap_or_default()
}

/// One key. `None`: not one to verify tokens with.
fn published(jwk: &Map<String, Value>) -> Result<Option<Published>, String> {
    let kind = text(jwk, "kty")?;
    let for_signatures = jwk.get("use").is_none_or(|usage| usage == "sig");
    let verifies = match jwk.get("key_ops") {
        Some(Value::Array(list)) => list.iter().any(|op| op == "verify"),
        Some(_) => return Err("key_ops is no list".into()),
        None => true,
    };
    let curve = jwk.get("crv").and_then(Value::as_str).unwrap_or_default();
    let algorithm = match (kind, curve) {
        ("OKP", "Ed25519") => Algorithm::EdDsa,
        ("EC", "P-256") => Algorithm::Es256,
        ("RSA", _) => Algorithm::Rs256,
        _ => return Ok(None),
    };
    if !for_signatures || !verifies {
        return Ok(None);
    }
    // An issuer's mistake, but one after which its tokens prove nothing.
    if ["d", "p", "q"].iter().any(|name| jwk.contains_key(*name)) {
        return Err("it holds its private half".into());
    }
    // The key's own algorithm, where it is stated: RSA keys for another padding are no keys for this one.
    if let Some(stated) = jwk.get("alg") {
        let stated = stated.as_str().ok_or("alg is no text")?;
        if Algorithm::of(stated) != Some(algorithm) {
            return Ok(None);
        }
    }
    let (material, thumbprint) = match algorithm {
        Algorithm::EdDsa => {
            let print = thumbprint(&[("crv", curve), ("kty", kind), ("x", text(jwk, "x")?)]);
            (Material::Point(coordinate(jwk, "x")?), print)
        }
        Algorithm::Es256 => {
            let (x, y) = (coordinate(jwk, "x")?, coordinate(jwk, "y")?);
            let members = [("crv", curve), ("kty", kind), ("x", text(jwk, "x")?), ("y", text(jwk, "y")?)];
            // Uncompressed (SEC 1, section 2.3.3).
            (Material::Point([&[4][..], &x, &y].concat()), thumbprint(&members))
        }
        Algorithm::Rs256 => {
            let (n, e) = (bytes(jwk, "n")?, bytes(jwk, "e")?);
            if !RSA.contains(&n.len()) {
                return Err(format!("a modulus of {} bits is not from 2048 to 8192", n.len() * 8));
            }
            let print = thumbprint(&[("e", text(jwk, "e")?), ("kty", kind), ("n", text(jwk, "n")?)]);
            (Material::Rsa { n, e }, print)
        }
    };
    let kid = match jwk.get("kid") {
        Some(Value::String(kid)) if !kid.is_empty() && kid.len() <= LONGEST_NAME => kid.clone(),
        Some(_) => return Err("kid is no name".into()),
        None => BASE64_URL_SAFE_NO_PAD.encode(thumbprint),
    };
    let key = PublicKey { kid, algorithm, thumbprint, material };
    let revoked =
        jwk.get("revoked").is_some_and(|revoked| !matches!(revoked, Value::Null | Value::Bool(false)));
    Ok(Some(Published { key, nbf: date(jwk, "nbf")?, exp: date(jwk, "exp")?, revoked }))
}

impl KeySet {
    /// Reads a set; a message names the key's place in it and what is wrong.
    pub fn parse(bytes: &[u8]) -> Result<KeySet, String> {
        let set = json::object(bytes, BOUNDS)?;
        let Some(Value::Array(list)) = set.get("keys") else {
            return Err("keys is missing or no list".into());
        };
        let mut read = KeySet::default();
        for (at, jwk) in list.iter().enumerate() {
            let jwk = jwk.as_object().ok_or_else(|| format!("key {at}: not an object"))?;
            let Some(new) = published(jwk).map_err(|e| format!("key {at}: {e}"))? else {
                read.passed_over += 1;
                continue;
            };
            match read.keys.iter().find(|held| held.key.kid == new.key.kid) {
                None => read.keys.push(new),
                // Said twice, alike: once is enough.
                Some(held) if *held == new => {}
                // Which of the two a token means could not be told.
                Some(_) => return Err(format!("key {at}: its kid is another key's")),
            }
        }
        Ok(read)
    }
}
