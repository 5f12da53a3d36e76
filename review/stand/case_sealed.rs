//! The control service vanishes while a gateway starts that holds no version yet. The gateway's own file has `tls` for the
//! operators' address; who may call is streamed.

use crate::base::*;
use crate::bus::{Bus, Events};
use crate::store::{Store, World, list};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

const GATEWAY: &str = "target/release/sagearch";
const CONTROL: &str = "target/release/sagearch-control";
/// For how long the control service is away after the gateway's start; the pages say a minute.
const AWAY_MS: u64 = 12_000;
const SERVED_MS: u64 = 6_000;

/// Keys, certificates, a token, and the files of the service and of the version.
fn prepare(run: &Run, at: SocketAddr) -> Result<String, String> {
    let file = |name: &str| run.path(name).display().to_string();
    let issue = |words: &[&str]| command(run, &[&[GATEWAY, "identity", "issue"], words].concat());
    let ca = file("ca");
    issue(&["authority", "--name", "review", "--out", &ca])?;
    issue(&[
        "certificate",
        "--authority",
        &ca,
        "--dns",
        "control.example",
        "--server",
        "--out",
        &file("service"),
    ])?;
    issue(&[
        "certificate",
        "--authority",
        &ca,
        "--dns",
        "gateway.example",
        "--server",
        "--out",
        &file("gateway"),
    ])?;
    issue(&[
        "certificate",
        "--authority",
        &ca,
        "--uri",
        "spiffe://example/gateway/n0",
        "--out",
        &file("n0"),
    ])?;
    issue(&["certificate", "--authority", &ca, "--uri", "spiffe://example/ops/one", "--out", &file("ops")])?;
    issue(&["key", "--out", &file("issuer.pem")])?;
    issue(&["jwks", "--key", &file("issuer.pem"), "--kid", "2026-12", "--out", &file("login.jwks.json")])?;
    run.write(
        "control.kdl",
        &format!(
            "service listen=\"{at}\" data=\"service-data\" certificate=\"service.pem\" key=\"service.key\" roots=\"ca.pem\" \\\n        \
             gateways=\"spiffe://example/gateway/\" {{\n    operator \"on-call\" may=\"change\" uri=\"spiffe://example/ops/\"\n}}\n"
        ),
    );
    run.write(
        "version.kdl",
        "identity {\n    audience \"sagearch\"\n    issuer \"https://login.example\" {\n        keys set=\"login\"\n    }\n    \
         tenant \"guides\" {\n        token issuer=\"https://login.example\"\n        allow methods=\"GET\"\n    }\n}\n\
         key-set \"login\" file=\"login.jwks.json\"\n",
    );
    run.write(
        "gateway.kdl",
        &format!(
            "tls {{\n    admin {{\n        certificate \"gateway.pem\" key=\"gateway.key\"\n    }}\n}}\n\
             control data=\"versions\" beat=\"500ms\" spread=\"500ms\" show-version=#true roots=\"ca.pem\" certificate=\"n0.pem\" key=\"n0.key\" {{\n    \
             address \"{at}\" name=\"control.example\"\n}}\n"
        ),
    );
    issue(&[
        "token",
        "--key",
        &file("issuer.pem"),
        "--kid",
        "2026-12",
        "--issuer",
        "https://login.example",
        "--audience",
        "sagearch",
        "--subject",
        "till-7",
    ])
}

fn start_service(run: &Run, at: SocketAddr) -> Result<Process, String> {
    let service = Process::start(
        run,
        "control",
        &format!("exec {CONTROL} serve {}", run.path("control.kdl").display()),
        &[],
    );
    for _ in 0..250 {
        if std::net::TcpStream::connect(at).is_ok() {
            return Ok(service);
        }
        sleep_ms(20);
    }
    Err("the control service does not listen".into())
}

fn publish(run: &Run, at: SocketAddr) -> Result<String, String> {
    let file = |name: &str| run.path(name).display().to_string();
    let (at, text) = (at.to_string(), file("version.kdl"));
    let said = command(
        run,
        &[
            CONTROL,
            "publish",
            "--to",
            &at,
            "--name",
            "control.example",
            "--roots",
            &file("ca.pem"),
            "--certificate",
            &file("ops.pem"),
            "--key",
            &file("ops.key"),
            "--json",
            "--stages",
            "100",
            "--hold",
            "0s",
            &text,
        ],
    )?;
    run.rec(&format!("operator: published {said}"));
    let (_, digest) = said.split_once("\"digest\":").ok_or("no digest")?;
    let digest: String = digest.chars().filter(char::is_ascii_hexdigit).take(8).collect();
    Ok(format!("1.1-{digest}"))
}

