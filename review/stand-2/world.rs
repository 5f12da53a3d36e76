//! Stand-ins of stores (caches, parents, the origin) and of the event bus, as the protocol page describes them.

use crate::util::*;
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Role {
    Cache,
    Parent,
    Origin,
}

/// An attempt as a store has seen it.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub store: usize,
    /// When it had come whole.
    pub arrived: u64,
    /// When its answer was written, it was given up, or its connection had ended.
    pub ended: Option<u64>,
    /// `ok`, `nothing`, `refused`, `error`, `stale`, `current`, `killed`, `reset`; empty while it is out.
    pub end: String,
    pub fields: HashMap<String, String>,
    /// The origin's time of the copy that was given, in Unix microseconds.
    pub made: u64,
    /// Whether the work was carried out.
    pub ran: bool,
}

/// What a store does with a request, decided by the case.
#[derive(Clone, Debug, PartialEq)]
pub enum Manner {
    /// As a sound store.
    Sound,
    /// It carries the work out, and gives no answer.
    Silent,
    /// It carries the work out, and answers `error`.
    Error,
}

pub struct Store {
    pub name: String,
    pub role: Role,
    pub zone: String,
    pub cell: u32,
    pub port: u16,
}

/// A copy of a part of an object.
#[derive(Clone)]
pub struct Copy {
    pub made: u64,
    pub tag: String,
    pub body: Vec<u8>,
}

/// All that the stand-ins share.
pub struct World {
    pub stores: Vec<Store>,
    pub attempts: Mutex<Vec<Attempt>>,
    /// Copies by store, object and part.
    pub copies: Mutex<HashMap<(usize, String, String), Copy>>,
    /// Bodies that were ever given out, by tag.
    pub bodies: Mutex<HashMap<String, Vec<u8>>>,
    /// The fresh time of each class in milliseconds; 0: no limit.
    pub fresh_ms: HashMap<String, u64>,
    /// The classes that run at the origin.
    pub pass_on: Vec<String>,
    pub manner: Box<dyn Fn(&World, usize, &Attempt) -> Manner + Send + Sync>,
    /// How long an answer takes, in milliseconds.
    pub answer_ms: u64,
    pub bus: Bus,
    pub record: Record,
    pub random: Mutex<Random>,
}

/// The list of events.
pub struct Bus {
    /// Events as JSON, with when each was put into the bus.
    pub events: Mutex<Vec<(u64, String)>>,
}

impl Bus {
    /// Appends an event, whose text follows its offset, and returns when it stood there.
    pub fn tell(&self, event: &str) -> u64 {
        let mut events = self.events.lock().unwrap();
        let offset = events.len() + 1;
        let told = now();
        events.push((told, format!("{{\"offset\":{offset},{event}}}")));
        told
    }

    pub fn batch(&self, from: usize) -> (usize, String) {
        let events = self.events.lock().unwrap();
        let later: Vec<&str> = events.iter().skip(from).map(|(_, text)| text.as_str()).collect();
        (events.len(), format!("{{\"offset\":{},\"batch\":[{}]}}", events.len(), later.join(",")))
    }
}

/// The line of a store in a list.
pub fn line(store: &Store, lifecycle: &str) -> String {
    let machine = match store.role {
        Role::Cache => "small-box",
        Role::Parent => "parent",
        Role::Origin => "origin",
    };
    format!(
        "{{\"instanceId\":\"{}\",\"hostPort\":\"127.0.0.1:{}\",\"zone\":\"{}\",\"machineType\":\"{machine}\",\"cell\":{},\
         \"lifecycle\":\"{lifecycle}\",\"weight\":4,\"startedAtMs\":0}}",
        store.name, store.port, store.zone, store.cell
    )
}

pub fn topology(lines: &[String], reset: bool) -> String {
    format!("\"topology\":{{\"generation\":1,\"reset\":{reset},\"instances\":[{}]}}", lines.join(","))
}

impl World {
    /// Whether an earlier attempt ended without proof that it never ran.
    pub fn may_have_run(end: &str) -> bool {
        !matches!(end, "nothing" | "refused" | "stale")
    }

