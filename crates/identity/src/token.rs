//! Signed tokens: compact JWS (RFC 7515) with JWT claims (RFC 7519), parsed according to RFC 8725.
//!
//! Parsing does not verify a token. [`SignedToken::parse`] splits it and parses its header. The calling code then looks
//! up the key, verifies the signature over [`SignedToken::input`], and only then relies on [`Claims`].

use crate::caller::Reason;
use crate::json::{self, Limits};
use crate::jwks::Algorithm;
use crate::{MAX_NAME_BYTES, Millis};
use base64::Engine;
use base64::prelude::BASE64_URL_SAFE_NO_PAD;
use serde_json::{Map, Value};

/// The maximum length of a token in bytes. It must fit into a request head, which is limited to 8 KB.
pub const MAX_TOKEN_BYTES: usize = 4 * 1024;
const HEADER_LIMITS: Limits = Limits { bytes: 1024, depth: 2, entries: 16 };
const CLAIMS_LIMITS: Limits = Limits { bytes: MAX_TOKEN_BYTES, depth: 5, entries: 64 };
/// The latest valid `NumericDate`, in seconds since the Unix epoch: the end of the year 9999.
const MAX_DATE_SECONDS: f64 = 253_402_300_799.0;

/// A token split into its parts.
#[derive(Debug)]
pub struct SignedToken<'a> {
    /// The algorithm that the header states.
    pub algorithm: Algorithm,
    /// The key id that the header states.
    pub kid: Option<String>,
    /// The signing input: the first two parts with the dot between them.
    pub input: &'a [u8],
    payload: Vec<u8>,
    /// The decoded signature.
    pub signature: Vec<u8>,
}

fn decode(part: &str) -> Result<Vec<u8>, Reason> {
    BASE64_URL_SAFE_NO_PAD.decode(part).map_err(|_| Reason::Malformed)
}

fn bounded_name(value: &Value) -> Option<String> {
    value.as_str().filter(|text| !text.is_empty() && text.len() <= MAX_NAME_BYTES).map(str::to_string)
}

impl<'a> SignedToken<'a> {
    /// Splits a token and parses its header.
    ///
    /// # Errors
    ///
    /// The token is too long or not a compact JWS, or its header requires something that is not supported.
    pub fn parse(token: &'a str) -> Result<SignedToken<'a>, Reason> {
        if token.len() > MAX_TOKEN_BYTES {
            return Err(Reason::TooLarge);
        }
        let mut parts = token.split('.');
        let (Some(header), Some(payload), Some(signature), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(Reason::Malformed);
        };
        let input = &token.as_bytes()[..header.len() + 1 + payload.len()];
        let Header { algorithm, kid } = Header::parse(header)?;
        Ok(SignedToken { algorithm, kid, input, payload: decode(payload)?, signature: decode(signature)? })
    }

    /// Parses the token's claims, whether its signature has been verified or not.
    ///
    /// # Errors
    ///
    /// The payload does not have the required claims of a JWT.
    pub fn claims(&self) -> Result<Claims, Reason> {
        Claims::parse(&self.payload)
    }

    /// The decoded payload.
    pub fn payload(&self) -> &[u8] {
        &self.payload
    }
}

/// The header parameters that are used.
struct Header {
    algorithm: Algorithm,
    kid: Option<String>,
}

impl Header {
    fn parse(part: &str) -> Result<Header, Reason> {
        let header = json::parse_object(&decode(part)?, HEADER_LIMITS).map_err(|_| Reason::Malformed)?;
        // Critical parameters change the meaning of the token, and none are supported.
        if header.contains_key("crit") || header.contains_key("b64") {
            return Err(Reason::Critical);
        }
        if let Some(token_type) = header.get("typ") {
            let token_type = token_type.as_str().ok_or(Reason::Malformed)?.to_ascii_lowercase();
            if !matches!(token_type.trim_start_matches("application/"), "jwt" | "at+jwt") {
                return Err(Reason::Type);
            }
        }
        let algorithm = header.get("alg").and_then(Value::as_str).ok_or(Reason::Malformed)?;
        // `none` and HMAC are not supported, which rules out algorithm confusion with public keys.
        let algorithm = Algorithm::of(algorithm).ok_or(Reason::Algorithm)?;
        let kid = header.get("kid").map(|kid| bounded_name(kid).ok_or(Reason::Malformed)).transpose()?;
        Ok(Header { algorithm, kid })
    }
}

/// The registered claims that are checked, and all claims in their JSON form.
#[derive(Clone, Debug, PartialEq)]
pub struct Claims {
    /// The issuer.
    pub iss: String,
    /// The audiences.
    pub aud: Vec<String>,
    /// The validity period of the token.
    pub validity: Validity,
    /// The token's unique id (`jti`).
    pub jti: Option<String>,
    /// All claims, including those above.
    pub all: Map<String, Value>,
}

/// The validity period that a token states, in milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Validity {
    /// The expiration time (`exp`).
    pub expires: Millis,
    /// The time before which the token is not valid (`nbf`).
    pub not_before: Option<Millis>,
    /// The time at which the token was issued (`iat`).
    pub issued: Option<Millis>,
}

