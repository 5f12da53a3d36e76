//! Applies the rules to one run.

use super::finding::Finding;
use super::history::History;
use super::rule::{Rule, RuleContext, Violations};
use super::rules;
use crate::trace::{Micros, TraceEvent};
use std::collections::BTreeMap;

/// Findings of one rule that are kept; beyond, they are only counted.
const MAX_FINDINGS_PER_RULE: usize = 20;

/// The rules over one run.
pub struct Checker {
    rules: Vec<Box<dyn Rule + Send>>,
    context: RuleContext,
    history: History,
    findings: Vec<Finding>,
    counts: BTreeMap<&'static str, usize>,
}

impl Checker {
    /// With the rules that every run is held to.
    pub fn new(context: RuleContext) -> Checker {
        Checker::with_rules(rules::all(), context)
    }

    /// With other rules.
    pub fn with_rules(rules: Vec<Box<dyn Rule + Send>>, context: RuleContext) -> Checker {
        let history = History::default();
        Checker { rules, context, history, findings: Vec::new(), counts: BTreeMap::new() }
    }

    /// Takes in the next entry; they come in the order of their times.
    pub fn observe(&mut self, seen: &TraceEvent) {
        self.history.add(seen);
        let mut violations = Violations::default();
        for index in 0..self.rules.len() {
            self.rules[index].observe(seen, &self.context, &mut violations);
            self.keep(index, seen.at, &mut violations);
        }
    }

    fn keep(&mut self, rule: usize, at: Micros, violations: &mut Violations) {
        if violations.is_empty() {
            return;
        }
        let name = self.rules[rule].name();
        for violation in violations.take() {
            let count = self.counts.entry(name).or_default();
            *count += 1;
            if *count <= MAX_FINDINGS_PER_RULE {
                let around = self.history.of(violation.subject);
                self.findings.push(Finding { rule: name, at, text: violation.text, around });
            }
        }
    }

    /// The findings, and how many there were by rule, including those that are not kept.
    pub fn finish(mut self, at: Micros) -> (Vec<Finding>, BTreeMap<&'static str, usize>) {
        let mut violations = Violations::default();
        for rule in 0..self.rules.len() {
            self.rules[rule].finish(at, &self.context, &mut violations);
            self.keep(rule, at, &mut violations);
        }
        (self.findings, self.counts)
    }
}
