//! Time, the record, processes, and an HTTP client.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn dup2(from: i32, to: i32) -> i32;
    fn prctl(option: i32, a: u64, b: u64, c: u64, d: u64) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// What a case is run with.
#[derive(Clone)]
pub struct Run {
    pub root: PathBuf,
    pub tmp: PathBuf,
    pub trouble: bool,
    began: u64,
    record: Arc<Mutex<File>>,
}

impl Run {
    pub fn new(root: &str, tmp: &str, record: &str) -> Run {
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let record = Arc::new(Mutex::new(File::create(record).expect("record")));
        let run = Run { root: root.into(), tmp: tmp.into(), trouble, began: now_ms(), record };
        run.rec(&format!("START with TROUBLE={}; times are milliseconds since the start", u8::from(trouble)));
        run
    }

    /// Milliseconds since the start.
    pub fn at(&self) -> u64 {
        now_ms() - self.began
    }

    pub fn since(&self, unix_ms: u64) -> u64 {
        unix_ms.saturating_sub(self.began)
    }

    pub fn rec(&self, line: &str) {
        let mut file = self.record.lock().unwrap();
        let _ = writeln!(file, "{:>7} {line}", self.at());
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.tmp.join(name)
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.path(name);
        if let Some(folder) = path.parent() {
            std::fs::create_dir_all(folder).unwrap();
        }
        // Replaced as a whole, as an operator would.
        let new = path.with_extension("new");
        std::fs::write(&new, text).unwrap();
        std::fs::rename(&new, &path).unwrap();
        path
    }
}

static PIDS: Mutex<Vec<i32>> = Mutex::new(Vec::new());

/// Ends all processes that are still running.
pub fn end_all() {
    for pid in PIDS.lock().unwrap().drain(..) {
        unsafe { kill(pid, SIGKILL) };
    }
}

/// A process of the project. To be started from the main thread only.
pub struct Process {
    child: Child,
    name: String,
    run: Run,
}

impl Process {
    /// Starts `command` by `/bin/sh -c` from the repository's root, with its output in the file `NAME.log`.
    pub fn start(run: &Run, name: &str, command: &str, env: &[(&str, String)]) -> Process {
        Process::start_with(run, name, command, env, None)
    }

    /// The same, with a socket that it inherits as descriptor 4.
    pub fn start_with(
        run: &Run,
        name: &str,
        command: &str,
        env: &[(&str, String)],
        socket: Option<i32>,
    ) -> Process {
        let log = File::options().create(true).append(true).open(run.path(&format!("{name}.log"))).unwrap();
        let mut shell = Command::new("/bin/sh");
        shell.arg("-c").arg(command).current_dir(&run.root).stdin(Stdio::null());
        shell.stdout(log.try_clone().unwrap()).stderr(log);
        shell.env_remove("NODE_SOCKET_FD").env_remove("NODE_ADMIN").env_remove("TMPDIR");
        for (key, value) in env {
            shell.env(key, value);
        }
        unsafe {
            shell.pre_exec(move || {
                if let Some(socket) = socket {
                    dup2(socket, 4);
                }
                // It ends with this process, whatever ends that.
                prctl(1, SIGKILL as u64, 0, 0, 0);
                Ok(())
            });
        }
        let child = shell.spawn().expect("a process");
        PIDS.lock().unwrap().push(child.id() as i32);
        run.rec(&format!("{name}: started, process {}: {command}", child.id()));
        Process { child, name: name.into(), run: run.clone() }
    }

