//! Events that a gateway is given at its start, as its configuration's `known` holds them.

use super::error::MeasurementError;
use super::figure::{Figure, Unit};
use super::gateway_settings;
use super::memory::growth_of;
use super::processor_time::time_of;
use sagearch::config;
use sagearch::events::Batch;
use std::fmt::Write;

/// The time of the first purge, in Unix milliseconds.
const FIRST_PURGE_MS: u64 = 1_796_000_000_000;
const MS_BETWEEN_PURGES: u64 = 20;

/// `known` with so many purges of objects.
fn known(purges: u64) -> String {
    let mut text = format!("{{\"offset\":{purges},\"batch\":[");
    for number in 1..=purges {
        let comma = if number == 1 { "" } else { "," };
        let ts = FIRST_PURGE_MS + number * MS_BETWEEN_PURGES;
        let _ = write!(
            text,
            "{comma}{{\"offset\":{number},\"ban\":{{\"url\":\"/svc/video/object-{number:010}\",\"ts\":{ts}}}}}"
        );
    }
    text.push_str("]}");
    text
}

/// The whole configuration that holds it.
fn configuration(known: &str) -> Result<String, MeasurementError> {
    let settings = gateway_settings::object()?;
    Ok(format!(
        "{{\"name\":\"g\",\"listen\":\"127.0.0.1:1\",\"seed\":7,\"bus\":\"127.0.0.1:2\",\"settings\":{settings},\"known\":{known}}}"
    ))
}

/// Measures reading the events alone, and reading the whole configuration as a gateway does at its start.
///
/// # Errors
///
/// Where not all of them are read.
pub fn read(purges: u64) -> Result<Vec<Figure>, MeasurementError> {
    let events = known(purges);
    let whole = configuration(&events)?;
    let ((batch, batch_time), batch_growth) =
        growth_of(|| time_of(|| serde_json::from_str::<Batch>(&events)));
    if batch.map_err(MeasurementError::rejected)?.batch.len() as u64 != purges {
        return Err(MeasurementError::NotReached("all purges are read"));
    }
    let ((config, config_time), config_growth) = growth_of(|| time_of(|| config::decode(&whole, None, None)));
    if config.map_err(MeasurementError::rejected)?.known.batch.len() as u64 != purges {
        return Err(MeasurementError::NotReached("all purges are read from the configuration"));
    }
    let mut figures = vec![
        Figure::new("bytes of `known`", Unit::Megabytes, events.len() as f64 / 1e6),
        Figure::milliseconds("processor, events alone", batch_time),
        Figure::milliseconds("processor, whole configuration", config_time),
    ];
    if let Some((batch, config)) = batch_growth.zip(config_growth) {
        figures.push(Figure::megabytes("memory, events alone", batch.left));
        figures.push(Figure::megabytes("memory, events alone, at most", batch.peak));
        figures.push(Figure::megabytes("memory, whole configuration, at most", config.peak));
    }
    Ok(figures)
}
