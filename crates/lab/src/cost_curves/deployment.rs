//! The deployment that roles are measured for.

/// Repeats of each size.
pub const REPEATS: usize = 3;
/// Gateways of the whole deployment.
pub const GATEWAYS: &[u64] = &[100, 300, 1_000, 2_200];
/// Gateways of one region of ten.
pub const GATEWAYS_OF_A_REGION: &[u64] = &[10, 30, 100, 220];
/// Regions of the deployment.
pub const REGIONS: u64 = 10;
/// Purges of a day, at 51 a second.
pub const PURGES_A_DAY: u64 = 51 * 86_400;
/// Changes of the configuration in a day.
pub const CHANGES_A_DAY: f64 = 2_000.0;
/// Seconds of a day.
pub const SECONDS_A_DAY: f64 = 86_400.0;