    pub fn signal(&self, signal: i32) {
        self.run.rec(&format!("{}: signal {signal}", self.name));
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn kill(mut self) {
        self.signal(SIGKILL);
        let _ = self.child.wait();
        let pid = self.child.id() as i32;
        PIDS.lock().unwrap().retain(|other| *other != pid);
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Whether the process's output holds a text.
    pub fn logged(&self, text: &str) -> bool {
        std::fs::read_to_string(self.run.path(&format!("{}.log", self.name)))
            .is_ok_and(|log| log.contains(text))
    }
}

/// Copies the lines of a log that hold one of the words into the record.
pub fn quote_log(run: &Run, name: &str, words: &[&str]) {
    let log = std::fs::read_to_string(run.path(&format!("{name}.log"))).unwrap_or_default();
    for line in log.lines().filter(|line| words.iter().any(|word| line.contains(word))).take(20) {
        run.rec(&format!("log of {name}: {line}"));
    }
}

/// Runs a command of the project to its end, and returns its standard output.
pub fn command(run: &Run, words: &[&str]) -> Result<String, String> {
    let output = Command::new(run.root.join(words[0]))
        .args(&words[1..])
        .current_dir(&run.root)
        .stdin(Stdio::null())
        .output()
        .map_err(|e| format!("{}: {e}", words[0]))?;
    let text = String::from_utf8_lossy(&output.stdout).trim().to_string();
    if !output.status.success() {
        return Err(format!("{words:?}: {text} {}", String::from_utf8_lossy(&output.stderr).trim()));
    }
    Ok(text)
}

/// A free port for TCP and UDP.
pub fn free_address() -> SocketAddr {
    loop {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A request id that was not used before.
pub fn new_id() -> String {
    let id = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    let mixed = (id ^ now_ms().rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    format!("{mixed:016x}")
}

pub struct Response {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// One HTTP request on a connection of its own.
pub fn http(to: SocketAddr, head: &str, body: &[u8], wait: Duration) -> Result<Response, String> {
    let mut stream = TcpStream::connect_timeout(&to, wait).map_err(|e| e.to_string())?;
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    stream.write_all(&[head.as_bytes(), body].concat()).map_err(|e| e.to_string())?;
    let began = Instant::now();
    let mut bytes = Vec::new();
    let mut chunk = [0; 8192];
    loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&bytes[..end]).to_string();
            let mut lines = text.split("\r\n");
            let status =
                lines.next().and_then(|line| line.split(' ').nth(1)).and_then(|code| code.parse().ok());
            let headers: BTreeMap<String, String> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string()))
                .collect();
            let length = headers.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            if bytes.len() >= end + 4 + length {
                let body = bytes[end + 4..end + 4 + length].to_vec();
                return Ok(Response { status: status.ok_or("no status")?, headers, body });
            }
        }
        let left = wait.saturating_sub(began.elapsed());
        if left.is_zero() {
            return Err("no whole answer in time".into());
        }
        stream.set_read_timeout(Some(left)).map_err(|e| e.to_string())?;
        match stream.read(&mut chunk) {
            Ok(0) => return Err("the connection ended without a whole answer".into()),
            Ok(read) => bytes.extend_from_slice(&chunk[..read]),
            Err(e) => return Err(e.to_string()),
        }
    }
}

/// The head of a client's request, as the protocol page shows it.
pub fn object_head(method: &str, target: &str, wait_ms: u64, extra: &str, length: usize) -> (String, String) {
    let id = new_id();
    let length = if method == "PUT" { format!("Content-Length: {length}\r\n") } else { String::new() };
    let head = format!(
        "{method} /svc/{target} HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {id}\r\nReq-Wait-Ms: {wait_ms}\r\n\
         X-Family: 11\r\nReq-Kb: 100\r\n{extra}{length}\r\n"
    );
    (id, head)
}

/// Waits until `/status/live` is answered with 200, as the front does.
pub fn wait_live(listen: SocketAddr) -> Result<(), String> {
    let head = "GET /status/live HTTP/1.1\r\nHost: service.internal\r\n\r\n";
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(20) {
        if http(listen, head, b"", Duration::from_secs(1)).is_ok_and(|answer| answer.status == 200) {
            return Ok(());
        }
        sleep_ms(20);
    }
    Err("the gateway is not ready".into())
}

/// The classes of the wire page's example of the settings.
pub const GUIDE_VIDEO: &str = r#"{"Aim": 500000, "AimStretch": 1.6, "Credit": 2.0, "Deadline": 6000000, "Effect": "free", "Group": "all", "LateValue": 0.15, "MemorySpan": 5000000, "Name": "guide-video", "Streamed": false}"#;
pub const FORM_ASSETS: &str = r#"{"Aim": 300000, "AimStretch": 2.0, "Credit": 1.0, "Deadline": 2500000, "Effect": "free", "Group": "all", "LateValue": 0.2, "MemorySpan": 5000000, "Name": "form-assets", "Streamed": false}"#;
pub const ACTIVATION_SUBMIT: &str = r#"{"Aim": 700000, "Credit": 3.0, "Deadline": 3000000, "Effect": "guarded", "Group": "all", "LateValue": 0.0, "MemorySpan": 3000000, "Name": "activation-submit", "Streamed": false}"#;

/// The settings of the wire page's example, for these classes and one gateway. `passed_on`: how many of the classes,
/// from the end, run at the origin.
pub fn settings(classes: &[&str], passed_on: usize) -> String {
    let kept = classes.len() - passed_on;
    let list = |of: &dyn Fn(usize) -> &'static str| -> String {
        (0..classes.len()).map(of).collect::<Vec<_>>().join(",")
    };
    let fresh = list(&|index| if index == 1 { "8000000" } else { "0" });
    let stale = list(&|_| "0");
    let pass_on = list(&|index| if index < kept { "false" } else { "true" });
    let segmented = list(&|index| if index == 0 { "true" } else { "false" });
    let worth = list(&|_| "0.7");
    format!(
        r#"{{"Classes": [{}], "Clients": {{"MarksRetry": false}}, "Discovery": "push", "Family": "edge",
 "FamilyInfo": {{"AgedWorth": [{worth}], "AttachedTo": [0, 1, 2, 0], "ByteFee": 0.04, "ClassFresh": [{fresh}], "Collapses": true, "InletKbPerS": [0.0, 0.0, 0.0, 0.0], "MidKind": 2, "NoticeTime": 300000, "OriginLimitFactor": 0.0, "OriginOverFor": 3000000, "PaceKbPerS": 4200.0, "ParentCold": 22000000, "ParentLimitFactor": 2.0, "PassOn": [{pass_on}], "PurgeTakes": 6000000, "ReportX0": "share of hits, lately", "ReportX1": "", "Says": "all", "Segmented": [{segmented}], "Sideways": "any", "SourceKind": 3, "StaleFor": [{stale}], "Straight": true, "UpperColdFrom": 0.065, "ZoneBalancers": [0, 0, 0, 1]}},
 "Fees": {{"Connection": 0.0, "CrossZone": 0.01, "Discovery": 0.0, "Handshake": 0.0, "LateFail": 0.08, "Moves": 0.0, "Origin": 0.08, "Peer": 0.01, "Probe": 0.012, "Waste": 0.024}},
 "Goal": {{"Whole": 0.4, "WorstClass": 0.2, "WorstTenant": 0.0, "WorstWindow": 0.4}}, "Instances": 1,
 "Kinds": ["small-box", "large-box", "parent", "origin"],
 "Limits": {{"ConnectTimeout": 400000, "CpuUsPerRequest": 0.0, "CpuUsPerS": 400000, "Keepalive": 30000000, "MaxOpen": 20000, "MaxRetryAfter": 2000000, "MayCancel": true, "Peers": true, "Probes": true, "RetryAfter": false, "SecondCopies": false, "SendCap": 6, "StreamsPerConn": 100}},
 "Obligations": {{"AnswerSlack": 8000, "AskEvery": 10000000, "DrainGrace": 1000000, "Fall": 3000000, "FallMultiple": 2.5, "StartCapacity": 0.15, "WarmUp": 13000000}},
 "OverShareWorth": 0.1, "Rank": 0, "Report": {{"Fields": ["rif", "x0"], "Source": "pull"}}, "Tenants": [], "Tick": 2000, "Tier": 0, "Tiers": ["outlet-caches"], "WeightKind": "rough", "WorthBy": "request", "Zone": "edge-1", "Zones": ["north", "central", "south", "edge-1"]}}"#,
        classes.join(", ")
    )
}

