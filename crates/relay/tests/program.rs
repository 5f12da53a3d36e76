//! The program `sagearch-relay`: its configuration file, signals and exit codes.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// A temporary directory that is removed when dropped.
struct TempDirectory(PathBuf);

impl TempDirectory {
    fn new(name: &str) -> TempDirectory {
        let directory = std::env::temp_dir().join(format!("sagearch-relay-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&directory).unwrap();
        TempDirectory(directory)
    }

    fn write_file(&self, text: &str) -> PathBuf {
        let file = self.0.join("relay.kdl");
        std::fs::write(&file, text).unwrap();
        file
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A process that is killed when dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn command() -> Command {
    Command::new(env!("CARGO_BIN_EXE_sagearch-relay"))
}

#[test]
fn faulty_file_is_reported_with_positions_and_exit_code_2() {
    let directory = TempDirectory::new("faults");
    let file = directory
        .write_file("relay \"r1\" listen=\"127.0.0.1:0\" batch=5 {\n    upstrem \"127.0.0.1:1\"\n}\n");
    for subcommand in ["serve", "check"] {
        let output = command().arg(subcommand).arg(&file).output().unwrap();
        assert_eq!(output.status.code(), Some(2));
        let stderr = String::from_utf8(output.stderr).unwrap();
        let path = file.to_string_lossy();
        assert!(stderr.contains(&format!("{path}:1:33: batch is a time without its unit")), "{stderr}");
        assert!(
            stderr.contains(&format!("{path}:2:5: \"upstrem\" is not known here; \"upstream\" is")),
            "{stderr}"
        );
    }
    let output = command().arg("serve").arg(directory.0.join("none.kdl")).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8(output.stderr).unwrap().contains("none.kdl"));
}

#[test]
fn address_in_use_is_reported_with_exit_code_2() {
    let occupied = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let directory = TempDirectory::new("taken");
    let address = occupied.local_addr().unwrap();
    let file = directory
        .write_file(&format!("relay \"r1\" listen=\"{address}\" {{\n    upstream \"127.0.0.1:1\"\n}}\n"));
    let output = command().arg("serve").arg(&file).output().unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert!(
        String::from_utf8(output.stderr).unwrap().contains(&format!("{address}: Address already in use"))
    );
}

#[test]
fn relay_serves_until_sigterm_and_exits_0() {
    let directory = TempDirectory::new("serves");
    let file =
        directory.write_file("relay \"r1\" listen=\"127.0.0.1:0\" {\n    upstream \"127.0.0.1:1\"\n}\n");
    let mut child =
        Process(command().arg("serve").arg(&file).arg("--log-json").stderr(Stdio::piped()).spawn().unwrap());
    let mut log = BufReader::new(child.0.stderr.take().unwrap());
    let address = loop {
        let mut line = String::new();
        assert!(log.read_line(&mut line).unwrap() > 0, "the program ended before it logged its address");
        let line: serde_json::Value = serde_json::from_str(&line).unwrap();
        if let Some(address) = line["fields"]["address"].as_str() {
            break address.to_string();
        }
    };
    let mut stream = TcpStream::connect(&address).unwrap();
    stream.write_all(b"GET /feed/status HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n").unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");

    // An idle connection does not delay the shutdown.
    let _idle = TcpStream::connect(&address).unwrap();
    let started_at = Instant::now();
    let killed = Command::new("kill").args(["-TERM", &child.0.id().to_string()]).status().unwrap();
    assert!(killed.success());
    let status = child.0.wait().unwrap();
    assert_eq!(status.code(), Some(0));
    assert!(started_at.elapsed() < Duration::from_secs(5), "the shutdown took {:?}", started_at.elapsed());
}
