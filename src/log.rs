//! The gateway's own logger: a line a record on standard error, stamped with Unix milliseconds.

use log::{LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

struct Logger;

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        // Libraries speak up only when something is wrong.
        metadata.target().starts_with("sagearch") || metadata.level() <= log::Level::Warn
    }

    fn log(&self, record: &Record) {
        if self.enabled(record.metadata()) {
            let line = line(now_ms(), record);
            // A closed standard error must not take the gateway down.
            let _ = std::io::stderr().write_all(line.as_bytes());
        }
    }

    fn flush(&self) {}
}

fn now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis())
}

fn line(ms: u128, record: &Record) -> String {
    let text = record.args().to_string().replace(['\n', '\r'], " ");
    format!("{ms} {} {}: {text}\n", record.level(), record.target())
}

/// Installs the logger. A second call changes the level only.
pub fn start(level: LevelFilter) {
    static LOGGER: Logger = Logger;
    let _ = log::set_logger(&LOGGER);
    log::set_max_level(level);
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_record_is_one_line_whatever_it_holds() {
        let record = Record::builder()
            .level(log::Level::Warn)
            .target("sagearch::net::bus")
            .args(format_args!("a\r\nb"))
            .build();
        assert_eq!(line(7, &record), "7 WARN sagearch::net::bus: a  b\n");
    }
}
