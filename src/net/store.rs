//! The line protocol to stores, parents and the origin, over connections that carry many requests.
//!
//! Each connection has a writer coroutine, which connects and then takes what is queued, and a reader,
//! which hands every answer to the request that waits for it. An attempt ends by proof: one of which no
//! byte was written never ran; one that was written and got no answer may have.
//!
//! One answer that can't be read, stops short or never comes makes a connection useless to all that is open
//! on it. So each attempt has a connection to itself as long as there are descriptors, and only then do they
//! share.

use super::lock;
use crate::broker::Order;
use crate::interface::*;
use may::io::WaitIo;
use may::net::TcpStream;
use may::sync::mpsc;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The longest line of an answer, and the largest object.
const LONGEST_LINE: usize = 2_048;
const LARGEST: usize = 240_000;
/// Ended ids of which an answer may still be under way.
const ENDED_KEPT: usize = 256;
/// A store that has left the list is remembered for so long.
const GONE_KEPT: Duration = Duration::from_secs(60);
const LEAVING_IDLE: Duration = Duration::from_millis(100);
/// A store that takes no bytes for this long has its connection closed.
const WRITE_STUCK: Duration = Duration::from_secs(2);
/// Connections to one store, those included that take nothing new and wait for their last answers.
const PER_STORE: usize = 32;
const PIECE: usize = 16 * 1024;
/// Answers come whole: one whose bytes stop for this long will not be finished.
const STALLED: Duration = Duration::from_millis(300);
/// Bounds of how long a KILL may be on its way: a handshake may take longer than the way there and back.
const SETTLES_LEAST: Duration = Duration::from_millis(10);
const SETTLES_MOST: Duration = Duration::from_millis(100);
/// How often a writer looks for room in a connection's buffer.
const ROOM: Duration = Duration::from_millis(2);

/// How an attempt or a check ended, as far as the wire tells.
#[derive(Clone, Debug, PartialEq)]
pub enum End {
    Ok(Vec<u8>),
    Current,
    Nothing,
    Refused,
    Error,
    Stale,
    Yes,
    No,
    /// No connection came up.
    Unreachable,
    /// The connection broke with the attempt out.
    Reset,
    /// It was never written: the drain or purge check just before said no, or no connection was free.
    NotSent,
}

impl End {
    /// What it proves.
    pub fn outcome(&self) -> Outcome {
        match self {
            End::Ok(_) | End::Current => Outcome::Served,
            End::Nothing => Outcome::Miss,
            End::Refused | End::No => Outcome::Full,
            End::Error => Outcome::Failed,
            End::Stale | End::NotSent => Outcome::NotSent,
            End::Yes => Outcome::Checked,
            End::Unreachable => Outcome::Unreachable,
            End::Reset => Outcome::Reset,
        }
    }
}

/// An answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    pub end: End,
    pub detail: Detail,
    pub inflight: Option<f64>,
    pub busy: Option<f64>,
    pub etag: Option<String>,
}

impl Reply {
    fn bare(end: End) -> Reply {
        Reply { end, detail: Detail::Untold, inflight: None, busy: None, etag: None }
    }

    pub fn load(&self) -> Load {
        Load { inflight: self.inflight, busy: self.busy }
    }
}

/// Where answers go.
pub trait Answered: Clone + Send + 'static {
    fn reply(&self, attempt: u32, reply: Reply);
}

/// The line before an answer's bytes.
#[derive(Debug, PartialEq)]
struct AnswerLine {
    id: u64,
    reply: Reply,
    length: usize,
}

/// What the bytes of an attempt ask for: an answer of another kind proves nothing of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Asks {
    Pull {
        /// The store was told of a copy that the client has.
        have: bool,
    },
    Echo,
}

impl Asks {
    /// An answer that was not asked for ends the attempt as one that may have run.
    fn end(self, end: End) -> End {
        match (self, &end) {
            (Asks::Pull { have: true }, End::Current) | (Asks::Echo, End::Yes | End::No) => end,
            (Asks::Pull { .. }, End::Current | End::Yes | End::No) | (Asks::Echo, _) => End::Error,
            _ => end,
        }
    }
}

