//! Schema of `limits`, `key-set` and `control`.

use super::model::HOUR;
use super::model::Kind::{Address, Choice, Flag, Number, Path, Span, Text};
use super::model::Presence::{Default, Optional, Required};
use super::model::{NodeSchema, Values, node, property, repeatable};

/// Bounds that may change in service.
pub(super) static LIMITS: NodeSchema = node(
    "limits",
    Values::None,
    &[
        property(
            "clients",
            Number(8, 1_000_000),
            Optional,
            "connections of clients; never over what the descriptors allow",
        ),
        property("lookups", Number(1, 100_000), Default("128"), "look-ups by name under way"),
    ],
    &[],
    "bounds that may change in service",
);

/// Keys that issuers name.
pub(super) static KEY_SET: NodeSchema = repeatable(node(
    "key-set",
    Values::One(Text, "name"),
    &[
        property("file", Path, Optional, "a JWKS file, taken in as it is when this is read"),
        property("json", Text, Optional, "the set itself"),
    ],
    &[],
    "keys that `keys set=\"…\"` names: one of `file` and `json`",
));

/// Where versions come from.
pub(super) static CONTROL: NodeSchema = node(
    "control",
    Values::None,
    &[
        property("data", Path, Optional, "where versions are kept; without, in memory alone"),
        property("keep", Number(1, 100), Default("5"), "versions that are kept"),
        property("largest", Number(1_024, 256 * 1024 * 1024), Default("33554432"), "bytes of a version"),
        property(
            "spread",
            Span(0, HOUR),
            Default("10s"),
            "over which gateways come back after the service was away",
        ),
        property(
            "beat",
            Span(50, HOUR),
            Default("5s"),
            "between signs of life; three missed end a connection",
        ),
        property(
            "without-version",
            Choice(&["refuse", "serve"]),
            Default("refuse"),
            "before the first version is in force",
        ),
        property("show-version", Flag, Default("#false"), "answers carry `Config-Version`"),
        property("roots", Path, Required, "whom to trust with the service's certificate"),
        property("certificate", Path, Required, "this gateway's own, by which the service knows it"),
        property("key", Path, Required, "and its private key"),
    ],
    &[&repeatable(node(
        "address",
        Values::One(Address, "address"),
        &[property("name", Text, Required, "the name that its certificate must hold")],
        &[],
        "a control service, in order of preference",
    ))],
    "where versions of identity, routes, limits and key sets come from",
);
