//! The metrics of `GET /metrics`, in the `OpenMetrics` text format.

use crate::status::RelayStatus;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::registry::Registry;
use std::fmt;

/// The content type of the `OpenMetrics` text format.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Encodes a relay's status as `OpenMetrics` text.
///
/// # Errors
/// An error of the encoder; writing to a string does not fail.
pub fn encode_status(status: &RelayStatus) -> Result<String, fmt::Error> {
    let mut registry = Registry::with_prefix("sagearch_relay");
    register_gauges(&mut registry, status);
    register_counters(&mut registry, status);
    let mut text = String::new();
    encode(&mut text, &registry)?;
    Ok(text)
}

fn register_gauges(registry: &mut Registry, status: &RelayStatus) {
    let mut gauge = |name: &str, help: &str, value: u64| {
        registry.register(name, help, ConstGauge::new(value.cast_signed()));
    };
    let feed = &status.feed;
    gauge("offset", "Last event that this relay knows", feed.offset);
    gauge("watermark", "Last event that is done everywhere", feed.watermark);
    gauge("complete", "1 once all that may hold a lease from here are known", feed.complete.into());
    gauge("subscribers", "Subscribers known, wherever they poll", feed.subscribers as u64);
    gauge("lagging", "Subscribers that have not acknowledged all events", feed.lagging.len() as u64);
    gauge("in_doubt", "Subscribers of this relay whose lease is over", status.expired_leases as u64);
    gauge("held_polls", "Polls that are held now", feed.pending_polls as u64);
    gauge("connections", "Connections that are served", status.connections as u64);
    gauge("stores", "Stores in the list", feed.stores as u64);
    gauge("log_events", "Events kept for who is behind", feed.log_events as u64);
    gauge("purges", "Purges that a snapshot tells one by one", feed.purges as u64);
    gauge(
        "purge_floors",
        "Slices of the hash space with a floor from folded purges",
        feed.purge_floors as u64,
    );
    gauge("resident_bytes", "Resident memory of the process", status.process.resident_bytes);
    gauge("descriptors", "Open descriptors of the process", status.process.descriptors);
    if let Some(age_ms) = feed.age_ms {
        let age = ConstGauge::new(age_ms as f64 / 1_000.0);
        registry.register("age_seconds", "Since when this relay may not be current", age);
    }
}

fn register_counters(registry: &mut Registry, status: &RelayStatus) {
    let mut counter = |name: &str, help: &str, value: u64| {
        registry.register(name, help, ConstCounter::new(value));
    };
    let counters = &status.counters;
    counter("answers", "Polls answered 200", counters.answers);
    counter("answer_bytes", "Bytes of their bodies", counters.answer_bytes);
    counter("bodies", "Bodies made for held polls, each shared by all that are as far", counters.bodies);
    counter("snapshots", "Answers that held the whole state", status.feed.snapshots);
    counter("busy", "Polls answered 503", counters.busy);
    counter("refused_connections", "Connections that found no place", counters.refused_connections);
    counter("bad", "Polls answered 400", counters.bad);
    counter("upstream_failures", "Upstream polls that brought nothing", counters.upstream_failures);
    counter("loops_refused", "Answers refused as relays follow each other", counters.loops_refused);
    counter("reports_heard", "Reports of peers", counters.reports_heard);
    counter("report_failures", "Reports of peers that did not come", counters.report_failures);
    let processor_seconds = ConstCounter::new(status.process.processor_seconds);
    registry.register("processor_seconds", "Processor time of the process", processor_seconds);
}
