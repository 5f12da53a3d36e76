//! What the commands print.

use serde_json::Value;

/// How an answer is printed.
#[derive(Clone, Copy)]
pub(super) enum Format {
    /// As one JSON document.
    Json,
    /// As text for people.
    Text,
}

impl Format {
    /// The format that the argument `--json` asks for.
    pub(super) fn new(json: bool) -> Format {
        if json { Format::Json } else { Format::Text }
    }

    /// Prints an answer on standard output.
    pub(super) fn print(self, json: &Value, text: &str) {
        match self {
            Format::Json => println!("{json}"),
            Format::Text => println!("{text}"),
        }
    }
}