const NOTES: [(&str, Detail); 10] = [
    ("TCP_HIT", Detail::Hit),
    ("TCP_MISS", Detail::Filled),
    ("TCP_MISS_ROOT", Detail::FilledByOrigin),
    ("TCP_JOIN", Detail::Joined),
    ("TCP_STALE", Detail::Stale),
    ("PEER_DENY", Detail::SourceRefused),
    ("PEER_DEAD", Detail::SourceLost),
    ("PEER_MISS", Detail::SourceLacks),
    ("FILL_FULL", Detail::NoFillPlace),
    ("ROOT_FAIL", Detail::OriginFailed),
];

/// Reads `ID WORD FIELDS LENGTH`, without its line end. The bytes are filled in later.
fn answer_line(line: &[u8]) -> Result<AnswerLine, String> {
    let text = std::str::from_utf8(line).map_err(|e| e.to_string())?;
    let bad = || format!("answer line {text:?}");
    let mut words = text.split(' ');
    let (Some(id), Some(word), Some(fields), Some(length), None) =
        (words.next(), words.next(), words.next(), words.next(), words.next())
    else {
        return Err(bad());
    };
    let id = u64::from_str_radix(id, 16).map_err(|_| bad())?;
    let length: usize = length.parse().ok().filter(|length| *length <= LARGEST).ok_or_else(bad)?;
    let mut reply = Reply::bare(match word {
        "ok" => End::Ok(Vec::new()),
        "current" => End::Current,
        "nothing" => End::Nothing,
        "refused" => End::Refused,
        "error" => End::Error,
        "stale" => End::Stale,
        "yes" => End::Yes,
        "no" => End::No,
        _ => return Err(bad()),
    });
    for field in fields.split(',').filter(|field| *field != "-") {
        let (name, value) = field.split_once('=').ok_or_else(bad)?;
        match name {
            "res" => {
                let note = NOTES.iter().find(|(note, _)| *note == value);
                reply.detail = note.map_or(Detail::Untold, |(_, detail)| *detail);
            }
            "etag" => reply.etag = Some(value.into()),
            "gauges" => {
                for (name, value) in value.split(';').filter_map(|gauge| gauge.split_once(':')) {
                    let value = value.parse::<f64>().ok().filter(|value| value.is_finite());
                    match name {
                        "inflight" | "rif" => reply.inflight = value,
                        "util" | "busy" => reply.busy = value,
                        _ => {}
                    }
                }
            }
            _ => {}
        }
    }
    Ok(AnswerLine { id, reply, length })
}

/// Takes answers out of bytes that arrive in pieces.
#[derive(Default)]
struct Answers {
    line: Vec<u8>,
    open: Option<(AnswerLine, Vec<u8>)>,
}

impl Answers {
    /// Whether an answer has begun and is not whole.
    fn midway(&self) -> bool {
        self.open.is_some() || !self.line.is_empty()
    }

    fn take(&mut self, mut bytes: &[u8], done: &mut Vec<(u64, Reply)>) -> Result<(), String> {
        while !bytes.is_empty() {
            if let Some((head, body)) = &mut self.open {
                let (now, rest) = bytes.split_at(bytes.len().min(head.length + 2 - body.len()));
                body.extend_from_slice(now);
                bytes = rest;
                if body.len() == head.length + 2 {
                    if !body.ends_with(b"\r\n") {
                        return Err(format!("answer {:016x} is longer than told", head.id));
                    }
                    body.truncate(head.length);
                    let Some((head, body)) = self.open.take() else { return Ok(()) };
                    let mut reply = head.reply;
                    if let End::Ok(to) = &mut reply.end {
                        *to = body;
                    }
                    done.push((head.id, reply));
                }
                continue;
            }
            let end = bytes.iter().position(|byte| *byte == b'\n');
            let (now, rest) = bytes.split_at(end.map_or(bytes.len(), |end| end + 1));
            self.line.extend_from_slice(now);
            bytes = rest;
            if self.line.len() > LONGEST_LINE {
                return Err("answer line too long".into());
            }
            if end.is_some() {
                let line = self.line.strip_suffix(b"\r\n").ok_or("answer line without CR LF")?;
                let head = answer_line(line)?;
                let body = Vec::with_capacity(head.length + 2);
                self.open = Some((head, body));
                self.line.clear();
            }
        }
        Ok(())
    }
}

