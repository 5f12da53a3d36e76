//! The caller of a request, and the reasons for which requests are refused.

use crate::rights::Rights;
use std::fmt;
use std::sync::{Arc, OnceLock};

/// The kind of credentials that a caller was identified by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// No credentials: callers are not identified, or the settings name a tenant for requests without credentials.
    None,
    /// A token.
    Token,
    /// A client certificate.
    Certificate,
    /// The source address of a DNS query.
    Network,
}

/// The identified caller of a request. It does not change while the request is processed.
#[derive(Clone)]
pub struct Caller {
    /// The tenant's name.
    pub tenant: Arc<str>,
    /// The name of the person or program that sends requests for the tenant.
    pub principal: Arc<str>,
    /// The kind of credentials that the caller was identified by.
    pub proof: Proof,
    /// The tenant's rights; `None` if callers are not identified and everything is allowed.
    pub(crate) rights: Option<Arc<Rights>>,
}

impl Caller {
    /// Returns the caller of all requests where callers are not identified.
    pub fn anonymous() -> Arc<Caller> {
        static ANONYMOUS: OnceLock<Arc<Caller>> = OnceLock::new();
        let create =
            || Caller { tenant: "-".into(), principal: "-".into(), proof: Proof::None, rights: None };
        ANONYMOUS.get_or_init(|| Arc::new(create())).clone()
    }

    /// Whether the caller may request an object; everything is allowed where callers are not identified.
    pub fn may(&self, class: &str, method: &str, object: &str) -> bool {
        self.rights.as_ref().is_none_or(|rights| rights.allows(class, method, object))
    }
}

impl PartialEq for Caller {
    fn eq(&self, other: &Caller) -> bool {
        (&self.tenant, &self.principal, self.proof) == (&other.tenant, &other.principal, other.proof)
    }
}

impl fmt::Debug for Caller {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{} by {:?}", self.tenant, self.principal, self.proof)
    }
}

/// Declares the reasons with the labels that logs and counters show.
macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $label:literal,)*) => {
        /// Why a request is refused. Clients receive only the status and the error code.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum Reason { $($(#[$doc])* $name,)* }

        impl Reason {
            /// All reasons.
            pub const ALL: &'static [Reason] = &[$(Reason::$name,)*];

            /// The stable label of the reason in logs and counters.
            pub fn label(self) -> &'static str {
                match self { $(Reason::$name => $label,)* }
            }
        }
    };
}

reasons! {
    /// The request has no credentials, but credentials are required.
    Missing = "missing",
    /// The token is not a compact JWS of a JSON object, or a header parameter or claim is invalid.
    Malformed = "malformed",
    /// The token or certificate chain exceeds the size limit.
    TooLarge = "too_large",
    /// The algorithm is unsupported, is not the key's own, or is not allowed for the issuer.
    Algorithm = "algorithm",
    /// The header has critical parameters, none of which are supported.
    Critical = "critical",
    /// The `typ` header is not that of an access token.
    Type = "type",
    /// The issuer is not in the settings.
    IssuerUnknown = "issuer_unknown",
    /// The issuer's last key set is older than the settings allow.
    IssuerStale = "issuer_stale",
    /// The token's key id is unknown.
    KeyUnknown = "key_unknown",
    /// The key is announced but not active yet.
    KeyNotActive = "key_not_active",
    /// The key is retired.
    KeyRetired = "key_retired",
    /// The issuer or the operators have revoked the key.
    KeyRevoked = "key_revoked",
    /// The signature does not verify with the key.
    Signature = "signature",
    /// The token is not for one of the gateway's audiences.
    Audience = "audience",
    /// The token has expired.
    Expired = "expired",
    /// The token or certificate is not valid yet.
    NotYetValid = "not_yet_valid",
    /// The token's issue time is in the future.
    IssuedInFuture = "issued_in_future",
    /// The token's validity period is longer than the settings allow for the issuer.
    TooLong = "too_long",
    /// The credentials are valid but map to no tenant.
    NoTenant = "no_tenant",
    /// The operators have revoked the token or the principal.
    Revoked = "revoked",
    /// The certificate chain does not lead to a trusted root, or no roots are set.
    CertificateUntrusted = "certificate_untrusted",
    /// The certificate has expired.
    CertificateExpired = "certificate_expired",
    /// The certificate authority or the operators have revoked the certificate.
    CertificateRevoked = "certificate_revoked",
    /// The names in the certificate map to more than one tenant.
    CertificateNames = "certificate_names",
    /// The caller may not request the object, or the operator may not perform the action.
    RightMissing = "right_missing",
    /// The operators' file is unusable, so that no caller can be identified.
    Sealed = "sealed",
}

impl Reason {
    /// The HTTP status of the response (RFC 9110).
    pub fn status(self) -> u16 {
        match self {
            Reason::RightMissing | Reason::NoTenant => 403,
            Reason::Sealed => 503,
            _ => 401,
        }
    }

    /// The error code of RFC 6750, section 3.1; `None` if the request has no credentials or no caller can be
    /// identified.
    pub fn error(self) -> Option<&'static str> {
        match self {
            Reason::Missing | Reason::Sealed => None,
            Reason::RightMissing | Reason::NoTenant => Some("insufficient_scope"),
            _ => Some("invalid_token"),
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}

impl std::error::Error for Reason {}
