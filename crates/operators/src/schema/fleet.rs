//! Schema of `fleet`.

use super::model::Kind::{Address, Choice, Number, Span, Text};
use super::model::Presence::{Default, Required};
use super::model::{HOUR, SECOND};
use super::model::{NodeSchema, Property, Values, node, property, repeatable};

static MEMBER: NodeSchema = repeatable(node(
    "member",
    Values::Two(Text, Address, "name and address"),
    &[],
    &[],
    "a gateway by the name in its configuration, and where its datagrams come from and go to",
));

static VOTERS: NodeSchema = repeatable(node(
    "voters",
    Values::Some(Text, "members"),
    &[],
    &[],
    "whose majority makes a home; none: all members. Two lists, the old and the new one: a majority of each",
));

static REGION: NodeSchema = repeatable(node(
    "region",
    Values::One(Text, "name"),
    &[],
    &[&MEMBER, &VOTERS],
    "gateways that share what they know closely: those of a location",
));

/// What the gateways spend together.
pub static SHARED_BUDGET: NodeSchema = repeatable(node(
    "budget",
    Values::One(Choice(&["origin"]), "name"),
    &[
        property("amount", Number(1, 1_000_000_000), Required, "what all may spend in a window"),
        property("window", Span(SECOND, HOUR), Default("10s"), "in every one of which the amount holds"),
        property(
            "overdraft",
            Number(1, 100),
            Default("25"),
            "percent of the amount by which it may be passed",
        ),
        property(
            "floors",
            Number(0, 100),
            Default("5"),
            "percent of it that gateways have of their own, needing nobody",
        ),
        property("of", Choice(&["region", "federation"]), Default("region"), "who shares it"),
    ],
    &[],
    "what the gateways spend together; `origin`: further attempts at the origin",
));

/// Terms on which gateways share state.
pub const FLEET_PROPERTIES: &[Property] = &[
    property(
        "slices",
        Number(16, 4_096),
        Default("256"),
        "parts of shared state, each with a home of its own",
    ),
    property(
        "lease",
        Span(300, 60 * SECOND),
        Default("3s"),
        "how long a home may act on what a majority granted",
    ),
    property(
        "claim",
        Span(300, 600 * SECOND),
        Default("3s"),
        "after which a region that is not heard has no claim",
    ),
    property("drift", Number(0, 100), Default("10"), "thousandths by which a clock may run fast or slow"),
    property("workers", Number(1, 16), Default("2"), "threads of the pool"),
    property("rate", Number(10, 100_000), Default("2000"), "datagrams a second that a gateway sends at most"),
];

/// What a gateway shares with others.
pub(super) static FLEET: NodeSchema = node(
    "fleet",
    Values::One(Text, "name"),
    FLEET_PROPERTIES,
    &[&REGION, &SHARED_BUDGET],
    "what this gateway shares with others; the same in all their files",
);
