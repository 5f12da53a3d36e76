//! Signing keys and the tokens that they sign, for small installations and tests. A gateway never has a signing key.

use crate::jwks::{Algorithm, KeySet, KeySetError};
use base64::Engine;
use base64::prelude::BASE64_URL_SAFE_NO_PAD;
use ring::error::KeyRejected;
use ring::rand::SecureRandom;
use ring::signature::{
    ECDSA_P256_SHA256_FIXED_SIGNING, EcdsaKeyPair, Ed25519KeyPair, KeyPair, RSA_PKCS1_SHA256, RsaKeyPair,
};
use serde_json::{Map, Value, json};
use thiserror::Error;

/// The length of a coordinate on P-256, in bytes.
const COORDINATE_BYTES: usize = 32;

/// Why a key can't be generated, parsed or used.
#[derive(Debug, Error)]
pub enum SignError {
    /// RSA keys can't be generated here; they are generated with other tools and read.
    #[error("RSA keys are made elsewhere, and read here")]
    RsaKeyGeneration,
    /// The source of random numbers has failed.
    #[error("no random numbers")]
    Random,
    /// The bytes are not a private key for the algorithm.
    #[error("not a key for {}: {cause}", .algorithm.name())]
    InvalidKey {
        /// The algorithm.
        algorithm: Algorithm,
        /// Why the key is rejected. It is not a source because it does not implement [`std::error::Error`].
        cause: KeyRejected,
    },
    /// The public key of the pair can't be published in a key set.
    #[error(transparent)]
    PublicKey(#[from] KeySetError),
    /// The public key of the pair is not one that verifies tokens.
    #[error("not a key that verifies")]
    NotVerifying,
    /// Signing with the private key failed.
    #[error("the key can't sign")]
    Signing,
}

/// A key pair of one of the supported algorithms.
enum Pair {
    EdDsa(Ed25519KeyPair),
    Es256(EcdsaKeyPair),
    Rs256(RsaKeyPair),
}

/// A key pair that signs tokens.
pub struct Signer {
    /// The key id.
    pub kid: String,
    /// The algorithm that the key signs with.
    pub algorithm: Algorithm,
    pair: Pair,
}

/// Generates a private key in PKCS #8 form.
///
/// # Errors
///
/// The algorithm is RSA, or the source of random numbers has failed.
pub fn generate(algorithm: Algorithm, random: &dyn SecureRandom) -> Result<Vec<u8>, SignError> {
    let document = match algorithm {
        Algorithm::EdDsa => Ed25519KeyPair::generate_pkcs8(random),
        Algorithm::Es256 => EcdsaKeyPair::generate_pkcs8(&ECDSA_P256_SHA256_FIXED_SIGNING, random),
        Algorithm::Rs256 => return Err(SignError::RsaKeyGeneration),
    };
    document.map(|key| key.as_ref().to_vec()).map_err(|_| SignError::Random)
}

impl Signer {
    /// Parses a private key in PKCS #8 form. Without a `kid` the key id is the key's thumbprint.
    ///
    /// # Errors
    ///
    /// The bytes are not a key for the algorithm, or its public key would not verify tokens.
    pub fn read(
        kid: Option<String>,
        algorithm: Algorithm,
        pkcs8: &[u8],
        random: &dyn SecureRandom,
    ) -> Result<Signer, SignError> {
        let pair = match algorithm {
            Algorithm::EdDsa => Ed25519KeyPair::from_pkcs8_maybe_unchecked(pkcs8).map(Pair::EdDsa),
            Algorithm::Es256 => {
                EcdsaKeyPair::from_pkcs8(&ECDSA_P256_SHA256_FIXED_SIGNING, pkcs8, random).map(Pair::Es256)
            }
            Algorithm::Rs256 => RsaKeyPair::from_pkcs8(pkcs8).map(Pair::Rs256),
        };
        let pair = pair.map_err(|cause| SignError::InvalidKey { algorithm, cause })?;
        let mut signer = Signer { kid: kid.unwrap_or_default(), algorithm, pair };
        if signer.kid.is_empty() {
            let set = json!({"keys": [signer.members()]}).to_string();
            let key_set = KeySet::parse(set.as_bytes())?;
            let published = key_set.keys.first().ok_or(SignError::NotVerifying)?;
            signer.kid.clone_from(&published.key.kid);
        }
        Ok(signer)
    }

    /// The JWK members of the public key, without key id, use and algorithm.
    fn members(&self) -> Map<String, Value> {
        let text = |bytes: &[u8]| Value::String(BASE64_URL_SAFE_NO_PAD.encode(bytes));
        let fields: Vec<(&str, Value)> = match &self.pair {
            Pair::EdDsa(pair) => {
                vec![
                    ("kty", json!("OKP")),
                    ("crv", json!("Ed25519")),
                    ("x", text(pair.public_key().as_ref())),
                ]
            }
            Pair::Es256(pair) => {
                // The uncompressed point (SEC 1, section 2.3.3): the byte 4 and both coordinates.
                let point = pair.public_key().as_ref();
                let (x, y) = point[1..].split_at(COORDINATE_BYTES);
                vec![("kty", json!("EC")), ("crv", json!("P-256")), ("x", text(x)), ("y", text(y))]
            }
            Pair::Rs256(pair) => {
                let key = ring::rsa::PublicKeyComponents::<Vec<u8>>::from(pair.public());
                vec![("kty", json!("RSA")), ("n", text(&key.n)), ("e", text(&key.e))]
            }
        };
        fields.into_iter().map(|(name, value)| (name.to_string(), value)).collect()
    }

    /// The public key as a JWK for publication in a key set.
    pub fn jwk(&self) -> Map<String, Value> {
        let mut jwk = self.members();
        let metadata = [("kid", self.kid.as_str()), ("use", "sig"), ("alg", self.algorithm.name())];
        jwk.extend(metadata.map(|(name, value)| (name.to_string(), json!(value))));
        jwk
    }

    /// Signs a token with these claims.
    ///
    /// # Errors
    ///
    /// The source of random numbers has failed, or the key can't sign.
    pub fn token(&self, claims: &Value, random: &dyn SecureRandom) -> Result<String, SignError> {
        let header = json!({"alg": self.algorithm.name(), "typ": "JWT", "kid": self.kid});
        self.sign(&header, claims.to_string().as_bytes(), random)
    }

    /// Signs an arbitrary header and payload as a compact JWS (RFC 7515).
    ///
    /// # Errors
    ///
    /// The source of random numbers has failed, or the key can't sign.
    pub fn sign(
        &self,
        header: &Value,
        payload: &[u8],
        random: &dyn SecureRandom,
    ) -> Result<String, SignError> {
        let encode = |bytes: &[u8]| BASE64_URL_SAFE_NO_PAD.encode(bytes);
        let input = format!("{}.{}", encode(header.to_string().as_bytes()), encode(payload));
        let signature = match &self.pair {
            Pair::EdDsa(pair) => pair.sign(input.as_bytes()).as_ref().to_vec(),
            Pair::Es256(pair) => {
                let signed = pair.sign(random, input.as_bytes());
                signed.map_err(|_| SignError::Random)?.as_ref().to_vec()
            }
            Pair::Rs256(pair) => {
                let mut signature = vec![0; pair.public().modulus_len()];
                let result = pair.sign(&RSA_PKCS1_SHA256, random, input.as_bytes(), &mut signature);
                result.map(|()| signature).map_err(|_| SignError::Signing)?
            }
        };
        Ok(format!("{input}.{}", encode(&signature)))
    }
}
