//! The log of events that a relay can still send individually, encoded as on the wire.

use crate::Offset;
use std::collections::VecDeque;

/// The maximum size of the log in bytes, in addition to the maximum number of events.
const MAX_LOG_BYTES: usize = 4 * 1024 * 1024;
/// The approximate maximum size of an answer in bytes; the remaining events are sent in the next answer.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

#[derive(Debug)]
struct Entry {
    offset: Offset,
    json: Box<str>,
}

/// The latest events, in the order of their offsets.
#[derive(Debug)]
pub struct Log {
    /// The offset after which the log contains all events.
    base_offset: Offset,
    last_offset: Offset,
    entries: VecDeque<Entry>,
    bytes: usize,
    max_events: usize,
}

/// Encoded events, joined as the elements of a JSON array.
pub struct Batch {
    /// The last offset that the batch covers; lower than the last offset of the log if the batch was cut off.
    pub offset: Offset,
    pub events: String,
}

impl Log {
    pub fn new(max_events: usize) -> Log {
        Log { base_offset: 0, last_offset: 0, entries: VecDeque::new(), bytes: 0, max_events }
    }

    /// The offset of the last known event.
    pub fn last_offset(&self) -> Offset {
        self.last_offset
    }

    pub fn base_offset(&self) -> Offset {
        self.base_offset
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Appends the next event, encoded as JSON.
    pub fn push(&mut self, offset: Offset, json: String) {
        self.bytes += json.len();
        self.last_offset = self.last_offset.max(offset);
        self.entries.push_back(Entry { offset, json: json.into_boxed_str() });
        while self.entries.len() > self.max_events || self.bytes > MAX_LOG_BYTES {
            self.evict();
        }
    }

    /// Records that the offsets up to this one are known, including offsets without events.
    pub fn advance(&mut self, offset: Offset) {
        self.last_offset = self.last_offset.max(offset);
    }

    /// Clears the log. It contains the events after `offset` from now on.
    pub fn reset(&mut self, offset: Offset) {
        self.entries.clear();
        self.bytes = 0;
        self.base_offset = offset;
        self.last_offset = offset;
    }

    /// Whether the log contains all events after `from`.
    pub fn contains_all_after(&self, from: Offset) -> bool {
        from >= self.base_offset
    }

    /// The events after `from`, up to the maximum size of an answer.
    pub fn after(&self, from: Offset) -> Batch {
        let start = self.entries.partition_point(|entry| entry.offset <= from);
        let mut events = String::new();
        let mut offset = from;
        for entry in self.entries.range(start..) {
            // Events with the same offset are sent together: a subscriber with some of them would count as having all.
            if events.len() > MAX_ANSWER_BYTES && entry.offset > offset {
                return Batch { offset, events };
            }
            if !events.is_empty() {
                events.push(',');
            }
            events += &entry.json;
            offset = entry.offset;
        }
        Batch { offset: self.last_offset, events }
    }

    fn evict(&mut self) {
        if let Some(entry) = self.entries.pop_front() {
            self.bytes -= entry.json.len();
            self.base_offset = entry.offset;
        }
    }
}
