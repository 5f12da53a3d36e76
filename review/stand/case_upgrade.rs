//! Not a case of its own: an instance of the group is upgraded, and a new configuration follows. Its file's own sources come
//! into force in place of the agreed ones.

use crate::base::*;
use crate::bus::{Bus, Events};
use crate::case_group::look_up;
use crate::store::{Store, World, list};
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

pub fn run(run: &Run) -> Result<u64, String> {
    let (events, world) = (Arc::new(Events::default()), Arc::new(World::default()));
    let cache = Store::new(run, "127.0.0.1", 0x00c4_1f7a, "small-box", "edge-1", &world);
    let origin = Store::new(run, "127.0.0.1", 0x0000_0b01, "origin", "north", &world);
    events.push(run, &list(&[&cache, &origin]));
    let bus = Bus::new(run, "bus", &events);
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let (names, group) = (free_address(), free_address());
    let others = [free_address(), free_address()];
    let file = |id: usize, own, peers: [(usize, std::net::SocketAddr); 2], at| {
        format!(
            "dns listen=\"{at}\" domain=\"svc.example\" deadline=\"500ms\" {{\n    source \"127.0.0.1\" zone=\"edge-1\"\n}}\n\
             group id={id} listen=\"{own}\" data=\"raft-{id}\" {{\n    peer {} \"{}\"\n    peer {} \"{}\"\n}}\n",
            peers[0].0, peers[0].1, peers[1].0, peers[1].1
        )
    };
    let operators = run.write("n1.kdl", &file(1, group, [(2, others[0]), (3, others[1])], names));
    let config = |name: &str, listen, admin| Config {
        name: name.into(),
        listen,
        admin,
        bus: bus.address,
        known: events.known(),
        settings: settings(&[GUIDE_VIDEO, FORM_ASSETS, ACTIVATION_SUBMIT], 1),
    };
    let lasting = run.path("n1-lasting");
    std::fs::create_dir_all(&lasting).unwrap();
    let start = |label: &str| -> Result<Process, String> {
        let config = config("n1", socket.local_addr().unwrap(), Some(free_address()));
        let path = run.write(&format!("{label}.json"), &config.json());
        let gateway = start_gateway_beside(run, label, &path, Some(&operators), &lasting, &socket);
        let head = "GET /v1/readyz HTTP/1.1\r\nHost: a\r\n\r\n";
        for _ in 0..300 {
            if http(config.admin.unwrap(), head, b"", Duration::from_secs(1))
                .is_ok_and(|answer| answer.status == 200)
            {
                return Ok(gateway);
            }
            sleep_ms(20);
        }
        Err("not ready".into())
    };
    let old = start("n1-old")?;
    let mut beside = Vec::new();
    for (id, own, other, other_id) in [(2, others[0], others[1], 3), (3, others[1], others[0], 2)] {
        let text = file(id, own, [(1, group), (other_id, other)], free_address());
        let operators = run.write(&format!("n{id}.kdl"), &text);
        let path = run.write(&format!("n{id}.json"), &config(&format!("n{id}"), free_address(), None).json());
        beside.push(start_gateway(run, &format!("n{id}"), &path, Some(&operators)));
    }
    run.write("agreed.kdl", "deadline \"500ms\"\nsource \"127.0.0.9\" zone=\"edge-1\"\n");
    crate::case_group::agree(run, group, "agreed.kdl")?;
    sleep_ms(1_000);
    let wait = Duration::from_secs(1);
    run.rec(&format!("agreed: code {:?}", look_up(names, wait)));
    let mut gateway = old;
    let mut label = "n1-old";
    if run.trouble {
        let new = start("n1-new")?;
        gateway.signal(SIGTERM);
        for _ in 0..400 {
            if gateway.has_ended() {
                break;
            }
            sleep_ms(10);
        }
        gateway = new;
        label = "n1-new";
        sleep_ms(2_000);
        run.rec(&format!("after the upgrade: code {:?}", look_up(names, wait)));
    }
    gateway.signal(SIGHUP);
    sleep_ms(1_000);
    let mut broken = 0;
    for _ in 0..5 {
        let code = look_up(names, wait);
        run.rec(&format!("after SIGHUP: code {code:?}"));
        broken += u64::from(code == Some(0));
        sleep_ms(1_000);
    }
    quote_log(run, label, &["committed", "configuration", "waiting"]);
    Ok(broken)
}
