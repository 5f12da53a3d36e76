//! The settings of a deployment, read from the simulator's first message and from a gateway's configuration.
//!
//! - `document`: the JSON object;
//! - `decode`: validates the object and fills in defaults; `error`: why an object is rejected;
//! - `names`: indices of the named classes and zones, and roles of machine kinds;
//! - `connections`: limits of connections to stores;
//! - `deployment`: the decoded settings, and their update at run time.

mod connections;
mod decode;
mod deployment;
mod document;
mod error;
mod names;

pub use connections::ConnectionLimits;
pub use decode::decode;
pub use deployment::Deployment;
pub use error::SettingsError;
pub use names::{LoadReportFields, Names};
