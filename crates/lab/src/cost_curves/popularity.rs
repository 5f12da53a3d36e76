//! The aggregation of popularity: the sum of what the gateways of a region report, over 2.6 billion objects. The crate is not
//! used by the gateway yet: there is no wire format and no stated interval, so reports are encoded by `postcard` as other
//! datagrams are, and an interval of 10 s is assumed.

use super::error::MeasurementError;
use super::figure::{Figure, Load, Traffic, Unit};
use super::memory::growth_of;
use super::processor_time::{Stopwatch, time_of};
use rand::SeedableRng;
use rand_distr::{Distribution, Zipf};
use rand_pcg::Pcg64Mcg;
use sagearch_popularity::{
    Aggregator, AggregatorConfig, Counter, KeyCount, Report, ReportOutcome, ReportSource,
};

const OBJECTS: f64 = 2.6e9;
const INTERVAL_SECONDS: f64 = 10.0;
/// Requests of one gateway in an interval: 1.9 million a second among 2,200.
const REQUESTS: usize = 8_636;
const ZIPF_EXPONENT: f64 = 0.9;
const INTERVALS: u32 = 4;
/// Intervals after which counts are halved.
const HALVING_INTERVALS: u32 = 8;
const MAX_COUNT: u64 = 1_000_000;
/// Objects of which gateways have the region's scores.
const HOTTEST: usize = 30_000;
const SEED: u64 = 7;
/// Objects of a report to a full table.
const OBJECTS_PER_REPORT: u64 = 16;
/// Reports to a full table.
const FURTHER_REPORTS: u64 = 2_000;
/// Reports of one gateway in an interval.
const REPORTS_PER_GATEWAY: u64 = 64;

fn aggregator(capacity: usize) -> Aggregator {
    let config = AggregatorConfig { capacity, max_per_gateway: MAX_COUNT, halving_period: HALVING_INTERVALS };
    Aggregator::new(config, 0)
}

fn source(gateway: u16) -> ReportSource {
    ReportSource { gateway, incarnation: 1 }
}

/// The reports of all gateways for an interval.
fn reports_of(gateways: u64, interval: u32, zipf: &Zipf<f64>) -> Vec<(u16, Report)> {
    let mut reports = Vec::new();
    for gateway in 0..gateways {
        let mut random = Pcg64Mcg::seed_from_u64(SEED ^ (gateway << 20) ^ u64::from(interval));
        let mut counter = Counter::default();
        (0..REQUESTS).for_each(|_| counter.count(zipf.sample(&mut random) as u64));
        reports.extend(counter.close(interval).into_iter().map(|report| (gateway as u16, report)));
    }
    reports
}

/// Measures one aggregator that receives all reports of a region: with slices each would have its share of it.
///
/// # Errors
///
/// Where the distribution of requests is impossible.
pub fn reports(gateways: u64) -> Result<Vec<Figure>, MeasurementError> {
    let zipf = Zipf::new(OBJECTS, ZIPF_EXPONENT).map_err(MeasurementError::rejected)?;
    let intervals: Vec<Vec<(u16, Report)>> =
        (0..INTERVALS).map(|interval| reports_of(gateways, interval, &zipf)).collect();
    let mut stopwatch = Stopwatch::default();
    let mut incoming = Traffic::default();
    let (sum, growth) = growth_of(|| {
        let mut sum = aggregator(HOTTEST);
        for (interval, reports) in intervals.iter().enumerate() {
            for (gateway, report) in reports {
                incoming.add(postcard::to_stdvec(report).map_or(0, |bytes| bytes.len()));
                stopwatch.time(|| sum.receive(interval as u32, source(*gateway), report));
            }
        }
        sum
    });
    let hottest = time_of(|| sum.top(HOTTEST));
    let load = Load {
        seconds: f64::from(INTERVALS) * INTERVAL_SECONDS,
        instances: 1.0,
        incoming,
        outgoing: Traffic::default(),
        processor: stopwatch.total(),
    };
    let mut figures = load.figures();
    let each = load.processor.as_secs_f64() * 1e6 / incoming.messages.max(1) as f64;
    figures.push(Figure::new("processor for one report", Unit::Microseconds, each));
    figures.push(Figure::milliseconds("processor for the hottest 30,000", hottest.1));
    figures.extend(growth.map(|growth| Figure::megabytes("memory", growth.left)));
    Ok(figures)
}

/// Measures a report of 16 new objects at an aggregator whose table is full.
///
/// # Errors
///
/// Where the table is not full, or a report is not counted.
pub fn table(places: u64) -> Result<Vec<Figure>, MeasurementError> {
    let report = |number: u64| Report {
        interval: 0,
        number: (number % REPORTS_PER_GATEWAY) as u8,
        counts: (0..OBJECTS_PER_REPORT)
            .map(|at| KeyCount {
                key: sagearch_homes::placement::mix(number * OBJECTS_PER_REPORT + at),
                count: 1,
            })
            .collect(),
    };
    let first = places.div_ceil(OBJECTS_PER_REPORT);
    let gateway = |number: u64| (number / REPORTS_PER_GATEWAY) as u16;
    let (mut sum, growth) = growth_of(|| {
        let mut sum = aggregator(places as usize);
        for number in 0..first {
            sum.receive(0, source(gateway(number)), &report(number));
        }
        sum
    });
    if sum.len() as u64 != places {
        return Err(MeasurementError::NotReached("the table is full"));
    }
    let further: Vec<(u16, Report)> =
        (first..first + FURTHER_REPORTS).map(|number| (gateway(number), report(number))).collect();
    let (counted, receiving) = time_of(|| {
        let is_counted =
            |(from, report): &&(u16, Report)| sum.receive(0, source(*from), report) == ReportOutcome::Counted;
        further.iter().filter(is_counted).count()
    });
    if counted != further.len() {
        return Err(MeasurementError::NotReached("all further reports count"));
    }
    let ((), halving) = time_of(|| sum.age(HALVING_INTERVALS));
    let each = receiving.as_secs_f64() * 1e6 / FURTHER_REPORTS as f64;
    let mut figures = vec![
        Figure::new("processor for one report", Unit::Microseconds, each),
        Figure::milliseconds("processor for halving all", halving),
    ];
    figures.extend(growth.map(|growth| Figure::megabytes("memory", growth.left)));
    Ok(figures)
}
