//! Text form of decisions. It is written field by field with fixed words, so that renaming a type, a variant or a field
//! of the program doesn't change it.

use sagearch::broker::{FreshnessReport, NextStep, PlannedAttempt, Verdict};
use sagearch::interface::{Fill, MemberId, Micros};
use serde_json::Value;

fn optional(number: Option<u64>) -> String {
    number.map_or_else(|| "none".into(), |number| number.to_string())
}

fn member(id: Option<MemberId>) -> String {
    optional(id.map(|id| u64::from(id.0)))
}

fn fill(fill: &Fill) -> String {
    format!(
        "source={} keep={} max-age={} join={} held-only={} renew={}",
        member(fill.source),
        fill.cache_rank,
        optional(fill.max_age),
        fill.join,
        fill.cached_only,
        fill.background_refresh
    )
}

pub fn attempt(planned: &PlannedAttempt) -> String {
    format!(
        "attempt request={} number={} member={} timeout={} picked={} fill=({})",
        planned.request.0,
        planned.attempt,
        planned.member.0,
        planned.timeout,
        planned.picked,
        planned.fill.as_ref().map_or_else(|| "none".into(), fill)
    )
}

pub fn verdict(verdict: &Verdict) -> String {
    match verdict {
        Verdict::Attempt(planned) => attempt(planned),
        Verdict::Refused { backoff } => format!("refused backoff={}", optional(*backoff)),
        Verdict::Failed => "failed".into(),
    }
}

pub fn next_step(next: &NextStep) -> String {
    match next {
        NextStep::Done => "done".into(),
        NextStep::Verdict(next) => verdict(next),
        NextStep::Wait => "wait".into(),
    }
}

pub fn freshness(report: Option<FreshnessReport>) -> String {
    let Some(report) = report else { return "none".into() };
    let as_of: Option<Micros> = report.as_of;
    format!(
        "in-doubt={} as-of={} held={} refused={}",
        report.is_stale,
        optional(as_of),
        report.unsent,
        report.refused
    )
}

/// Formats stored values under their stored names. Fractions are rounded to nine significant digits, because the last
/// digits of `powf` differ between machines.
pub fn stored_value(value: &Value) -> String {
    match value {
        Value::Object(fields) => {
            let fields = fields.iter().map(|(name, value)| format!("{name}:{}", stored_value(value)));
            format!("{{{}}}", fields.collect::<Vec<_>>().join(","))
        }
        Value::Array(values) => {
            format!("[{}]", values.iter().map(stored_value).collect::<Vec<_>>().join(","))
        }
        Value::Number(number) if number.is_f64() => format!("{:.8e}", number.as_f64().unwrap_or(f64::NAN)),
        other => other.to_string(),
    }
}
