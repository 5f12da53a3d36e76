//! A process of hollow gateways: the control side of the product, many times, each observed where its events are applied.
//!
//! It writes [`READY`] on standard output once all have started, and ends with its standard input.

mod hollow_gateway;
mod observing_sink;

use super::error::ScaleError;
use super::initial_events::{self, NO_EVENTS};
use super::observation::{HostLine, LineWriter, Traffic};
use super::plan::HostPlan;
use super::usage::Usage;
use hollow_gateway::HollowGateway;
use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// The line on standard output once all gateways have started.
pub const READY: &str = "ready";
/// How often observations are written down.
const WRITE_INTERVAL: Duration = Duration::from_secs(1);
/// How often brokers handle what has come due. Without requests nothing of it is urgent.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

fn initial_events(plan: &HostPlan) -> Result<Vec<u8>, ScaleError> {
    match plan.known_from {
        Some(bus) => initial_events::fetch(bus).map_err(ScaleError::in_operation("the events up to now")),
        None => Ok(NO_EVENTS.into()),
    }
}

/// What the feed has cost all gateways so far.
fn traffic(gateways: &[HollowGateway]) -> Traffic {
    gateways.iter().fold(Traffic::default(), |sum, gateway| {
        let counters = gateway.control_side.counters();
        sum.plus(&Traffic {
            requests: counters.answers.get() + counters.failed_calls.get(),
            answers: counters.answers.get(),
            failures: counters.failed_calls.get(),
            bytes_up: counters.bytes_sent.get(),
            bytes_down: counters.bytes_received.get(),
            // Nearly all answers fit one segment; more only makes the sum larger.
            answer_segments: counters.answers.get(),
        })
    })
}

fn write_all(gateways: &[HollowGateway], output: &mut LineWriter) -> io::Result<()> {
    gateways.iter().try_for_each(|gateway| gateway.sink.write(output))?;
    output.write(&HostLine::Traffic { at_us: sagearch_clock::unix_micros(), traffic: traffic(gateways) })?;
    output.write(&HostLine::Usage(Usage::own()))?;
    output.flush()
}

/// A flag that is set once standard input has ended.
fn watch_standard_input() -> Arc<AtomicBool> {
    let ended = Arc::new(AtomicBool::new(false));
    let flag = ended.clone();
    thread::spawn(move || {
        // An input that fails has ended too.
        let _ = io::copy(&mut io::stdin(), &mut io::sink());
        flag.store(true, Ordering::SeqCst);
    });
    ended
}

fn tick_until(ended: &AtomicBool, gateways: &[HollowGateway]) {
    while !ended.load(Ordering::SeqCst) {
        for gateway in gateways {
            gateway.control_side.tick();
        }
        thread::sleep(TICK_INTERVAL);
    }
}

fn write_until(ended: &AtomicBool, gateways: &[HollowGateway], output: &mut LineWriter) -> io::Result<()> {
    while !ended.load(Ordering::SeqCst) {
        write_all(gateways, output)?;
        thread::sleep(WRITE_INTERVAL);
    }
    gateways.iter().try_for_each(|gateway| gateway.sink.write_open_stale_span(output))?;
    write_all(gateways, output)
}

/// Starts all gateways of a plan.
fn start_all(plan: &HostPlan, output: &mut LineWriter) -> Result<Vec<HollowGateway>, ScaleError> {
    let known = if plan.gateways.is_empty() { Vec::new() } else { initial_events(plan)? };
    let mut gateways = Vec::new();
    for gateway_plan in &plan.gateways {
        let gateway = hollow_gateway::start(plan, gateway_plan, &known)?;
        // The events that it was given are applied as it starts.
        let at_us = sagearch_clock::unix_micros();
        let line = HostLine::Started { gateway: gateway_plan.gateway, at_us };
        output.write(&line).map_err(ScaleError::in_file(&plan.output))?;
        gateways.push(gateway);
    }
    Ok(gateways)
}

fn report_ready() -> io::Result<()> {
    println!("{READY}");
    io::stdout().flush()
}

/// Hosts the gateways of a plan until standard input ends.
///
/// # Errors
///
/// Where a gateway can't be started, or the output can't be written.
pub fn run(plan: &HostPlan) -> Result<(), ScaleError> {
    let ended = watch_standard_input();
    sagearch::net::set_up();
    let mut output = LineWriter::create(&plan.output).map_err(ScaleError::in_file(&plan.output))?;
    let gateways = start_all(plan, &mut output)?;
    report_ready().map_err(ScaleError::in_operation("standard output"))?;
    let written = thread::scope(|scope| {
        scope.spawn(|| tick_until(&ended, &gateways));
        write_until(&ended, &gateways, &mut output)
    });
    written.map_err(ScaleError::in_file(&plan.output))
}
