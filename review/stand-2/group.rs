//! Five instances that agree on the routes of the name front, and machines among them that vanish and come back.

use crate::fleet::*;
use crate::gateway::*;
use crate::util::*;
use crate::world::*;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const SIZE: usize = 5;
/// The instance that runs through, and is asked at the end.
const WATCHED: usize = 0;
/// How often two of the other machines vanish and come back.
const ROUNDS: usize = 24;
/// How long the group has at the end, with all machines up and all ways open.
const SETTLING_MS: u64 = 20_000;
const DOCUMENT: &str = "deadline \"500ms\"\nsource \"127.0.0.1\" zone=\"edge-1\" ignores-lifetimes=#true\n";

/// What the ways between the instances share.
struct Ways {
    /// The machines that have vanished: they say nothing, and nothing reaches them.
    gone: Vec<AtomicBool>,
    /// Connections of vanished machines: at the other end they stay open and silent.
    left: Mutex<Vec<(usize, TcpStream)>>,
}

/// The way from one instance to another.
fn way(ways: &Arc<Ways>, from: usize, to: usize, target: u16) -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("way");
    let port = listener.local_addr().expect("way").port();
    let ways = ways.clone();
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let ways = ways.clone();
            thread::spawn(move || pass_on(&ways, from, to, near, target));
        }
    });
    port
}

fn pass_on(ways: &Ways, from: usize, to: usize, mut near: TcpStream, target: u16) {
    let is_gone = |which: usize| ways.gone[which].load(Ordering::SeqCst);
    let _ = near.set_nodelay(true);
    // A connection to a machine that has vanished never comes up.
    let mut far = loop {
        if !is_gone(to) {
            match TcpStream::connect(("127.0.0.1", target)) {
                Ok(far) => break far,
                Err(_) if is_gone(to) => {}
                Err(_) => return,
            }
        }
        sleep_ms(10);
    };
    let _ = far.set_nodelay(true);
    let mut chunk = [0; 8192];
    // Instances send in one direction on each connection.
    while let Ok(read @ 1..) = near.read(&mut chunk) {
        if far.write_all(&chunk[..read]).is_err() {
            break;
        }
    }
    // The machine that has come back answers old connections with a reset.
    while is_gone(to) {
        sleep_ms(10);
    }
    if is_gone(from) {
        ways.left.lock().unwrap().push((to, far));
    }
}

/// The answer of an instance to a query: its response code, and whether it holds an address.
fn query(port: u16) -> Option<(u8, bool)> {
    let question = b"\x12\x34\x01\0\0\x01\0\0\0\0\0\0\x02o1\x0bform-assets\x03svc\x04test\0\0\x01\0\x01";
    let socket = UdpSocket::bind("127.0.0.1:0").ok()?;
    socket.set_read_timeout(Some(Duration::from_millis(800))).ok()?;
    socket.send_to(question, ("127.0.0.1", port)).ok()?;
    let mut answer = [0; 512];
    let length = socket.recv(&mut answer).ok()?;
    (length > 12).then(|| (answer[3] & 15, answer[7] > 0))
}

fn answers(port: u16) -> bool {
    query(port) == Some((0, true))
}

fn wait_for(what: impl Fn() -> bool, ms: u64) -> bool {
    let until = now() + ms * 1_000;
    while now() < until {
        if what() {
            return true;
        }
        sleep_ms(50);
    }
    false
}

pub fn run(record: &Record) -> ! {
    let settings = Settings { instances: SIZE, ..Settings::default() };
    let world = deployment(record, &settings, 1, Box::new(|_, _, _| Manner::Sound));
    let ways =
        Arc::new(Ways { gone: (0..SIZE).map(|_| AtomicBool::new(false)).collect(), left: Mutex::default() });
    let rafts: Vec<u16> = (0..SIZE).map(|_| free_port()).collect();
    let names: Vec<u16> = (0..SIZE).map(|_| free_port()).collect();
    let mut gateways: Vec<Gateway> = (0..SIZE)
        .map(|number| {
            let peers = (0..SIZE).filter(|peer| *peer != number).map(|peer| {
                format!("peer {} \"127.0.0.1:{}\"\n", peer + 1, way(&ways, number, peer, rafts[peer]))
            });
            let peers: String = peers.collect();
            let text = format!(
                "dns listen=\"127.0.0.1:{}\" domain=\"svc.test\" deadline=\"500ms\" {{\n}}\n\
                 group id={} listen=\"127.0.0.1:{}\" data=\"{}/n{number}/data\" {{\n{peers}}}\n",
                names[number],
                number + 1,
                rafts[number],
                work()
            );
            Gateway::new(&world, &format!("n{number}"), Some(&text))
        })
        .collect();
    for gateway in &mut gateways {
        if !gateway.start(&world, &settings) {
            drop(gateways);
            verdict(record, &[], false);
        }
    }
    let document = format!("{}/document.kdl", work());
    std::fs::write(&document, DOCUMENT).expect("document");
    let propose = || {
        let command =
            format!("{} propose --to 127.0.0.1:{} {document}", deploy_command("run"), rafts[WATCHED]);
        let status =
            std::process::Command::new("/bin/sh").arg("-c").arg(command).current_dir(root()).output();
        status.is_ok_and(|output| output.status.success())
    };
    if !wait_for(propose, 15_000) || !wait_for(|| names.iter().all(|port| answers(*port)), 15_000) {
        drop(gateways);
        record.say("the group did not agree at the start");
        verdict(record, &[], false);
    }
    record.say("all five answer by the document that they have agreed on");
    for round in 0..ROUNDS {
        let pair = if round % 2 == 0 { [1, 2] } else { [3, 4] };
        for number in pair {
            // Without the disruption the machine is restarted, and its connections end as they do then.
            ways.gone[number].store(trouble(), Ordering::SeqCst);
            gateways[number].signal(&world, SIGKILL);
            if let Some(mut process) = gateways[number].process.take() {
                process.kill_now();
            }
        }
        sleep_ms(200);
        for number in pair {
            if !gateways[number].start(&world, &settings) {
                drop(gateways);
                verdict(record, &[], false);
            }
            ways.gone[number].store(false, Ordering::SeqCst);
        }
        let back = wait_for(|| pair.iter().all(|number| answers(names[*number])), 4_000);
        let left = ways.left.lock().unwrap().iter().filter(|(to, _)| *to == WATCHED).count();
        record.say(&format!(
            "round {round}: {pair:?} came back, answer: {back}; n{WATCHED} answers: {:?}; {left} connections left behind at it",
            query(names[WATCHED])
        ));
    }
    sleep_ms(SETTLING_MS);
    let mut broken = Vec::new();
    for number in 0..SIZE {
        let seen: Vec<_> = (0..10)
            .map(|_| {
                sleep_ms(100);
                query(names[number])
            })
            .collect();
        let ended = gateways[number].process.as_mut().and_then(Process::ended);
        record.say(&format!(
            "at the end n{number}: process {}; answers {:?}",
            ended.unwrap_or("runs".into()),
            seen[0]
        ));
        if !seen.contains(&Some((0, true))) {
            broken.push(format!(
                "n{number} answers no query by the agreed routes, {} ms after the last machine came back",
                SETTLING_MS
            ));
        }
    }
    record.say(&format!("n{WATCHED} takes a proposal: {}", propose()));
    drop(gateways);
    verdict(record, &broken, true)
}
