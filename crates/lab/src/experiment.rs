//! Many runs beside each other: scenarios by seeds by builds, resumed where they were left, compared in pairs.

use crate::outcome::Figures;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

/// One run of an experiment.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Cell {
    pub scenario: String,
    /// The name of a build.
    pub variant: String,
    pub seed: u64,
}

/// A line of an experiment's results.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    #[serde(flatten)]
    pub cell: Cell,
    pub figures: Vec<Figures>,
    /// By rule.
    pub findings: BTreeMap<String, usize>,
    pub void: Vec<String>,
}

/// What is still to be played: seeds in the outer turn, so that what is left unfinished has pairs all the same. A run
/// that was void is played again.
pub fn to_play(scenarios: &[String], variants: &[String], seeds: &[u64], done: &[Line]) -> Vec<Cell> {
    let kept: BTreeSet<&Cell> =
        done.iter().filter(|line| line.void.is_empty()).map(|line| &line.cell).collect();
    let mut cells = Vec::new();
    for seed in seeds {
        for scenario in scenarios {
            for variant in variants {
                let cell = Cell { scenario: scenario.clone(), variant: variant.clone(), seed: *seed };
                if !kept.contains(&cell) {
                    cells.push(cell);
                }
            }
        }
    }
    cells
}

/// Lines of a file that may end in the middle of one, where the laboratory was killed as it wrote.
pub fn read(text: &str) -> Result<Vec<Line>, String> {
    let whole = text.rfind('\n').map_or("", |end| &text[..end]);
    let lines = whole.lines().enumerate();
    lines.map(|(at, line)| serde_json::from_str(line).map_err(|e| format!("line {}: {e}", at + 1))).collect()
}

/// The difference of one figure between two builds, over pairs of runs with one seed.
#[derive(Clone, Debug, PartialEq)]
pub struct Difference {
    pub scenario: String,
    pub phase: String,
    pub figure: &'static str,
    pub pairs: usize,
    pub before: f64,
    pub after: f64,
    /// Of the mean difference: 95 of 100 draws lie within.
    pub interval: (f64, f64),
}

impl Difference {
    /// Whether the interval leaves zero out.
    pub fn tells(&self) -> bool {
        self.pairs > 1 && (self.interval.0 > 0.0 || self.interval.1 < 0.0)
    }
}

const DRAWS: usize = 2_000;

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
    let mut means: Vec<f64> = (0..DRAWS).map(|_| draw()).collect();
    means.sort_by(f64::total_cmp);
    (means[DRAWS / 40], means[DRAWS - 1 - DRAWS / 40])
}

type Take = fn(&Figures) -> f64;
const FIGURES: [(&str, Take); 4] = [
    ("served", |figures| figures.served),
    ("failed", |figures| figures.failed),
    ("p50 ms", |figures| figures.p50_ms),
    ("p99 ms", |figures| figures.p99_ms),
];

/// Compares two builds by phase. Runs that were void say nothing, and one without its pair is left out.
pub fn compare(before: &[Line], after: &[Line]) -> Vec<Difference> {
    let key = |line: &Line| (line.cell.scenario.clone(), line.cell.seed);
    let said = |lines: &[Line]| -> BTreeMap<(String, u64), Line> {
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
            if one.tells() { " *" } else { "" }
        );
    }
    text
}

#[cfg(test)]
mod tests {
    use super::*;

    fn line(variant: &str, seed: u64, served: f64) -> Line {
        let figures = Figures { phase: "one".into(), served, ..Figures::default() };
        Line {
            cell: Cell { scenario: "s".into(), variant: variant.into(), seed },
            figures: vec![figures],
            findings: BTreeMap::new(),
            void: Vec::new(),
        }
    }

    #[test]
    fn what_was_left_is_played_and_void_runs_again() {
        let (scenarios, variants) = (vec!["s".to_string()], vec!["old".to_string(), "new".to_string()]);
        let void = Line { void: vec!["late".into()], ..line("new", 1, 1.0) };
        let left = to_play(&scenarios, &variants, &[1, 2], &[line("old", 1, 1.0), void]);
        let told: Vec<(&str, u64)> = left.iter().map(|cell| (cell.variant.as_str(), cell.seed)).collect();
        assert_eq!(told, [("new", 1), ("old", 2), ("new", 2)]);
    }

    #[test]
    fn a_file_that_ends_in_the_middle_of_a_line_is_read_up_to_there() {
        let one = serde_json::to_string(&line("old", 1, 0.5)).unwrap();
        let read_back = read(&format!("{one}\n{}", &one[..20])).unwrap();
        assert_eq!(read_back, [line("old", 1, 0.5)]);
        assert!(read(&format!("{}\n{one}\n", &one[..20])).is_err());
    }

    /// Noise by seed is the same in both builds; only what differs within pairs counts.
    #[test]
    fn a_difference_shows_through_noise_that_pairs_share_and_none_does_where_there_is_none() {
        let noise = |seed: u64| (seed * 7 % 10) as f64 / 20.0;
        let own = |seed: u64| (seed * 3 % 5) as f64 / 1_000.0 - 0.002;
        let runs = |gain: f64, own: &dyn Fn(u64) -> f64| -> Vec<Line> {
            (0..10).map(|seed| line("x", seed, 0.4 + noise(seed) + gain + own(seed))).collect()
        };
        let base = runs(0.0, &|_| 0.0);
        let served = |after: &[Line]| {
            let all = compare(&base, after);
            all.into_iter().find(|one| one.figure == "served").unwrap()
        };
        let gained = served(&runs(0.01, &own));
        assert!(gained.tells() && gained.interval.0 > 0.005 && gained.interval.1 < 0.015, "{gained:?}");
        let same = served(&runs(0.0, &own));
        assert!(!same.tells(), "{same:?}");
        assert_eq!(text(&compare(&base, &base)).matches('*').count(), 0);
    }

    #[test]
    fn a_run_without_its_pair_is_left_out() {
        let before = [line("x", 1, 0.5), line("x", 2, 0.5)];
        let void = Line { void: vec!["late".into()], ..line("x", 2, 0.1) };
        let all = compare(&before, &[line("x", 1, 0.6), void, line("x", 3, 0.9)]);
        assert_eq!(all[0].pairs, 1);
        assert!((all[0].after - 0.6).abs() < 1e-9 && !all[0].tells());
    }
}