/// What a request is on this wire, whoever asked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pull {
    pub class: String,
    pub object: String,
    pub part: Option<String>,
    pub token: Option<String>,
    pub have: Option<String>,
    pub body: Vec<u8>,
}

impl Pull {
    /// The bytes of one attempt.
    fn bytes(&self, order: &Order, name: impl Fn(MemberId) -> Option<String>) -> Vec<u8> {
        let ms = |span: Micros| (span / 1_000).max(1);
        let mut fields = vec![format!("kind={}", self.class), format!("obj={}", self.object)];
        let mut add = |key: &str, value: Option<String>| {
            fields.extend(value.map(|value| format!("{key}={value}")));
        };
        add("seg", self.part.clone());
        add("ms", Some(ms(order.timeout).to_string()));
        add("token", self.token.clone());
        if let Some(fill) = order.fill {
            // A member that is named as its own source fills nothing: the same as none.
            add("src", fill.source.filter(|source| *source != order.member).and_then(name));
            add("keep", (fill.keep > 0).then(|| fill.keep.to_string()));
            // Rounded down: a copy as old as the purge must not slip in by a fraction.
            add("maxage", fill.max_age.map(|age| ms(age).to_string()));
            let flags = [(fill.join, "ride"), (fill.held_only, "have-only"), (fill.renew, "update")];
            let flags: Vec<&str> = flags.iter().filter(|(set, _)| *set).map(|(_, word)| *word).collect();
            add("flags", (!flags.is_empty()).then(|| flags.join("+")));
        }
        add("have", self.have.clone());
        let head = format!("PULL {:016x} {} {}\r\n", order.request.0, fields.join(","), self.body.len());
        [head.as_bytes(), &self.body, b"\r\n"].concat()
    }
}

enum Out {
    Send { id: u64, order: Order, bytes: Vec<u8> },
    Kill(u64),
    Close,
}

struct Pending<A> {
    attempt: u32,
    to: A,
    written: bool,
    asks: Asks,
}

struct ConnState<A> {
    pending: HashMap<u64, Pending<A>>,
    /// Ids given up or answered here: an old answer or an extra copy may still come, so a further attempt
    /// under the same id goes by another connection.
    ended: VecDeque<u64>,
    /// Takes nothing new.
    retired: bool,
    used: Instant,
    heard: Instant,
    midway: bool,
    /// How long it took to come up: there and back once at least.
    way: Duration,
    /// Its socket, once it is up. Reader and writer share the one descriptor.
    stream: Option<Arc<TcpStream>>,
}

impl<A> ConnState<A> {
    fn end(&mut self, id: u64) {
        if self.ended.len() >= ENDED_KEPT {
            self.ended.pop_front();
        }
        self.ended.push_back(id);
    }
}

struct Conn<A> {
    queue: mpsc::Sender<Out>,
    state: Mutex<ConnState<A>>,
}

impl<A: Answered> Conn<A> {
    /// Ends all that is open here: what was written may have run.
    fn fail_all(&self, unwritten: &End) {
        let ended: Vec<Pending<A>> = {
            let mut state = lock(&self.state);
            state.retired = true;
            state.pending.drain().map(|(_, pending)| pending).collect()
        };
        for pending in ended {
            let end = if pending.written { End::Reset } else { unwritten.clone() };
            pending.to.reply(pending.attempt, Reply::bare(end));
        }
    }

    fn deliver(&self, id: u64, reply: Reply) {
        let mut state = lock(&self.state);
        let Some(pending) = state.pending.remove(&id) else { return };
        state.end(id);
        drop(state);
        pending.to.reply(pending.attempt, Reply { end: pending.asks.end(reply.end), ..reply });
    }
}

struct Store<A> {
    name: String,
    at: Option<SocketAddr>,
    gone: Option<Instant>,
    conns: Vec<Arc<Conn<A>>>,
}

/// Whether an order may still go out, asked as its first byte is about to be written.
pub type Gate = Arc<dyn Fn(&Order) -> bool + Send + Sync>;

#[derive(Clone, Copy)]
pub struct Limits {
    pub streams: usize,
    pub connections: usize,
    pub connect: Duration,
    pub idle: Duration,
}

