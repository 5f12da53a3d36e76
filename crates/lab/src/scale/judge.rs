//! Judges when purges were in force, from what gateways and the event bus wrote down. Pure: no I/O, no clock, and nothing
//! of the gateway's own code.
//!
//! A purge counts as late at a gateway where that gateway served, without doubt about its own freshness, later than the
//! bound after the purge was issued and without having the purge in force.

use serde::Serialize;
use std::collections::BTreeSet;

/// Unix time in microseconds.
pub type Micros = u64;

/// Findings that are told in full of each stretch.
const FINDINGS_TOLD: usize = 5;

/// A purge, as the event bus has numbered it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Purge {
    pub offset: u64,
    pub issued: Micros,
}

/// All events up to `offset` were in force at `at`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    pub offset: u64,
    pub at: Micros,
}

/// Times between which something held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Span {
    pub from: Micros,
    pub until: Micros,
}

/// One process of a gateway, from when it serves until it no longer does.
#[derive(Clone, Debug, PartialEq)]
pub struct Life {
    /// The gateway's number; its later processes have the same one.
    pub gateway: usize,
    pub serves: Span,
    /// In growing order of both.
    pub steps: Vec<Step>,
    /// When it did not trust its own copies.
    pub doubts: Vec<Span>,
}

/// A part of the run that is judged by itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Stretch {
    pub name: String,
    /// Purges issued in this time belong to it.
    pub issued: Span,
    /// Gateways that the stretch's fault strikes.
    pub struck: BTreeSet<usize>,
}

/// A fault, from when it strikes.
#[derive(Clone, Debug, PartialEq)]
pub struct Struck {
    pub name: String,
    pub from: Micros,
    pub gateways: BTreeSet<usize>,
}

/// The stretches of a run: a calm one, and one for each fault, in their order, up to the next one. A purge that was issued
/// within the bound before a fault may still be on its way as that strikes, and so is judged with it.
pub fn stretches(calm_from: Micros, faults: &[Struck], until: Micros, bound: u64) -> Vec<Stretch> {
    let begins: Vec<Micros> = faults.iter().map(|fault| fault.from.saturating_sub(bound)).collect();
    let end_of = |place: usize| begins.get(place).copied().unwrap_or(until);
    let calm = Stretch {
        name: "calm".into(),
        issued: Span { from: calm_from, until: end_of(0) },
        struck: BTreeSet::new(),
    };
    let of_fault = |(place, fault): (usize, &Struck)| Stretch {
        name: fault.name.clone(),
        issued: Span { from: begins[place], until: end_of(place + 1) },
        struck: fault.gateways.clone(),
    };
    std::iter::once(calm).chain(faults.iter().enumerate().map(of_fault)).collect()
}

/// What a finding is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// In force, but after the bound.
    Late,
    /// Never in force while the gateway was there.
    Missing,
    /// Said to be in force before it was issued.
    Early,
}

/// What does not hold, of one purge at one gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    pub rule: Rule,
    pub gateway: usize,
    pub offset: u64,
    /// How long after it was issued. For `Missing` how long it was watched for.
    pub after_us: u64,
}

/// Times until purges were in force, in microseconds after they were issued.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Times {
    /// Purges at gateways.
    pub pairs: usize,
    pub p50_us: u64,
    pub p99_us: u64,
    pub most_us: u64,
    pub late: usize,
    pub missing: usize,
    /// Pairs where only a gateway in doubt lacked the purge after the bound.
    pub in_doubt: usize,
}

/// What one stretch has shown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Judged {
    pub stretch: String,
    pub purges: usize,
    /// At gateways that the fault did not strike.
    pub others: Times,
    /// At those that it did.
    pub struck: Times,
    pub early: usize,
    pub findings: Vec<Finding>,
}

/// How a purge fared at one gateway.
enum Fate {
    /// No process of the gateway that lacked it was there.
    Unseen,
    Early(u64),
    InForce {
        after: u64,
        in_doubt: bool,
    },
    Missing {
        after: u64,
        in_doubt: bool,
    },
}

/// The last moment of a span at which there was no doubt.
fn last_without_doubt(span: Span, doubts: &[Span]) -> Option<Micros> {
    let mut last = span.until;
    for doubt in doubts.iter().rev() {
        if doubt.from < last && last <= doubt.until {
            last = doubt.from;
        }
    }
    (last > span.from).then_some(last)
}

