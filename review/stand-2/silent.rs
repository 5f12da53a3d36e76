//! Some answers of stores never arrive, so that attempts time out. Each gateway has to go on answering.

use crate::fleet::*;
use crate::gateway::*;
use crate::util::*;
use crate::world::*;
use std::collections::BTreeMap;

const GATEWAYS: usize = 24;
const CACHES: usize = 12;
const CLIENTS_PER_GATEWAY: usize = 22;
/// Of a hundred answers, of any store alike, so many never arrive. Their requests have run.
const SILENT_PERCENT: u64 = 15;
const SECONDS: u64 = 85;

fn places() -> Vec<Place> {
    let place = |number: usize, role, zone, cell| Place { name: format!("s-{number:08x}"), role, zone, cell };
    let mut places: Vec<Place> =
        (0..CACHES).map(|number| place(0xa0 + number, Role::Cache, "edge-1", 1)).collect();
    places.push(place(0xb0, Role::Parent, "north", 2));
    places.push(place(0xb1, Role::Parent, "north", 2));
    places.push(place(0xc0, Role::Origin, "north", 3));
    places
}

pub fn run(record: &Record) -> ! {
    let settings = Settings { instances: GATEWAYS, ..Settings::default() };
    let trouble = trouble();
    let manner: Manner0 = Box::new(move |world, _, _| {
        let silent = trouble && world.random.lock().unwrap().below(100) < SILENT_PERCENT;
        if silent { Manner::Silent } else { Manner::Sound }
    });
    let world = deployment_of(record, &settings, 1, manner, &places());
    let mut gateways: Vec<Gateway> =
        (0..GATEWAYS).map(|number| Gateway::new(&world, &format!("n{number}"), None)).collect();
    for gateway in &mut gateways {
        if !gateway.start(&world, &settings) {
            drop(gateways);
            verdict(record, &[], false);
        }
    }
    let ports: Vec<u16> = gateways.iter().map(|gateway| gateway.port).collect();
    let classes = settings.classes.clone();
    let began = now();
    let asked =
        load(&world, &ports, GATEWAYS * CLIENTS_PER_GATEWAY, began + SECONDS * 1_000_000, 1, move |random| {
            let class = &classes[match random.below(100) {
                0..55 => 0,
                55..97 => 1,
                _ => 2,
            }];
            Ask::get(class, &format!("{:016x}", 4_096 + random.below(300)), class.deadline_ms)
        });
    let seconds = (now() - began) as f64 / 1e6;
    let mut broken = check_answers(&world, &asked);
    let mut served = 0;
    for (number, gateway) in gateways.iter_mut().enumerate() {
        let mut ends = BTreeMap::new();
        let of_gateway: Vec<&Asked> = asked.iter().filter(|one| one.gateway == number).collect();
        for one in &of_gateway {
            *ends.entry(one.answer.as_ref().map_or(0, |answer| answer.status)).or_insert(0) += 1;
        }
        served += ends.get(&200).unwrap_or(&0);
        let ended = gateway.process.as_mut().and_then(Process::ended);
        let live =
            call(gateway.port, "GET /status/live HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n", 600);
        let live = live.map_or_else(|_| "no answer".into(), |answer| answer.status.to_string());
        let state = ended.clone().unwrap_or_else(|| "runs".into());
        record.say(&format!(
            "{}: {:.0} requests a second; by status {ends:?} (0: no answer); process: {state}; GET /status/live at the end: {live}",
            gateway.name, of_gateway.len() as f64 / seconds
        ));
        if let Some(end) = ended {
            broken.push(format!("{} has ended: {end}", gateway.name));
        }
    }
    let killed = world.attempts.lock().unwrap().iter().filter(|attempt| attempt.end == "killed").count();
    record.say(&format!("{} requests, {killed} attempts were given up", asked.len()));
    drop(gateways);
    verdict(record, &broken, served > 1_000)
}
