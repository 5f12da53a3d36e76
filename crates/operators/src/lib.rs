//! The operators' configuration language: [KDL](https://kdl.dev) with includes, times with units, and one schema.
//!
//! From the schema ([`schema`]) come the checker ([`check`]), the defaults, the reference page ([`mod@reference`]) and the
//! completions. A text is read whole or not at all; each diagnostic names file, line, column and cause, and a run tells
//! all that it finds. Nothing here does I/O: texts come through [`Files`].
//!
//! The modules are layers, and none uses one of a later layer:
//!
//! 1. `diagnostic`, `deployment`, [`schema`], `syntax`: use nothing of this crate
//! 2. [`files`]: texts and their includes
//! 3. [`value`]: values by their kinds
//! 4. [`item`]: a checked node with its values
//! 5. [`check`]: checks a text against the schema and makes items; [`compare`] and [`mod@format`] work on items, and
//!    [`mod@reference`] on the schema
//! 6. the sections as types: [`control`], [`feed`], [`fleet`], [`fronts`], [`identity`], [`relay`], [`tls`]
//! 7. `document`: a whole file
//! 8. `compiled`: the compiled form of a streamed version

#![warn(missing_docs)]

pub mod check;
pub mod compare;
mod compiled;
pub mod control;
mod deployment;
mod diagnostic;
mod document;
pub mod feed;
pub mod files;
pub mod fleet;
pub mod format;
pub mod fronts;
pub mod identity;
pub mod item;
pub mod reference;
pub mod relay;
pub mod schema;
mod syntax;
pub mod tls;
pub mod value;

pub use compiled::{compile, compiled};
pub use deployment::{Anywhere, DeploymentContext};
pub use diagnostic::{Diagnostic, Diagnostics, MAX_DIAGNOSTICS, Position};
pub use document::{Operators, decode, flatten, parse, read, streamed};
pub use files::{FileError, Files, OneFile};
