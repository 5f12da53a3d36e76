//! Regression test: the broker and the simulator's adapter, run in virtual time with seeded workloads, decide as
//! recorded.
//!
//! Each scenario of `recorded_decisions/scenarios.rs` runs with the settings of two deployments and several seeds. Every
//! verdict, every withdrawn attempt, every check before the first byte is sent and the learned state are written to a
//! transcript with their virtual time. The SHA-256 of the transcript is compared with the one in
//! `recorded_decisions/hashes.txt`. The transcript uses fixed words and names from the wire, so that renaming a type
//! doesn't change it.
//!
//! If a change of decisions is intended, state it in the commit message and record the hashes again:
//!
//! ```text
//! SAGEARCH_RECORD_DECISIONS=1 cargo test --locked -p sagearch --test recorded_decisions
//! ```
//!
//! Without this variable the test writes nothing into the source tree. To see which decision differs, write the
//! transcripts to a directory before and after the change, and compare the two directories:
//!
//! ```text
//! SAGEARCH_DECISION_TEXTS=/tmp/before cargo test --locked -p sagearch --test recorded_decisions
//! ```

#![allow(clippy::pedantic, reason = "the code stays in the form that produced the recorded hashes")]

#[path = "recorded_decisions/adapter_world.rs"]
mod adapter_world;
#[path = "recorded_decisions/broker_world.rs"]
mod broker_world;
#[path = "recorded_decisions/budget.rs"]
mod budget;
mod common;
#[path = "recorded_decisions/encoding.rs"]
mod encoding;
#[path = "recorded_decisions/scenarios.rs"]
mod scenarios;

use adapter_world::AdapterSimulation;
use broker_world::BrokerSimulation;
use ring::digest::{SHA256, digest};
use scenarios::{SEEDS, deployments, scenarios};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::{Path, PathBuf};

/// Environment variable that makes the test record the hashes again.
const RECORD_VARIABLE: &str = "SAGEARCH_RECORD_DECISIONS";
/// Environment variable with the directory to which the transcripts are written.
const TRANSCRIPTS_VARIABLE: &str = "SAGEARCH_DECISION_TEXTS";

/// The hash of each transcript, by the name of the run (scenario and seed).
type Hashes = BTreeMap<String, String>;

fn hashes_file() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/recorded_decisions/hashes.txt")
}

fn hash(text: &str) -> String {
    digest(&SHA256, text.as_bytes()).as_ref().iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Adds the hash of a transcript, and writes the transcript to a file if the environment asks for it.
fn add_transcript(hashes: &mut Hashes, name: String, transcript: &str) {
    assert!(transcript.lines().count() > 100, "run {name} has too few decisions to detect a change");
    if let Some(directory) = std::env::var_os(TRANSCRIPTS_VARIABLE) {
        let file = Path::new(&directory).join(name.replace('/', "-"));
        std::fs::create_dir_all(&directory).unwrap();
        std::fs::write(file, transcript).unwrap();
    }
    hashes.insert(name, hash(transcript));
}

fn run_all() -> Hashes {
    let mut hashes = Hashes::new();
    for (deployment, settings) in deployments() {
        for (scenario, workload) in scenarios() {
            for seed in 0..SEEDS {
                let transcript = BrokerSimulation::new(settings.clone(), workload, seed).run();
                add_transcript(
                    &mut hashes,
                    format!("broker/{deployment}/{scenario}/seed-{seed}"),
                    &transcript,
                );
            }
        }
    }
    for seed in 0..SEEDS {
        add_transcript(&mut hashes, format!("adapter/seed-{seed}"), &AdapterSimulation::new(seed).run());
    }
    hashes
}

fn read_recorded_hashes() -> Hashes {
    let text = std::fs::read_to_string(hashes_file()).unwrap_or_default();
    let entry = |line: &str| line.split_once(' ').map(|(name, hash)| (name.to_string(), hash.to_string()));
    text.lines().filter_map(entry).collect()
}

fn write_recorded_hashes(hashes: &Hashes) {
    let mut text = String::new();
    for (name, hash) in hashes {
        writeln!(text, "{name} {hash}").unwrap();
    }
    std::fs::write(hashes_file(), text).unwrap();
}

#[test]
fn replayed_decisions_match_the_recorded_hashes() {
    let replayed = run_all();
    if std::env::var_os(RECORD_VARIABLE).is_some() {
        return write_recorded_hashes(&replayed);
    }
    let recorded = read_recorded_hashes();
    let names = replayed.keys().chain(recorded.keys());
    let mut differing: Vec<&String> =
        names.filter(|name| replayed.get(*name) != recorded.get(*name)).collect();
    differing.sort_unstable();
    differing.dedup();
    assert!(
        differing.is_empty(),
        "decisions differ from the record in {} of {} runs: {differing:#?}",
        differing.len(),
        replayed.len()
    );
}
