//! Schema of `identity`: issuers, tenants, operators, revocations and trust.

use super::model::Kind::{Choice, Choices, Flag, Network, Number, Path, Span, Text, Timestamp};
use super::model::Presence::{Default, Optional, Required};
use super::model::{DAY, SECOND};
use super::model::{NodeSchema, Property, Values, node, property, repeatable, value};

const ALGORITHMS: &[&str] = &["EdDSA", "ES256", "RS256"];
const METHODS: &[&str] = &["GET", "PUT", "LOOKUP"];

static TOKEN: NodeSchema = repeatable(node(
    "token",
    Values::None,
    &[
        property("issuer", Text, Required, "whose tokens"),
        property("claim", Text, Optional, "those in which this claim, or one of its list, has the value"),
        property("value", Text, Optional, "the claim's value"),
    ],
    &[],
    "tokens that stand for it",
));

static CERTIFICATE: NodeSchema = repeatable(node(
    "certificate",
    Values::None,
    &[
        property("uri", Text, Optional, "a URI name; with a slash at its end, all below it"),
        property("dns", Text, Optional, "a DNS name; `*.` stands for one label"),
    ],
    &[],
    "certificates that stand for it, by a name that they hold",
));

const RULE_VALUES: Values = Values::Any(Text, "classes; none: all");
const RULE_PROPERTIES: &[Property] = &[
    property("methods", Choices(METHODS), Optional, "none: all"),
    property("prefix", Text, Optional, "objects whose names begin so; none: all"),
];

static ALLOW: NodeSchema =
    repeatable(node("allow", RULE_VALUES, RULE_PROPERTIES, &[], "a right; the first line that fits counts"));
static DENY: NodeSchema =
    repeatable(node("deny", RULE_VALUES, RULE_PROPERTIES, &[], "no right; the first line that fits counts"));
static RESOLVERS: NodeSchema = repeatable(node(
    "resolvers",
    Values::Some(Network, "networks"),
    &[],
    &[],
    "networks whose look-ups by name are its; the longest prefix counts",
));

static TENANT: NodeSchema = repeatable(node(
    "tenant",
    Values::One(Text, "name"),
    &[],
    &[&TOKEN, &CERTIFICATE, &RESOLVERS, &ALLOW, &DENY],
    "for whom requests come, and what it may ask for",
));

static OPERATOR: NodeSchema = repeatable(node(
    "operator",
    Values::One(Text, "name"),
    &[property("may", Choice(&["look", "change"]), Default("look"), "`GET` calls alone, or all")],
    &[&TOKEN, &CERTIFICATE],
    "who may call the admin address; with none named, it asks nobody",
));

static KEYS: NodeSchema = node(
    "keys",
    Values::None,
    &[
        property("file", Path, Optional, "a JWKS file, read again when it changes"),
        property("set", Text, Optional, "a `key-set` of this configuration"),
        property("url", Text, Optional, "asked for by http:// or https://"),
        property("roots", Path, Optional, "whom to trust with an https server's certificate"),
        property("every", Span(100, DAY), Default("1m"), "how often it is asked"),
        property("interval", Span(50, DAY), Default("5s"), "never again sooner, whatever keys tokens name"),
        property(
            "hold",
            Span(SECOND, 30 * DAY),
            Optional,
            "its keys are good for so long after it was heard; 10 times `every`",
        ),
    ],
    &[],
    "where an issuer's keys come from: one of `file`, `set` and `url`",
);

static KEY_TERMS: NodeSchema = repeatable(node(
    "key",
    Values::One(Text, "kid"),
    &[
        property("active-from", Timestamp, Optional, "tokens by it count from then on"),
        property("retired-at", Timestamp, Optional, "and no more from then on"),
    ],
    &[],
    "what operators say of a single key, whatever the issuer says",
));

static ISSUER: NodeSchema = repeatable(node(
    "issuer",
    Values::One(Text, "the `iss` of its tokens"),
    &[],
    &[
        &node(
            "algorithms",
            Values::Some(Choice(ALGORITHMS), "algorithms; EdDSA and ES256 without"),
            &[],
            &[],
            "with which it signs",
        ),
        &KEYS,
        &value("principal", Text, Default("sub"), "the claim that names the principal"),
        &value("longest", Span(SECOND, 366 * DAY), Default("24h"), "the longest life of a token"),
        &value(
            "retiring",
            Span(0, 366 * DAY),
            Default("1h"),
            "for how long a key counts that is published no more",
        ),
        &KEY_TERMS,
    ],
    "who signs tokens",
));

const OF_ISSUER: &[Property] = &[property("issuer", Text, Required, "whose")];

static REVOKED: NodeSchema = repeatable(node(
    "revoked",
    Values::None,
    &[],
    &[
        &repeatable(node("key", Values::One(Text, "kid"), OF_ISSUER, &[], "a key; for good")),
        &repeatable(node("token", Values::One(Text, "jti"), OF_ISSUER, &[], "a token")),
        &repeatable(node(
            "principal",
            Values::One(Text, "name"),
            &[property("tenant", Text, Required, "whose")],
            &[],
            "a principal of a tenant",
        )),
        &repeatable(node(
            "certificate",
            Values::One(Text, "serial number in hex"),
            &[],
            &[],
            "a certificate",
        )),
    ],
    "what counts no more, at once",
));

static TRUST: NodeSchema = node(
    "certificates",
    Values::None,
    &[],
    &[
        &repeatable(node(
            "roots",
            Values::Some(Path, "PEM files"),
            &[],
            &[],
            "authorities of clients' certificates",
        )),
        &repeatable(node(
            "revocation-lists",
            Values::Some(Path, "PEM files"),
            &[],
            &[],
            "what these have revoked",
        )),
        &value("lists-expire", Flag, Default("#false"), "a list that has run out ends all of its authority"),
    ],
    "whom to trust with clients' certificates",
);

/// Callers, tenants and operators.
pub(super) static IDENTITY: NodeSchema = node(
    "identity",
    Values::None,
    &[],
    &[
        &repeatable(node("audience", Values::Some(Text, "names"), &[], &[], "a token's `aud` must name one")),
        &value(
            "leeway",
            Span(0, 600 * SECOND),
            Default("30s"),
            "by how much clocks may differ, for times in tokens",
        ),
        &value(
            "cached",
            Number(1, 1_000_000),
            Default("10000"),
            "verified tokens, and chains, that are remembered",
        ),
        &value(
            "anonymous",
            Text,
            Optional,
            "the tenant of requests that show nothing; without, they are refused",
        ),
        &ISSUER,
        &TRUST,
        &TENANT,
        &OPERATOR,
        &REVOKED,
    ],
    "who calls, for whom, with which rights",
);
