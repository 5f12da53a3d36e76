//! A keyed class whose repeats only the stores of one cell discard; one of eight caches fails.

use crate::fleet::*;
use crate::gateway::*;
use crate::util::*;
use crate::world::*;
use std::collections::{BTreeMap, BTreeSet};

/// One of the eight caches answers `error` to what it has carried out.
const FAILING: usize = 0;

pub fn run(record: &Record) -> ! {
    let mut settings = Settings { instances: 2, ..Settings::default() };
    // "Their settings may give a class another effect than the site does": a class that is kept, with a key.
    settings.classes[1] = Class { effect: "guarded", group: "cell", ..settings.classes[1].clone() };
    let trouble = trouble();
    let manner: Manner0 =
        Box::new(move |_, store, _| if trouble && store == FAILING { Manner::Error } else { Manner::Sound });
    let world = deployment_of(record, &settings, 1, manner, &eight_caches());
    let mut gateways: Vec<Gateway> =
        (0..2).map(|number| Gateway::new(&world, &format!("n{number}"), None)).collect();
    for gateway in &mut gateways {
        if !gateway.start(&world, &settings) {
            drop(gateways);
            verdict(record, &[], false);
        }
    }
    let ports: Vec<u16> = gateways.iter().map(|gateway| gateway.port).collect();
    let classes = settings.classes.clone();
    let asked = load(&world, &ports, 20, now() + 40_000_000, 1, move |random| {
        let class = &classes[random.below(3) as usize];
        Ask::get(class, &format!("{:016x}", 4_096 + random.below(300)), class.deadline_ms)
    });
    let mut ends = BTreeMap::new();
    for one in asked.iter().filter(|one| one.ask.class == "form-assets") {
        *ends.entry(one.answer.as_ref().map_or(0, |answer| answer.status)).or_insert(0) += 1;
    }
    record.say(&format!("form-assets, by status of the answer: {ends:?}"));
    // The work of one key that was carried out in more than one cell: nothing discards that repeat.
    let mut cells: BTreeMap<String, BTreeSet<u32>> = BTreeMap::new();
    for attempt in world.attempts.lock().unwrap().iter().filter(|attempt| attempt.ran) {
        if let Some(token) = attempt.fields.get("token").filter(|_| attempt.fields["kind"] == "form-assets") {
            cells.entry(token.clone()).or_default().insert(world.stores[attempt.store].cell);
        }
    }
    let twice = cells.values().filter(|cells| cells.len() > 1).count();
    record.say(&format!("{} keys were carried out, {twice} of them in two cells or more", cells.len()));
    let broken: Vec<String> = check_effects(&world, &settings, &asked)
        .into_iter()
        .filter(|line| line.contains("another group"))
        .collect();
    let evidence = ends.get(&200).is_some_and(|served| *served > 100);
    drop(gateways);
    verdict(record, &broken, evidence)
}

/// Eight caches in four cells at the gateways' zone, two parents and the origin at their hub.
fn eight_caches() -> Vec<Place> {
    let mut places: Vec<Place> = (0..8)
        .map(|number| Place {
            name: format!("s-000000a{}", number + 1),
            role: Role::Cache,
            zone: "edge-1",
            cell: 1 + number / 2,
        })
        .collect();
    places.push(Place { name: "s-000000b1".into(), role: Role::Parent, zone: "north", cell: 5 });
    places.push(Place { name: "s-000000b2".into(), role: Role::Parent, zone: "north", cell: 5 });
    places.push(Place { name: "s-000000c1".into(), role: Role::Origin, zone: "north", cell: 6 });
    places
}
