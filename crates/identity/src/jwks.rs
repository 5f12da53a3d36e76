//! JSON Web Key Sets (RFC 7517) with the public keys of issuers: Ed25519 (RFC 8037), P-256 and RSA (RFC 7518).
//!
//! A set is accepted completely or not at all. Keys of unsupported types or for other uses are ignored, as RFC 7517
//! (section 5) requires. An invalid key of a supported type, or one that is published with its private key, makes the
//! complete set rejected.

mod error;

pub use error::{KeyError, KeySetError};

use crate::json::{self, Limits};
use crate::{MAX_NAME_BYTES, Millis};
use base64::Engine;
use base64::prelude::BASE64_URL_SAFE_NO_PAD;
use error::COORDINATE_BYTES;
use ring::digest;
use ring::signature::{self, RsaPublicKeyComponents, UnparsedPublicKey};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use std::fmt;

/// The maximum size of a set in bytes.
pub const MAX_KEY_SET_BYTES: usize = 256 * 1024;
/// The maximum number of keys in a set, including ignored ones.
pub const MAX_KEYS: usize = 256;
const KEY_SET_LIMITS: Limits = Limits { bytes: MAX_KEY_SET_BYTES, depth: 6, entries: MAX_KEYS };
/// The accepted lengths of RSA moduli in bytes: 2,048 to 8,192 bits.
const RSA_MODULUS_BYTES: std::ops::RangeInclusive<usize> = 256..=1024;
/// The first byte of a point in uncompressed form (SEC 1, section 2.3.3).
const UNCOMPRESSED_POINT: u8 = 4;
/// Members that only private keys have.
const PRIVATE_MEMBERS: [&str; 3] = ["d", "p", "q"];
/// Times in seconds since the Unix epoch must be below this.
const TIME_LIMIT_SECONDS: f64 = 1e12;

/// The SHA-256 thumbprint of a key (RFC 7638).
pub type Thumbprint = [u8; 32];

/// A signature algorithm (RFC 7518, section 3.1, and RFC 8037).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Algorithm {
    /// Ed25519.
    EdDsa,
    /// ECDSA with P-256 and SHA-256.
    Es256,
    /// RSASSA-PKCS1-v1_5 with SHA-256.
    Rs256,
}

impl Algorithm {
    /// Returns the algorithm with this name in an `alg` member; `None` if it is not supported.
    pub fn of(name: &str) -> Option<Algorithm> {
        match name {
            "EdDSA" | "Ed25519" => Some(Algorithm::EdDsa),
            "ES256" => Some(Algorithm::Es256),
            "RS256" => Some(Algorithm::Rs256),
            _ => None,
        }
    }

    /// The algorithm's name, as in `alg`.
    pub fn name(self) -> &'static str {
        match self {
            Algorithm::EdDsa => "EdDSA",
            Algorithm::Es256 => "ES256",
            Algorithm::Rs256 => "RS256",
        }
    }
}

/// The public key in the form that signature verification requires.
#[derive(Clone, PartialEq)]
enum KeyMaterial {
    Point(Vec<u8>),
    Rsa { n: Vec<u8>, e: Vec<u8> },
}

/// A public key that verifies signatures.
#[derive(Clone, PartialEq)]
pub struct PublicKey {
    /// The key id: the `kid` that the key is published with, or its thumbprint in base64url.
    pub kid: String,
    /// The only algorithm that the key verifies.
    pub algorithm: Algorithm,
    /// The key's thumbprint. Keys with equal thumbprints are the same key.
    pub thumbprint: Thumbprint,
    material: KeyMaterial,
}

impl fmt::Debug for PublicKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.algorithm.name(), self.kid)
    }
}

impl PublicKey {
    /// Whether this key, with its own algorithm, verifies the signature `signed` of `input`.
    pub fn verifies(&self, input: &[u8], signed: &[u8]) -> bool {
        let verified = match (&self.material, self.algorithm) {
            (KeyMaterial::Point(point), Algorithm::EdDsa) => {
                UnparsedPublicKey::new(&signature::ED25519, point).verify(input, signed)
            }
            (KeyMaterial::Point(point), _) => {
                UnparsedPublicKey::new(&signature::ECDSA_P256_SHA256_FIXED, point).verify(input, signed)
            }
            (KeyMaterial::Rsa { n, e }, _) => {
                RsaPublicKeyComponents { n, e }.verify(&signature::RSA_PKCS1_2048_8192_SHA256, input, signed)
            }
        };
        verified.is_ok()
    }
}

