//! What each role of the control plane costs as a function of its size: messages, bytes, processor time and memory,
//! measured by driving the role's own code in this process, with a line fitted through the sizes.
//!
//! Time is virtual, network and disk are left out: what is measured are the state machines and the real encoders. What
//! sockets, TLS and the kernel add is measured from outside, by [`feed_plain`].

pub mod configuration;
pub mod deployment;
pub mod documents;
pub mod error;
pub mod feed_plain;
pub mod figure;
pub mod gateway_settings;
pub mod initial_events;
pub mod leases;
pub mod memory;
pub mod popularity;
pub mod process;
pub mod processor_time;
pub mod purges;
pub mod quota_allocator;
pub mod region_claims;
pub mod report;
pub mod roles;
pub mod status;
pub mod subscriber;

use deployment::REPEATS;
use error::MeasurementError;
use figure::Figure;
use report::{RoleReport, role_report};
use roles::{ROLES, Role};

/// Measures all roles, or one, and hands out each report as it is made.
///
/// # Errors
///
/// Where there is no such role, or a measurement fails.
pub fn run(
    only: Option<&str>,
    mut on_report: impl FnMut(&RoleReport),
) -> Result<Vec<RoleReport>, MeasurementError> {
    let chosen: Vec<&Role> = ROLES.iter().filter(|role| only.is_none_or(|name| name == role.name)).collect();
    if let (Some(name), []) = (only, &chosen[..]) {
        let names: Vec<&str> = ROLES.iter().map(|role| role.name).collect();
        return Err(MeasurementError::UnknownRole { name: name.into(), known: names.join(", ") });
    }
    let mut reports = Vec::new();
    for role in chosen {
        let report = measure(role)?;
        on_report(&report);
        reports.push(report);
    }
    Ok(reports)
}

fn measure(role: &Role) -> Result<RoleReport, MeasurementError> {
    let mut runs = Vec::new();
    for size in role.sizes {
        let repeats: Result<Vec<Vec<Figure>>, MeasurementError> =
            (0..REPEATS).map(|_| (role.measure)(*size)).collect();
        runs.push((*size, repeats?));
    }
    Ok(role_report(role.name, role.size_of, &runs, role.extrapolated_to))
}

#[cfg(test)]
mod tests;
