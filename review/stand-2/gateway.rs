//! Gateways as the platform starts them, and clients.

use crate::util::*;
use crate::world::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

/// A request class of the settings.
#[derive(Clone)]
pub struct Class {
    pub name: &'static str,
    /// `free`, `guarded` or `single_shot`.
    pub effect: &'static str,
    /// For `guarded`: `all`, `zone` or `cell`.
    pub group: &'static str,
    pub deadline_ms: u64,
    pub memory_ms: u64,
    pub fresh_ms: u64,
    pub pass_on: bool,
}

/// What a case may change in the settings, which are those of the example on the wire page otherwise.
#[derive(Clone)]
pub struct Settings {
    pub classes: Vec<Class>,
    pub instances: usize,
    pub send_cap: u32,
    pub second_copies: bool,
    pub probes: bool,
    pub straight: bool,
    pub drain_ms: u64,
    pub notice_ms: u64,
    pub purge_takes_ms: u64,
}

pub const CLASSES: [Class; 3] = [
    Class {
        name: "guide-video",
        effect: "free",
        group: "all",
        deadline_ms: 6_000,
        memory_ms: 5_000,
        fresh_ms: 0,
        pass_on: false,
    },
    Class {
        name: "form-assets",
        effect: "free",
        group: "all",
        deadline_ms: 2_500,
        memory_ms: 5_000,
        fresh_ms: 8_000,
        pass_on: false,
    },
    Class {
        name: "activation-submit",
        effect: "guarded",
        group: "all",
        deadline_ms: 3_000,
        memory_ms: 3_000,
        fresh_ms: 0,
        pass_on: true,
    },
];

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            classes: CLASSES.to_vec(),
            instances: 1,
            send_cap: 6,
            second_copies: false,
            probes: true,
            straight: true,
            drain_ms: 1_000,
            notice_ms: 300,
            purge_takes_ms: 6_000,
        }
    }
}

fn list<T>(items: &[T], text: impl Fn(&T) -> String) -> String {
    items.iter().map(text).collect::<Vec<_>>().join(",")
}

