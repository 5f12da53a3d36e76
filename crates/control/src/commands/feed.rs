//! Operators' commands to the relays of the event feed: status, wait and forget.

mod relay_client;

pub use relay_client::FeedError;

use super::CommandOutcome;
use super::error::duration_millis;
use super::output::{print_answer, relay_status_text};
use crate::arguments::{FeedCommand, Relays};
use jiff::SignedDuration;
use relay_client::{Method, RelayCall};
use serde_json::Value;
use std::time::Duration;

/// Timeout of a call that a relay answers immediately.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs a command.
pub fn run(command: &FeedCommand) -> Result<CommandOutcome, FeedError> {
    match command {
        FeedCommand::Status { offset, relays } => status(*offset, relays),
        FeedCommand::Wait { offset, within, relays } => wait(*offset, *within, relays),
        FeedCommand::Forget { name, relays } => forget(name, relays),
    }
}

fn status(offset: Option<u64>, relays: &Relays) -> Result<CommandOutcome, FeedError> {
    let path = match offset {
        Some(offset) => format!("/feed/status?offset={offset}"),
        None => "/feed/status".into(),
    };
    let call = RelayCall { method: Method::Get, path, timeout: ANSWER_TIMEOUT };
    let answer = call.first_answer(&relays.addresses)?;
    print_answer(relays.json, &answer, relay_status_text);
    Ok(CommandOutcome::Done)
}

fn wait(offset: u64, within: SignedDuration, relays: &Relays) -> Result<CommandOutcome, FeedError> {
    let within_ms = duration_millis("--within", within)?;
    let path = format!("/feed/wait?offset={offset}&within_ms={within_ms}");
    let timeout = Duration::from_millis(within_ms) + ANSWER_TIMEOUT;
    let answer = RelayCall { method: Method::Get, path, timeout }.first_answer(&relays.addresses)?;
    print_answer(relays.json, &answer, |answer| wait_text(offset, answer));
    Ok(if answer["done"] == true { CommandOutcome::Done } else { CommandOutcome::Negative })
}

fn wait_text(offset: u64, answer: &Value) -> String {
    if answer["done"] == true {
        format!("offset {offset} is done everywhere, {} ms after the relay learned it", answer["took_ms"])
    } else {
        format!("offset {offset} is not done everywhere; the watermark is {}", answer["watermark"])
    }
}

fn forget(name: &str, relays: &Relays) -> Result<CommandOutcome, FeedError> {
    let path = format!("/feed/forget?name={}", percent_encode(name));
    let call = RelayCall { method: Method::Post, path, timeout: ANSWER_TIMEOUT };
    let answer = call.first_answer(&relays.addresses)?;
    print_answer(relays.json, &answer, |answer| {
        if answer["forgotten"] == true {
            format!("{name} is forgotten")
        } else {
            format!("{name} was not known")
        }
    });
    Ok(CommandOutcome::Done)
}

/// Percent-encodes a name for a query: all bytes but ASCII letters, digits and `._-`.
fn percent_encode(name: &str) -> String {
    let is_unreserved = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    let encode =
        |byte| if is_unreserved(byte) { char::from(byte).to_string() } else { format!("%{byte:02X}") };
    name.bytes().map(encode).collect()
}