/// Converts a `NumericDate` (RFC 7519, section 2) to milliseconds.
fn numeric_date(value: &Value) -> Result<Millis, Reason> {
    let seconds = value.as_f64().filter(|seconds| (0.0..=MAX_DATE_SECONDS).contains(seconds));
    seconds.map(|seconds| (seconds * 1_000.0) as Millis).ok_or(Reason::Malformed)
}

impl Claims {
    /// Parses a payload.
    ///
    /// # Errors
    ///
    /// [`Reason::Malformed`] if it is not a JSON object, or a registered claim is missing or has the wrong type.
    pub fn parse(payload: &[u8]) -> Result<Claims, Reason> {
        let all = json::parse_object(payload, CLAIMS_LIMITS).map_err(|_| Reason::Malformed)?;
        let optional_date = |key: &str| all.get(key).map(numeric_date).transpose();
        let aud = match all.get("aud") {
            None => Vec::new(),
            Some(Value::Array(list)) => {
                list.iter().map(bounded_name).collect::<Option<_>>().ok_or(Reason::Malformed)?
            }
            Some(audience) => vec![bounded_name(audience).ok_or(Reason::Malformed)?],
        };
        let jti = all.get("jti").map(|jti| bounded_name(jti).ok_or(Reason::Malformed)).transpose()?;
        Ok(Claims {
            iss: all.get("iss").and_then(bounded_name).ok_or(Reason::Malformed)?,
            aud,
            validity: Validity {
                expires: optional_date("exp")?.ok_or(Reason::Malformed)?,
                not_before: optional_date("nbf")?,
                issued: optional_date("iat")?,
            },
            jti,
            all,
        })
    }

    /// Checks that the token is for one of `audiences`, is valid now, and has a validity period of at most `longest`.
    /// The clocks of issuer and gateway may differ by `leeway`.
    ///
    /// # Errors
    ///
    /// The first of these checks that fails.
    pub fn check(
        &self,
        audiences: &[String],
        now: Millis,
        leeway: Millis,
        longest: Millis,
    ) -> Result<(), Reason> {
        if !self.aud.iter().any(|aud| audiences.contains(aud)) {
            return Err(Reason::Audience);
        }
        self.validity.check(now, leeway)?;
        if self.validity.period(now) > longest { Err(Reason::TooLong) } else { Ok(()) }
    }
}

impl Validity {
    /// Checks that a token has not expired, is already valid and was not issued in the future. The clocks of issuer and
    /// gateway may differ by `leeway`.
    ///
    /// # Errors
    ///
    /// [`Reason::Expired`], [`Reason::NotYetValid`] or [`Reason::IssuedInFuture`].
    pub fn check(&self, now: Millis, leeway: Millis) -> Result<(), Reason> {
        if now >= self.expires.saturating_add(leeway) {
            return Err(Reason::Expired);
        }
        if self.not_before.is_some_and(|not_before| now + leeway < not_before) {
            return Err(Reason::NotYetValid);
        }
        if self.issued.is_some_and(|issued| now + leeway < issued) {
            return Err(Reason::IssuedInFuture);
        }
        Ok(())
    }

    /// The length of the token's validity period in milliseconds, counted from `now` if the token does not state its
    /// start.
    fn period(&self, now: Millis) -> Millis {
        let start = self.issued.or(self.not_before).unwrap_or(now);
        self.expires.saturating_sub(start)
    }
}
