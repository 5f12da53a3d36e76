//! The configuration: its defaults, and messages that name the key at fault.

mod stand;
use rstest::rstest;
use sagearch::config::decode;
use sagearch::operators::{self, Operators, tls::Asks};
use sagearch::settings::Connections;
use serde_json::{Value, json};
use stand::*;

fn good() -> Value {
    json!({"name": "n3", "listen": "127.0.0.4:5050", "seed": "8c1f30d27a5be964", "bus": "127.2.0.1:4222",
        "limits": {"cores": 1.0, "memory_mb": 192}, "peers": ["127.3.0.1:7946"], "settings": settings()})
}

#[test]
fn what_is_not_told_has_a_default_and_the_environment_goes_first() {
    let config = decode(&good().to_string(), Some("n4".into()), Some("127.0.0.5:1".into())).unwrap();
    assert_eq!((config.name.as_str(), config.listen.to_string().as_str()), ("n4", "127.0.0.5:1"));
    assert_eq!((config.sockets, config.memory_mb, config.seed), (1024, 192, 0x8c1f_30d2_7a5b_e964));
    assert!(config.known.batch.is_empty() && config.operators == Ok(Operators::default()));
    assert_eq!(config.settings.classes.len(), 3);
}

/// The smallest machine in service has 32 MB and 256 descriptors.
#[test]
fn a_small_machine_will_do() {
    let mut small = good();
    small["limits"] = json!({"cores": 0.3, "memory_mb": 32, "sockets": 256});
    let config = decode(&small.to_string(), None, None).unwrap();
    assert_eq!((config.memory_mb, config.sockets), (32, 256));
}

#[test]
fn connections_go_by_the_settings() {
    let mut told = good();
    let connections = |config: &Value| decode(&config.to_string(), None, None).unwrap().names.connections;
    let silent = connections(&told);
    assert_eq!((silent.streams, silent.timeout, silent.keepalive), (100, 400_000, 30_000_000));
    let limits = &mut told["settings"]["Limits"];
    limits["StreamsPerConn"] = json!(1);
    limits["ConnectTimeout"] = json!(250_000);
    limits["Keepalive"] = json!(9_000_000);
    limits["Probes"] = json!(false);
    let want = Connections { streams: 1, timeout: 250_000, keepalive: 9_000_000, probes: false };
    assert_eq!(connections(&told), want);
    let names = decode(&told.to_string(), None, None).unwrap().names;
    let front = "dns domain=\"a.test\" listen=\"127.0.0.1:53\"";
    let fault = operators::parse("f.kdl", front, &names).unwrap_err().to_string();
    assert!(fault.starts_with("f.kdl:1:21: the settings allow no probes"), "{fault}");
}

#[rstest]
#[case("name", Value::Null, "name")]
#[case("listen", json!("somewhere"), "listen")]
#[case("seed", json!("xyz"), "seed")]
#[case("seed", Value::Null, "seed")]
#[case("bus", json!("127.0.0.1"), "bus")]
#[case("limits", json!({"sockets": 3}), "limits.sockets")]
#[case("limits", json!({"memory_mb": 23}), "limits.memory_mb")]
#[case("known", json!({"offset": "three", "batch": []}), "known")]
#[case("settings", Value::Null, "settings")]
#[case("settings", json!({"Classes": []}), "settings")]
fn a_fault_names_its_key(#[case] key: &str, #[case] value: Value, #[case] named: &str) {
    let mut config = good();
    config[key] = value;
    let Err(error) = decode(&config.to_string(), None, None) else { panic!("taken") };
    assert_eq!(error.key, named);
    assert!(error.to_string().starts_with(&format!("{named}: ")));
}

fn read(text: &str) -> Result<Operators, String> {
    let mut names = decode(&good().to_string(), None, None).unwrap().names;
    names.zones.insert("edge-1".into(), 1);
    operators::parse("f.kdl", text, &names).map_err(|fault| fault.to_string())
}

