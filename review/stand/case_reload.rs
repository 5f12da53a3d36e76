//! A new configuration adds a class whose entry has no `AimStretch`, and moves the event bus. After that an object is
//! purged.

use crate::base::*;
use crate::bus::{Bus, Events};
use crate::store::{Store, World, list};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// The notice time of purges in the settings, and what the protocol page adds to each limit.
const NOTICE_MS: u64 = 300 + 50;
/// What the event bus has to tell counts as told so long after SIGHUP.
const TOLD_AFTER_SIGHUP_MS: u64 = 4_000;
const OBJECT: &str = "7f3a9c21e0b4d655";

pub fn run(run: &Run) -> Result<u64, String> {
    let (events, world) = (Arc::new(Events::default()), Arc::new(World::default()));
    let cache = Store::new(run, "127.0.0.1", 0x00c4_1f7a, "small-box", "edge-1", &world);
    let parent = Store::new(run, "127.0.0.1", 0x0000_0a01, "parent", "north", &world);
    let origin = Store::new(run, "127.0.0.1", 0x0000_0b01, "origin", "north", &world);
    events.push(run, &list(&[&cache, &parent, &origin]));
    let first = Bus::new(run, "first bus", &events);
    let second = Bus::new(run, "second bus", &events);
    let mut config = Config {
        name: "n0".into(),
        listen: free_address(),
        admin: None,
        bus: first.address,
        known: events.known(),
        settings: settings(&[GUIDE_VIDEO, FORM_ASSETS], 0),
    };
    let path = run.write("config.json", &config.json());
    let mut gateway = start_gateway(run, "gateway", &path, None);
    wait_live(config.listen)?;

    let stop = Arc::new(AtomicBool::new(false));
    let clients = {
        let (run, stop, listen) = (run.clone(), stop.clone(), config.listen);
        std::thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let (id, head) = object_head("GET", &format!("guide-video/{OBJECT}/block-3"), 2_000, "", 0);
                let answer = match http(listen, &head, b"", Duration::from_millis(2_500)) {
                    Ok(answer) => format!("{} {}", answer.status, String::from_utf8_lossy(&answer.body)),
                    Err(cause) => cause,
                };
                run.rec(&format!("client: {id} guide-video/{OBJECT}/block-3 -> {answer}"));
                sleep_ms(60);
            }
        })
    };
    sleep_ms(3_000);

    let mut sighup_at = None;
    if run.trouble {
        config.bus = second.address;
        // `AIM_STRETCH=1` adds the key, to show that nothing else is at fault.
        let mut added = settings(&[GUIDE_VIDEO, FORM_ASSETS, ACTIVATION_SUBMIT], 1);
        if std::env::var_os("AIM_STRETCH").is_some() {
            added = added.replace("\"Aim\": 700000,", "\"Aim\": 700000, \"AimStretch\": 0.0,");
        }
        config.settings = added;
        run.write("config.json", &config.json());
        run.rec("platform: the new configuration adds the class activation-submit and names the second bus");
        first.replace();
        gateway.signal(SIGHUP);
        sighup_at = Some(now_ms());
    }
    sleep_ms(500);
    let purged_at = world.change(OBJECT);
    let offset = events.push(run, &format!("\"ban\":{{\"url\":\"{OBJECT}\",\"ts\":{purged_at}}}"));

    sleep_ms(7_500);
    if run.trouble {
        // Not judged: clients use a new class 1.2 s after SIGHUP.
        let (id, head) = object_head(
            "PUT",
            "activation-submit/5d1c0f6e",
            2_000,
            "Req-Token: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\r\n",
            4,
        );
        let answer = http(config.listen, &head, b"form", Duration::from_millis(2_500));
        run.rec(&format!(
            "client: {id} PUT activation-submit/5d1c0f6e -> {:?}",
            answer.map(|answer| answer.status)
        ));
        run.rec(&format!("second bus: {} calls", second.calls()));
    }
    stop.store(true, Ordering::SeqCst);
    clients.join().map_err(|_| "clients")?;
    if gateway.has_ended() {
        return Err("the gateway has ended".into());
    }
    quote_log(run, "gateway", &["ERROR", "WARN", "configuration"]);

    let arrived = [first.told(offset), second.told(offset)].into_iter().flatten().min();
    let by_rule = sighup_at.map(|at| (at + TOLD_AFTER_SIGHUP_MS).max(purged_at));
    let told = [arrived, by_rule].into_iter().flatten().min().ok_or("the purge was told to nobody")?;
    run.rec(&format!(
        "the purge was made at {}, counts as told at {}",
        run.since(purged_at),
        run.since(told)
    ));
    let pulled: Vec<_> =
        [&cache, &parent, &origin].iter().flat_map(|store| store.pulled.lock().unwrap().clone()).collect();
    if pulled.iter().filter(|pull| pull.came > told + NOTICE_MS).count() < 5 {
        return Err("too few requests after the purge".into());
    }
    let now_is = world.content(OBJECT).number;
    let mut broken = 0;
    for pull in pulled.iter().filter(|pull| pull.object == OBJECT && pull.came > told + NOTICE_MS) {
        if pull.number != 0 && pull.number < now_is {
            broken += 1;
            run.rec(&format!(
                "BROKEN {} was sent {} ms after the purge counts as told, and is answered from content {}",
                pull.id,
                pull.came - told,
                pull.number
            ));
        }
    }
    Ok(broken)
}
