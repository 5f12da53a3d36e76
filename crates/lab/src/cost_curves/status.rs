//! The control service's answer to `status`.

use super::configuration::connected;
use super::error::MeasurementError;
use super::figure::{Figure, Unit};
use super::processor_time::time_of;
use sagearch_stream::message::{FromService, encode};
use sagearch_stream::version::Documents;

/// Measures one answer: its bytes, its processor time, and how many of the connected gateways it names.
///
/// # Errors
///
/// Where the answer can't be encoded.
pub fn answer(gateways: u64) -> Result<Vec<Figure>, MeasurementError> {
    let service = connected(gateways, Documents::from([("operators.kdl".into(), String::new())]));
    let (encoded, processor) = time_of(|| {
        let status = service.status(1_000);
        let named = status["gateways"].as_array().map_or(0, Vec::len);
        let connected = status["connected"].as_u64().unwrap_or(0);
        let bytes = encode(&FromService::Reply { answer: Ok(status) }).map_err(MeasurementError::rejected)?;
        Ok((bytes.len(), named, connected))
    });
    let (bytes, named, connected) = encoded?;
    Ok(vec![
        Figure::new("bytes of an answer", Unit::Bytes, bytes as f64),
        Figure::milliseconds("processor", processor),
        Figure::new("gateways connected", Unit::Count, connected as f64),
        Figure::new("gateways named", Unit::Count, named as f64),
    ])
}
