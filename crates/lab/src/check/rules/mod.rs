//! The rules that every run is held to.

mod attempts;
mod cold_caches;
mod common;
mod copies;
mod drains;
mod one_answer;
mod process_exits;
mod refusals;
mod suspensions;

use super::rule::Rule;
use attempts::Attempts;
use cold_caches::ColdCaches;
use copies::Copies;
use drains::Drains;
use one_answer::OneAnswer;
use process_exits::ProcessExits;
use refusals::Refusals;
use suspensions::Suspensions;

/// All rules, each at the begin of a run.
pub fn all() -> Vec<Box<dyn Rule + Send>> {
    vec![
        Box::new(OneAnswer::default()),
        Box::new(Refusals),
        Box::new(Attempts::default()),
        Box::new(Drains::default()),
        Box::new(Copies::default()),
        Box::new(ColdCaches::default()),
        Box::new(ProcessExits),
        Box::new(Suspensions::default()),
    ]
}
