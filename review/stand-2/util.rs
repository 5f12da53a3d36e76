//! Time, random numbers, the record, and processes.

use std::fs::File;
use std::io::Write;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{SystemTime, UNIX_EPOCH};

/// Microseconds since the Unix epoch.
pub fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_micros() as u64
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(std::time::Duration::from_millis(ms));
}

/// A small generator of random numbers (xorshift).
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// A number below `bound`.
    pub fn below(&mut self, bound: u64) -> u64 {
        (self.next() >> 11) % bound.max(1)
    }
}

/// The file in which a case notes what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: u64,
}

impl Record {
    pub fn create(path: &str) -> Record {
        Record { file: Arc::new(Mutex::new(File::create(path).expect("record"))), began: now() }
    }

    /// Notes a line under the milliseconds since the beginning.
    pub fn note(&self, line: &str) {
        let micros = now().saturating_sub(self.began);
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} ms  {line}", micros as f64 / 1e3);
    }

    /// Notes a line, and prints it.
    pub fn say(&self, line: &str) {
        self.note(line);
        let _ = writeln!(std::io::stdout(), "{line}");
    }
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;

/// A process that the case has started. It is killed when this is dropped.
pub struct Process {
    pub child: Child,
}

impl Process {
    /// Starts a command by `/bin/sh -c` from the root, with these variables and no others beside `PATH`.
    pub fn start(command: &str, variables: &[(&str, String)], log: &str) -> Process {
        let log = File::options().create(true).append(true).open(log).expect("log");
        let mut shell = Command::new("/bin/sh");
        shell.arg("-c").arg(command).current_dir(root()).env_clear();
        shell.env("PATH", std::env::var("PATH").unwrap_or_default());
        shell.envs(variables.iter().map(|(key, value)| (*key, value.as_str())));
        shell.stdin(Stdio::null()).stdout(log.try_clone().expect("log")).stderr(log);
        let child = shell.spawn().expect("process");
        let pids = File::options().create(true).append(true).open(format!("{}/pids", work()));
        let _ = pids.and_then(|mut pids| writeln!(pids, "{}", child.id()));
        Process { child }
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the process is a child that has not been waited for.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Whether it has ended.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    pub fn kill_now(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill_now();
    }
}

/// The root of the repository.
pub fn root() -> String {
    std::env::var("ROOT").expect("ROOT")
}

/// A command of the deploy file.
pub fn deploy_command(key: &str) -> String {
    let text = std::fs::read_to_string(format!("{}/deploy/balancer.toml", root())).expect("deploy file");
    let prefix = format!("{key} = \"");
    let line = text.lines().find_map(|line| line.strip_prefix(&prefix)).expect("command");
    line[..line.find('"').expect("command")].into()
}

/// A free loopback port, below those that the system gives to outgoing connections.
pub fn free_port() -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = NEXT.fetch_add(1, Ordering::SeqCst) + std::process::id().wrapping_mul(97);
        let port = 12_000 + (number % 18_000) as u16;
        if std::net::TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

/// Whether the run has its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The temporary folder of the run, made by `run.sh`.
pub fn work() -> String {
    std::env::var("WORK").expect("WORK")
}

/// Ends the case: 0 the rule held, 1 it was broken, 2 the case could not run.
pub fn verdict(record: &Record, broken: &[String], evidence: bool) -> ! {
    for line in broken.iter().take(20) {
        record.say(&format!("BROKEN {line}"));
    }
    if broken.len() > 20 {
        record.say(&format!("and {} more", broken.len() - 20));
    }
    let code = if !broken.is_empty() {
        1
    } else if evidence {
        0
    } else {
        2
    };
    record.say(match code {
        1 => "verdict: the rule was broken",
        0 => "verdict: the rule held",
        _ => "verdict: the case could not run",
    });
    std::process::exit(code)
}
