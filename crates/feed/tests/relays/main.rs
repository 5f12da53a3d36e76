//! Relays with what they answer, what they call done, and 2,200 subscribers of six of them.

mod answers;
mod common;
mod fleet;
mod watermark;
