//! Simulation of the adapter in virtual time, with two gateways in one process. The transcript holds the orders as JSON,
//! with the timers and cancellations that the broker's interface doesn't show.

use sagearch::wire::Gateways;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fmt::Write;

const MICROS_PER_MS: u64 = 1_000;
const ROUND_MICROS: u64 = 2 * MICROS_PER_MS;
const ROUNDS: u64 = 3_000;
/// Rounds without new events, in which all open requests end.
const FINAL_ROUNDS: u64 = 1_700;
const GATEWAYS: u64 = 2;
const CLASSES: [&str; 4] = ["video", "order", "submit", "page"];
const CACHES: [u32; 3] = [1, 2, 3];
const PARENTS: [u32; 2] = [11, 12];
const ORIGIN: u32 = 20;

fn class(name: &str, effect: &str) -> Value {
    json!({"Name": name, "Aim": 600_000, "AimStretch": 1.6, "Credit": 2.0, "Deadline": 3_000_000,
        "Effect": effect, "Group": "all", "LateValue": 0.15, "MemorySpan": 3_000_000})
}

fn environment() -> Value {
    json!({
        "Classes": [class("video", "free"), class("order", "single_shot"), class("submit", "guarded"),
            class("page", "free")],
        "FamilyInfo": {"ClassFresh": [0, 0, 0, 20_000_000], "Collapses": true, "MidKind": 1, "SourceKind": 2,
            "PaceKbPerS": 1000.0, "ParentCold": 20_000_000, "ParentLimitFactor": 2.0, "UpperColdFrom": 0.066,
            "PassOn": [false, true, true, false], "PurgeTakes": 6_000_000, "Sideways": "location",
            "Straight": true, "ZoneBalancers": [2, 0]},
        "Instances": GATEWAYS, "Kinds": ["box", "parent", "origin"],
        "Limits": {"MayCancel": true, "Probes": true, "SendCap": 6, "RetryAfter": true, "SecondCopies": true,
            "MaxRetryAfter": 2_000_000},
        "Obligations": {"Fall": 2_000_000, "FallMultiple": 4.0, "StartCapacity": 0.16, "WarmUp": 15_000_000},
        "Report": {"Fields": ["q", "busy", "x9", "rif"]},
        "Tick": 2000, "WeightKind": "rough", "Zone": "edge", "Zones": ["edge", "hub"]})
}

fn node(id: u32, readiness: &str, ready_at: u64) -> Value {
    let (kind, zone) = match id {
        ORIGIN => ("origin", "hub"),
        id if PARENTS.contains(&id) => ("parent", "hub"),
        _ => ("box", "edge"),
    };
    json!({"Cache": id, "Dc": zone, "Bay": 0, "Rating": 8.0, "ReadyAt": ready_at, "Readiness": readiness,
        "FamilyType": kind})
}

/// An attempt in flight.
struct Attempt {
    gateway: u64,
    corr: String,
    number: u64,
    cache: u64,
    sent_at: u64,
    ends_at: u64,
    code: &'static str,
    detail: u64,
}

/// Simulates the clients and members of the adapter's gateways.
#[derive(Default)]
pub struct AdapterSimulation {
    gateways: Gateways,
    readiness: BTreeMap<u32, &'static str>,
    /// The gateway and the number of attempts of each open request, by its id.
    open_requests: BTreeMap<String, (u64, u64)>,
    attempts: Vec<Attempt>,
    /// The due time, gateway and nonce of each timer.
    timers: Vec<(u64, u64, String)>,
    /// The time at which the client abandons a request, and the request's id.
    client_deadlines: Vec<(u64, String)>,
    random_state: u64,
    now: u64,
    serial: u64,
    request_count: u64,
    transcript: String,
}

