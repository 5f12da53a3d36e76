//! A cache, parent or origin on the line protocol. It keeps copies, keeps to `maxage`, and drops purged copies in its own
//! time, within `PurgeTakes`.

use crate::base::{Run, now_ms};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// How long after its purge a copy is kept at most: less than the 6 s of the pages.
const PURGED_COPY_KEPT_MS: u64 = 5_800;

/// What the origin has of one object: the number of its present content, and when that came to be.
#[derive(Clone, Copy)]
pub struct Content {
    pub number: u64,
    pub purged_at: u64,
}

/// The contents of all objects at the origin.
#[derive(Default)]
pub struct World(pub Mutex<BTreeMap<String, Content>>);

impl World {
    pub fn content(&self, object: &str) -> Content {
        *self.0.lock().unwrap().entry(object.into()).or_insert(Content { number: 1, purged_at: 0 })
    }

    /// Gives an object new content: it is purged at this moment.
    pub fn change(&self, object: &str) -> u64 {
        let mut contents = self.0.lock().unwrap();
        let content = contents.entry(object.into()).or_insert(Content { number: 1, purged_at: 0 });
        content.number += 1;
        content.purged_at = now_ms();
        content.purged_at
    }
}

#[derive(Clone, Copy)]
struct Copy_ {
    number: u64,
    made: u64,
}

/// A request that came.
#[derive(Clone)]
pub struct Pulled {
    pub came: u64,
    pub id: String,
    pub object: String,
    /// The number of the content that it was answered with; 0: none.
    pub number: u64,
    pub line: String,
}

#[derive(Clone)]
pub struct Store {
    pub name: String,
    pub kind: &'static str,
    pub zone: &'static str,
    pub address: SocketAddr,
    run: Run,
    world: Arc<World>,
    copies: Arc<Mutex<BTreeMap<String, Copy_>>>,
    pub pulled: Arc<Mutex<Vec<Pulled>>>,
}

impl Store {
    pub fn new(
        run: &Run,
        ip: &str,
        number: u32,
        kind: &'static str,
        zone: &'static str,
        world: &Arc<World>,
    ) -> Store {
        let listener = TcpListener::bind((ip, 0)).unwrap();
        let store = Store {
            name: format!("s-{number:08x}"),
            kind,
            zone,
            address: listener.local_addr().unwrap(),
            run: run.clone(),
            world: world.clone(),
            copies: Arc::default(),
            pulled: Arc::default(),
        };
        let accepting = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = accepting.clone();
                std::thread::spawn(move || serving.serve(&stream));
            }
        });
        store
    }

    /// Its entry in the list of stores.
    pub fn entry(&self) -> String {
        format!(
            r#"{{"instanceId":"{}","hostPort":"{}","zone":"{}","machineType":"{}","cell":0,"lifecycle":"up","weight":4,"startedAtMs":0}}"#,
            self.name, self.address, self.zone, self.kind
        )
    }

    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        let mut writer = stream;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let came = now_ms();
            let line = line.trim_end().to_string();
            let words: Vec<&str> = line.split(' ').collect();
            let answer = match words[..] {
                ["PULL", id, fields, length] => {
                    let length: usize = length.parse().unwrap_or(0);
                    let mut body = vec![0; length + 2];
                    if reader.read_exact(&mut body).is_err() {
                        return;
                    }
                    self.pull(came, id, fields, &line)
                }
                ["ECHO" | "METER", tag] => format!("{tag} yes - 0\r\n\r\n").into_bytes(),
                ["KILL", _] => continue,
                _ => return,
            };
            if writer.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn pull(&self, came: u64, id: &str, fields: &str, line: &str) -> Vec<u8> {
        let field = |name: &str| {
            fields
                .split(',')
                .filter_map(|field| field.split_once('='))
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value)
        };
        let object = field("obj").unwrap_or("").to_string();
        let key = format!("{object}/{}", field("seg").unwrap_or("0"));
        let content = self.world.content(&object);
        let now = now_ms();
        let origin = self.kind == "origin";
        let limit = field("maxage").and_then(|text| text.parse::<u64>().ok()).filter(|limit| *limit > 0);
        let mut copies = self.copies.lock().unwrap();
        let held = copies.get(&key).copied().filter(|copy| {
            let purged = copy.number != content.number && now > content.purged_at + PURGED_COPY_KEPT_MS;
            !origin && !purged && limit.is_none_or(|limit| now - copy.made <= limit)
        });
        let (copy, note) = match held {
            Some(copy) => (Some(copy), "TCP_HIT"),
            None if origin || field("src").is_some() => {
                let copy = Copy_ { number: content.number, made: now };
                copies.insert(key, copy);
                (Some(copy), "TCP_MISS_ROOT")
            }
            None => (None, ""),
        };
        drop(copies);
        let number = copy.map_or(0, |copy| copy.number);
        self.pulled.lock().unwrap().push(Pulled {
            came,
            id: id.into(),
            object: object.clone(),
            number,
            line: line.into(),
        });
        self.run.rec(&format!("store {}: {line} -> {note} content {number}", self.name));
        match copy {
            Some(copy) => {
                let body = format!("{object} content {}", copy.number);
                format!(
                    "{id} ok res={note},ttfb=1,etag=e{:x},made={} {}\r\n{body}\r\n",
                    copy.number,
                    copy.made,
                    body.len()
                )
                .into_bytes()
            }
            None => format!("{id} nothing - 0\r\n\r\n").into_bytes(),
        }
    }
}

/// The event with the complete list of stores.
pub fn list(stores: &[&Store]) -> String {
    let entries: Vec<String> = stores.iter().map(|store| store.entry()).collect();
    format!("\"topology\":{{\"generation\":1,\"reset\":false,\"instances\":[{}]}}", entries.join(","))
}
