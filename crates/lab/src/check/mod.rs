//! Checks a run by what all participants observed. It shares no code with the gateway; the list of rules is open.

mod checker;
pub mod faults;
mod finding;
mod history;
mod rule;
pub mod rules;
pub mod shared;
#[cfg(test)]
mod tests;

pub use checker::Checker;
pub use finding::Finding;
pub use rule::{Bounds, ColdCacheLimits, Rule, RuleContext, Subject, Violation, Violations};