/// Each fault names file, line, column and cause.
#[rstest]
#[case::no_kdl("identity {\n", "f.kdl:1:")]
#[case::unknown("\n  routes", "f.kdl:2:3: \"routes\" is not known here")]
#[case::twice(
    "tls {\n clients { certificate \"a\" key=\"b\"; }\n}\ntls {\n clients { certificate \"a\" key=\"b\"; }\n}",
    "f.kdl:4:1: \"tls\" stands twice"
)]
#[case::far("dns domain=\"a\" listen=\"10.0.0.1:53\"", "f.kdl:1:16: 10.0.0.1:53 is not a loopback address")]
#[case::no_domain("dns listen=\"127.0.0.1:53\"", "f.kdl:1:1: \"dns\" lacks \"domain\"")]
#[case::empty_domain("dns listen=\"127.0.0.1:53\" domain=\".\"", "f.kdl:1:27: domain is empty")]
#[case::no_unit(
    "dns listen=\"127.0.0.1:53\" domain=\"a\" deadline=600",
    "f.kdl:1:38: deadline is a time without its unit"
)]
#[case::no_time(
    "dns listen=\"127.0.0.1:53\" domain=\"a\" deadline=\"0s\"",
    "f.kdl:1:38: \"0s\" is not from 10 ms"
)]
#[case::slip(
    "dns listen=\"127.0.0.1:53\" domain=\"a\" dedline=\"1s\"",
    "f.kdl:1:38: \"dedline\" is not known to \"dns\""
)]
#[case::said_twice(
    "dns listen=\"127.0.0.1:53\" domain=\"a\" domain=\"b\"",
    "f.kdl:1:38: \"domain\" stands twice"
)]
#[case::net(
    "dns listen=\"127.0.0.1:53\" domain=\"a\" {\n source \"127.0.0.0/33\" zone=\"edge\"\n}",
    "f.kdl:2:9: \"127.0.0.0/33\" is not a network"
)]
#[case::zone(
    "dns listen=\"127.0.0.1:53\" domain=\"a\" {\n source \"::1\" zone=\"moon\"\n}",
    "f.kdl:2:15: zone \"moon\" is not in the settings"
)]
#[case::no_id("group listen=\"127.0.0.1:1\" data=\"d\"", "f.kdl:1:1: \"group\" lacks \"id\"")]
#[case::far_group("group id=1 listen=\"10.0.0.1:1\" data=\"d\"", "f.kdl:1:12: 10.0.0.1:1 is not a loopback")]
#[case::no_peers("group id=1 listen=\"127.0.0.1:1\" data=\"d\"", "f.kdl:1:1: the group has no peers")]
#[case::own_id(
    "group id=1 listen=\"127.0.0.1:1\" data=\"d\" {\n peer 1 \"127.0.0.1:2\"\n}",
    "f.kdl:2:7: 1 is this instance's own id"
)]
#[case::no_data(
    "group id=1 listen=\"127.0.0.1:1\" {\n peer 2 \"127.0.0.1:2\"\n}",
    "f.kdl:1:1: \"group\" lacks \"data\""
)]
#[case::roots(
    "tls {\n clients client-certificates=\"optional\" { certificate \"a\" key=\"b\"; }\n}",
    "f.kdl:1:1: client certificates are asked for, and identity names no roots"
)]
#[case::no_certificate("tls {\n clients\n}", "f.kdl:2:2: \"clients\" has no certificate to show")]
#[case::no_keys("identity {\n audience \"g\"\n issuer \"i\"\n}", "f.kdl:3:2: issuer \"i\" has no keys")]
#[case::hmac("identity {\n issuer \"i\" { algorithms \"HS256\"; }\n}", "f.kdl:2:26: an algorithm is EdDSA")]
#[case::no_roots(
    "identity {\n issuer \"i\" { keys url=\"https://a/\"; }\n}",
    "f.kdl:2:20: https needs roots"
)]
#[case::no_http(
    "identity {\n issuer \"i\" { keys url=\"ftp://a/\"; }\n}",
    "f.kdl:2:20: an issuer's keys are asked for by http"
)]
#[case::issuer(
    "identity {\n tenant \"t\" { token issuer=\"i\"; }\n}",
    "f.kdl:1:1: tenant \"t\": issuer \"i\" is not in the file"
)]
#[case::half_a_claim(
    "identity {\n tenant \"t\" { token issuer=\"i\" claim=\"c\"; }\n}",
    "f.kdl:2:15: a claim needs its value"
)]
#[case::stars(
    "identity {\n tenant \"t\" { certificate dns=\"*.*.a\"; }\n}",
    "f.kdl:2:27: a star stands for the first label"
)]
#[case::method(
    "identity {\n tenant \"t\" { allow methods=\"GET POST\"; }\n}",
    "f.kdl:2:21: \"POST\" is not GET, PUT or LOOKUP"
)]
#[case::moment(
    "identity {\n issuer \"i\" { key \"k\" retired-at=\"tomorrow\"; }\n}",
    "f.kdl:2:23: \"tomorrow\" is no moment"
)]
#[case::tenant_twice("identity {\n tenant \"t\"\n tenant \"t\"\n}", "f.kdl:1:1: tenant \"t\": stands twice")]
#[case::operator(
    "identity {\n operator \"o\" may=\"fly\"\n}",
    "f.kdl:2:15: an operator may \"look\" or \"change\""
)]
fn a_fault_in_the_operators_file_names_its_place(#[case] text: &str, #[case] want: &str) {
    let fault = read(text).unwrap_err();
    assert!(fault.starts_with(want), "{fault}");
}

#[test]
fn the_example_is_usable_and_no_file_is_there_that_switches_anything_on() {
    let deploy = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("deploy");
    assert!(!deploy.join("gateway.kdl").exists());
    assert_eq!(read("").unwrap(), Operators::default());
    let all = read(&std::fs::read_to_string(deploy.join("gateway.example.kdl")).unwrap()).unwrap();
    let group = all.raft.unwrap();
    assert_eq!((group.id, group.peers.len()), (1, 2));
    let dns = all.dns.unwrap();
    let from = |ip: &str| dns.routes.sources.iter().find(|source| source.holds(ip.parse().unwrap()));
    assert!(from("127.0.0.9").unwrap().ignores_lifetimes && !from("127.1.2.3").unwrap().ignores_lifetimes);
    assert!(from("128.0.0.1").is_none() && from("::1").is_none());
    let identity = all.identity.unwrap();
    assert_eq!((identity.settings.issuers.len(), identity.settings.tenants.len()), (2, 2));
    assert_eq!(all.tls.unwrap().clients.unwrap().asks, Asks::Optional);
}
