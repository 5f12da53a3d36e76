//! Who a request is carried out for, and why one is turned away.

use crate::rights::Rights;
use std::fmt;
use std::sync::{Arc, OnceLock};

/// What a caller has shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// Nothing: the gateway asks for nothing, or the file names a tenant for those who show nothing.
    None,
    Token,
    Certificate,
    /// The address that a look-up by name came from.
    Network,
}

/// A caller, as a request carries it from its arrival to its end.
#[derive(Clone)]
pub struct Caller {
    pub tenant: Arc<str>,
    pub principal: Arc<str>,
    pub proof: Proof,
    /// `None`: identity is off and nothing is forbidden.
    pub(crate) rights: Option<Arc<Rights>>,
}

impl Caller {
    /// The caller of every request where identity is off.
    pub fn anonymous() -> Arc<Caller> {
        static ANONYMOUS: OnceLock<Arc<Caller>> = OnceLock::new();
        let make = || Caller { tenant: "-".into(), principal: "-".into(), proof: Proof::None, rights: None };
        ANONYMOUS.get_or_init(|| Arc::new(make())).clone()
    }

    /// Whether the caller may ask for this; where identity is off, everyone may ask for anything.
    pub fn may(&self, class: &str, method: &str, object: &str) -> bool {
        self.rights.as_ref().is_none_or(|rights| rights.allow(class, method, object))
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

/// Declares the reasons with their labels, as logs and counters show them.
macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $label:literal,)*) => {
        /// Why a caller is turned away. Clients are told no more than the status.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum Reason { $($(#[$doc])* $name,)* }

        impl Reason {
            pub const ALL: &'static [Reason] = &[$(Reason::$name,)*];

            /// A stable label for logs and counters.
            pub fn label(self) -> &'static str {
                match self { $(Reason::$name => $label,)* }
            }
        }
    };
}

reasons! {
    /// Nothing was shown, and something is asked for.
    Missing = "missing",
    /// Not a compact JWS of a JSON object, or a field is not what it should be.
    Malformed = "malformed",
    TooLarge = "too_large",
    /// The algorithm is not the key's own or not one that the issuer may use.
    Algorithm = "algorithm",
    /// The header has critical parameters, and none is understood.
    Critical = "critical",
    /// The type says that it is something else than an access token.
    Type = "type",
    IssuerUnknown = "issuer_unknown",
    /// The issuer's keys have not been heard of for longer than the file allows.
    IssuerStale = "issuer_stale",
    KeyUnknown = "key_unknown",
    KeyNotActive = "key_not_active",
    KeyRetired = "key_retired",
    KeyRevoked = "key_revoked",
    Signature = "signature",
    Audience = "audience",
    Expired = "expired",
    NotYetValid = "not_yet_valid",
    IssuedInFuture = "issued_in_future",
    /// It would be good for longer than the issuer's tokens may be.
    TooLong = "too_long",
    /// No tenant is mapped to what was proved.
    NoTenant = "no_tenant",
    Revoked = "revoked",
    CertificateUntrusted = "certificate_untrusted",
    CertificateExpired = "certificate_expired",
    CertificateRevoked = "certificate_revoked",
    /// Its names stand for more than one tenant.
    CertificateNames = "certificate_names",
    RightMissing = "right_missing",
    /// The operators' file can't be used: nobody can be told from anybody.
    Sealed = "sealed",
}

impl Reason {
    /// The status of RFC 9110 that says no more than it must.
    pub fn status(self) -> u16 {
        match self {
            Reason::RightMissing | Reason::NoTenant => 403,
            Reason::Sealed => 503,
            _ => 401,
        }
    }

    /// The error code of RFC 6750, section 3.1; none where nothing was shown.
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