impl Settings {
    pub fn json(&self) -> String {
        let classes = list(&self.classes, |class| {
            format!(
                "{{\"Aim\":500000,\"AimStretch\":2.0,\"Credit\":1.0,\"Deadline\":{},\"Effect\":\"{}\",\"Group\":\"{}\",\
                 \"LateValue\":0.1,\"MemorySpan\":{},\"Name\":\"{}\",\"Streamed\":false}}",
                class.deadline_ms * 1_000,
                class.effect,
                class.group,
                class.memory_ms * 1_000,
                class.name
            )
        });
        let fresh = list(&self.classes, |class| (class.fresh_ms * 1_000).to_string());
        let pass_on = list(&self.classes, |class| class.pass_on.to_string());
        let none = list(&self.classes, |_| "0".into());
        let aged = list(&self.classes, |_| "0.7".into());
        let parts = list(&self.classes, |_| "false".into());
        let n = self.instances;
        format!(
            "{{\"Classes\":[{classes}],\"Clients\":{{\"MarksRetry\":false}},\"Discovery\":\"push\",\"Family\":\"edge\",\
             \"FamilyInfo\":{{\"AgedWorth\":[{aged}],\"AttachedTo\":[0,0],\"ByteFee\":0.04,\"ClassFresh\":[{fresh}],\
             \"Collapses\":true,\"InletKbPerS\":[0.0,0.0],\"MidKind\":2,\"NoticeTime\":{},\"OriginLimitFactor\":0.0,\
             \"OriginOverFor\":3000000,\"PaceKbPerS\":4200.0,\"ParentCold\":22000000,\"ParentLimitFactor\":2.0,\
             \"PassOn\":[{pass_on}],\"PurgeTakes\":{},\"ReportX0\":\"\",\"ReportX1\":\"\",\"Says\":\"all\",\
             \"Segmented\":[{parts}],\"Sideways\":\"any\",\"SourceKind\":3,\"StaleFor\":[{none}],\"Straight\":{},\
             \"UpperColdFrom\":0.065,\"ZoneBalancers\":[0,{n}]}},\
             \"Fees\":{{\"Connection\":0.0,\"CrossZone\":0.01,\"Discovery\":0.0,\"Handshake\":0.0,\"LateFail\":0.08,\
             \"Moves\":0.0,\"Origin\":0.08,\"Peer\":0.01,\"Probe\":0.012,\"Waste\":0.024}},\
             \"Goal\":{{\"Whole\":0.4,\"WorstClass\":0.2,\"WorstTenant\":0.0,\"WorstWindow\":0.4}},\"Instances\":{n},\
             \"Kinds\":[\"small-box\",\"large-box\",\"parent\",\"origin\"],\
             \"Limits\":{{\"ConnectTimeout\":400000,\"CpuUsPerRequest\":0.0,\"CpuUsPerS\":400000,\"Keepalive\":30000000,\
             \"MaxOpen\":20000,\"MaxRetryAfter\":2000000,\"MayCancel\":true,\"Peers\":true,\"Probes\":{},\
             \"RetryAfter\":false,\"SecondCopies\":{},\"SendCap\":{},\"StreamsPerConn\":100}},\
             \"Obligations\":{{\"AnswerSlack\":8000,\"AskEvery\":10000000,\"DrainGrace\":{},\"Fall\":3000000,\
             \"FallMultiple\":2.5,\"StartCapacity\":0.15,\"WarmUp\":13000000}},\"OverShareWorth\":0.1,\"Rank\":0,\
             \"Report\":{{\"Fields\":[\"rif\",\"x0\"],\"Source\":\"pull\"}},\"Tenants\":[],\"Tick\":2000,\"Tier\":0,\
             \"Tiers\":[\"outlet-caches\"],\"WeightKind\":\"rough\",\"WorthBy\":\"request\",\"Zone\":\"edge-1\",\
             \"Zones\":[\"north\",\"edge-1\"]}}",
            self.notice_ms * 1_000,
            self.purge_takes_ms * 1_000,
            self.straight,
            self.probes,
            self.second_copies,
            self.send_cap,
            self.drain_ms * 1_000,
        )
    }
}

/// A gateway, with all that it is started with.
pub struct Gateway {
    pub process: Option<Process>,
    pub name: String,
    pub port: u16,
    pub admin: u16,
    pub bus: u16,
    folder: String,
    operators: Option<String>,
    starts: u64,
}

impl Gateway {
    pub fn new(world: &Arc<World>, name: &str, operators: Option<&str>) -> Gateway {
        let folder = format!("{}/{name}", work());
        std::fs::create_dir_all(format!("{folder}/tmp")).expect("folder");
        let operators = operators.map(|text| {
            let path = format!("{folder}/gateway.kdl");
            std::fs::write(&path, text).expect("operators' file");
            path
        });
        Gateway {
            process: None,
            name: name.into(),
            port: free_port(),
            admin: free_port(),
            bus: world.start_bus(),
            folder,
            operators,
            starts: 0,
        }
    }

    pub fn path(&self, file: &str) -> String {
        format!("{}/{file}", self.folder)
    }

    /// Writes the configuration, as the platform does before a start or a SIGHUP.
    pub fn configure(&self, world: &World, settings: &Settings, seed: u64) {
        let (_, known) = world.bus.batch(0);
        let text = format!(
            "{{\"name\":\"{}\",\"listen\":\"127.0.0.1:{}\",\"admin\":\"127.0.0.1:{}\",\"seed\":\"{:016x}\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"bus\":\"127.0.0.1:{}\",\
             \"flow_bytes_per_s\":310000,\"link_bytes_per_s\":1240000,\"known\":{known},\"settings\":{}}}",
            self.name,
            self.port,
            self.admin,
            seed,
            self.bus,
            settings.json()
        );
        let temporary = self.path("config.json.new");
        std::fs::write(&temporary, text).expect("config");
        std::fs::rename(temporary, self.path("config.json")).expect("config");
    }

