//! The command line.

mod stand;
use rstest::rstest;
use serde_json::Value;
use stand::*;
use std::process::{Command, Output};

fn run(arguments: &[&str], config: Option<&Value>) -> Output {
    static NEXT: std::sync::atomic::AtomicU32 = std::sync::atomic::AtomicU32::new(0);
    let number = NEXT.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
    let file = std::env::temp_dir().join(format!("sagearch-cli-{}-{number}.json", std::process::id()));
    let mut command = Command::new(env!("CARGO_BIN_EXE_sagearch"));
    command.args(arguments).env_remove("NODE_CONFIG").env_remove("NODE_NAME").env_remove("NODE_LISTEN");
    if let Some(config) = config {
        std::fs::write(&file, config.to_string()).unwrap();
        command.env("NODE_CONFIG", &file);
    }
    let output = command.output().unwrap();
    let _ = std::fs::remove_file(&file);
    output
}

#[test]
fn the_version_needs_no_configuration() {
    let output = run(&["version"], None);
    assert!(output.status.success());
    assert_eq!(output.stdout, format!("sagearch {}\n", env!("CARGO_PKG_VERSION")).as_bytes());
}

#[test]
fn a_configuration_is_checked_and_told() {
    let output = run(&["check-config"], Some(&config(&Bus::default(), "127.0.0.1:5050", 1024)));
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success());
    assert!(text.contains("n0 listens on 127.0.0.1:5050") && text.contains("name front is off"), "{text}");
}

#[rstest]
#[case::checked(&["check-config"])]
#[case::served(&[])]
fn a_fault_ends_it_with_the_key(#[case] arguments: &[&str]) {
    let mut bad = config(&Bus::default(), "127.0.0.1:5050", 1024);
    bad["bus"] = Value::from("nowhere");
    for (config, key) in [(Some(&bad), "bus: "), (None, "NODE_CONFIG: is not set")] {
        let output = run(arguments, config);
        assert_eq!(output.status.code(), Some(1));
        assert!(String::from_utf8(output.stderr).unwrap().contains(key));
    }
}
