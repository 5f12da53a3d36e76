//! The external formats of a relay, compared with the files under `snapshots`: HTTP calls and metrics.
//!
//! A test run never writes a snapshot (`.config/insta.yaml`), and a missing one fails. After an intended change of a
//! format, name it in the commit message and record the snapshots again:
//!
//! ```text
//! INSTA_UPDATE=always cargo test --locked -p sagearch-relay --test outer_forms
//! ```
//!
//! Before the comparison, numbers in JSON are replaced by `<NUMBER>`, ports by `<PORT>`, the date of an answer by
//! `<DATE>` and its length by `<LENGTH>`; values of metrics are removed.

mod support;

use serde_json::Value;
use std::fmt::Write;
use std::net::SocketAddr;
use support::ports::unused_address;
use support::{FakeBus, Subscriber, get_json, relay_file_with, request, start, wait_until};

fn assert_matches_snapshot(name: &str, text: &str) {
    let mut settings = insta::Settings::clone_current();
    settings.set_prepend_module_to_snapshot(false);
    settings.set_omit_expression(true);
    settings.bind(|| insta::assert_snapshot!(name, text));
}

/// The value with numbers and ports masked.
fn mask_json(value: &Value) -> Value {
    match value {
        Value::Object(fields) => {
            fields.iter().map(|(name, value)| (name.clone(), mask_json(value))).collect()
        }
        Value::Array(values) => values.iter().map(mask_json).collect(),
        Value::Number(_) => "<NUMBER>".into(),
        Value::String(text) if text.parse::<SocketAddr>().is_ok() => {
            format!("{}:<PORT>", text.rsplit_once(':').unwrap().0).into()
        }
        other => other.clone(),
    }
}

fn mask_header_line(line: &str) -> String {
    match line.split_once(": ") {
        Some((name, _)) if name.eq_ignore_ascii_case("date") => format!("{name}: <DATE>"),
        Some((name, _)) if name.eq_ignore_ascii_case("content-length") => format!("{name}: <LENGTH>"),
        _ => line.to_string(),
    }
}

/// An answer with its head masked and its body, if JSON, masked and pretty-printed.
fn masked_answer(answer: &str) -> String {
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((answer, ""));
    let head: Vec<String> = head.lines().map(mask_header_line).collect();
    let body = match serde_json::from_str::<Value>(body) {
        Ok(json) => serde_json::to_string_pretty(&mask_json(&json)).unwrap(),
        Err(_) => body.trim_end().to_string(),
    };
    format!("{}\n\n{body}\n", head.join("\n"))
}

#[tokio::test(flavor = "multi_thread")]
async fn http_calls_match_snapshot() {
    let bus = FakeBus::start(Some("feed-a")).await;
    let peer = unused_address();
    // Long enough that the leases of a possible earlier process don't expire during the test, even on a slow machine.
    let lease = "lease=\"60s\"";
    let file = relay_file_with("r1", "127.0.0.1:0".parse().unwrap(), &[bus.address], &[("r2", peer)], lease);
    let relay = start(&file);
    let mut ahead = Subscriber::new(relay.address, "g1");
    ahead.catch_up(1).await;
    let mut behind = Subscriber::new(relay.address, "g2");
    behind.catch_up(1).await;
    let last = bus.purge(7);
    ahead.catch_up(last).await;
    let _ = ahead.send_poll(0).await.unwrap();
    wait_until("the acknowledgement at the relay", async || {
        let lagging = get_json(relay.address, "/feed/status").await["lagging"].clone();
        lagging.as_array().is_some_and(|list| list.len() == 1 && list[0]["name"] == "g2")
    })
    .await;
    let mut text = String::new();
    for (method, path) in [
        ("GET", "/bus/read?from=0&hold=0"),
        ("GET", "/bus/read?from=1&hold=0&feed=feed-a&name=g3&incarnation=5"),
        ("GET", "/bus/read?from=1&hold=0&feed=other"),
        ("GET", "/bus/read?hold=0"),
        ("GET", "/feed/report"),
        ("GET", "/feed/status"),
        ("GET", "/feed/status?offset=2"),
        ("GET", "/feed/wait?offset=1&within_ms=1"),
        ("GET", "/feed/wait?offset=9&within_ms=1"),
        ("POST", "/feed/forget?name=g2"),
        ("POST", "/feed/forget?name=none"),
        ("POST", "/feed/forget"),
        ("GET", "/feed/forget?name=g1"),
        ("GET", "/none"),
    ] {
        let answer = request(relay.address, method, path).await;
        writeln!(text, "## {method} {path}\n{}", masked_answer(&answer)).unwrap();
    }
    assert_matches_snapshot("relay-calls", &text);
}

#[tokio::test(flavor = "multi_thread")]
async fn metrics_match_snapshot() {
    let bus = FakeBus::start(Some("feed-a")).await;
    let relay = start(&relay_file_with("r1", "127.0.0.1:0".parse().unwrap(), &[bus.address], &[], ""));
    Subscriber::new(relay.address, "g1").catch_up(1).await;
    let answer = request(relay.address, "GET", "/metrics").await;
    let (head, body) = answer.split_once("\r\n\r\n").unwrap();
    let head: Vec<String> = head.lines().map(mask_header_line).collect();
    let without_value = |line: &str| {
        let with_value = line.rsplit_once(' ').filter(|_| !line.starts_with('#'));
        with_value.map_or(line, |(sample, _)| sample).to_string()
    };
    let samples: Vec<String> = body.lines().map(without_value).collect();
    assert_matches_snapshot("relay-metrics", &format!("{}\n\n{}\n", head.join("\n"), samples.join("\n")));
}