/// A key of a set, with the validity members of `OpenID` Federation 1.0, section 8.7.
#[derive(Clone, Debug, PartialEq)]
pub struct PublishedKey {
    /// The public key.
    pub key: PublicKey,
    /// The time from which the key signs, in milliseconds since the Unix epoch.
    pub nbf: Option<Millis>,
    /// The time until which the key is accepted, in milliseconds since the Unix epoch.
    pub exp: Option<Millis>,
    /// Whether the issuer has revoked the key.
    pub revoked: bool,
}

/// A parsed key set.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct KeySet {
    /// The keys that verify tokens.
    pub keys: Vec<PublishedKey>,
    /// The number of ignored keys, of unsupported types or for other uses.
    pub ignored: usize,
}

/// Returns a member that must be a string.
fn text<'a>(jwk: &'a Map<String, Value>, member: &'static str) -> Result<&'a str, KeyError> {
    jwk.get(member).and_then(Value::as_str).ok_or(KeyError::NotText(member))
}

/// Decodes a member that must be base64url.
fn bytes(jwk: &Map<String, Value>, member: &'static str) -> Result<Vec<u8>, KeyError> {
    let text = text(jwk, member)?;
    BASE64_URL_SAFE_NO_PAD.decode(text).map_err(|source| KeyError::NotBase64Url { member, source })
}

/// Decodes a coordinate of a point on Ed25519's curve or P-256.
fn coordinate(jwk: &Map<String, Value>, member: &'static str) -> Result<Vec<u8>, KeyError> {
    let value = bytes(jwk, member)?;
    match value.len() {
        COORDINATE_BYTES => Ok(value),
        bytes => Err(KeyError::CoordinateLength { member, bytes }),
    }
}

/// Converts a member in seconds since the Unix epoch, if present, to milliseconds.
fn date(jwk: &Map<String, Value>, member: &'static str) -> Result<Option<Millis>, KeyError> {
    let Some(value) = jwk.get(member) else { return Ok(None) };
    let seconds = value.as_f64().filter(|seconds| (0.0..TIME_LIMIT_SECONDS).contains(seconds));
    seconds.map(|seconds| Some((seconds * 1e3) as Millis)).ok_or(KeyError::NotATime(member))
}

/// Computes the thumbprint of the required members, which must be in lexicographic order (RFC 7638, section 3.2).
fn thumbprint(members: &[(&str, &str)]) -> Thumbprint {
    let inner: Vec<String> = members.iter().map(|(name, value)| format!("\"{name}\":\"{value}\"")).collect();
    let hash = digest::digest(&digest::SHA256, format!("{{{}}}", inner.join(",")).as_bytes());
    hash.as_ref().try_into().unwrap_or_default()
}

/// Returns the algorithm that a key verifies signatures with; `None` if the key is not for verifying tokens.
fn verifying_algorithm(jwk: &Map<String, Value>) -> Result<Option<Algorithm>, KeyError> {
    let key_type = text(jwk, "kty")?;
    let for_signatures = jwk.get("use").is_none_or(|usage| usage == "sig");
    let verifies = match jwk.get("key_ops") {
        Some(Value::Array(list)) => list.iter().any(|operation| operation == "verify"),
        Some(_) => return Err(KeyError::KeyOperations),
        None => true,
    };
    let algorithm = match (key_type, curve(jwk)) {
        ("OKP", "Ed25519") => Algorithm::EdDsa,
        ("EC", "P-256") => Algorithm::Es256,
        ("RSA", _) => Algorithm::Rs256,
        _ => return Ok(None),
    };
    if !for_signatures || !verifies {
        return Ok(None);
    }
    // The issuer has disclosed its private key, so its tokens can't be trusted.
    if PRIVATE_MEMBERS.iter().any(|member| jwk.contains_key(*member)) {
        return Err(KeyError::PrivateKey);
    }
    // A key whose `alg` states another algorithm, such as RSA with another padding, is ignored.
    if let Some(stated) = jwk.get("alg") {
        let stated = stated.as_str().ok_or(KeyError::NotText("alg"))?;
        if Algorithm::of(stated) != Some(algorithm) {
            return Ok(None);
        }
    }
    Ok(Some(algorithm))
}