/// One request; counts a broken rule.
fn ask(run: &Run, listen: SocketAddr, token: Option<&str>, version: &str, broken: &mut u64) -> u16 {
    let authorization = token.map_or(String::new(), |token| format!("Authorization: Bearer {token}\r\n"));
    let who = if token.is_some() { "with a token" } else { "without credentials" };
    let (id, head) = object_head("GET", "guide-video/7f3a9c21e0b4d655/block-3", 1_500, &authorization, 0);
    let answer = match http(listen, &head, b"", Duration::from_secs(2)) {
        Ok(answer) => answer,
        Err(cause) => {
            run.rec(&format!("client {who}: {id} -> {cause}"));
            return 0;
        }
    };
    let under = answer.headers.get("config-version").cloned().unwrap_or_default();
    run.rec(&format!("client {who}: {id} -> {} Config-Version: {under}", answer.status));
    if answer.status == 200 && under != version {
        *broken += 1;
        run.rec(&format!("BROKEN {id} is served under {under:?}, which no control service has sent"));
    } else if answer.status == 200 && token.is_none() {
        *broken += 1;
        run.rec(&format!("BROKEN {id} is served to a caller whom {version} refuses"));
    }
    answer.status
}

pub fn run(run: &Run) -> Result<u64, String> {
    if !Path::new(&run.root.join(CONTROL)).exists() {
        return Err("review/build.sh has not been run".into());
    }
    let (events, world) = (Arc::new(Events::default()), Arc::new(World::default()));
    let cache = Store::new(run, "127.0.0.1", 0x00c4_1f7a, "small-box", "edge-1", &world);
    let origin = Store::new(run, "127.0.0.1", 0x0000_0b01, "origin", "north", &world);
    events.push(run, &list(&[&cache, &origin]));
    let bus = Bus::new(run, "bus", &events);
    let at = free_address();
    let token = prepare(run, at)?;
    let mut service = Some(start_service(run, at)?);
    let version = publish(run, at)?;
    run.rec(&format!("the version that counts is {version}"));
    sleep_ms(500);
    if run.trouble {
        run.rec("the control service vanishes");
        service.take().into_iter().for_each(Process::kill);
    }
    let config = Config {
        name: "n0".into(),
        listen: free_address(),
        admin: Some(free_address()),
        bus: bus.address,
        known: events.known(),
        settings: settings(&[GUIDE_VIDEO, FORM_ASSETS, ACTIVATION_SUBMIT], 1),
    };
    let path = run.write("config.json", &config.json());
    let mut gateway = start_gateway(run, "gateway", &path, Some(&run.path("gateway.kdl")));
    wait_live(config.listen)?;
    let (mut broken, mut answered) = (0, 0);
    let began = now_ms();
    while now_ms() < began + AWAY_MS {
        answered += u64::from(ask(run, config.listen, None, &version, &mut broken) != 0);
        ask(run, config.listen, Some(&token), &version, &mut broken);
        sleep_ms(200);
    }
    if run.trouble {
        run.rec("the control service is back");
        service = Some(start_service(run, at)?);
        sleep_ms(2_000);
    }
    let began = now_ms();
    let mut served = 0;
    while now_ms() < began + SERVED_MS {
        served += u64::from(ask(run, config.listen, Some(&token), &version, &mut broken) == 200);
        ask(run, config.listen, None, &version, &mut broken);
        sleep_ms(200);
    }
    quote_log(run, "gateway", &["nobody is served", "are served", "control:"]);
    if gateway.has_ended() {
        return Err("the gateway has ended".into());
    }
    drop(service);
    if answered == 0 {
        return Err("the gateway answered nobody, so that nothing can be judged".into());
    }
    if served == 0 && !run.trouble {
        return Err("the gateway never served under the version".into());
    }
    Ok(broken)
}