/// All stores by id, with their connections.
pub struct Stores<A> {
    table: Mutex<BTreeMap<MemberId, Store<A>>>,
    limits: Mutex<Limits>,
    gate: Gate,
    /// Connections that are not to be had now: the other process of this gateway holds them.
    taken: AtomicUsize,
}

/// An attempt that is out, to be withdrawn.
pub struct Ticket<A> {
    conn: Option<Arc<Conn<A>>>,
    id: u64,
    sent: Instant,
}

impl<A: Answered> Ticket<A> {
    /// How long a KILL, or the end of the connection, may be on its way to the store. What goes out by another
    /// connection before that could overtake it, and two attempts would be out at once.
    pub fn settles(&self) -> Duration {
        let way = self.conn.as_ref().map_or(Duration::ZERO, |conn| lock(&conn.state).way);
        way.clamp(SETTLES_LEAST, SETTLES_MOST)
    }

    /// Gives the attempt up, and says whether it had been sent. `silent`: it was waited for in vain; a
    /// connection that has said nothing since may lead to a machine that is gone, so new requests open
    /// another one.
    pub fn kill(self, silent: bool) -> bool {
        let Some(conn) = self.conn else { return false };
        let mut state = lock(&conn.state);
        let Some(pending) = state.pending.remove(&self.id) else { return false };
        if silent && pending.written && state.heard < self.sent {
            state.retired = true;
        }
        if pending.written {
            // A late answer to a check under this id must not pass for the next one's either.
            state.end(self.id);
            drop(state);
            if pending.asks != Asks::Echo {
                let _ = conn.queue.send(Out::Kill(self.id));
            }
        }
        pending.written
    }
}

impl<A: Answered> Stores<A> {
    pub fn new(limits: Limits, gate: Gate) -> Arc<Self> {
        Arc::new(Stores {
            table: Mutex::default(),
            limits: Mutex::new(limits),
            gate,
            taken: AtomicUsize::new(0),
        })
    }

    fn limits(&self) -> Limits {
        *lock(&self.limits)
    }

    /// What holds from now on, for connections that are there too.
    pub fn set_limits(&self, limits: Limits) {
        *lock(&self.limits) = limits;
    }

    /// Takes in a line of the list. Connections to another address than the new one are given up.
    pub fn list(&self, id: MemberId, name: &str, at: Option<SocketAddr>, gone: bool) {
        let mut table = lock(&self.table);
        let store =
            table.entry(id).or_insert_with(|| Store { name: name.into(), at, gone: None, conns: Vec::new() });
        store.gone = gone.then(|| store.gone.unwrap_or_else(Instant::now));
        if at.is_some() && store.at != at {
            store.at = at;
            store.conns.iter().for_each(|conn| lock(&conn.state).retired = true);
        }
    }

    /// All not named in a complete list are gone.
    pub fn all_gone(&self) {
        let now = Instant::now();
        lock(&self.table).values_mut().for_each(|store| store.gone = store.gone.or(Some(now)));
    }

    /// How many connections there are.
    pub fn connections(&self) -> usize {
        lock(&self.table).values().map(|store| store.conns.len()).sum()
    }

    /// Takes connections out of the budget until it is told otherwise.
    pub fn take_places(&self, taken: usize) {
        self.taken.store(taken, Ordering::SeqCst);
    }

    /// Whether a store of this name is listed, or was until lately: it may be on its way back.
    pub fn knows(&self, name: &str) -> bool {
        lock(&self.table).values().any(|store| store.name == name)
    }

    pub fn address(&self, id: MemberId) -> Option<SocketAddr> {
        lock(&self.table).get(&id).and_then(|store| store.at)
    }

    /// Sends an attempt.
    pub fn pull(self: &Arc<Self>, order: &Order, pull: &Pull, to: A) -> Ticket<A> {
        let names = |id: MemberId| lock(&self.table).get(&id).map(|store| store.name.clone());
        self.send(order, pull.bytes(order, names), Asks::Pull { have: pull.have.is_some() }, to)
    }

    /// Sends a check.
    pub fn echo(self: &Arc<Self>, order: &Order, to: A) -> Ticket<A> {
        self.send(order, format!("ECHO {:016x}\r\n", order.request.0).into_bytes(), Asks::Echo, to)
    }