impl AdapterSimulation {
    pub fn new(seed: u64) -> AdapterSimulation {
        let mut simulation = AdapterSimulation {
            random_state: seed,
            now: 1_000 * MICROS_PER_MS,
            ..AdapterSimulation::default()
        };
        let nodes: Vec<Value> =
            CACHES.iter().chain(&PARENTS).chain(&[ORIGIN]).map(|id| node(*id, "SERVING", 0)).collect();
        for gateway in 0..GATEWAYS {
            simulation.send_message(
                json!({"ATTACH": {"GatewayId": gateway, "Entropy": seed + gateway, "Env": environment()}}),
            );
            simulation.send_message(json!({"MEMBERS": {"GatewayId": gateway, "Mode": "Complete", "Serial": 1, "NodesList": nodes}}));
        }
        CACHES.iter().chain(&PARENTS).for_each(|id| _ = simulation.readiness.insert(*id, "SERVING"));
        simulation
    }

    /// Runs to the end and returns the transcript of all orders.
    pub fn run(mut self) -> String {
        for _ in 0..ROUNDS {
            self.round();
            self.generate_events();
        }
        for _ in 0..FINAL_ROUNDS {
            self.round();
        }
        assert!(
            self.open_requests.is_empty(),
            "requests still open at the end: {}",
            self.open_requests.len()
        );
        self.transcript
    }