    pub fn start(self) -> Arc<World> {
        let world = Arc::new(self);
        for index in 0..world.stores.len() {
            let listener = TcpListener::bind(("127.0.0.1", world.stores[index].port)).expect("store");
            let world = world.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let world = world.clone();
                    thread::spawn(move || world.serve_store(index, stream));
                }
            });
        }
        let lines: Vec<String> = world.stores.iter().map(|store| line(store, "up")).collect();
        world.bus.tell(&topology(&lines, true));
        world
    }

    fn serve_store(self: &Arc<World>, index: usize, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().expect("stream"));
        let writer = Arc::new(Mutex::new(stream));
        let mut open: Vec<usize> = Vec::new();
        loop {
            let mut text = String::new();
            if !matches!(reader.read_line(&mut text), Ok(1..)) {
                break;
            }
            let words: Vec<&str> = text.trim_end().split(' ').collect();
            match words[..] {
                ["PULL", id, fields, length] => {
                    let length: usize = length.parse().unwrap_or(0);
                    let mut body = vec![0; length + 2];
                    if reader.read_exact(&mut body).is_err() {
                        break;
                    }
                    let fields = fields.split(',').filter_map(|field| field.split_once('='));
                    let fields = fields.map(|(key, value)| (key.to_string(), value.to_string())).collect();
                    let attempt = Attempt {
                        id: id.into(),
                        store: index,
                        arrived: now(),
                        ended: None,
                        end: String::new(),
                        fields,
                        made: 0,
                        ran: false,
                    };
                    self.record.note(&format!("{} {}", self.stores[index].name, text.trim_end()));
                    let number = {
                        let mut attempts = self.attempts.lock().unwrap();
                        attempts.push(attempt.clone());
                        attempts.len() - 1
                    };
                    open.push(number);
                    let (world, writer) = (self.clone(), writer.clone());
                    thread::spawn(move || world.answer(index, number, attempt, &writer));
                }
                ["KILL", id] => {
                    let mut attempts = self.attempts.lock().unwrap();
                    for number in &open {
                        let attempt = &mut attempts[*number];
                        if attempt.id == id && attempt.ended.is_none() {
                            (attempt.ended, attempt.end) = (Some(now()), "killed".into());
                            self.record.note(&format!("{} KILL {id}", self.stores[index].name));
                        }
                    }
                }
                ["ECHO", tag] | ["METER", tag] => {
                    let mut writer = writer.lock().unwrap();
                    let _ = writer.write_all(format!("{tag} yes - 0\r\n\r\n").as_bytes());
                }
                _ => break,
            }
        }
        let mut attempts = self.attempts.lock().unwrap();
        for number in open {
            let attempt = &mut attempts[number];
            if attempt.ended.is_none() {
                (attempt.ended, attempt.end) = (Some(now()), "closed".into());
            }
        }
    }

    /// A copy that is no older than `limit_ms`, where there is one.
    fn held(&self, store: usize, object: &str, part: &str, limit_ms: u64) -> Option<Copy> {
        let copies = self.copies.lock().unwrap();
        let copy = copies.get(&(store, object.into(), part.into()))?;
        let fresh = limit_ms == 0 || now().saturating_sub(copy.made) <= limit_ms * 1_000;
        fresh.then(|| copy.clone())
    }

    fn keep(&self, store: usize, object: &str, part: &str, copy: &Copy) {
        self.copies.lock().unwrap().insert((store, object.into(), part.into()), copy.clone());
    }

    /// A copy that the origin gives out now.
    fn give_out(&self, object: &str, part: &str) -> Copy {
        let mut random = self.random.lock().unwrap();
        let tag = format!("{:016x}", random.next());
        let length = 200 + random.below(3_000) as usize;
        drop(random);
        let mut body = format!("{object}/{part}/{tag}/").into_bytes();
        body.resize(length.max(body.len()), b'.');
        self.bodies.lock().unwrap().insert(tag.clone(), body.clone());
        Copy { made: now(), tag, body }
    }

    fn fetch(&self, from: usize, object: &str, part: &str, limit: u64, have_only: bool) -> Option<Copy> {
        match self.stores[from].role {
            Role::Origin => Some(self.give_out(object, part)),
            Role::Cache => self.held(from, object, part, limit),
            Role::Parent => match self.held(from, object, part, limit) {
                Some(copy) => Some(copy),
                None if have_only => None,
                None => {
                    let copy = self.give_out(object, part);
                    self.keep(from, object, part, &copy);
                    Some(copy)
                }
            },
        }
    }

    fn find(&self, name: &str) -> Option<usize> {
        self.stores.iter().position(|store| store.name == name)
    }

    fn answer(&self, index: usize, number: usize, attempt: Attempt, writer: &Mutex<TcpStream>) {
        let field = |key: &str| attempt.fields.get(key).cloned().unwrap_or_default();
        let (class, object, part) = (field("kind"), field("obj"), field("seg"));
        let store = &self.stores[index];
        let manner = (self.manner)(self, index, &attempt);
        if manner == Manner::Silent {
            self.attempts.lock().unwrap()[number].ran = true;
            return;
        }
        sleep_ms(self.answer_ms);
        let limit = match field("maxage").parse::<u64>() {
            Ok(limit @ 1..) => limit,
            _ => self.fresh_ms.get(&class).copied().unwrap_or(0),
        };
        let flags = field("flags");
        let have_only = flags.split('+').any(|flag| flag == "have-only");
        let source = self.find(&field("src"));
        let (word, note, copy) = match manner {
            Manner::Error => ("error", "-", None),
            _ if self.pass_on.contains(&class) => match (store.role, source) {
                (Role::Origin, _) | (_, Some(_)) => {
                    ("ok", "TCP_MISS_ROOT", Some(self.give_out(&object, &part)))
                }
                _ => ("nothing", "-", None),
            },
            _ if store.role == Role::Origin => ("ok", "TCP_HIT", Some(self.give_out(&object, &part))),
            _ => match (self.held(index, &object, &part, limit), source) {
                (Some(copy), _) => ("ok", "TCP_HIT", Some(copy)),
                (None, None) => ("nothing", "-", None),
                (None, Some(source)) => match self.fetch(source, &object, &part, limit, have_only) {
                    Some(copy) => {
                        if field("keep") != "" && field("keep") != "0" {
                            self.keep(index, &object, &part, &copy);
                        }
                        ("ok", "TCP_MISS", Some(copy))
                    }
                    None => ("nothing", "PEER_MISS", None),
                },
            },
        };
        let id = &attempt.id;
        let answer = match &copy {
            Some(Copy { made, tag, .. }) if field("have") == *tag => {
                format!("{id} current res={note},etag={tag},made={} 0\r\n\r\n", made / 1_000).into_bytes()
            }
            Some(Copy { made, tag, body }) => {
                let head = format!("{id} ok res={note},etag={tag},made={} {}\r\n", made / 1_000, body.len());
                [head.as_bytes(), body, b"\r\n"].concat()
            }
            None if note == "-" => format!("{id} {word} - 0\r\n\r\n").into_bytes(),
            None => format!("{id} {word} res={note} 0\r\n\r\n").into_bytes(),
        };
        let mut writer = writer.lock().unwrap();
        {
            let mut attempts = self.attempts.lock().unwrap();
            let entry = &mut attempts[number];
            if entry.ended.is_some() {
                return;
            }
            entry.ran = word == "ok" || word == "error";
            entry.made = copy.as_ref().map_or(0, |copy| copy.made);
            entry.end = word.into();
            entry.ended = Some(now());
        }
        let _ = writer.write_all(&answer);
        drop(writer);
        self.record.note(&format!("{} answers {id} {word}", store.name));
    }

    /// Starts the event bus for one gateway, and returns its port.
    pub fn start_bus(self: &Arc<World>) -> u16 {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bus");
        let port = listener.local_addr().expect("bus").port();
        let world = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let world = world.clone();
                thread::spawn(move || world.serve_bus(stream));
            }
        });
        port
    }

    fn serve_bus(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().expect("stream"));
        loop {
            let mut request = String::new();
            loop {
                let mut text = String::new();
                if !matches!(reader.read_line(&mut text), Ok(1..)) {
                    return;
                }
                if text.trim_end().is_empty() {
                    break;
                }
                request += &text;
            }
            let number = |key: &str| {
                let rest = request.split(key).nth(1).unwrap_or("0");
                let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
                digits.parse::<u64>().unwrap_or(0)
            };
            let (from, hold) = (number("from=") as usize, number("hold="));
            let until = now() + hold * 1_000;
            let (mut last, mut text) = self.bus.batch(from);
            while last <= from && now() < until {
                sleep_ms(2);
                (last, text) = self.bus.batch(from);
            }
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
            if stream.write_all((head + &text).as_bytes()).is_err() {
                return;
            }
        }
    }
}