    fn send(self: &Arc<Self>, order: &Order, bytes: Vec<u8>, asks: Asks, to: A) -> Ticket<A> {
        let id = order.request.0;
        let sent = Instant::now();
        let Some(conn) = self.connection(order.member, id) else {
            to.reply(order.attempt, Reply::bare(End::NotSent));
            return Ticket { conn: None, id, sent };
        };
        {
            let mut state = lock(&conn.state);
            state.used = sent;
            state.pending.insert(id, Pending { attempt: order.attempt, to, written: false, asks });
        }
        let _ = conn.queue.send(Out::Send { id, order: order.clone(), bytes });
        Ticket { conn: Some(conn), id, sent }
    }

    /// A connection with nothing open; where there is none a new one, and without descriptors for that the
    /// one with the least open.
    fn connection(self: &Arc<Self>, member: MemberId, id: u64) -> Option<Arc<Conn<A>>> {
        let limits = self.limits();
        let mut table = lock(&self.table);
        let total: usize = table.values().map(|store| store.conns.len()).sum();
        let store = table.get_mut(&member)?;
        let open = |conn: &&Arc<Conn<A>>| {
            let state = lock(&conn.state);
            // An answer under way that nobody waits for any more may never end, and others would wait behind it.
            let blocked = state.midway && state.pending.is_empty();
            let fits = !state.retired
                && !blocked
                && state.pending.len() < limits.streams
                && !state.pending.contains_key(&id)
                && !state.ended.contains(&id);
            // Of those with nothing open the last used, so that what is not needed comes to its idle end.
            fits.then_some((state.pending.len(), Reverse(state.used)))
        };
        let best = store.conns.iter().filter_map(|conn| Some((open(&conn)?, conn)));
        let best = best.min_by_key(|(open, _)| *open).map(|((open, _), conn)| (open, conn.clone()));
        // Descriptors are bounded, and one store that is silent must not take the others' share.
        let most = super::left_of(limits.connections, self.taken.load(Ordering::SeqCst));
        let room =
            total < most && store.conns.len() < PER_STORE.min(limits.connections) && store.at.is_some();
        match best {
            Some((open, conn)) if open == 0 || !room => return Some(conn),
            _ if !room => return None,
            _ => {}
        }
        let at = store.at?;
        let (queue, work) = mpsc::channel();
        let now = Instant::now();
        let state = ConnState {
            pending: HashMap::new(),
            ended: VecDeque::new(),
            retired: false,
            used: now,
            heard: now,
            midway: false,
            way: Duration::ZERO,
            stream: None,
        };
        let conn = Arc::new(Conn { queue, state: Mutex::new(state) });
        store.conns.push(conn.clone());
        let (stores, ours) = (self.clone(), conn.clone());
        super::spawn(move || {
            stores.run(&ours, at, &work);
            if let Some(store) = lock(&stores.table).get_mut(&member) {
                store.conns.retain(|conn| !Arc::ptr_eq(conn, &ours));
            }
        });
        Some(conn)
    }

