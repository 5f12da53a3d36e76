//! Schema of `dns`, `routes` and `group`.

use super::model::Kind::{Flag, Loopback, Network, Number, Path, Span, Text};
use super::model::Presence::{Default, Required};
use super::model::SECOND;
use super::model::{Kind, NodeSchema, Values, node, property, repeatable};

pub(super) static SOURCE: NodeSchema = repeatable(node(
    "source",
    Values::One(Network, "network"),
    &[
        property("zone", Text, Required, "where its resolvers stand"),
        property(
            "ignores-lifetimes",
            Flag,
            Default("#false"),
            "they keep answers, and get the gateway's own address",
        ),
    ],
    &[],
    "resolvers that are answered; the first that fits counts",
));

pub(super) const DEADLINE: Kind = Span(10, 60 * SECOND);

/// The name front.
pub(super) static DNS: NodeSchema = node(
    "dns",
    Values::None,
    &[
        property("listen", Loopback, Required, "UDP and TCP"),
        property("domain", Text, Required, "the suffix of all names"),
        property("deadline", DEADLINE, Default("1s"), "how long a look-up may take"),
    ],
    &[&SOURCE],
    "the name front",
);

/// Whom the name front answers.
pub(super) static ROUTES: NodeSchema = node(
    "routes",
    Values::None,
    &[property("deadline", DEADLINE, Default("1s"), "how long a look-up may take")],
    &[&SOURCE],
    "whom the name front answers, in place of what `dns` says of it",
);

/// Instances that agree on the name front's routes.
pub(super) static GROUP: NodeSchema = node(
    "group",
    Values::None,
    &[
        property("id", Number(1, u64::MAX), Required, "this instance's own"),
        property("listen", Loopback, Required, "where the others reach it"),
        property("data", Path, Required, "a folder that outlives restarts"),
    ],
    &[&repeatable(node(
        "peer",
        Values::Two(Number(1, u64::MAX), Loopback, "id and address"),
        &[],
        &[],
        "another instance",
    ))],
    "instances that agree on the name front's routes",
);
