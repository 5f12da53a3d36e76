//! A small deployment of stand-ins, load on its gateways, and checks of what was seen.

use crate::gateway::*;
use crate::util::*;
use crate::world::*;
use std::collections::HashMap;
use std::net::TcpStream;
use std::sync::atomic::AtomicU64;
use std::sync::{Arc, Mutex};
use std::thread;

/// A request as its client has seen it.
#[derive(Clone, Debug)]
pub struct Asked {
    pub ask: Ask,
    pub gateway: usize,
    pub sent: u64,
    /// When the answer had come whole, or the connection had ended.
    pub ended: u64,
    /// `None`: no whole answer.
    pub answer: Option<Answer>,
}

pub type Manner0 = Box<dyn Fn(&World, usize, &Attempt) -> Manner + Send + Sync>;

/// Where a store stands.
pub struct Place {
    pub name: String,
    pub role: Role,
    pub zone: &'static str,
    pub cell: u32,
}

/// Four caches of two cells at the gateways' zone, two parents and the origin at their hub.
pub fn four_caches() -> Vec<Place> {
    let place = |name: &str, role, zone, cell| Place { name: name.into(), role, zone, cell };
    vec![
        place("s-000000a1", Role::Cache, "edge-1", 1),
        place("s-000000a2", Role::Cache, "edge-1", 1),
        place("s-000000a3", Role::Cache, "edge-1", 2),
        place("s-000000a4", Role::Cache, "edge-1", 2),
        place("s-000000b1", Role::Parent, "north", 3),
        place("s-000000b2", Role::Parent, "north", 3),
        place("s-000000c1", Role::Origin, "north", 4),
    ]
}

pub fn deployment(record: &Record, settings: &Settings, seed: u64, manner: Manner0) -> Arc<World> {
    deployment_of(record, settings, seed, manner, &four_caches())
}

