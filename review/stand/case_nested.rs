//! Not a case of its own: an operators' file in which 200 tenants lack their closing braces is read at SIGHUP while a request
//! is open.

use crate::base::*;
use crate::bus::{Bus, Events};
use crate::store::{Store, World, list};
use std::sync::Arc;
use std::time::Duration;

const TENANTS: usize = 200;

pub fn run(run: &Run) -> Result<u64, String> {
    let (events, world) = (Arc::new(Events::default()), Arc::new(World::default()));
    let cache = Store::new(run, "127.0.0.1", 0x00c4_1f7a, "small-box", "edge-1", &world);
    let origin = Store::new(run, "127.0.0.1", 0x0000_0b01, "origin", "north", &world);
    events.push(run, &list(&[&cache, &origin]));
    let bus = Bus::new(run, "bus", &events);
    let config = Config {
        name: "n0".into(),
        listen: free_address(),
        admin: None,
        bus: bus.address,
        known: events.known(),
        settings: settings(&[GUIDE_VIDEO, FORM_ASSETS, ACTIVATION_SUBMIT], 1),
    };
    let path = run.write("config.json", &config.json());
    let operators = run.write("gateway.kdl", "limits clients=100\n");
    let mut gateway = start_gateway(run, "gateway", &path, Some(&operators));
    wait_live(config.listen)?;
    sleep_ms(1_500);
    let end = if run.trouble { "" } else { "    }\n" };
    let tenants: String = (0..TENANTS)
        .map(|number| {
            format!("    tenant \"t{number}\" {{\n        allow \"guide-video\" methods=\"GET\"\n{end}")
        })
        .collect();
    let braces = if run.trouble { "without their closing braces" } else { "whole" };
    run.rec(&format!("operator: {TENANTS} tenants, {braces}"));
    run.write("gateway.kdl", &format!("identity {{\n    anonymous \"t0\"\n{tenants}}}\n"));
    gateway.signal(SIGHUP);
    sleep_ms(1_500);
    let (id, head) = object_head("GET", "guide-video/7f3a9c21e0b4d655/block-3", 1_000, "", 0);
    let answer = http(config.listen, &head, b"", Duration::from_secs(2)).map(|answer| answer.status);
    run.rec(&format!("client: {id} -> {answer:?}"));
    quote_log(run, "gateway", &["operators", "overflow", "configuration"]);
    let ended = gateway.has_ended();
    if ended {
        run.rec("BROKEN the gateway has ended at SIGHUP");
    }
    Ok(u64::from(ended))
}
