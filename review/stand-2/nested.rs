//! An operators' file without the closing braces of its tenants, at SIGHUP.

use crate::fleet::*;
use crate::gateway::*;
use crate::util::*;
use crate::world::*;

const TENANTS: usize = 200;

/// An operators' file with tenants, of which callers without credentials are the first.
fn file(closed: bool) -> String {
    let close = if closed { "    }\n" } else { "" };
    let tenant =
        |number| format!("    tenant \"shop-{number}\" {{\n        allow methods=\"GET PUT\"\n{close}");
    let tenants: String = (0..TENANTS).map(tenant).collect();
    format!("identity {{\n    audience \"sagearch\"\n    anonymous \"shop-0\"\n{tenants}}}\n")
}

pub fn run(record: &Record) -> ! {
    let settings = Settings::default();
    let world = deployment(record, &settings, 1, Box::new(|_, _, _| Manner::Sound));
    let mut gateway = Gateway::new(&world, "n0", Some(&file(true)));
    if !gateway.start(&world, &settings) {
        drop(gateway);
        verdict(record, &[], false);
    }
    let (classes, ports, until) = (settings.classes.clone(), [gateway.port], now() + 12_000_000);
    let loaded = {
        let world = world.clone();
        std::thread::spawn(move || {
            load(&world, &ports, 10, until, 1, move |random| {
                let class = &classes[random.below(3) as usize];
                Ask::get(class, &format!("{:016x}", 4_096 + random.below(50)), class.deadline_ms)
            })
        })
    };
    sleep_ms(4_000);
    let path = gateway.path("gateway.kdl");
    std::fs::write(format!("{path}.new"), file(!trouble())).expect("operators' file");
    std::fs::rename(format!("{path}.new"), path).expect("operators' file");
    let hung_up = now();
    gateway.signal(&world, SIGHUP);
    let asked = loaded.join().unwrap_or_default();
    let mut broken = Vec::new();
    if let Some(end) = gateway.process.as_mut().and_then(Process::ended) {
        broken.push(format!("the gateway has ended at SIGHUP: {end}"));
        broken.extend(check_answers(&world, &asked));
    }
    let served = |after: bool| {
        let of = |one: &&Asked| {
            (one.sent > hung_up) == after && one.answer.as_ref().is_some_and(|answer| answer.status == 200)
        };
        asked.iter().filter(of).count()
    };
    record.say(&format!("served before SIGHUP: {}, after it: {}", served(false), served(true)));
    let evidence = served(false) > 50;
    drop(gateway);
    verdict(record, &broken, evidence)
}