/// The configuration of a gateway, as the deployment page shows it.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub admin: Option<SocketAddr>,
    pub bus: SocketAddr,
    pub known: String,
    pub settings: String,
}

impl Config {
    pub fn json(&self) -> String {
        let admin = self.admin.map_or(String::new(), |admin| format!("\"admin\":\"{admin}\","));
        format!(
            r#"{{"name":"{}","listen":"{}",{admin}"seed":"8c1f30d27a5be964","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"peer_listen":"127.0.0.1:7946","peers":["127.0.0.1:7946"],"peers_all":"127.0.0.1:7947",
"bus":"{}","flow_bytes_per_s":310000,"link_bytes_per_s":1240000,"known":{},"settings":{}}}"#,
            self.name, self.listen, self.bus, self.known, self.settings
        )
    }
}

/// Starts a gateway beside another process of it: both share a `$TMPDIR` and the clients' socket.
pub fn start_gateway_beside(
    run: &Run,
    name: &str,
    config: &Path,
    operators: Option<&Path>,
    lasting: &Path,
    socket: &TcpListener,
) -> Process {
    use std::os::fd::AsRawFd;
    let env = [
        ("NODE_CONFIG", config.display().to_string()),
        ("TMPDIR", lasting.display().to_string()),
        ("NODE_SOCKET_FD", "4".to_string()),
    ];
    Process::start_with(run, name, &gateway_command(run, operators), &env, Some(socket.as_raw_fd()))
}

/// The command of the deploy file; `operators`: the operators' file, named as the README says.
fn gateway_command(run: &Run, operators: Option<&Path>) -> String {
    let deploy = std::fs::read_to_string(run.root.join("deploy/balancer.toml")).unwrap();
    let line = deploy.lines().find_map(|line| line.strip_prefix("run = ")).unwrap();
    let command = line.trim().trim_matches('"');
    operators.map_or(command.to_string(), |file| format!("{command} --operators {}", file.display()))
}

/// Starts a gateway with the command of the deploy file, with a `$TMPDIR` of its own that is empty.
pub fn start_gateway(run: &Run, name: &str, config: &Path, operators: Option<&Path>) -> Process {
    let command = gateway_command(run, operators);
    let lasting = run.path(&format!("{name}-tmpdir-{}", now_ms()));
    std::fs::create_dir_all(&lasting).unwrap();
    let env = [("NODE_CONFIG", config.display().to_string()), ("TMPDIR", lasting.display().to_string())];
    Process::start(run, name, &command, &env)
}
