//! The schema of scenarios of the scale run, for the reader of the operators' language.

use sagearch_operators::schema::Kind::{Choice, Flag, Number, Span};
use sagearch_operators::schema::Presence::{Default, Optional, Required};
use sagearch_operators::schema::{Kind, NodeSchema, Presence, Property, Values};

const SECOND: u64 = 1_000;
const MINUTE: u64 = 60 * SECOND;

/// Names of the faults of a scale run.
pub const FAULTS: &[&str] = &["restart", "stop", "cut", "one-way", "relay"];

const fn property(name: &'static str, kind: Kind, presence: Presence, about: &'static str) -> Property {
    Property { name, kind, presence, about }
}

const fn node(
    name: &'static str,
    values: Values,
    properties: &'static [Property],
    repeatable: bool,
    about: &'static str,
) -> NodeSchema {
    NodeSchema { name, about, values, properties, children: &[], repeatable, presence: Optional }
}

static FLEET: NodeSchema = node(
    "fleet",
    Values::None,
    &[
        property("regions", Number(1, 32), Default("10"), "regions, over which sites are spread"),
        property("zones", Number(1, 200), Default("36"), "zones, over which sites are spread"),
        property("sites", Number(1, 1_000), Default("94"), "sites, over which gateways are spread"),
        property("stores", Number(1, 2_000), Default("270"), "stores of the list"),
    ],
    false,
    "what the fleet is made of beside its gateways",
);

static CHANGES: NodeSchema = node(
    "changes",
    Values::None,
    &[
        property("purges", Number(0, 10_000), Default("51"), "purges a second"),
        property("lists", Number(0, 600), Default("30"), "changes of the list of stores a minute"),
        property("groups", Number(0, 100), Default("20"), "percent of purges that are of a group of objects"),
        property(
            "spacing",
            Choice(&["poisson", "even"]),
            Default("poisson"),
            "how purges follow one another",
        ),
    ],
    false,
    "the events that the event bus issues",
);

static NEED: NodeSchema = node(
    "need",
    Values::None,
    &[
        property("within", Span(1, MINUTE), Default("1900ms"), "until a purge is done everywhere"),
        property(
            "core",
            Number(1, 1_000),
            Default("47"),
            "thousandths of a core for a gateway's control work",
        ),
        property("memory", Number(1, 10_000), Default("32"), "MB of a gateway"),
        property("traffic", Number(1, 10_000), Default("15"), "KB a second of a gateway, both ways"),
    ],
    false,
    "what must hold",
);

static FEED: NodeSchema = node(
    "feed",
    Values::None,
    &[property("relays", Number(1, 32), Default("6"), "control machines, each with one relay")],
    false,
    "gateways follow relays; without this node they poll the event bus themselves",
);

static SIZE: NodeSchema = node(
    "size",
    Values::One(Number(1, 4_096), "gateways"),
    &[
        property("real", Number(1, 40), Default("12"), "how many of them are real processes"),
        property("calm", Span(SECOND, 5 * MINUTE), Default("15s"), "how long the calm stretch is"),
        property("faults", Flag, Default("#true"), "whether the faults are played after it"),
    ],
    true,
    "a size of the fleet that is played",
);

static FAULT: NodeSchema = node(
    "fault",
    Values::One(Choice(FAULTS), "the kind"),
    &[
        property("for", Span(100, MINUTE), Required, "how long"),
        property("settle", Span(100, MINUTE), Default("4s"), "until the next one, which is checked with it"),
    ],
    true,
    "a fault; they are played one after the other, in this order",
);

/// A scenario of the scale run.
pub static SCENARIO: NodeSchema = NodeSchema {
    name: "scenario",
    about: "a scenario of the scale run",
    values: Values::None,
    properties: &[],
    children: &[&FLEET, &CHANGES, &NEED, &FEED, &SIZE, &FAULT],
    repeatable: false,
    presence: Optional,
};
