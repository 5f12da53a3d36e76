//! An event bus by long poll, as the protocol page describes it.

use crate::base::{Run, now_ms, sleep_ms};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// The numbered events; several addresses may tell the same ones.
#[derive(Default)]
pub struct Events {
    list: Mutex<Vec<String>>,
    changed: Condvar,
}

impl Events {
    /// Adds `"KEY":VALUE` as the next event, and returns its number.
    pub fn push(&self, run: &Run, event: &str) -> u64 {
        let mut list = self.list.lock().unwrap();
        let offset = list.len() as u64 + 1;
        run.rec(&format!("bus: event {offset}: {event}"));
        list.push(format!("{{\"offset\":{offset},{event}}}"));
        self.changed.notify_all();
        offset
    }

    /// The form that the configuration holds under `known`.
    pub fn known(&self) -> String {
        let list = self.list.lock().unwrap();
        format!("{{\"offset\":{},\"batch\":[{}]}}", list.len(), list.join(","))
    }
}

/// One address of the bus.
#[derive(Clone)]
pub struct Bus {
    pub address: SocketAddr,
    name: &'static str,
    run: Run,
    events: Arc<Events>,
    /// Another address has taken its place: it accepts no new connection and tells nothing further.
    replaced: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
    /// When each event was first told here, by number.
    told: Arc<Mutex<Vec<(u64, u64)>>>,
    calls: Arc<Mutex<u64>>,
}

impl Bus {
    pub fn new(run: &Run, name: &'static str, events: &Arc<Events>) -> Bus {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let bus = Bus {
            address: listener.local_addr().unwrap(),
            name,
            run: run.clone(),
            events: events.clone(),
            replaced: Arc::default(),
            open: Arc::default(),
            told: Arc::default(),
            calls: Arc::default(),
        };
        let accepting = bus.clone();
        std::thread::spawn(move || {
            while !accepting.replaced.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).unwrap();
                        accepting.open.lock().unwrap().push(stream.try_clone().unwrap());
                        let serving = accepting.clone();
                        std::thread::spawn(move || serving.serve(&stream));
                    }
                    Err(_) => sleep_ms(2),
                }
            }
        });
        bus
    }

    /// How many calls have come.
    pub fn calls(&self) -> u64 {
        *self.calls.lock().unwrap()
    }

    /// When an event was first told here, as Unix milliseconds.
    pub fn told(&self, offset: u64) -> Option<u64> {
        self.told.lock().unwrap().iter().find(|(last, _)| *last >= offset).map(|(_, at)| *at)
    }

    /// Another address takes its place from now on: what is open is closed after 1.5 s.
    pub fn replace(&self) {
        self.replaced.store(true, Ordering::SeqCst);
        let bus = self.clone();
        std::thread::spawn(move || {
            sleep_ms(1_500);
            bus.open.lock().unwrap().drain(..).for_each(|stream| drop(stream.shutdown(Shutdown::Both)));
            bus.run.rec(&format!("{}: open connections closed", bus.name));
        });
    }

    fn serve(&self, stream: &TcpStream) {
        let mut reader = BufReader::new(stream);
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return;
            }
            let target = line.clone();
            while line.trim_end() != "" {
                line.clear();
                if reader.read_line(&mut line).unwrap_or(0) == 0 {
                    return;
                }
            }
            *self.calls.lock().unwrap() += 1;
            let number = |key: &str| -> u64 {
                let rest = target.split_once(&format!("{key}=")).map_or("", |(_, rest)| rest);
                rest.split(['&', ' ']).next().and_then(|text| text.parse().ok()).unwrap_or(0)
            };
            let (from, hold) = (number("from"), Duration::from_millis(number("hold").min(5_000)));
            let began = Instant::now();
            let mut list = self.events.list.lock().unwrap();
            while list.len() as u64 <= from && began.elapsed() < hold {
                list = self.events.changed.wait_timeout(list, Duration::from_millis(10)).unwrap().0;
            }
            if self.replaced.load(Ordering::SeqCst) {
                drop(list);
                let _ = reader.read_line(&mut line);
                return;
            }
            let later = list.iter().skip(from as usize).cloned().collect::<Vec<_>>().join(",");
            let last = list.len() as u64;
            drop(list);
            let body = format!("{{\"offset\":{last},\"batch\":[{later}]}}");
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if (&mut &*stream).write_all((head + &body).as_bytes()).is_err() {
                return;
            }
            self.told.lock().unwrap().push((last, now_ms()));
        }
    }
}
