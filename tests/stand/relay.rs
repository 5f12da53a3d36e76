//! A fake relay of the event feed, on plain threads.

use super::read_head;
use serde_json::{Value, json};
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// A poll that the fake relay received.
#[derive(Clone, Debug)]
pub struct Seen {
    pub line: String,
    pub from: u64,
    pub at: Instant,
}

/// The content and the behaviour of a fake relay; both may change at any time.
pub struct State {
    pub feed: String,
    pub events: Vec<Value>,
    /// The events of a snapshot.
    pub snapshot: Vec<Value>,
    pub age_ms: u64,
    /// Accepts polls without answering them.
    pub silent: bool,
    /// Answers as if this were the last event; later ones are withheld.
    pub behind_at: Option<u64>,
    /// The body of each answer in place of a valid one.
    pub nonsense: Option<String>,
    pub polls: Vec<Seen>,
}

#[derive(Clone)]
pub struct Relay {
    pub at: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Relay {
    pub fn new(feed: &str) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let state = State {
            feed: feed.into(),
            events: Vec::new(),
            snapshot: Vec::new(),
            age_ms: 5,
            silent: false,
            behind_at: None,
            nonsense: None,
            polls: Vec::new(),
        };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let relay = Relay { at: listener.local_addr().unwrap(), shared };
        let server = relay.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(&stream));
            }
        });
        relay
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap()
    }

    /// Changes the state and wakes all pending polls.
    pub fn change(&self, change: impl FnOnce(&mut State)) {
        change(&mut self.state());
        self.shared.1.notify_all();
    }

    /// Appends an event and returns its offset.
    #[expect(clippy::needless_pass_by_value, reason = "callers pass temporary values")]
    pub fn push(&self, key: &str, value: Value) -> u64 {
        let mut offset = 0;
        self.change(|state| {
            offset = state.events.len() as u64 + 1;
            state.events.push(json!({"offset": offset, key: value}));
        });
        offset
    }

    /// Appends a topology with these instances and returns its offset.
    pub fn list(&self, instances: &[Value]) -> u64 {
        self.push("topology", json!({"generation": 1, "reset": true, "instances": instances}))
    }

    pub fn polls(&self) -> Vec<Seen> {
        self.state().polls.clone()
    }

    /// The first poll that acknowledges an offset.
    pub fn acknowledged(&self, offset: u64) -> Option<Seen> {
        self.polls().into_iter().find(|poll| poll.from >= offset)
    }

    fn serve(&self, stream: &TcpStream) {
        let mut reader = BufReader::new(stream);
        while let Some((line, _)) = read_head(&mut reader) {
            let Some(body) = self.answer(&line) else {
                let _ = reader.read(&mut [0]);
                return;
            };
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            let mut writer = stream;
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    /// The body of the answer to a request line, or `None` if the fake relay is silent.
    fn answer(&self, line: &str) -> Option<String> {
        let parameter = |key: &str| -> Option<String> {
            let (_, rest) = line.split_once(&format!("{key}="))?;
            Some(rest.split(['&', ' ']).next()?.to_string())
        };
        let number = |key: &str| parameter(key).unwrap().parse::<u64>().unwrap();
        let (from, hold) = (number("from"), Duration::from_millis(number("hold")));
        let mut state = self.state();
        state.polls.push(Seen { line: line.trim_end().into(), from, at: Instant::now() });
        let needs_snapshot = |state: &State| parameter("feed").is_some_and(|feed| feed != state.feed);
        let nothing_new = |state: &mut State| !needs_snapshot(state) && state.last() <= from && !state.silent;
        let (state, _) = self.shared.1.wait_timeout_while(state, hold, nothing_new).unwrap();
        if state.silent {
            return None;
        }
        Some(state.body(from, needs_snapshot(&state)))
    }
}

impl State {
    fn last(&self) -> u64 {
        self.behind_at.unwrap_or(self.events.len() as u64)
    }

    fn body(&self, from: u64, needs_snapshot: bool) -> String {
        if let Some(nonsense) = &self.nonsense {
            return nonsense.clone();
        }
        let last = self.last();
        let mut answer = json!({"offset": last, "feed": self.feed, "age_ms": self.age_ms});
        if needs_snapshot {
            answer["snapshot"] = json!(true);
            answer["batch"] = json!(self.snapshot);
        } else {
            answer["batch"] = json!(self.events[(from.min(last)) as usize..last as usize]);
        }
        answer.to_string()
    }
}
