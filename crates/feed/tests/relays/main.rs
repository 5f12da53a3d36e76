//! Tests of relays: their answers, the completion of events, and a simulation of six relays with 2,200 subscribers.

mod answers;
mod common;
mod fleet;
mod watermark;
