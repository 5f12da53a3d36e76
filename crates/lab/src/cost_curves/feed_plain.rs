//! One idle gateway from outside: the program itself follows a minimal event bus in this process, which issues purges at a
//! fixed rate and answers each long poll as soon as there is one.

use super::deployment::REPEATS;
use super::error::MeasurementError;
use super::figure::{Figure, Unit};
use super::gateway_settings;
use super::process::{Usage, usage};
use super::report::{RoleReport, role_report};
use crate::harness::fleet::is_live;
use serde_json::{Value, json};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};

/// Purges a second: none, those of two years from now, and ten times as many.
const RATES: &[u64] = &[0, 51, 510];
const STORES: u64 = 270;
/// The first event is the list of stores.
const LIST_OFFSET: u64 = 1;
const MEMORY_MB: u64 = 192;
const SOCKETS: u64 = 1_024;
const LIVE_TIMEOUT: Duration = Duration::from_secs(20);
const LIVE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Before the measurement: longer than a purge stays in force in the gateway.
const SETTLING: Duration = Duration::from_secs(8);
const MEASURED: Duration = Duration::from_secs(12);
const MAX_HEAD_BYTES: usize = 4 * 1_024;

/// What a bus has received and sent so far.
#[derive(Clone, Copy, Debug, Default)]
struct BusCounts {
    polls: u64,
    bytes_in: u64,
    bytes_out: u64,
}

/// A bus whose events follow from the time: one purge each `1 / rate` seconds.
struct Bus {
    rate: u64,
    began: Instant,
    polls: AtomicU64,
    bytes_in: AtomicU64,
    bytes_out: AtomicU64,
}

impl Bus {
    fn new(rate: u64) -> Bus {
        Bus {
            rate,
            began: Instant::now(),
            polls: AtomicU64::new(0),
            bytes_in: AtomicU64::new(0),
            bytes_out: AtomicU64::new(0),
        }
    }

    fn counts(&self) -> BusCounts {
        BusCounts {
            polls: self.polls.load(Ordering::Relaxed),
            bytes_in: self.bytes_in.load(Ordering::Relaxed),
            bytes_out: self.bytes_out.load(Ordering::Relaxed),
        }
    }

    /// The number of the latest event.
    fn latest(&self) -> u64 {
        LIST_OFFSET + (self.began.elapsed().as_secs_f64() * self.rate as f64) as u64
    }

    /// When the event of this number is issued. `None`: never.
    fn issued_at(&self, offset: u64) -> Option<Instant> {
        let number = offset.checked_sub(LIST_OFFSET)?;
        (self.rate > 0).then(|| self.began + Duration::from_secs_f64(number as f64 / self.rate as f64))
    }

    fn events_after(&self, from: u64) -> Value {
        let latest = self.latest().max(from);
        let now = sagearch_clock::unix_millis();
        let purge = |offset: u64| json!({"offset": offset, "ban": {"url": format!("object-{offset:010}"), "ts": now}});
        let batch: Vec<Value> = (from + 1..=latest).map(purge).collect();
        json!({"offset": latest, "batch": batch})
    }

    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buffer = Vec::new();
        while let Some(poll) = next_poll(&mut stream, &mut buffer).await? {
            self.polls.fetch_add(1, Ordering::Relaxed);
            self.bytes_in.fetch_add(poll.bytes as u64, Ordering::Relaxed);
            let held_until = Instant::now() + Duration::from_millis(poll.hold_ms);
            let until = self.issued_at(poll.from + 1).map_or(held_until, |issued| issued.min(held_until));
            tokio::time::sleep_until(until.into()).await;
            let body = self.events_after(poll.from).to_string();
            let response = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            stream.write_all(response.as_bytes()).await?;
            self.bytes_out.fetch_add(response.len() as u64, Ordering::Relaxed);
        }
        Ok(())
    }
}

/// A poll of the gateway.
struct Poll {
    from: u64,
    hold_ms: u64,
    /// Its length.
    bytes: usize,
}

/// Reads `GET /bus/read?from=N&hold=MS`. `None`: the caller has closed the connection.
async fn next_poll(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Poll>> {
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head: Vec<u8> = buffer.drain(..end + 4).collect();
            let not_a_poll = || io::Error::new(io::ErrorKind::InvalidData, "not a poll");
            return poll_of(&String::from_utf8_lossy(&head)).map(Some).ok_or_else(not_a_poll);
        }
        if buffer.len() > MAX_HEAD_BYTES {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "a head without an end"));
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
}

fn poll_of(head: &str) -> Option<Poll> {
    let query = head.strip_prefix("GET /bus/read?")?.split(' ').next()?;
    let number = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name)?.1.parse().ok()
    };
    Some(Poll { from: number("from")?, hold_ms: number("hold")?, bytes: head.len() })
}

/// A folder that is removed after the measurement.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        // A folder that stays is in the system's folder for such files.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The list of stores that the gateway is given at its start. Nobody listens there, and nothing is sent there.
fn initial_events() -> Value {
    let store = |number: u64| {
        json!({"instanceId": format!("s-{number:08x}"), "hostPort": format!("127.0.0.1:{}", 1_000 + number),
            "zone": "east", "machineType": "box", "cell": 0, "lifecycle": "up", "weight": 8.0, "startedAtMs": 0})
    };
    let instances: Vec<Value> = (1..=STORES).map(store).collect();
    json!({"offset": LIST_OFFSET, "batch": [{"offset": LIST_OFFSET,
        "topology": {"generation": 1, "reset": true, "instances": instances}}]})
}

