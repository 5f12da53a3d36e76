//! The roles of the control plane, and how each is measured.

use super::deployment::{GATEWAYS, GATEWAYS_OF_A_REGION, PURGES_A_DAY};
use super::error::MeasurementError;
use super::figure::Figure;
use super::{
    configuration, initial_events, leases, popularity, purges, quota_allocator, region_claims, status,
    subscriber,
};

/// A role and how it is measured.
pub struct Role {
    /// Its name on the command line and in reports.
    pub name: &'static str,
    /// What its size counts.
    pub size_of: &'static str,
    /// The sizes that are measured.
    pub sizes: &'static [u64],
    /// A size for which the fitted line is evaluated, as no run goes there.
    pub extrapolated_to: Option<u64>,
    /// Measures one repeat at a size.
    pub measure: fn(u64) -> Result<Vec<Figure>, MeasurementError>,
}

/// All roles that are measured in this process.
pub const ROLES: &[Role] = &[
    Role {
        name: "configuration-rest",
        size_of: "connected gateways",
        sizes: GATEWAYS,
        extrapolated_to: None,
        measure: configuration::at_rest,
    },
    Role {
        name: "configuration-publish-small",
        size_of: "connected gateways; 1.9 MB are held, one document of 2 KB changes",
        sizes: GATEWAYS,
        extrapolated_to: None,
        measure: configuration::publish_small,
    },
    Role {
        name: "configuration-publish-large",
        size_of: "connected gateways; the 1.9 MB document changes in one line",
        sizes: GATEWAYS,
        extrapolated_to: None,
        measure: configuration::publish_large,
    },
    Role {
        name: "configuration-rollout",
        size_of: "connected gateways; the default stages, to all done",
        sizes: GATEWAYS,
        extrapolated_to: None,
        measure: configuration::staged_rollout,
    },
    Role {
        name: "configuration-subscriber",
        size_of: "tenants of five rules each in a version",
        sizes: &[100, 1_000, 3_000, 10_000],
        extrapolated_to: None,
        measure: subscriber::receive,
    },
    Role {
        name: "status",
        size_of: "connected gateways",
        sizes: GATEWAYS,
        extrapolated_to: None,
        measure: status::answer,
    },
    Role {
        name: "leases-all-vote",
        size_of: "members of one region, all of them voters",
        sizes: GATEWAYS_OF_A_REGION,
        extrapolated_to: None,
        measure: leases::all_vote,
    },
    Role {
        name: "leases-five-vote",
        size_of: "members of one region, five of them voters",
        sizes: GATEWAYS_OF_A_REGION,
        extrapolated_to: None,
        measure: leases::five_vote,
    },
    Role {
        name: "principals",
        size_of: "gateways in ten regions",
        sizes: GATEWAYS,
        extrapolated_to: None,
        measure: region_claims::claims,
    },
    Role {
        name: "bank-region",
        size_of: "purses of one region, all of them asking",
        sizes: GATEWAYS_OF_A_REGION,
        extrapolated_to: None,
        measure: quota_allocator::grant,
    },
    Role {
        name: "bank-fleet",
        size_of: "purses, all of them asking",
        sizes: GATEWAYS,
        extrapolated_to: None,
        measure: quota_allocator::grant,
    },
    Role {
        name: "popularity",
        size_of: "gateways of one region that report to one home",
        sizes: GATEWAYS_OF_A_REGION,
        extrapolated_to: None,
        measure: popularity::reports,
    },
    Role {
        name: "popularity-table",
        size_of: "objects in a home's table",
        sizes: &[10_000, 100_000, 400_000, 1_181_819],
        extrapolated_to: None,
        measure: popularity::table,
    },
    Role {
        name: "known",
        size_of: "purges in `known` at a start",
        sizes: &[1, 10_000, 100_000, 1_000_000],
        extrapolated_to: Some(PURGES_A_DAY),
        measure: initial_events::read,
    },
    Role {
        name: "purges",
        size_of: "purges in force in the decision module",
        sizes: &[0, 500, 5_000],
        extrapolated_to: None,
        measure: purges::handle,
    },
];