fn curve(jwk: &Map<String, Value>) -> &str {
    jwk.get("crv").and_then(Value::as_str).unwrap_or_default()
}

/// Decodes the public key and computes its thumbprint.
fn material(jwk: &Map<String, Value>, algorithm: Algorithm) -> Result<(KeyMaterial, Thumbprint), KeyError> {
    let (key_type, curve) = (text(jwk, "kty")?, curve(jwk));
    match algorithm {
        Algorithm::EdDsa => {
            let members = [("crv", curve), ("kty", key_type), ("x", text(jwk, "x")?)];
            Ok((KeyMaterial::Point(coordinate(jwk, "x")?), thumbprint(&members)))
        }
        Algorithm::Es256 => {
            let (x, y) = (coordinate(jwk, "x")?, coordinate(jwk, "y")?);
            let members = [("crv", curve), ("kty", key_type), ("x", text(jwk, "x")?), ("y", text(jwk, "y")?)];
            let point = [&[UNCOMPRESSED_POINT][..], &x, &y].concat();
            Ok((KeyMaterial::Point(point), thumbprint(&members)))
        }
        Algorithm::Rs256 => {
            let (n, e) = (bytes(jwk, "n")?, bytes(jwk, "e")?);
            if !RSA_MODULUS_BYTES.contains(&n.len()) {
                return Err(KeyError::ModulusLength { bits: n.len() * 8 });
            }
            let members = [("e", text(jwk, "e")?), ("kty", key_type), ("n", text(jwk, "n")?)];
            Ok((KeyMaterial::Rsa { n, e }, thumbprint(&members)))
        }
    }
}

/// Parses one key; `None` if it is not for verifying tokens.
fn parse_key(jwk: &Map<String, Value>) -> Result<Option<PublishedKey>, KeyError> {
    let Some(algorithm) = verifying_algorithm(jwk)? else { return Ok(None) };
    let (material, thumbprint) = material(jwk, algorithm)?;
    let kid = match jwk.get("kid") {
        Some(Value::String(kid)) if !kid.is_empty() && kid.len() <= MAX_NAME_BYTES => kid.clone(),
        Some(_) => return Err(KeyError::InvalidKid),
        None => BASE64_URL_SAFE_NO_PAD.encode(thumbprint),
    };
    let key = PublicKey { kid, algorithm, thumbprint, material };
    let revoked =
        jwk.get("revoked").is_some_and(|revoked| !matches!(revoked, Value::Null | Value::Bool(false)));
    Ok(Some(PublishedKey { key, nbf: date(jwk, "nbf")?, exp: date(jwk, "exp")?, revoked }))
}

impl KeySet {
    /// Parses a set.
    ///
    /// # Errors
    ///
    /// The set is not a JSON object within its limits, or one of its keys is invalid or published with its private key.
    pub fn parse(bytes: &[u8]) -> Result<KeySet, KeySetError> {
        let set = json::parse_object(bytes, KEY_SET_LIMITS)?;
        let Some(Value::Array(list)) = set.get("keys") else { return Err(KeySetError::NoKeys) };
        let mut key_set = KeySet::default();
        for (index, jwk) in list.iter().enumerate() {
            key_set.add(jwk).map_err(|source| KeySetError::Key { index, source })?;
        }
        Ok(key_set)
    }

    fn add(&mut self, jwk: &Value) -> Result<(), KeyError> {
        let jwk = jwk.as_object().ok_or(KeyError::NotAnObject)?;
        let Some(published) = parse_key(jwk)? else {
            self.ignored += 1;
            return Ok(());
        };
        match self.keys.iter().find(|known| known.key.kid == published.key.kid) {
            None => self.keys.push(published),
            // A duplicate of the same key is skipped.
            Some(known) if *known == published => {}
            // A token with this key id would be ambiguous.
            Some(_) => return Err(KeyError::DuplicateKid),
        }
        Ok(())
    }
}