/// How a purge fared in one life of a gateway.
fn fate_in(life: &Life, purge: Purge, bound: u64) -> Fate {
    let place = life.steps.partition_point(|step| step.offset < purge.offset);
    let in_force = life.steps.get(place).map(|step| step.at);
    if let Some(at) = in_force.filter(|at| *at < purge.issued) {
        return Fate::Early(purge.issued - at);
    }
    let from = purge.issued.max(life.serves.from);
    let until = in_force.unwrap_or(life.serves.until);
    if until <= from {
        return Fate::Unseen;
    }
    let after = until - purge.issued;
    let last_sure = last_without_doubt(Span { from, until }, &life.doubts);
    if last_sure.is_none() && life.serves.from > purge.issued {
        // A new process that caught up with earlier purges before it trusted itself.
        return Fate::Unseen;
    }
    let sure_after = last_sure.map_or(0, |last| last - purge.issued);
    let in_doubt = after > bound && sure_after <= bound;
    match in_force {
        Some(_) => Fate::InForce { after, in_doubt },
        None => Fate::Missing { after, in_doubt },
    }
}

/// The times of one group of gateways, while they are gathered.
#[derive(Default)]
struct Gathered {
    after: Vec<u64>,
    late: usize,
    missing: usize,
    in_doubt: usize,
}

impl Gathered {
    fn times(mut self) -> Times {
        self.after.sort_unstable();
        let at = |share: f64| {
            let place = (self.after.len() as f64 * share).ceil() as usize;
            self.after.get(place.saturating_sub(1)).copied().unwrap_or(0)
        };
        Times {
            pairs: self.after.len(),
            p50_us: at(0.5),
            p99_us: at(0.99),
            most_us: self.after.last().copied().unwrap_or(0),
            late: self.late,
            missing: self.missing,
            in_doubt: self.in_doubt,
        }
    }

    /// Notes a fate, and says which rule it breaks.
    fn note(&mut self, fate: &Fate, bound: u64) -> Option<(Rule, u64)> {
        match *fate {
            Fate::Unseen => None,
            Fate::Early(by) => Some((Rule::Early, by)),
            Fate::InForce { after, in_doubt } => {
                self.after.push(after);
                self.in_doubt += usize::from(in_doubt);
                let late = after > bound && !in_doubt;
                self.late += usize::from(late);
                late.then_some((Rule::Late, after))
            }
            // A process that has ended within the bound has done no wrong.
            Fate::Missing { after, .. } if after <= bound => None,
            Fate::Missing { in_doubt: true, .. } => {
                self.in_doubt += 1;
                None
            }
            Fate::Missing { after, .. } => {
                self.missing += 1;
                Some((Rule::Missing, after))
            }
        }
    }
}

fn judge_stretch(stretch: &Stretch, purges: &[Purge], lives: &[Life], bound: u64) -> Judged {
    let issued = |purge: &&Purge| (stretch.issued.from..stretch.issued.until).contains(&purge.issued);
    let purges: Vec<Purge> = purges.iter().filter(issued).copied().collect();
    let (mut others, mut struck) = (Gathered::default(), Gathered::default());
    let (mut early, mut findings) = (0, Vec::new());
    for life in lives {
        let group = if stretch.struck.contains(&life.gateway) { &mut struck } else { &mut others };
        for purge in &purges {
            let Some((rule, after_us)) = group.note(&fate_in(life, *purge, bound), bound) else { continue };
            early += usize::from(rule == Rule::Early);
            findings.push(Finding { rule, gateway: life.gateway, offset: purge.offset, after_us });
        }
    }
    findings.sort_by_key(|finding| std::cmp::Reverse(finding.after_us));
    findings.truncate(FINDINGS_TOLD);
    let (others, struck) = (others.times(), struck.times());
    Judged { stretch: stretch.name.clone(), purges: purges.len(), others, struck, early, findings }
}

/// Judges each stretch. `bound`: microseconds after its issue by which a purge must be in force.
pub fn judge(stretches: &[Stretch], purges: &[Purge], lives: &[Life], bound: u64) -> Vec<Judged> {
    stretches.iter().map(|stretch| judge_stretch(stretch, purges, lives, bound)).collect()
}

#[cfg(test)]
mod tests;