    /// Starts the gateway with the command of the deploy file, and waits until it is live.
    pub fn start(&mut self, world: &World, settings: &Settings) -> bool {
        self.starts += 1;
        self.configure(world, settings, 0x1234_5678_9abc_def0 ^ self.starts);
        let command = match &self.operators {
            Some(path) => format!("{} --operators {path}", deploy_command("run")),
            None => deploy_command("run"),
        };
        let variables = [
            ("NODE_NAME", self.name.clone()),
            ("NODE_LISTEN", format!("127.0.0.1:{}", self.port)),
            ("NODE_ADMIN", format!("127.0.0.1:{}", self.admin)),
            ("NODE_CONFIG", self.path("config.json")),
            ("TMPDIR", self.path("tmp")),
        ];
        self.process = Some(Process::start(&command, &variables, &self.path("log.txt")));
        world.record.note(&format!("{} starts", self.name));
        let began = now();
        while now() < began + 10_000_000 {
            let answer =
                call(self.port, "GET /status/live HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n", 1_000);
            if answer.is_ok_and(|answer| answer.status == 200) {
                world.record.note(&format!("{} is live", self.name));
                return true;
            }
            sleep_ms(10);
        }
        false
    }

    pub fn signal(&self, world: &World, signal: i32) {
        world.record.note(&format!("{} gets signal {signal}", self.name));
        if let Some(process) = &self.process {
            process.signal(signal);
        }
    }
}

/// An answer to a client.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub tag: String,
    pub body: Vec<u8>,
}

/// Opens a connection, sends the bytes, and reads one answer.
pub fn call(port: u16, bytes: &str, wait_ms: u64) -> std::io::Result<Answer> {
    let mut stream = TcpStream::connect(("127.0.0.1", port))?;
    stream.set_nodelay(true)?;
    stream.write_all(bytes.as_bytes())?;
    read_answer(&mut stream, wait_ms)
}

pub fn read_answer(stream: &mut TcpStream, wait_ms: u64) -> std::io::Result<Answer> {
    let until = now() + wait_ms * 1_000;
    let mut bytes = Vec::new();
    let mut chunk = [0; 16 * 1024];
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let status: u16 = head.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
            let field = |name: &str| {
                head.lines().find_map(|line| {
                    let (key, value) = line.split_once(':')?;
                    key.eq_ignore_ascii_case(name).then(|| value.trim().to_string())
                })
            };
            let length = field("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            if bytes.len() >= end + 4 + length {
                let tag = field("etag").unwrap_or_default().trim_matches('"').to_string();
                return Ok(Answer { status, tag, body: bytes[end + 4..end + 4 + length].to_vec() });
            }
        }
        let left = until.saturating_sub(now()).max(1_000);
        stream.set_read_timeout(Some(Duration::from_micros(left)))?;
        match stream.read(&mut chunk)? {
            0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
            read => bytes.extend_from_slice(&chunk[..read]),
        }
        if now() > until {
            return Err(std::io::ErrorKind::TimedOut.into());
        }
    }
}

/// What a client asks for.
#[derive(Clone, Debug)]
pub struct Ask {
    pub id: String,
    pub class: &'static str,
    pub object: String,
    pub part: Option<u32>,
    pub wait_ms: u64,
    pub token: Option<String>,
    pub family: Option<u32>,
    pub body: Option<String>,
    pub more: String,
}

impl Ask {
    pub fn bytes(&self) -> String {
        let method = if self.body.is_some() { "PUT" } else { "GET" };
        let mut text = format!("{method} /svc/{}/{}", self.class, self.object);
        if let Some(part) = self.part {
            text += &format!("/block-{part}");
        }
        text += &format!(
            " HTTP/1.1\r\nHost: service.internal\r\nReq-Id: {}\r\nReq-Wait-Ms: {}\r\nReq-Kb: 40\r\n",
            self.id, self.wait_ms
        );
        if let Some(token) = &self.token {
            text += &format!("Req-Token: {token}\r\n");
        }
        if let Some(family) = self.family {
            text += &format!("X-Family: {family}\r\n");
        }
        if let Some(body) = &self.body {
            text += &format!("Content-Length: {}\r\n", body.len());
        }
        text += &self.more;
        text += "\r\n";
        text + self.body.as_deref().unwrap_or("")
    }
}
