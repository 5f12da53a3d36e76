//! The cost of one purge in the decision module, by how many purges are in force there.

use super::error::MeasurementError;
use super::figure::{Figure, Unit};
use super::gateway_settings;
use super::memory::growth_of;
use super::processor_time::time_of;
use sagearch::Router;
use sagearch::interface::{Action, Event};

const SEED: u64 = 7;
/// Purges that are timed. They are of the objects that are in force already, so that their number stays.
const TIMED: u64 = 2_000;
/// Purges of a second in two years, and ten times as many.
const RATES: [(f64, &str); 2] = [(51.0, "processor at 51 purges/s"), (510.0, "processor at 510 purges/s")];

fn purge(number: u64) -> Event {
    Event::Purged { object: Some(format!("object-{number:010}")), group: None, ago: 0 }
}

/// Measures the handling of purges with so many in force.
///
/// # Errors
///
/// Where the settings are unusable.
pub fn handle(in_force: u64) -> Result<Vec<Figure>, MeasurementError> {
    let deployment = sagearch::settings::decode(gateway_settings::object()?);
    let settings = deployment.map_err(MeasurementError::rejected)?.settings;
    let mut router = Router::new(settings, SEED);
    let mut actions: Vec<Action> = Vec::new();
    let ((), growth) =
        growth_of(|| (0..in_force).for_each(|number| router.handle(1, purge(number), &mut actions)));
    // With none in force the timed ones are all of one object, which is then the only one.
    let events: Vec<Event> = (0..TIMED).map(|number| purge(number % in_force.max(1))).collect();
    let ((), processor) =
        time_of(|| events.into_iter().for_each(|event| router.handle(2, event, &mut actions)));
    let each = processor.as_secs_f64() / TIMED as f64;
    let mut figures = vec![Figure::new("processor for one purge", Unit::Microseconds, each * 1e6)];
    for (rate, name) in RATES {
        figures.push(Figure::new(name, Unit::PercentOfCore, each * rate * 100.0));
    }
    figures.extend(growth.map(|growth| Figure::new("memory", Unit::Bytes, growth.left as f64)));
    Ok(figures)
}