    /// Returns a random number below the bound (splitmix64).
    fn random_below(&mut self, bound: u64) -> u64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mixed = (self.random_state ^ (self.random_state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (mixed ^ (mixed >> 31)) % bound
    }

    /// Sends one message to the adapter, and records and executes the orders of its reply.
    fn send_message(&mut self, message: Value) {
        self.serial += 1;
        let line = json!({"Ts": self.now, "serial": self.serial, "news": [message]}).to_string();
        let reply = self.gateways.answer(&line).unwrap();
        let reply: Value = serde_json::from_str(&reply).unwrap();
        for order in reply["orders"].as_array().unwrap() {
            writeln!(self.transcript, "{} {order}", self.now).unwrap();
            self.execute_order(order);
        }
    }

    fn execute_order(&mut self, order: &Value) {
        let (kind, fields) = order.as_object().unwrap().iter().next().unwrap();
        let gateway = fields["GatewayId"].as_u64().unwrap();
        let corr = fields["Corr"].as_str().unwrap_or_default().to_string();
        match kind.as_str() {
            "DISPATCH" | "LOOK_AND_FILL" => self.start_attempt(gateway, corr, fields),
            "PUSH_BACK" | "SURRENDER" => drop(self.open_requests.remove(&corr)),
            "CALL_OFF" => {
                let number = fields["SeqNo"].as_u64().unwrap();
                self.attempts.retain(|attempt| (&attempt.corr, attempt.number) != (&corr, number));
            }
            "ARM" => {
                let due = self.now + fields["FromNow"].as_u64().unwrap();
                self.timers.push((due, gateway, fields["Nonce"].as_str().unwrap().to_string()));
            }
            other => panic!("the adapter sent an unknown order: {other}"),
        }
    }

    fn start_attempt(&mut self, gateway: u64, corr: String, fields: &Value) {
        let Some((_, attempts)) = self.open_requests.get_mut(&corr) else { return };
        let number = *attempts;
        *attempts += 1;
        let cache = fields["Cache"].as_u64().unwrap();
        let deadline = self.now + fields["MaxWait"].as_u64().unwrap();
        let response_at = self.now + 5 * MICROS_PER_MS + self.random_below(700) * MICROS_PER_MS;
        let (code, detail) = self.draw_outcome();
        let (ends_at, code) = if response_at < deadline && code != "Unanswered" {
            (response_at, code)
        } else {
            (deadline, "TimedOut")
        };
        self.attempts.push(Attempt {
            gateway,
            corr,
            number,
            cache,
            sent_at: self.now,
            ends_at,
            code,
            detail,
        });
    }

    fn draw_outcome(&mut self) -> (&'static str, u64) {
        match self.random_below(30) {
            0 => ("QueueFull", 0),
            1 => ("QueueFull", 6),
            2 => ("Failed", 7),
            3 => ("ConnectError", 0),
            4 => ("ResetByPeer", 0),
            5 => ("Miss", 8),
            6 => ("Unanswered", 0),
            7 => ("UnknownCode", 0),
            _ => ("Ok", 1 + self.random_below(5)),
        }
    }

    fn round(&mut self) {
        self.now += ROUND_MICROS;
        self.fire_timers();
        self.deliver_responses();
        self.abandon_overdue_requests();
    }

    fn fire_timers(&mut self) {
        let now = self.now;
        let due: Vec<(u64, u64, String)> = self.timers.extract_if(.., |(due, ..)| *due <= now).collect();
        for (_, gateway, nonce) in due {
            self.send_message(json!({"WAKE": {"GatewayId": gateway, "Nonce": nonce}}));
        }
    }

    fn deliver_responses(&mut self) {
        let now = self.now;
        let due: Vec<Attempt> = self.attempts.extract_if(.., |attempt| attempt.ends_at <= now).collect();
        for attempt in due {
            let over = attempt.code == "Ok";
            if over {
                self.open_requests.remove(&attempt.corr);
                self.attempts.retain(|other| other.corr != attempt.corr);
            }
            let inflight = self.random_below(12);
            self.send_message(json!({"RESPONSE": {"GatewayId": attempt.gateway, "Corr": attempt.corr,
                "Cache": attempt.cache, "TimeTaken": now - attempt.sent_at, "Detail": attempt.detail, "Over": over,
                "Code": attempt.code, "SeqNo": attempt.number, "Stats": [0.0, 0.4, 0.0, inflight]}}));
        }
    }

    fn abandon_overdue_requests(&mut self) {
        let now = self.now;
        let due: Vec<(u64, String)> =
            self.client_deadlines.extract_if(.., |(deadline, _)| *deadline <= now).collect();
        for (_, corr) in due {
            let Some((gateway, _)) = self.open_requests.remove(&corr) else { continue };
            self.attempts.retain(|attempt| attempt.corr != corr);
            self.send_message(json!({"EXPIRED": {"GatewayId": gateway, "Corr": corr}}));
        }
    }

    /// Generates the random events between two rounds.
    fn generate_events(&mut self) {
        if self.random_below(6) == 0 {
            self.send_request();
        }
        if self.random_below(200) == 0 {
            self.change_member();
        }
        if self.random_below(60) == 0 {
            self.purge();
        }
    }

    fn send_request(&mut self) {
        self.request_count += 1;
        let (corr, gateway) = (format!("{:016x}", self.request_count), self.random_below(GATEWAYS));
        let budget = 200 * MICROS_PER_MS + self.random_below(2_800) * MICROS_PER_MS;
        let class = CLASSES[self.random_below(4) as usize];
        let request = json!({"REQUEST": {"GatewayId": gateway, "Corr": corr, "Class": class, "Budget": budget,
            "SizeKb": 5 + self.random_below(400), "PurgeGroup": self.random_below(8), "Piece": self.random_below(3),
            "ContentId": format!("o{}", self.random_below(30))}});
        self.open_requests.insert(corr.clone(), (gateway, 0));
        self.client_deadlines.push((self.now + budget, corr));
        self.send_message(request);
    }

    fn change_member(&mut self) {
        let index = self.random_below(self.readiness.len() as u64) as usize;
        let (id, readiness) = self.readiness.iter_mut().nth(index).unwrap();
        *readiness = match *readiness {
            "SERVING" => "DRAINING",
            "DRAINING" => "DELETED",
            _ => "SERVING",
        };
        let changed = node(*id, readiness, self.now);
        for gateway in 0..GATEWAYS {
            self.send_message(json!({"MEMBERS": {"GatewayId": gateway, "Mode": "Partial", "Serial": 2,
                "NodesList": [changed]}}));
        }
    }

    fn purge(&mut self) {
        let (age, group) = (self.random_below(400) * MICROS_PER_MS, self.random_below(8));
        let mut purge = json!({"CopyAge": age});
        if self.random_below(4) == 0 {
            purge["FamilyId"] = json!(group);
        } else {
            purge["ContentId"] = json!(format!("o{}", self.random_below(30)));
        }
        for gateway in 0..GATEWAYS {
            purge["GatewayId"] = json!(gateway);
            self.send_message(json!({"STRUCK_OUT": purge}));
        }
    }
}