    /// A connection's writer, from its opening to its end.
    fn run(&self, conn: &Arc<Conn<A>>, at: SocketAddr, work: &mpsc::Receiver<Out>) {
        let open = || -> io::Result<Arc<TcpStream>> {
            let stream = TcpStream::connect_timeout(&at, self.limits().connect)?;
            stream.set_nodelay(true)?;
            Ok(Arc::new(stream))
        };
        let began = Instant::now();
        let stream = match open() {
            Ok(stream) => stream,
            Err(e) => {
                log::debug!("store {at}: {e}");
                // For want of descriptors here the store was not even called: that is no word against it.
                let here = super::out_of_descriptors(&e);
                return conn.fail_all(if here { &End::NotSent } else { &End::Unreachable });
            }
        };
        {
            let mut state = lock(&conn.state);
            (state.heard, state.stream) = (Instant::now(), Some(stream.clone()));
            state.way = began.elapsed();
        }
        let (ours, reader) = (conn.clone(), stream.clone());
        super::spawn(move || {
            if let Err(e) = read_answers(&ours, &reader) {
                log::debug!("store {at}: {e}");
            }
            // A reset by a dying process, or a bad line: nothing more comes here. Closed first, as what is open
            // goes out again by other ways at once. What had not been written is no sign that the store can't
            // be reached.
            let _ = reader.shutdown(Shutdown::Both);
            ours.fail_all(&End::NotSent);
            let _ = ours.queue.send(Out::Close);
        });
        while let Ok(out) = work.recv() {
            let bytes = match out {
                Out::Close => break,
                Out::Kill(id) => format!("KILL {id:016x}\r\n").into_bytes(),
                Out::Send { id, order, bytes } => {
                    // Closed by the store while it was idle, though the reader has not run yet: of what is not
                    // written here it is sure that it never ran.
                    if has_ended(&stream) {
                        break;
                    }
                    // Rules on drains and purges: a send's time counts from its first byte, and the
                    // connection may have taken long to come up.
                    let allowed = (self.gate)(&order);
                    let current = {
                        let mut state = lock(&conn.state);
                        let pending = state.pending.get_mut(&id).filter(|it| it.attempt == order.attempt);
                        pending.map(|pending| pending.written = allowed).is_some()
                    };
                    match (current, allowed) {
                        (false, _) => continue,
                        (true, false) => {
                            conn.deliver(id, Reply::bare(End::NotSent));
                            continue;
                        }
                        (true, true) => bytes,
                    }
                }
            };
            if let Err(e) = write_out(&stream, &bytes) {
                log::debug!("store {at}: {e}");
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
        conn.fail_all(&End::NotSent);
        lock(&conn.state).stream = None;
    }

    /// Closes connections that are idle for long, that take nothing new and have nothing open, or whose answer
    /// under way has stopped short.
    pub fn sweep(&self, leaving: bool) {
        let now = Instant::now();
        // One that hands over needs few, and what it holds the other process lacks.
        let idle = if leaving { LEAVING_IDLE } else { self.limits().idle };
        let mut close = Vec::new();
        {
            let mut table = lock(&self.table);
            for store in table.values_mut() {
                for conn in &store.conns {
                    let mut state = lock(&conn.state);
                    let over = state.retired || store.gone.is_some() || now - state.used > idle;
                    if over && state.pending.is_empty() {
                        state.retired = true;
                        close.push(conn.clone());
                    } else if state.midway && now - state.heard > STALLED {
                        // The reader wakes up and ends all that is open there.
                        let _ = state.stream.as_ref().map(|stream| stream.shutdown(Shutdown::Both));
                    }
                }
            }
            let lately = |store: &Store<A>| store.gone.is_none_or(|at| now - at < GONE_KEPT);
            table.retain(|_, store| lately(store) || !store.conns.is_empty());
        }
        for conn in close {
            let _ = conn.queue.send(Out::Close);
        }
    }
}

fn read_answers<A: Answered>(conn: &Conn<A>, stream: &TcpStream) -> io::Result<()> {
    let (mut piece, mut answers, mut done) = (vec![0; PIECE], Answers::default(), Vec::new());
    loop {
        let read = match stream.inner().read(&mut piece) {
            Ok(0) => return Ok(()),
            Ok(read) => read,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                stream.wait_io();
                continue;
            }
            Err(e) => return Err(e),
        };
        let bad = answers.take(&piece[..read], &mut done);
        {
            let mut state = lock(&conn.state);
            (state.heard, state.midway) = (Instant::now(), answers.midway());
        }
        for (id, reply) in done.drain(..) {
            conn.deliver(id, reply);
        }
        bad.map_err(|text| io::Error::new(io::ErrorKind::InvalidData, text))?;
    }
}

/// Whether the store has closed or reset the connection, and nothing of an answer stands before that.
fn has_ended(stream: &TcpStream) -> bool {
    match stream.inner().peek(&mut [0]) {
        Ok(read) => read == 0,
        Err(e) => !matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted),
    }
}

/// Writes all, beside the reader that waits for the same socket's events: a full buffer, which is rare, is
/// looked at again and again.
fn write_out(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    let since = Instant::now();
    while !bytes.is_empty() {
        match stream.inner().write(bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => bytes = &bytes[written..],
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) if e.kind() == io::ErrorKind::WouldBlock && since.elapsed() < WRITE_STUCK => {
                may::coroutine::sleep(ROOM);
            }
            Err(e) => return Err(e),
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
