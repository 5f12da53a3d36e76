//! Schema of `tls`.

use super::model::Kind::{Choice, Flag, Number, Path, Span};
use super::model::Presence::{Default, Required};
use super::model::SECOND;
use super::model::{NodeSchema, Property, Values, node, property, repeatable};

const ENDPOINT: &[&NodeSchema] = &[&repeatable(node(
    "certificate",
    Values::One(Path, "PEM file of the chain"),
    &[property("key", Path, Required, "PEM file of its private key")],
    &[],
    "shown to who asks for one of its names; the first one also to others",
))];
const ASKS: &[Property] = &[property(
    "client-certificates",
    Choice(&["off", "optional", "required"]),
    Default("off"),
    "whether clients show certificates",
)];

/// TLS on the gateway's addresses.
pub(super) static TLS: NodeSchema = node(
    "tls",
    Values::None,
    &[
        property(
            "handshakes",
            Number(1, 100_000),
            Default("64"),
            "under way at once; beyond, the oldest makes way",
        ),
        property("within", Span(50, 60 * SECOND), Default("2s"), "the longest handshake"),
        property("old-version", Flag, Default("#false"), "TLS 1.2 as well"),
    ],
    &[
        &node("clients", Values::None, ASKS, ENDPOINT, "the clients' address speaks TLS"),
        &node("admin", Values::None, ASKS, ENDPOINT, "the admin address speaks TLS"),
    ],
    "TLS on the gateway's addresses",
);
