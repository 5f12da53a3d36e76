//! Schema of a control service's file.

use super::model::HOUR;
use super::model::Kind::{Address, Choice, Number, Path, Span, Text};
use super::model::Presence::{Default, Required};
use super::model::{NodeSchema, Property, Values, node, property, repeatable};

const BY_URI: &[Property] = &[
    property("uri", Text, Required, "the beginning of the URI name in its certificate"),
    property("may", Choice(&["look", "change"]), Default("look"), "`status` and `diff` alone, or all"),
];

/// A control service.
pub(super) static SERVICE: NodeSchema = node(
    "service",
    Values::None,
    &[
        property("listen", Address, Required, "where gateways and operators connect, by TLS"),
        property("data", Path, Required, "a folder that outlives restarts"),
        property("epoch", Number(1, u64::MAX), Default("1"), "grows by hand where the folder was lost"),
        property("certificate", Path, Required, "PEM file of its chain"),
        property("key", Path, Required, "PEM file of its private key"),
        property("roots", Path, Required, "authorities of gateways' and operators' certificates"),
        property(
            "gateways",
            Text,
            Required,
            "the beginning of the URI name in a gateway's certificate; its name follows",
        ),
        property(
            "beat",
            Span(50, HOUR),
            Default("5s"),
            "between signs of life; three missed end a connection",
        ),
        property(
            "spread",
            Span(0, HOUR),
            Default("10s"),
            "over which gateways come back after this was away",
        ),
        property("at-once", Number(1, 10_000), Default("64"), "versions that are being sent at once"),
        property("connections", Number(1, 100_000), Default("2000"), "beyond, others are told to come back"),
        property("keep", Number(2, 1_000), Default("10"), "versions that are kept"),
        property("largest", Number(1_024, 256 * 1024 * 1024), Default("33554432"), "bytes of a version"),
    ],
    &[&repeatable(node("operator", Values::One(Text, "name"), BY_URI, &[], "who may ask and publish"))],
    "a control service",
);