/// Starts the gateway's program, which ends when this process does.
fn start(
    gateway: &Path,
    folder: &Path,
    listen: SocketAddr,
    bus: SocketAddr,
) -> Result<Child, MeasurementError> {
    let config = json!({
        "name": "g-1", "listen": listen.to_string(), "seed": "0000000000000007", "bus": bus.to_string(),
        "limits": {"memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "known": initial_events(), "settings": gateway_settings::object()?,
    });
    let path = folder.join("config.json");
    std::fs::write(&path, config.to_string())
        .map_err(MeasurementError::in_process(&path.display().to_string()))?;
    let launcher =
        std::env::current_exe().map_err(MeasurementError::in_process("the laboratory's program"))?;
    Command::new(launcher)
        .args(["leash", &std::process::id().to_string()])
        .arg(gateway)
        .env("NODE_CONFIG", path)
        .env("TMPDIR", folder)
        .env_remove("NODE_NAME")
        .env_remove("NODE_LISTEN")
        .env_remove("NODE_ADMIN")
        .current_dir(folder)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .kill_on_drop(true)
        .spawn()
        .map_err(MeasurementError::in_process(&gateway.display().to_string()))
}

async fn wait_until_live(at: SocketAddr) -> Result<(), MeasurementError> {
    let live = async {
        while !is_live(at).await {
            tokio::time::sleep(LIVE_POLL_INTERVAL).await;
        }
    };
    let waited = tokio::time::timeout(LIVE_TIMEOUT, live).await;
    waited.map_err(|_| MeasurementError::NotReached("the gateway is live"))
}

/// Measures one gateway at one rate.
async fn measure_one(gateway: &Path, rate: u64, repeat: usize) -> Result<Vec<Figure>, MeasurementError> {
    let name = format!("sagearch-slopes-{}-{rate}-{repeat}", std::process::id());
    let folder = Folder(std::env::temp_dir().join(name));
    std::fs::create_dir_all(&folder.0)
        .map_err(MeasurementError::in_process(&folder.0.display().to_string()))?;
    let listener =
        TcpListener::bind("127.0.0.1:0").await.map_err(MeasurementError::in_process("the event bus"))?;
    let bus_address = listener.local_addr().map_err(MeasurementError::in_process("the event bus"))?;
    let bus = Arc::new(Bus::new(rate));
    let serving = bus.clone();
    let accepting = tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let bus = serving.clone();
            tokio::spawn(async move { bus.serve(stream).await });
        }
    });
    // A port that is free now; nobody else on this machine is given one at random in the next moment.
    let free = std::net::TcpListener::bind("127.0.0.1:0").and_then(|listener| listener.local_addr());
    let listen = free.map_err(MeasurementError::in_process("a free port"))?;
    let mut child = start(gateway, &folder.0, listen, bus_address)?;
    let process = child.id().ok_or(MeasurementError::NotReached("the gateway runs"))?;
    wait_until_live(listen).await?;
    tokio::time::sleep(SETTLING).await;
    let before = Reading::now(process, &bus)?;
    tokio::time::sleep(MEASURED).await;
    let after = Reading::now(process, &bus)?;
    accepting.abort();
    child.kill().await.map_err(MeasurementError::in_process("the gateway"))?;
    if after.bus.polls == before.bus.polls {
        return Err(MeasurementError::NotReached("the gateway follows the bus"));
    }
    Ok(figures(&before, &after))
}

/// A gateway and its bus at one time.
struct Reading {
    at: Instant,
    usage: Usage,
    bus: BusCounts,
}

impl Reading {
    fn now(process: u32, bus: &Bus) -> Result<Reading, MeasurementError> {
        Ok(Reading { at: Instant::now(), usage: usage(process)?, bus: bus.counts() })
    }
}

fn figures(before: &Reading, after: &Reading) -> Vec<Figure> {
    let seconds = (after.at - before.at).as_secs_f64();
    let rate = |before: u64, after: u64| (after - before) as f64 / seconds;
    let processor = after.usage.processor.saturating_sub(before.usage.processor).as_secs_f64();
    let wake_ups = rate(before.usage.voluntary_switches, after.usage.voluntary_switches);
    let resident = after.usage.resident_bytes;
    let (before, after) = (before.bus, after.bus);
    vec![
        Figure::new("calls of the bus", Unit::PerSecond, rate(before.polls, after.polls)),
        Figure::new("bytes out", Unit::KilobytesPerSecond, rate(before.bytes_in, after.bytes_in) / 1e3),
        Figure::new("bytes in", Unit::KilobytesPerSecond, rate(before.bytes_out, after.bytes_out) / 1e3),
        Figure::new("processor", Unit::PercentOfCore, processor / seconds * 100.0),
        Figure::new("wake-ups", Unit::PerSecond, wake_ups),
        Figure::new("resident memory", Unit::Megabytes, resident as f64 / 1e6),
    ]
}

/// Measures all rates, one after the other. Directions are the gateway's.
///
/// # Errors
///
/// Where the gateway can't be started, or does not follow the bus.
pub async fn measure(gateway: &Path) -> Result<RoleReport, MeasurementError> {
    let mut runs = Vec::new();
    for rate in RATES {
        let mut repeats = Vec::new();
        for repeat in 0..REPEATS {
            repeats.push(measure_one(gateway, *rate, repeat).await?);
        }
        runs.push((*rate, repeats));
    }
    Ok(role_report("feed-plain", "purges a second on a plain long-poll bus", &runs, None))
}

#[cfg(test)]
mod tests;
