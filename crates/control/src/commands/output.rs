//! Output of answers as text for operators, or as JSON.

use serde_json::Value;
use std::fmt::Write;

/// Prints an answer as JSON, or as the text that `text` makes of it.
pub fn print_answer(json: bool, answer: &Value, text: impl FnOnce(&Value) -> String) {
    let line = if json { answer.to_string() } else { text(answer) };
    println!("{line}");
}

/// Formats the status of the service: the versions, the rollout, and one line for each gateway.
pub fn status_text(status: &Value) -> String {
    let mut lines = vec![format!(
        "epoch {}, stable {}, {} gateways connected, {} wait",
        status["epoch"], status["stable"], status["connected"], status["waiting"]
    )];
    if !status["rollout"].is_null() {
        lines.push(rollout_line(&status["rollout"]));
    }
    lines.extend(status["halted"].as_str().map(str::to_string));
    lines.extend(status["gateways"].as_array().into_iter().flatten().map(gateway_line));
    lines.join("\n")
}

fn rollout_line(rollout: &Value) -> String {
    format!(
        "version {} at {}%: {} of {} have it, {} turned it down",
        rollout["number"], rollout["share"], rollout["have"], rollout["gateways"], rollout["turned_down"]
    )
}

fn gateway_line(gateway: &Value) -> String {
    let mut line = format!("{}  has {}  wants {}", gateway["node"], gateway["have"], gateway["wanted"]);
    let rejected = &gateway["turned_down"];
    if !rejected.is_null() {
        // Writing to a String never fails.
        let _ = write!(line, "  turned down {}: {}", rejected["version"], rejected["cause"]);
    }
    line
}

/// Formats the status of a relay, with one line for each field and each subscriber.
pub fn relay_status_text(status: &Value) -> String {
    let mut lines = Vec::new();
    for (key, value) in status.as_object().into_iter().flatten() {
        match value {
            Value::Array(entries) => {
                lines.push(format!("{key}: {}", entries.len()));
                lines.extend(entries.iter().map(|entry| format!("  {}", format_value(entry))));
            }
            value => lines.push(format!("{key}: {}", format_value(value))),
        }
    }
    lines.join("\n")
}

/// Formats a value in one line, as `key value` pairs without JSON's punctuation.
fn format_value(value: &Value) -> String {
    match value {
        Value::Object(object) => {
            let pair = |(key, value): (&String, &Value)| format!("{key} {}", format_value(value));
            object.iter().map(pair).collect::<Vec<_>>().join("  ")
        }
        Value::Array(values) => values.iter().map(format_value).collect::<Vec<_>>().join(","),
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        value => value.to_string(),
    }
}
