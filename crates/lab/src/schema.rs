//! What may stand in a scenario: tables for the reader of the operators' language.

use sagearch_operators::schema::Kind::{Choice, Flag, Number, Span, Text};
use sagearch_operators::schema::Presence::{Default, Optional, Required};
use sagearch_operators::schema::{
    FLEET_PROPERTIES, Kind, NodeSchema, Presence, Property, SHARED_BUDGET, Values,
};

const SECOND: u64 = 1_000;
const HOUR: u64 = 3_600 * SECOND;

/// Kinds of faults, as a scenario names them.
pub const FAULTS: &[&str] = &[
    "cut",
    "silence",
    "reset",
    "stall",
    "delay",
    "rate",
    "corrupt",
    "loss",
    "duplicate",
    "reorder",
    "kill",
    "stop",
    "term",
    "hup",
    "crash",
    "drain",
    "late-bus",
    "purge",
    "clock-step",
    "syscalls",
    "disk",
    "suspend",
];

const fn property(name: &'static str, kind: Kind, presence: Presence, about: &'static str) -> Property {
    Property { name, kind, presence, about }
}

static SITE: NodeSchema = NodeSchema {
    name: "site",
    about: "a site with its gateways and caches",
    values: Values::One(Text, "the site's name"),
    properties: &[
        property("gateways", Number(0, 400), Required, "processes of the gateway"),
        property("stores", Number(0, 200), Required, "caches"),
        property(
            "distance",
            Span(0, 10 * SECOND),
            Default("2ms"),
            "there and back to the parents and the origin",
        ),
    ],
    children: &[],
    repeatable: true,
    presence: Optional,
};

static FLEET: NodeSchema = NodeSchema {
    name: "fleet",
    about: "who takes part",
    values: Values::None,
    properties: &[property(
        "parents",
        Number(0, 50),
        Default("2"),
        "parent caches, which fill from the origin",
    )],
    children: &[&SITE],
    repeatable: false,
    presence: Optional,
};

static MODEL: NodeSchema = NodeSchema {
    name: "model",
    about: "what caches, parents and the origin are like",
    values: Values::None,
    properties: &[
        property("slots", Number(1, 10_000), Default("8"), "requests that a cache works on at a time"),
        property("room", Number(0, 100_000), Default("32"), "requests that wait at a cache for a slot"),
        property("service", Span(0, 10 * SECOND), Default("4ms"), "mean work of a request at a cache"),
        property("link", Number(1, 10_000_000), Default("40000"), "KB a second of a cache's link"),
        property("copies", Number(1, 1_000_000), Default("2000"), "objects' parts that a cache keeps"),
        property("parent-slots", Number(1, 10_000), Default("32"), "the same of a parent"),
        property("origin-slots", Number(1, 10_000), Default("64"), "the same of the origin"),
        property(
            "origin-service",
            Span(0, 10 * SECOND),
            Default("20ms"),
            "mean work of a request at the origin",
        ),
        property(
            "origin-rate",
            Number(1, 1_000_000),
            Default("100000"),
            "requests a second that the origin takes",
        ),
        property("warm-up", Span(1, HOUR), Default("10s"), "until a cache that has started bears all"),
        property(
            "cold-from",
            Number(1, 100),
            Default("20"),
            "percent of its slots that a cache has as it starts",
        ),
    ],
    children: &[],
    repeatable: false,
    presence: Optional,
};

static LOAD: NodeSchema = NodeSchema {
    name: "load",
    about: "what clients ask for: an open loop, drawn ahead",
    values: Values::None,
    properties: &[
        property("rate", Number(1, 100_000), Required, "requests a second, all sites together"),
        property("objects", Number(1, 10_000_000), Default("1000"), "objects that are asked for again"),
        property("skew", Number(0, 300), Default("90"), "percent: Zipf's exponent"),
        property(
            "once",
            Number(0, 100),
            Default("10"),
            "percent of requests for objects that nobody asks for again",
        ),
        property("parts", Number(1, 100), Default("3"), "parts of an object, asked for in order"),
        property("drift", Span(1, HOUR), Default("1m"), "how long the most wanted objects stay the same"),
        property("writes", Number(0, 100), Default("4"), "percent of requests with a key, at the origin"),
        property("payments", Number(0, 100), Default("2"), "percent of requests that must not run twice"),
        property("size", Number(1, 200), Default("8"), "KB of a part on the wire"),
        property("patience", Span(100, 60 * SECOND), Default("2s"), "how long a client waits"),
        property("tries", Number(1, 10), Default("3"), "tries of a client, the first included"),
    ],
    children: &[],
    repeatable: false,
    presence: Optional,
};

static FAULT: NodeSchema = NodeSchema {
    name: "fault",
    about: "what goes wrong, at whom, when and for how long",
    values: Values::One(Choice(FAULTS), "the kind"),
    properties: &[
        property("from", Text, Optional, "participants whose bytes it affects"),
        property("to", Text, Optional, "those the bytes go to"),
        property("both", Flag, Default("#false"), "on what goes back, too"),
        property("who", Text, Optional, "participants it affects"),
        property("pick", Number(1, 1_000), Optional, "so many of them, drawn"),
        property("times", Number(1, 1_000), Default("1"), "how often it comes, each drawn anew"),
        property("at", Text, Default("0s"), "from the phase's begin: a time or a range, \"1s..3s\""),
        property("for", Text, Optional, "how long: a time or a range; else to the phase's end"),
        property("by", Text, Optional, "a delay: a time or a range"),
        property("jitter", Text, Optional, "up to this much more: a time or a range"),
        property("back", Flag, Default("#false"), "a clock is stepped back, not forward"),
        property("share", Text, Optional, "of pieces, datagrams or calls: \"2%\" or \"1%..5%\""),
        property("rate", Text, Optional, "bytes a second: \"20kB\" or \"10kB..1MB\""),
        property("group", Number(0, 255), Optional, "the group of objects that is purged"),
    ],
    children: &[],
    repeatable: true,
    presence: Optional,
};

static EXPECT: NodeSchema = NodeSchema {
    name: "expect",
    about: "what must hold of requests that come in this phase",
    values: Values::None,
    properties: &[
        property("served", Number(0, 100), Optional, "percent of requests that are served at least"),
        property("failed", Number(0, 100), Optional, "percent of requests that fail at most"),
        property("within", Span(1, 60 * SECOND), Optional, "99 of 100 answers are there by then"),
    ],
    children: &[],
    repeatable: false,
    presence: Optional,
};

static PHASE: NodeSchema = NodeSchema {
    name: "phase",
    about: "a part of the run",
    values: Values::One(Text, "its name"),
    properties: &[property("for", Span(100, HOUR), Required, "how long")],
    children: &[&FAULT, &EXPECT],
    repeatable: true,
    presence: Optional,
};

static SHARED: NodeSchema = NodeSchema {
    name: "shared",
    about: "what the gateways share, as `fleet` states it in the operators' file; each site is a region",
    values: Values::None,
    properties: FLEET_PROPERTIES,
    children: &[&SHARED_BUDGET],
    repeatable: false,
    presence: Optional,
};

/// The whole language.
pub static SCENARIO: NodeSchema = NodeSchema {
    name: "scenario",
    about: "a scenario",
    values: Values::None,
    properties: &[],
    children: &[&FLEET, &SHARED, &MODEL, &LOAD, &PHASE],
    repeatable: false,
    presence: Optional,
};
