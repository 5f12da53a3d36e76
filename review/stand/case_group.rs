//! Five instances agree on the routes of the name front. One is cut off from the others while a second document is agreed
//! on; `restart`: it is killed instead, and started again after that.

use crate::base::*;
use crate::bus::{Bus, Events};
use crate::store::{Store, World, list};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

const INSTANCES: usize = 5;
const GATEWAY: &str = "target/release/sagearch";
/// So long after an operator was told that a document is agreed on, all instances are asked.
const SETTLE_MS: u64 = 3_000;
const CUT_MS: u64 = 8_000;

/// Passes a connection on, until it is cut: then both sides stay open and silent.
fn proxy(to: SocketAddr, cut: &Arc<AtomicBool>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let cut = cut.clone();
    std::thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let cut = cut.clone();
            std::thread::spawn(move || {
                while cut.load(Ordering::SeqCst) {
                    sleep_ms(10);
                }
                let Ok(far) = TcpStream::connect(to) else { return };
                let (near_copy, far_copy, cut_copy) =
                    (near.try_clone().unwrap(), far.try_clone().unwrap(), cut.clone());
                std::thread::spawn(move || pass(&far_copy, &near_copy, &cut_copy));
                pass(&near, &far, &cut);
            });
        }
    });
    address
}

fn pass(from: &TcpStream, to: &TcpStream, cut: &AtomicBool) {
    let (mut reader, mut writer) = (from, to);
    let mut chunk = [0; 8192];
    while let Ok(read) = reader.read(&mut chunk) {
        while cut.load(Ordering::SeqCst) {
            sleep_ms(10);
        }
        if read == 0 || writer.write_all(&chunk[..read]).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}

/// The response code for `o1.guide-video.svc.example`, type A.
pub fn look_up(at: SocketAddr, wait: Duration) -> Option<u8> {
    let question = b"\0\x07\x01\0\0\x01\0\0\0\0\0\0\x02o1\x0bguide-video\x03svc\x07example\0\0\x01\0\x01";
    let socket = UdpSocket::bind("127.0.0.1:0").ok()?;
    socket.set_read_timeout(Some(wait)).ok()?;
    socket.send_to(question, at).ok()?;
    let mut answer = [0; 512];
    let read = socket.recv(&mut answer).ok()?;
    (read > 3).then(|| answer[3] & 15)
}

fn text(code: Option<u8>) -> &'static str {
    match code {
        Some(0) => "an address (as the first document says)",
        Some(5) => "REFUSED (as the second document says)",
        Some(_) => "another code",
        None => "nothing",
    }
}

pub fn agree(run: &Run, to: SocketAddr, file: &str) -> Result<(), String> {
    for _ in 0..200 {
        let said = command(
            run,
            &[GATEWAY, "propose", "--to", &to.to_string(), &run.path(file).display().to_string()],
        );
        match said {
            Ok(said) => {
                run.rec(&format!("operator: {file} is agreed on, says {to}: {said}"));
                return Ok(());
            }
            Err(cause) => run.rec(&format!("operator: {file} again: {cause}")),
        }
        sleep_ms(100);
    }
    Err(format!("{file} is not agreed on"))
}

