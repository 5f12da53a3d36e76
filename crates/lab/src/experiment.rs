//! Experiments: scenarios by seeds by builds, resumed where they were left, and compared in pairs.

use crate::outcome::Figures;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use thiserror::Error;

/// One run of an experiment.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Trial {
    /// The scenario's file.
    pub scenario: String,
    /// The name of a build.
    pub variant: String,
    /// What draws the schedule and the load.
    pub seed: u64,
}

/// A line of an experiment's results.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TrialResult {
    /// Which run it is of.
    #[serde(flatten)]
    pub trial: Trial,
    /// The figures of each phase.
    pub figures: Vec<Figures>,
    /// By rule.
    pub findings: BTreeMap<String, usize>,
    /// Why the run says nothing.
    pub void: Vec<String>,
}

/// A line of a file of results that is none.
#[derive(Debug, Error)]
#[error("line {line}: {source}")]
pub struct ResultsError {
    /// From 1.
    pub line: usize,
    /// What is wrong with it.
    pub source: serde_json::Error,
}

/// The trials that are still to be played: by seeds in the outer loop, so that what is left unfinished has pairs all the
/// same. A run that was void is played again.
pub fn remaining(
    scenarios: &[String],
    variants: &[String],
    seeds: &[u64],
    done: &[TrialResult],
) -> Vec<Trial> {
    let kept: BTreeSet<&Trial> =
        done.iter().filter(|line| line.void.is_empty()).map(|line| &line.trial).collect();
    let mut trials = Vec::new();
    for seed in seeds {
        for scenario in scenarios {
            for variant in variants {
                let trial = Trial { scenario: scenario.clone(), variant: variant.clone(), seed: *seed };
                if !kept.contains(&trial) {
                    trials.push(trial);
                }
            }
        }
    }
    trials
}

/// Reads results. The last line may be cut, where the laboratory was killed as it wrote.
///
/// # Errors
///
/// Where a complete line is no result.
pub fn read(text: &str) -> Result<Vec<TrialResult>, ResultsError> {
    let whole = text.rfind('\n').map_or("", |end| &text[..end]);
    let read = |(place, line): (usize, &str)| {
        serde_json::from_str(line).map_err(|source| ResultsError { line: place + 1, source })
    };
    whole.lines().enumerate().map(read).collect()
}

/// The difference of one figure between two builds, over pairs of runs with one seed.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    /// The scenario's file.
    pub scenario: String,
    /// The phase's name.
    pub phase: String,
    /// The figure's name.
    pub figure: &'static str,
    /// How many runs were compared.
    pub pairs: usize,
    /// The mean of one build.
    pub before: f64,
    /// The mean of the other.
    pub after: f64,
    /// The 95% confidence interval of the mean difference.
    pub interval: (f64, f64),
}

impl Difference {
    /// Whether the interval leaves zero out.
    pub fn is_significant(&self) -> bool {
        self.pairs > 1 && (self.interval.0 > 0.0 || self.interval.1 < 0.0)
    }
}

/// Samples of the bootstrap.
const SAMPLES: usize = 2_000;

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

/// The interval of a mean by drawing pairs anew (the percentile bootstrap). The generator is the same each time, so
/// that the same results give the same text.
fn bootstrap(differences: &[f64]) -> (f64, f64) {
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let mut draw = || {
        let picked = (0..differences.len()).map(|_| differences[random.random_range(0..differences.len())]);
        picked.sum::<f64>() / differences.len() as f64
    };
    let mut means: Vec<f64> = (0..SAMPLES).map(|_| draw()).collect();
    means.sort_by(f64::total_cmp);
    (means[SAMPLES / 40], means[SAMPLES - 1 - SAMPLES / 40])
}

type Field = fn(&Figures) -> f64;
const FIGURES: [(&str, Field); 4] = [
    ("served", |figures| figures.served),
    ("failed", |figures| figures.failed),
    ("p50 ms", |figures| figures.p50_ms),
    ("p99 ms", |figures| figures.p99_ms),
];

/// Compares two builds by phase. Runs that were void say nothing, and one without its pair is left out.
pub fn compare(before: &[TrialResult], after: &[TrialResult]) -> Vec<Difference> {
    let key = |line: &TrialResult| (line.trial.scenario.clone(), line.trial.seed);
    let said = |lines: &[TrialResult]| -> BTreeMap<(String, u64), TrialResult> {
        lines.iter().filter(|line| line.void.is_empty()).map(|line| (key(line), line.clone())).collect()
    };
    let (before, after) = (said(before), said(after));
    let mut pairs: BTreeMap<(String, usize, String), Vec<(Figures, Figures)>> = BTreeMap::new();
    for (key, old) in &before {
        let Some(new) = after.get(key) else { continue };
        for (place, (old, new)) in old.figures.iter().zip(&new.figures).enumerate() {
            let of = (key.0.clone(), place, old.phase.clone());
            pairs.entry(of).or_default().push((old.clone(), new.clone()));
        }
    }
    let mut all = Vec::new();
    for ((scenario, _, phase), pairs) in pairs {
        for (figure, take) in FIGURES {
            let old: Vec<f64> = pairs.iter().map(|(old, _)| take(old)).collect();
            let new: Vec<f64> = pairs.iter().map(|(_, new)| take(new)).collect();
            let differences: Vec<f64> = old.iter().zip(&new).map(|(old, new)| new - old).collect();
            all.push(Difference {
                scenario: scenario.clone(),
                phase: phase.clone(),
                figure,
                pairs: pairs.len(),
                before: mean(&old),
                after: mean(&new),
                interval: bootstrap(&differences),
            });
        }
    }
    all
}

/// The comparison as text for a commit's body. A star stands where the interval leaves zero out.
pub fn text(differences: &[Difference]) -> String {
    let mut text = String::new();
    for one in differences {
        let _ = writeln!(
            text,
            "{:<24} {:<12} {:<7} {:>9.4} -> {:>9.4}  [{:+.4}, {:+.4}] of {} pairs{}",
            one.scenario,
            one.phase,
            one.figure,
            one.before,
            one.after,
            one.interval.0,
            one.interval.1,
            one.pairs,
            if one.is_significant() { " *" } else { "" }
        );
    }
    text
}

#[cfg(test)]
mod tests;
