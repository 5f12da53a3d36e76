//! Limits on the number of entries in settings.

use super::policy_error::{EntryKind, PolicyError};
use crate::settings::{MAX_ISSUERS, MAX_MARKS, MAX_RULES, MAX_TENANTS, Settings, Tenant};

/// Checks that settings do not exceed the limits, and that they have an audience if there are issuers.
pub(super) fn check_limits(settings: &Settings) -> Result<(), PolicyError> {
    check_count(EntryKind::Issuers, settings.issuers.len(), MAX_ISSUERS)?;
    check_count(EntryKind::Tenants, settings.tenants.len(), MAX_TENANTS)?;
    for tenant in &settings.tenants {
        check_tenant(tenant)?;
    }
    if !settings.issuers.is_empty() && settings.audiences.is_empty() {
        return Err(PolicyError::NoAudience);
    }
    Ok(())
}

fn check_tenant(tenant: &Tenant) -> Result<(), PolicyError> {
    let marks = tenant.tokens.len() + tenant.certificates.len() + tenant.networks.len();
    let name = || tenant.name.clone();
    check_count(EntryKind::Rules { tenant: name() }, tenant.rules.len(), MAX_RULES)?;
    check_count(EntryKind::Marks { tenant: name() }, marks, MAX_MARKS)
}

fn check_count(kind: EntryKind, count: usize, limit: usize) -> Result<(), PolicyError> {
    if count > limit { Err(PolicyError::TooMany { kind, count, limit }) } else { Ok(()) }
}