/// Starts the stores of a deployment.
pub fn deployment_of(
    record: &Record,
    settings: &Settings,
    seed: u64,
    manner: Manner0,
    places: &[Place],
) -> Arc<World> {
    let stores = places.iter().map(|place| Store {
        name: place.name.clone(),
        role: place.role,
        zone: place.zone.into(),
        cell: place.cell,
        port: free_port(),
    });
    let stores = stores.collect();
    let fresh = settings.classes.iter().map(|class| (class.name.to_string(), class.fresh_ms)).collect();
    let pass_on =
        settings.classes.iter().filter(|class| class.pass_on).map(|class| class.name.into()).collect();
    World {
        stores,
        attempts: Mutex::default(),
        copies: Mutex::default(),
        bodies: Mutex::default(),
        fresh_ms: fresh,
        pass_on,
        manner,
        answer_ms: 20,
        bus: Bus { events: Mutex::default() },
        record: record.clone(),
        random: Mutex::new(Random::new(seed)),
    }
    .start()
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

pub fn new_id() -> String {
    let number = NEXT_ID.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
    format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

impl Ask {
    pub fn get(class: &Class, object: &str, wait_ms: u64) -> Ask {
        let token = (class.effect == "guarded").then(|| format!("t{}", new_id()));
        Ask {
            id: new_id(),
            class: class.name,
            object: object.into(),
            part: Some(0),
            wait_ms,
            token,
            family: Some(7),
            body: class.pass_on.then(|| "note".into()),
            more: String::new(),
        }
    }
}

/// Asks over a kept connection, which is opened anew where it has ended. A request that crosses the end of a resting
/// connection is sent again once, as clients do.
pub fn ask(world: &World, connection: &mut Option<TcpStream>, gateway: usize, port: u16, ask: &Ask) -> Asked {
    use std::io::Write;
    let mut tried_again = false;
    loop {
        let resting = connection.is_some();
        let sent = now();
        let result = (|| {
            let stream = match connection {
                Some(stream) => stream,
                None => {
                    let stream = TcpStream::connect(("127.0.0.1", port))?;
                    stream.set_nodelay(true)?;
                    connection.insert(stream)
                }
            };
            stream.write_all(ask.bytes().as_bytes())?;
            read_answer(stream, ask.wait_ms + 600)
        })();
        let ended = now();
        if result.is_err() {
            *connection = None;
            if resting && !tried_again && ended < sent + 50_000 {
                tried_again = true;
                continue;
            }
        }
        let answer = result.ok();
        let status = answer.as_ref().map_or(0, |answer| answer.status);
        world.record.note(&format!(
            "client: {} {}/{} at gateway {gateway}: {status} after {} ms",
            ask.id,
            ask.class,
            ask.object,
            (ended - sent) / 1_000
        ));
        return Asked { ask: ask.clone(), gateway, sent, ended, answer };
    }
}

/// A client begins a request so many milliseconds after the one before at the earliest.
const PACE_MS: u64 = 135;

/// Clients that ask one request after another until `until`, each on a connection of its own.
pub fn load(
    world: &Arc<World>,
    ports: &[u16],
    clients: usize,
    until: u64,
    seed: u64,
    next: impl Fn(&mut Random) -> Ask + Send + Sync + 'static,
) -> Vec<Asked> {
    let next = Arc::new(next);
    let threads: Vec<_> = (0..clients)
        .map(|client| {
            let (world, next) = (world.clone(), next.clone());
            let gateway = client % ports.len();
            let port = ports[gateway];
            thread::spawn(move || {
                let (mut random, mut asked) = (Random::new(seed ^ (client as u64 + 1)), Vec::new());
                let mut connection = None;
                while now() < until {
                    let one = ask(&world, &mut connection, gateway, port, &next(&mut random));
                    let refused = one.answer.as_ref().is_none_or(|answer| answer.status != 200);
                    let paced = (one.sent + PACE_MS * 1_000).saturating_sub(now()) / 1_000;
                    asked.push(one);
                    sleep_ms(paced.max(random.below(60)) + if refused { 200 } else { 0 });
                }
                asked
            })
        })
        .collect();
    threads.into_iter().flat_map(|thread| thread.join().unwrap_or_default()).collect()
}

fn by_id(world: &World) -> HashMap<String, Vec<Attempt>> {
    let mut by_id: HashMap<String, Vec<Attempt>> = HashMap::new();
    for attempt in world.attempts.lock().unwrap().iter() {
        by_id.entry(attempt.id.clone()).or_default().push(attempt.clone());
    }
    by_id
}

/// `No effect duplicated`: further sends and refusals of requests that may have run.
pub fn check_effects(world: &World, settings: &Settings, asked: &[Asked]) -> Vec<String> {
    let (attempts, mut broken) = (by_id(world), Vec::new());
    for Asked { ask, answer, .. } in asked {
        let Some(class) = settings.classes.iter().find(|class| class.name == ask.class) else { continue };
        let of_request = attempts.get(&ask.id).cloned().unwrap_or_default();
        let name = |attempt: &Attempt| world.stores[attempt.store].name.clone();
        for (index, later) in of_request.iter().enumerate() {
            for earlier in &of_request[..index] {
                let proved = !World::may_have_run(&earlier.end)
                    && earlier.ended.is_some_and(|at| at <= later.arrived + 50_000);
                if proved {
                    continue;
                }
                let (one, other) = (&world.stores[earlier.store], &world.stores[later.store]);
                let same_group = match class.group {
                    "zone" => one.zone == other.zone,
                    "cell" => one.cell == other.cell,
                    _ => true,
                };
                let within = later.arrived <= earlier.arrived + class.memory_ms * 1_000 + 50_000;
                let broken_rule = match class.effect {
                    "single_shot" => Some("single_shot sent again"),
                    "guarded" if !same_group => Some("guarded sent to another group"),
                    "guarded" if !within => Some("guarded sent after its window"),
                    _ => None,
                };
                if let Some(rule) = broken_rule {
                    broken.push(format!(
                        "{rule}: {} of class {} to {} (cell {}, zone {}) after {} (cell {}, zone {}, end {:?})",
                        ask.id, class.name, name(later), other.cell, other.zone, name(earlier), one.cell, one.zone,
                        earlier.end
                    ));
                }
                let out = earlier.ended.is_none_or(|at| at > later.arrived + 50_000);
                if !settings.second_copies && out {
                    broken.push(format!(
                        "two attempts out at once: {} at {} and {} (the first ended {:?})",
                        ask.id,
                        name(earlier),
                        name(later),
                        earlier.end
                    ));
                }
            }
        }
        let refused = answer.as_ref().is_some_and(|answer| matches!(answer.status, 429 | 503));
        let may_have_run = of_request.iter().any(|attempt| World::may_have_run(&attempt.end));
        let refusable = class.effect == "free" || (class.effect == "guarded" && class.group == "all");
        if refused && may_have_run && !refusable {
            broken.push(format!("refused although it may have run: {} of class {}", ask.id, class.name));
        }
        if of_request.len() > settings.send_cap as usize {
            broken.push(format!("{} attempts: {}", of_request.len(), ask.id));
        }
    }
    broken
}

/// `No request lost`: each has one whole answer in time, and what is served is what a store made for it.
pub fn check_answers(world: &World, asked: &[Asked]) -> Vec<String> {
    let bodies = world.bodies.lock().unwrap();
    let mut broken = Vec::new();
    for Asked { ask, answer, sent, ended, .. } in asked {
        let Some(answer) = answer else {
            broken.push(format!(
                "no answer: {} after {} ms of {}",
                ask.id,
                (ended - sent) / 1_000,
                ask.wait_ms
            ));
            continue;
        };
        if *ended > sent + ask.wait_ms * 1_000 + 550_000 {
            broken.push(format!("late: {}", ask.id));
        }
        if answer.status == 200 {
            let prefix = format!("{}/{}/", ask.object, ask.part.unwrap_or(0));
            if bodies.get(&answer.tag) != Some(&answer.body) || !answer.body.starts_with(prefix.as_bytes()) {
                broken.push(format!("wrong bytes: {}", ask.id));
            }
        }
    }
    broken
}
