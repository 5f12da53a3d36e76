//! Schema of a relay's file.

use super::model::Kind::{Address, Number, Span, Text};
use super::model::Presence::{Default, Required};
use super::model::{HOUR, SECOND};
use super::model::{NodeSchema, Property, Values, node, property, repeatable};

const PROPERTIES: &[Property] = &[
    property("listen", Address, Required, "where gateways, relays and operators connect"),
    property("workers", Number(1, 16), Default("2"), "threads that serve connections"),
    property("batch", Span(0, SECOND), Default("100ms"), "how long a purge may wait for others"),
    property("hold", Span(10, 10 * SECOND), Default("100ms"), "how long its upstream may hold a poll"),
    property("lease", Span(300, 60 * SECOND), Default("1700ms"), "the freshness lease of subscribers"),
    property("drift", Number(0, 100), Default("10"), "thousandths by which a clock may run fast or slow"),
    property("keep-purges", Span(SECOND, 24 * HOUR), Default("10m"), "how long a snapshot tells a purge"),
    property(
        "purge-room",
        Number(16, 1_000_000),
        Default("50000"),
        "purges that a snapshot tells one by one",
    ),
    property("log-room", Number(16, 1_000_000), Default("50000"), "events that are kept for who is behind"),
    property("sessions", Number(1, 100_000), Default("10000"), "connections in all; beyond, 503"),
    property("per-address", Number(1, 100_000), Default("64"), "connections of one address; beyond, 503"),
    property(
        "forget-after",
        Span(2 * SECOND, HOUR),
        Default("60s"),
        "a subscriber that is silent so long is forgotten",
    ),
];

static UPSTREAM: NodeSchema = repeatable(node(
    "upstream",
    Values::One(Address, "address"),
    &[],
    &[],
    "the event bus or another relay, in order of preference",
));

static PEER: NodeSchema = repeatable(node(
    "peer",
    Values::Two(Text, Address, "name and address"),
    &[],
    &[],
    "another relay, whose subscribers count for what is done everywhere",
));

/// What may stand in a relay's file.
pub static RELAY: NodeSchema = node(
    "relay",
    Values::One(Text, "name"),
    PROPERTIES,
    &[&UPSTREAM, &PEER],
    "a relay of the event feed, between the event bus and the gateways",
);
