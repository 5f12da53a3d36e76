//! The numbered events of the bus, and the responses that tell them. A response is encoded once for all that poll from
//! the same offset.

use crate::scale::sync::lock;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::watch;

/// Events that are kept; beyond them a run would be far longer than one may be.
const MAX_EVENTS: usize = 200_000;
/// A poll is held for at most this long.
const MAX_HOLD: Duration = Duration::from_secs(5);
/// Purges that a gateway is given at its start are not older than this, in microseconds.
const INITIAL_PURGES_US: u64 = 60_000_000;

/// An event as pollers receive it.
struct Event {
    /// Unix time in microseconds, of a purge.
    purge_issued_us: Option<u64>,
    json: String,
}

#[derive(Default)]
struct State {
    /// The event at index N has the offset N + 1.
    events: Vec<Event>,
    stores: Vec<Value>,
    /// Responses by the offset that they begin after, until the next event.
    responses: HashMap<u64, Arc<[u8]>>,
}

/// All events since the start of the bus.
pub(super) struct EventLog {
    feed: String,
    state: Mutex<State>,
    last_offset: watch::Sender<u64>,
}

impl EventLog {
    /// A log whose first event is the list of stores.
    pub(super) fn new(feed: &str, stores: &[Value]) -> EventLog {
        let state = State { stores: stores.to_vec(), ..State::default() };
        let log = EventLog { feed: feed.into(), state: Mutex::new(state), last_offset: watch::channel(0).0 };
        log.append(None, |offset| store_list(offset, true, stores));
        log
    }

    /// Numbers an event and wakes all pollers that wait for it. `None`: the log is full.
    fn append(&self, purge_issued_us: Option<u64>, event: impl FnOnce(u64) -> Value) -> Option<u64> {
        let mut state = lock(&self.state);
        if state.events.len() >= MAX_EVENTS {
            return None;
        }
        let offset = state.events.len() as u64 + 1;
        state.events.push(Event { purge_issued_us, json: event(offset).to_string() });
        state.responses.clear();
        drop(state);
        self.last_offset.send_replace(offset);
        Some(offset)
    }

    /// Adds a purge, as its `ban` object. Returns its offset.
    pub(super) fn append_purge(&self, issued_us: u64, ban: &Value) -> Option<u64> {
        self.append(Some(issued_us), |offset| json!({"offset": offset, "ban": ban}))
    }

    /// Changes one store with `change`, and adds an event of it. Returns its offset.
    pub(super) fn append_store_change(&self, change: impl FnOnce(&mut [Value]) -> Value) -> Option<u64> {
        let changed = change(&mut lock(&self.state).stores);
        self.append(None, |offset| store_list(offset, false, &[changed]))
    }

    /// The response with the events after an offset. `None`: there are none yet.
    fn response_after(&self, from: u64) -> Option<Arc<[u8]>> {
        let mut state = lock(&self.state);
        let last = state.events.len() as u64;
        if from >= last {
            return None;
        }
        if let Some(response) = state.responses.get(&from) {
            return Some(response.clone());
        }
        let events: Vec<&str> =
            state.events[from as usize..].iter().map(|event| event.json.as_str()).collect();
        let response = self.batch(last, &events);
        state.responses.insert(from, response.clone());
        Some(response)
    }

    fn batch(&self, offset: u64, events: &[&str]) -> Arc<[u8]> {
        let feed = &self.feed;
        ok_response(&format!("{{\"offset\":{offset},\"batch\":[{}],\"feed\":\"{feed}\"}}", events.join(",")))
    }

    /// The response to a gateway that starts: the current list of stores and the latest purges.
    pub(super) fn initial_response(&self) -> Arc<[u8]> {
        let state = lock(&self.state);
        let oldest = sagearch_clock::unix_micros().saturating_sub(INITIAL_PURGES_US);
        let is_recent = |event: &&Event| event.purge_issued_us.is_some_and(|issued| issued >= oldest);
        let list = store_list(1, true, &state.stores).to_string();
        let purges = state.events.iter().filter(is_recent).map(|event| event.json.as_str());
        let events: Vec<&str> = std::iter::once(list.as_str()).chain(purges).collect();
        self.batch(state.events.len() as u64, &events)
    }

    /// The response to a poll: as soon as there is an event after `from`, or an empty one after `hold`.
    pub(super) async fn poll(&self, from: u64, hold: Duration) -> Arc<[u8]> {
        let mut last_offset = self.last_offset.subscribe();
        let newer = last_offset.wait_for(|last| *last > from);
        // Both an event and the end of the hold are followed by a response.
        let _ = tokio::time::timeout(hold.min(MAX_HOLD), newer).await;
        self.response_after(from).unwrap_or_else(|| self.batch(from, &[]))
    }
}

fn ok_response(body: &str) -> Arc<[u8]> {
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes().into()
}

fn store_list(offset: u64, reset: bool, stores: &[Value]) -> Value {
    json!({"offset": offset, "topology": {"generation": offset, "reset": reset, "instances": stores}})
}
