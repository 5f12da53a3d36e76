//! The scale run at its small size: hollow gateways and real ones, faults between them, and the judge's word.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, Instant};

const LAB: &str = env!("CARGO_BIN_EXE_sagearch-lab");
/// More than the small run takes, so that one that hangs is found.
const ENDS_WITHIN: Duration = Duration::from_secs(120);

/// The gateway's program of this build.
fn gateway() -> PathBuf {
    let path = Path::new(LAB).with_file_name("sagearch");
    let mut build = Command::new(env!("CARGO"));
    build.args(["build", "--locked", "--package", "sagearch", "--bin", "sagearch"]);
    build.current_dir(concat!(env!("CARGO_MANIFEST_DIR"), "/../.."));
    if !cfg!(debug_assertions) {
        build.arg("--release");
    }
    assert!(build.status().unwrap().success());
    path
}

fn scenario(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios").join(name)
}

/// A folder for one test, which goes when it ends.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let folder = std::env::temp_dir().join(format!("sagearch-scale-test-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        Folder(folder)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn scale(scenario: &Path, folder: &Folder, more: &[&str]) -> Command {
    let mut command = Command::new(LAB);
    command.arg("scale").arg(scenario).args(more).arg("--gateway").arg(gateway());
    command.arg("--out").arg(&folder.0).arg("--json").arg(folder.0.join("result.json"));
    command
}

fn text(output: &Output) -> String {
    format!("{}{}", String::from_utf8_lossy(&output.stdout), String::from_utf8_lossy(&output.stderr))
}

/// Processes whose arguments or environment name a folder.
fn processes_of(folder: &Path) -> Vec<u32> {
    let folder = folder.to_string_lossy().into_owned();
    let names = |pid: &u32| {
        let read = |what: &str| std::fs::read(format!("/proc/{pid}/{what}")).unwrap_or_default();
        let both = [read("cmdline"), read("environ")].concat();
        String::from_utf8_lossy(&both).contains(&folder)
    };
    let all = std::fs::read_dir("/proc").unwrap().flatten();
    let pids = all.filter_map(|entry| entry.file_name().to_string_lossy().parse::<u32>().ok());
    pids.filter(names).collect()
}

fn wait_for(what: &str, check: impl Fn() -> bool) {
    let since = Instant::now();
    while !check() {
        assert!(since.elapsed() < ENDS_WITHIN, "{what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn a_hundred_gateways_have_every_purge_in_force_in_time() {
    let folder = Folder::new("small");
    let output = scale(&scenario("scale-small.kdl"), &folder, &[]).output().unwrap();
    assert_eq!(output.status.code(), Some(0), "{}", text(&output));
    assert_eq!(processes_of(&folder.0), [] as [u32; 0]);
    let result = std::fs::read(folder.0.join("result.json")).unwrap();
    let result: serde_json::Value = serde_json::from_slice(&result).unwrap();
    let judged = result["sizes"][0]["judged"].as_array().unwrap();
    let stretches: Vec<&str> = judged.iter().map(|one| one["stretch"].as_str().unwrap()).collect();
    assert_eq!(stretches, ["calm", "restart", "stop", "cut"]);
    // All gateways are judged: some 150 purges at 106 gateways.
    assert!(judged[0]["others"]["pairs"].as_u64().unwrap() > 5_000, "{}", judged[0]);
    // The faults strike: who is cut off for three seconds hears late, and does not know it without a lease.
    assert!(judged[3]["struck"]["most_us"].as_u64().unwrap() > 1_900_000, "{}", judged[3]);
    let costs = result["sizes"][0]["costs"][1]["costs"].as_array().unwrap();
    let roles: Vec<&str> = costs.iter().map(|cost| cost["role"].as_str().unwrap()).collect();
    assert_eq!(roles, ["hollow-gateway", "real-gateway", "bus", "empty-host", "laboratory"]);
    for cost in &costs[..2] {
        assert!(cost["traffic_kb_per_second"].as_f64().unwrap() > 0.1, "{cost}");
    }
}

/// A bound that nobody can meet.
#[test]
fn purges_that_are_late_fail_the_run() {
    let folder = Folder::new("late");
    let path = folder.0.join("late.kdl");
    std::fs::write(&path, "need within=\"1ms\"\nchanges purges=200\nsize 40 real=1 calm=\"2s\"\n").unwrap();
    let output = scale(&path, &folder, &[]).output().unwrap();
    assert_eq!(output.status.code(), Some(1), "{}", text(&output));
    assert!(text(&output).contains("DOES NOT HOLD: calm:"), "{}", text(&output));
}

#[test]
fn what_does_not_fit_is_refused_before_anything_starts() {
    let folder = Folder::new("refused");
    let path = folder.0.join("long.kdl");
    std::fs::write(&path, "size 100 calm=\"5m\"\n").unwrap();
    let output = scale(&path, &folder, &[]).output().unwrap();
    assert_eq!(output.status.code(), Some(3), "{}", text(&output));
    assert!(text(&output).contains("seconds, and may take 300"), "{}", text(&output));
    assert!(!folder.0.join("100").exists());
}

#[test]
fn no_process_outlives_a_scale_run_that_is_killed() {
    let folder = Folder::new("killed");
    let mut lab = scale(&scenario("scale-small.kdl"), &folder, &[]).spawn().unwrap();
    // The bus, two hosts and an empty one, six gateways, and the laboratory itself.
    wait_for("all run", || processes_of(&folder.0).len() == 11);
    let killed = Command::new("kill").args(["-KILL", &lab.id().to_string()]).status();
    assert!(killed.unwrap().success());
    assert!(!lab.wait().unwrap().success());
    wait_for("they end", || processes_of(&folder.0).is_empty());
}
