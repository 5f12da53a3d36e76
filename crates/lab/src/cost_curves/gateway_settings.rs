//! A deployment's settings object, from a scenario of the laboratory.

use super::error::MeasurementError;
use crate::{scenario, settings};
use sagearch_operators::OneFile;
use serde_json::Value;

const NAME: &str = "slopes.kdl";
const SCENARIO: &str =
    "fleet parents=2 {\n site \"east\" gateways=1 stores=4\n}\nload rate=1\nphase \"rest\" for=\"1s\" {\n}\n";

/// The settings object of a gateway at the scenario's site.
///
/// # Errors
///
/// Where the scenario can't be read.
pub fn object() -> Result<Value, MeasurementError> {
    let file = OneFile { name: NAME, text: SCENARIO };
    let scenario = scenario::read(NAME, &file).map_err(MeasurementError::rejected)?;
    let site = scenario.sites.first().ok_or(MeasurementError::NotReached("the scenario has a site"))?;
    Ok(settings::settings(&scenario, site))
}
