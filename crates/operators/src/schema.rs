//! What may stand in a file, in one place. The checker, the defaults, the reference page and the completions all come
//! from these tables.

/// Milliseconds.
const SECOND: u64 = 1_000;
const HOUR: u64 = 3_600 * SECOND;
const DAY: u64 = 24 * HOUR;

/// What a value is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    Text,
    Flag,
    /// A whole number between both.
    Number(u64, u64),
    /// A time with its unit, in milliseconds between both.
    Span(u64, u64),
    /// RFC 3339.
    Moment,
    Address,
    /// An address that only this machine reaches.
    Loopback,
    Network,
    /// From the file's folder on.
    Path,
    Word(&'static [&'static str]),
    /// Some of these, with blanks between.
    Words(&'static [&'static str]),
}

/// What holds where a value is not stated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Without {
    /// It must be there.
    Fault,
    Nothing,
    Default(&'static str),
}

/// `name=value`
#[derive(Debug)]
pub struct Property {
    pub name: &'static str,
    pub kind: Kind,
    pub without: Without,
    pub about: &'static str,
}

/// Values behind a name.
#[derive(Clone, Copy, Debug)]
pub enum Values {
    None,
    One(Kind, &'static str),
    /// Two of different kinds.
    Two(Kind, Kind, &'static str),
    Some(Kind, &'static str),
    Any(Kind, &'static str),
}

/// A node: what may stand behind it, and below it.
#[derive(Debug)]
pub struct Rule {
    pub name: &'static str,
    pub about: &'static str,
    pub values: Values,
    pub properties: &'static [Property],
    pub children: &'static [&'static Rule],
    /// It may stand more than once in one place.
    pub many: bool,
    pub without: Without,
}

pub(crate) const fn property(
    name: &'static str,
    kind: Kind,
    without: Without,
    about: &'static str,
) -> Property {
    Property { name, kind, without, about }
}

/// A node with one value and nothing else.
pub(crate) const fn value(name: &'static str, kind: Kind, without: Without, about: &'static str) -> Rule {
    Rule {
        name,
        about,
        values: Values::One(kind, "value"),
        properties: &[],
        children: &[],
        many: false,
        without,
    }
}

pub(crate) const fn node(
    name: &'static str,
    values: Values,
    properties: &'static [Property],
    children: &'static [&'static Rule],
    about: &'static str,
) -> Rule {
    Rule { name, about, values, properties, children, many: false, without: Without::Nothing }
}

pub(crate) const fn many(rule: Rule) -> Rule {
    Rule { many: true, ..rule }
}

use Kind::{Address, Flag, Loopback, Moment, Network, Number, Path, Span, Text, Word, Words};
use Without::{Default, Fault, Nothing};

const ALGORITHMS: &[&str] = &["EdDSA", "ES256", "RS256"];
const METHODS: &[&str] = &["GET", "PUT", "LOOKUP"];

static TOKEN: Rule = many(node(
    "token",
    Values::None,
    &[
        property("issuer", Text, Fault, "whose tokens"),
        property("claim", Text, Nothing, "those in which this claim, or one of its list, has the value"),
        property("value", Text, Nothing, "the claim's value"),
    ],
    &[],
    "tokens that stand for it",
));

static CERTIFICATE: Rule = many(node(
    "certificate",
    Values::None,
    &[
        property("uri", Text, Nothing, "a URI name; with a slash at its end, all below it"),
        property("dns", Text, Nothing, "a DNS name; `*.` stands for one label"),
    ],
    &[],
    "certificates that stand for it, by a name that they hold",
));

const RULE_VALUES: Values = Values::Any(Text, "classes; none: all");
const RULE_PROPERTIES: &[Property] = &[
    property("methods", Words(METHODS), Nothing, "none: all"),
    property("prefix", Text, Nothing, "objects whose names begin so; none: all"),
];

static ALLOW: Rule =
    many(node("allow", RULE_VALUES, RULE_PROPERTIES, &[], "a right; the first line that fits counts"));
static DENY: Rule =
    many(node("deny", RULE_VALUES, RULE_PROPERTIES, &[], "no right; the first line that fits counts"));
static RESOLVERS: Rule = many(node(
    "resolvers",
    Values::Some(Network, "networks"),
    &[],
    &[],
    "networks whose look-ups by name are its; the longest prefix counts",
));

static TENANT: Rule = many(node(
    "tenant",
    Values::One(Text, "name"),
    &[],
    &[&TOKEN, &CERTIFICATE, &RESOLVERS, &ALLOW, &DENY],
    "for whom requests come, and what it may ask for",
));

static OPERATOR: Rule = many(node(
    "operator",
    Values::One(Text, "name"),
    &[property("may", Word(&["look", "change"]), Default("look"), "`GET` calls alone, or all")],
    &[&TOKEN, &CERTIFICATE],
    "who may call the admin address; with none named, it asks nobody",
));

static KEYS: Rule = node(
    "keys",
    Values::None,
    &[
        property("file", Path, Nothing, "a JWKS file, read again when it changes"),
        property("set", Text, Nothing, "a `key-set` of this configuration"),
        property("url", Text, Nothing, "asked for by http:// or https://"),
        property("roots", Path, Nothing, "whom to trust with an https server's certificate"),
        property("every", Span(100, DAY), Default("1m"), "how often it is asked"),
        property("interval", Span(50, DAY), Default("5s"), "never again sooner, whatever keys tokens name"),
        property(
            "hold",
            Span(SECOND, 30 * DAY),
            Nothing,
            "its keys are good for so long after it was heard; 10 times `every`",
        ),
    ],
    &[],
    "where an issuer's keys come from: one of `file`, `set` and `url`",
);

static KEY_TERMS: Rule = many(node(
    "key",
    Values::One(Text, "kid"),
    &[
        property("active-from", Moment, Nothing, "tokens by it count from then on"),
        property("retired-at", Moment, Nothing, "and no more from then on"),
    ],
    &[],
    "what operators say of a single key, whatever the issuer says",
));

static ISSUER: Rule = many(node(
    "issuer",
    Values::One(Text, "the `iss` of its tokens"),
    &[],
    &[
        &node(
            "algorithms",
            Values::Some(Word(ALGORITHMS), "algorithms; EdDSA and ES256 without"),
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

const OF_ISSUER: &[Property] = &[property("issuer", Text, Fault, "whose")];

static REVOKED: Rule = many(node(
    "revoked",
    Values::None,
    &[],
    &[
        &many(node("key", Values::One(Text, "kid"), OF_ISSUER, &[], "a key; for good")),
        &many(node("token", Values::One(Text, "jti"), OF_ISSUER, &[], "a token")),
        &many(node(
            "principal",
            Values::One(Text, "name"),
            &[property("tenant", Text, Fault, "whose")],
            &[],
            "a principal of a tenant",
        )),
        &many(node("certificate", Values::One(Text, "serial number in hex"), &[], &[], "a certificate")),
    ],
    "what counts no more, at once",
));

static TRUST: Rule = node(
    "certificates",
    Values::None,
    &[],
    &[
        &many(node(
            "roots",
            Values::Some(Path, "PEM files"),
            &[],
            &[],
            "authorities of clients' certificates",
        )),
        &many(node("revocation-lists", Values::Some(Path, "PEM files"), &[], &[], "what these have revoked")),
        &value("lists-expire", Flag, Default("#false"), "a list that has run out ends all of its authority"),
    ],
    "whom to trust with clients' certificates",
);

pub static IDENTITY: Rule = node(
    "identity",
    Values::None,
    &[],
    &[
        &many(node("audience", Values::Some(Text, "names"), &[], &[], "a token's `aud` must name one")),
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
            Nothing,
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

const ENDPOINT: &[&Rule] = &[&many(node(
    "certificate",
    Values::One(Path, "PEM file of the chain"),
    &[property("key", Path, Fault, "PEM file of its private key")],
    &[],
    "shown to who asks for one of its names; the first one also to others",
))];
const ASKS: &[Property] = &[property(
    "client-certificates",
    Word(&["off", "optional", "required"]),
    Default("off"),
    "whether clients show certificates",
)];

pub static TLS: Rule = node(
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

static SOURCE: Rule = many(node(
    "source",
    Values::One(Network, "network"),
    &[
        property("zone", Text, Fault, "where its resolvers stand"),
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

const DEADLINE: Kind = Span(10, 60 * SECOND);

pub static DNS: Rule = node(
    "dns",
    Values::None,
    &[
        property("listen", Loopback, Fault, "UDP and TCP"),
        property("domain", Text, Fault, "the suffix of all names"),
        property("deadline", DEADLINE, Default("1s"), "how long a look-up may take"),
    ],
    &[&SOURCE],
    "the name front",
);

pub static ROUTES: Rule = node(
    "routes",
    Values::None,
    &[property("deadline", DEADLINE, Default("1s"), "how long a look-up may take")],
    &[&SOURCE],
    "whom the name front answers, in place of what `dns` says of it",
);

pub static GROUP: Rule = node(
    "group",
    Values::None,
    &[
        property("id", Number(1, u64::MAX), Fault, "this instance's own"),
        property("listen", Loopback, Fault, "where the others reach it"),
        property("data", Path, Fault, "a folder that outlives restarts"),
    ],
    &[&many(node(
        "peer",
        Values::Two(Number(1, u64::MAX), Loopback, "id and address"),
        &[],
        &[],
        "another instance",
    ))],
    "instances that agree on the name front's routes",
);

pub static LIMITS: Rule = node(
    "limits",
    Values::None,
    &[
        property(
            "clients",
            Number(8, 1_000_000),
            Nothing,
            "connections of clients; never over what the descriptors allow",
        ),
        property("lookups", Number(1, 100_000), Default("128"), "look-ups by name under way"),
    ],
    &[],
    "bounds that may change in service",
);

pub static KEY_SET: Rule = many(node(
    "key-set",
    Values::One(Text, "name"),
    &[
        property("file", Path, Nothing, "a JWKS file, taken in as it is when this is read"),
        property("json", Text, Nothing, "the set itself"),
    ],
    &[],
    "keys that `keys set=\"…\"` names: one of `file` and `json`",
));

pub static CONTROL: Rule = node(
    "control",
    Values::None,
    &[
        property("data", Path, Nothing, "where versions are kept; without, in memory alone"),
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
            Word(&["refuse", "serve"]),
            Default("refuse"),
            "before the first version is in force",
        ),
        property("show-version", Flag, Default("#false"), "answers carry `Config-Version`"),
        property("roots", Path, Fault, "whom to trust with the service's certificate"),
        property("certificate", Path, Fault, "this gateway's own, by which the service knows it"),
        property("key", Path, Fault, "and its private key"),
    ],
    &[&many(node(
        "address",
        Values::One(Address, "address"),
        &[property("name", Text, Fault, "the name that its certificate must hold")],
        &[],
        "a control service, in order of preference",
    ))],
    "where versions of identity, routes, limits and key sets come from",
);

static MEMBER: Rule = many(node(
    "member",
    Values::Two(Text, Address, "name and address"),
    &[],
    &[],
    "a gateway by the name in its configuration, and where its datagrams come from and go to",
));

static VOTERS: Rule = many(node(
    "voters",
    Values::Some(Text, "members"),
    &[],
    &[],
    "whose majority makes a home; none: all members. Two lists, the old and the new one: a majority of each",
));

static REGION: Rule = many(node(
    "region",
    Values::One(Text, "name"),
    &[],
    &[&MEMBER, &VOTERS],
    "gateways that share what they know closely: those of a location",
));

pub static SHARED_BUDGET: Rule = many(node(
    "budget",
    Values::One(Word(&["origin"]), "name"),
    &[
        property("amount", Number(1, 1_000_000_000), Fault, "what all may spend in a window"),
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
        property("of", Word(&["region", "federation"]), Default("region"), "who shares it"),
    ],
    &[],
    "what the gateways spend together; `origin`: further attempts at the origin",
));

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

pub static FLEET: Rule = node(
    "fleet",
    Values::One(Text, "name"),
    FLEET_PROPERTIES,
    &[&REGION, &SHARED_BUDGET],
    "what this gateway shares with others; the same in all their files",
);

static RELAY: Rule = many(node(
    "relay",
    Values::Two(Text, Address, "name and address"),
    &[],
    &[],
    "a relay of the event feed, in order of preference",
));

pub static FEED: Rule = node(
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

const BY_URI: &[Property] = &[
    property("uri", Text, Fault, "the beginning of the URI name in its certificate"),
    property("may", Word(&["look", "change"]), Default("look"), "`status` and `diff` alone, or all"),
];

pub static SERVICE: Rule = node(
    "service",
    Values::None,
    &[
        property("listen", Address, Fault, "where gateways and operators connect, by TLS"),
        property("data", Path, Fault, "a folder that outlives restarts"),
        property("epoch", Number(1, u64::MAX), Default("1"), "grows by hand where the folder was lost"),
        property("certificate", Path, Fault, "PEM file of its chain"),
        property("key", Path, Fault, "PEM file of its private key"),
        property("roots", Path, Fault, "authorities of gateways' and operators' certificates"),
        property(
            "gateways",
            Text,
            Fault,
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
    &[&many(node("operator", Values::One(Text, "name"), BY_URI, &[], "who may ask and publish"))],
    "a control service",
);

/// A control service's own file.
pub static SERVICE_FILE: Rule = node("", Values::None, &[], &[&SERVICE], "the control service's file");

/// A relay's own file.
pub static RELAY_FILE: Rule = node("", Values::None, &[], &[&crate::relay::RELAY], "the relay's file");

/// A gateway's own file.
pub static FILE: Rule = node(
    "",
    Values::None,
    &[],
    &[&IDENTITY, &TLS, &DNS, &GROUP, &ROUTES, &LIMITS, &KEY_SET, &CONTROL, &FLEET, &FEED],
    "the operators' file",
);

/// What a control service streams. Files of a gateway's own machine are not among it.
pub static STREAMED: Rule =
    node("", Values::None, &[], &[&IDENTITY, &ROUTES, &LIMITS, &KEY_SET], "a streamed version");

/// What is agreed on by a group: the name front's routes.
pub static AGREED: Rule = node(
    "",
    Values::None,
    &[],
    &[&value("deadline", DEADLINE, Default("1s"), "how long a look-up may take"), &SOURCE],
    "agreed routes",
);

impl Rule {
    pub fn child(&self, name: &str) -> Option<&'static Rule> {
        self.children.iter().copied().find(|rule| rule.name == name)
    }

    pub fn property(&self, name: &str) -> Option<&'static Property> {
        self.properties.iter().find(|property| property.name == name)
    }
}
