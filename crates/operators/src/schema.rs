//! What may stand in a file, in one place. The checker, the defaults, the reference page and the completions all come
//! from these tables: `model` has what they are made of, and each other module the tables of one section.

mod control;
mod feed;
mod fleet;
mod fronts;
mod identity;
mod model;
mod relay;
mod service;
mod tls;

pub use fleet::{FLEET_PROPERTIES, SHARED_BUDGET};
pub use model::{Kind, NodeSchema, Presence, Property, Values};
pub use relay::RELAY;

use control::{CONTROL, KEY_SET, LIMITS};
use feed::FEED;
use fleet::FLEET;
use fronts::{DEADLINE, DNS, GROUP, ROUTES, SOURCE};
use identity::IDENTITY;
use model::{node, value};
use service::SERVICE;
use tls::TLS;

/// A control service's own file.
pub static SERVICE_FILE: NodeSchema = node("", Values::None, &[], &[&SERVICE], "the control service's file");

/// A relay's own file.
pub static RELAY_FILE: NodeSchema = node("", Values::None, &[], &[&RELAY], "the relay's file");

/// A gateway's own file.
pub static FILE: NodeSchema = node(
    "",
    Values::None,
    &[],
    &[&IDENTITY, &TLS, &DNS, &GROUP, &ROUTES, &LIMITS, &KEY_SET, &CONTROL, &FLEET, &FEED],
    "the operators' file",
);

/// What a control service streams. Files of a gateway's own machine are not among it.
pub static STREAMED: NodeSchema =
    node("", Values::None, &[], &[&IDENTITY, &ROUTES, &LIMITS, &KEY_SET], "a streamed version");

/// What is agreed on by a group: the name front's routes.
pub static AGREED: NodeSchema = node(
    "",
    Values::None,
    &[],
    &[&value("deadline", DEADLINE, Presence::Default("1s"), "how long a look-up may take"), &SOURCE],
    "agreed routes",
);
