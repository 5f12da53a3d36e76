//! Schema of `feed`.

use super::model::Kind::{Address, Number, Span, Text};
use super::model::Presence::Default;
use super::model::{NodeSchema, Values, node, property, repeatable};

static RELAY: NodeSchema = repeatable(node(
    "relay",
    Values::Two(Text, Address, "name and address"),
    &[],
    &[],
    "a relay of the event feed, in order of preference",
));

/// The relays of the event feed.
pub(super) static FEED: NodeSchema = node(
    "feed",
    Values::None,
    &[
        property(
            "preferred",
            Number(0, 64),
            Default("2"),
            "relays that are tried in order; the rest in an order of the gateway's own",
        ),
        property(
            "lease",
            Span(200, 1_800),
            Default("1700ms"),
            "after which, unheard, older copies are not used; two holds and 400ms at least",
        ),
        property("hold", Span(20, 700), Default("500ms"), "how long a poll that nothing is new for is held"),
        property("drift", Number(0, 100), Default("10"), "thousandths by which a clock may run fast or slow"),
        property(
            "revalidate",
            Number(0, 100_000),
            Default("20"),
            "copies a second that may be fetched anew while the lease is over; the rest is refused",
        ),
    ],
    &[&RELAY],
    "relays that bring the bus's events, in place of the bus itself",
);
