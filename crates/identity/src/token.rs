//! Signed tokens in the compact form: JWS (RFC 7515) that hold JWT claims (RFC 7519), read as RFC 8725 advises.
//!
//! Reading proves nothing. [`Signed::parse`] splits a token and reads its header; the caller finds the key, has it
//! verify [`Signed::input`], and only then looks at [`Claims`].

use crate::caller::Reason;
use crate::json::{self, Bounds};
use crate::jwks::Algorithm;
use crate::{LONGEST_NAME, Millis};
use base64::Engine;
use base64::prelude::BASE64_URL_SAFE_NO_PAD;
use serde_json::{Map, Value};

/// The longest token that is read; the largest head of a request is 8 KB.
pub const LONGEST: usize = 4 * 1024;
const HEADER: Bounds = Bounds { bytes: 1024, depth: 2, entries: 16 };
const CLAIMS: Bounds = Bounds { bytes: LONGEST, depth: 5, entries: 64 };
/// Times beyond this many seconds are no times.
const LAST_SECOND: f64 = 253_402_300_799.0;

/// A token in its parts.
#[derive(Debug)]
pub struct Signed<'a> {
    pub algorithm: Algorithm,
    pub kid: Option<String>,
    /// What the signature is over: the first two parts with the dot between them.
    pub input: &'a [u8],
    payload: Vec<u8>,
    pub signature: Vec<u8>,
}

fn decode(part: &str) -> Result<Vec<u8>, Reason> {
    BASE64_URL_SAFE_NO_PAD.decode(part).map_err(|_| Reason::Malformed)
}

fn name(value: &Value) -> Option<String> {
    value.as_str().filter(|text| !text.is_empty() && text.len() <= LONGEST_NAME).map(str::to_string)
}

impl<'a> Signed<'a> {
    pub fn parse(token: &'a str) -> Result<Signed<'a>, Reason> {
        if token.len() > LONGEST {
            return Err(Reason::TooLarge);
        }
        let mut parts = token.split('.');
        let (Some(header), Some(payload), Some(signature), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(Reason::Malformed);
        };
        let input = &token.as_bytes()[..header.len() + 1 + payload.len()];
        let header = json::object(&decode(header)?, HEADER).map_err(|_| Reason::Malformed)?;
        // Whatever is critical changes what the rest means, and no extension is understood here.
        if header.contains_key("crit") || header.contains_key("b64") {
            return Err(Reason::Critical);
        }
        if let Some(kind) = header.get("typ") {
            let kind = kind.as_str().ok_or(Reason::Malformed)?.to_ascii_lowercase();
            if !matches!(kind.trim_start_matches("application/"), "jwt" | "at+jwt") {
                return Err(Reason::Type);
            }
        }
        let algorithm = header.get("alg").and_then(Value::as_str).ok_or(Reason::Malformed)?;
        // `none` and the HMACs are not among them: there is nothing to confuse a public key with.
        let algorithm = Algorithm::of(algorithm).ok_or(Reason::Algorithm)?;
        let kid = header.get("kid").map(|kid| name(kid).ok_or(Reason::Malformed)).transpose()?;
        Ok(Signed { algorithm, kid, input, payload: decode(payload)?, signature: decode(signature)? })
    }

    /// What the token says, proved or not.
    pub fn claims(&self) -> Result<Claims, Reason> {
        Claims::parse(&self.payload)
    }

    pub fn payload(&self) -> &[u8] {
        &self.payload
    }
}

/// The claims that are checked, and all others as they are.
#[derive(Clone, Debug, PartialEq)]
pub struct Claims {
    pub iss: String,
    pub aud: Vec<String>,
    pub exp: Millis,
    pub nbf: Option<Millis>,
    pub iat: Option<Millis>,
    pub jti: Option<String>,
    pub all: Map<String, Value>,
}

/// A NumericDate (RFC 7519, section 2) in milliseconds.
fn date(value: &Value) -> Result<Millis, Reason> {
    let seconds = value.as_f64().filter(|seconds| (0.0..=LAST_SECOND).contains(seconds));
    seconds.map(|seconds| (seconds * 1_000.0) as Millis).ok_or(Reason::Malformed)
}

impl Claims {
    pub fn parse(payload: &[u8]) -> Result<Claims, Reason> {
        let all = json::object(payload, CLAIMS).map_err(|_| Reason::Malformed)?;
        let optional = |key: &str| all.get(key).map(date).transpose();
        let aud = match all.get("aud") {
            None => Vec::new(),
            Some(Value::Array(list)) => {
                list.iter().map(name).collect::<Option<_>>().ok_or(Reason::Malformed)?
            }
            Some(one) => vec![name(one).ok_or(Reason::Malformed)?],
        };
        let jti = all.get("jti").map(|jti| name(jti).ok_or(Reason::Malformed)).transpose()?;
        Ok(Claims {
            iss: all.get("iss").and_then(name).ok_or(Reason::Malformed)?,
            aud,
            exp: optional("exp")?.ok_or(Reason::Malformed)?,
            nbf: optional("nbf")?,
            iat: optional("iat")?,
            jti,
            all,
        })
    }

    /// Whether it is for one of these, and neither over nor to come. Clocks may differ by the leeway.
    pub fn stand(
        &self,
        audiences: &[String],
        now: Millis,
        leeway: Millis,
        longest: Millis,
    ) -> Result<(), Reason> {
        if !self.aud.iter().any(|aud| audiences.contains(aud)) {
            return Err(Reason::Audience);
        }
        stands(self.exp, self.nbf, self.iat, now, leeway)?;
        let from = self.iat.or(self.nbf).unwrap_or(now);
        if self.exp.saturating_sub(from) > longest { Err(Reason::TooLong) } else { Ok(()) }
    }
}

/// Whether a token is neither over nor to come.
pub fn stands(
    exp: Millis,
    nbf: Option<Millis>,
    iat: Option<Millis>,
    now: Millis,
    leeway: Millis,
) -> Result<(), Reason> {
    if now >= exp.saturating_add(leeway) {
        return Err(Reason::Expired);
    }
    if nbf.is_some_and(|nbf| now + leeway < nbf) {
        return Err(Reason::NotYetValid);
    }
    if iat.is_some_and(|iat| now + leeway < iat) {
        return Err(Reason::IssuedInFuture);
    }
    Ok(())
}
