//! Commands beside serving. Each writes to standard output, and says by its exit code how it went.

pub mod config;
pub mod identity;