pub fn run(run: &Run, restart: bool) -> Result<u64, String> {
    let (events, world) = (Arc::new(Events::default()), Arc::new(World::default()));
    let cache = Store::new(run, "127.0.0.1", 0x00c4_1f7a, "small-box", "edge-1", &world);
    let origin = Store::new(run, "127.0.0.1", 0x0000_0b01, "origin", "north", &world);
    events.push(run, &list(&[&cache, &origin]));
    let bus = Bus::new(run, "bus", &events);
    let cut = Arc::new(AtomicBool::new(false));
    let listens: Vec<SocketAddr> = (0..INSTANCES).map(|_| free_address()).collect();
    let names: Vec<SocketAddr> = (0..INSTANCES).map(|_| free_address()).collect();
    let last = INSTANCES - 1;
    let start = |index: usize| {
        let name = format!("n{}", index + 1);
        let peers: Vec<String> = (0..INSTANCES)
            .filter(|peer| *peer != index)
            .map(|peer| {
                // The ways to and from the last instance lead through proxies.
                let way =
                    if index == last || peer == last { proxy(listens[peer], &cut) } else { listens[peer] };
                format!("    peer {} \"{way}\"\n", peer + 1)
            })
            .collect();
        let operators = format!(
            "dns listen=\"{}\" domain=\"svc.example\" deadline=\"500ms\" {{\n    source \"127.0.0.77\" zone=\"edge-1\"\n}}\n\
             group id={} listen=\"{}\" data=\"raft-{name}\" {{\n{}}}\n",
            names[index],
            index + 1,
            listens[index],
            peers.concat()
        );
        let operators = run.write(&format!("{name}.kdl"), &operators);
        let config = Config {
            name: name.clone(),
            listen: free_address(),
            admin: None,
            bus: bus.address,
            known: events.known(),
            settings: settings(&[GUIDE_VIDEO, FORM_ASSETS, ACTIVATION_SUBMIT], 1),
        };
        let path = run.write(&format!("{name}.json"), &config.json());
        (start_gateway(run, &name, &path, Some(&operators)), config.listen)
    };
    let mut gateways = Vec::new();
    for index in 0..INSTANCES {
        gateways.push(Some(start(index)));
    }
    for (_, listen) in gateways.iter().flatten() {
        wait_live(*listen)?;
    }
    run.write("first.kdl", "deadline \"500ms\"\nsource \"127.0.0.1\" zone=\"edge-1\"\n");
    run.write("second.kdl", "deadline \"500ms\"\nsource \"127.0.0.9\" zone=\"edge-1\"\n");
    agree(run, listens[0], "first.kdl")?;
    sleep_ms(SETTLE_MS);
    let wait = Duration::from_secs(1);
    let round = |label: &str| -> Vec<Option<u8>> {
        let codes: Vec<Option<u8>> = names.iter().map(|at| look_up(*at, wait)).collect();
        for (index, code) in codes.iter().enumerate() {
            run.rec(&format!("{label}: a client at 127.0.0.1 asks n{}: {}", index + 1, text(*code)));
        }
        codes
    };
    if round("first document").iter().any(|code| *code != Some(0)) {
        return Err("the first document is not in force everywhere".into());
    }
    if run.trouble && restart {
        gateways[last].take().into_iter().for_each(|(process, _)| process.kill());
    } else if run.trouble {
        run.rec(&format!("n{INSTANCES} is cut off from the other instances"));
        cut.store(true, Ordering::SeqCst);
    }
    sleep_ms(1_500);
    agree(run, listens[0], "second.kdl")?;
    sleep_ms(SETTLE_MS);
    let mut broken = 0;
    if run.trouble && restart {
        if (0..last).any(|index| look_up(names[index], wait) != Some(5)) {
            return Err("the second document is not in force at the others".into());
        }
        gateways[last] = Some(start(last));
        let began = now_ms();
        while now_ms() < began + 6_000 {
            let code = look_up(names[last], Duration::from_millis(50));
            if code == Some(0) {
                broken += 1;
                run.rec(&format!("BROKEN n{INSTANCES} takes work under the first document after its return"));
            } else if code.is_some() && broken > 0 {
                run.rec(&format!("n{INSTANCES} answers {}", text(code)));
                break;
            }
            if code.is_none() {
                sleep_ms(1);
            }
        }
    } else {
        let (began, mut judged) = (now_ms(), 0);
        while now_ms() < began + CUT_MS {
            let codes = round("second document");
            judged += u64::from(codes[0] == Some(5));
            if codes[0] == Some(5) && codes.contains(&Some(0)) {
                broken += 1;
                run.rec("BROKEN two instances act on different committed documents at the same time");
            }
            sleep_ms(500);
        }
        if judged == 0 {
            return Err("the second document is not in force at n1".into());
        }
    }
    cut.store(false, Ordering::SeqCst);
    sleep_ms(SETTLE_MS);
    round("at the end");
    for (process, _) in gateways.iter_mut().flatten() {
        if process.has_ended() {
            return Err("a gateway has ended".into());
        }
    }
    Ok(broken)
}
