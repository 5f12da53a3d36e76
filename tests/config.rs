//! The configuration: its defaults, and messages that name the key at fault.

mod stand;
use rstest::rstest;
use sagearch::config::decode;
use sagearch::settings::ConnectionLimits;
use sagearch_operators::{self as operators, Operators, tls::ClientAuth};
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
    assert!(config.known.batch.is_empty() && config.operators.unwrap() == Operators::default());
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
    assert_eq!(
        (silent.streams_per_connection, silent.connect_timeout, silent.keepalive),
        (100, 400_000, 30_000_000)
    );
    let limits = &mut told["settings"]["Limits"];
    limits["StreamsPerConn"] = json!(1);
    limits["ConnectTimeout"] = json!(250_000);
    limits["Keepalive"] = json!(9_000_000);
    limits["Probes"] = json!(false);
    let want = ConnectionLimits {
        streams_per_connection: 1,
        connect_timeout: 250_000,
        keepalive: 9_000_000,
        probes: false,
    };
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

/// The language's own package has the broken files; here is what the settings have to say.
#[rstest]
#[case::zone(
    "routes {\n source \"::1\" zone=\"moon\"\n}",
    "f.kdl:2:15: zone \"moon\" is not in the settings"
)]
#[case::several(
    "routs\nlimits lookups=0",
    "f.kdl:1:1: \"routs\" is not known here; \"routes\" is\nf.kdl:2:8: lookups is no"
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
    let from = |ip: &str| dns.routes.sources.iter().find(|source| source.contains(ip.parse().unwrap()));
    assert!(from("127.0.0.9").unwrap().ignores_lifetimes && !from("127.1.2.3").unwrap().ignores_lifetimes);
    assert!(from("128.0.0.1").is_none() && from("::1").is_none());
    let identity = all.identity.unwrap();
    assert_eq!((identity.settings.issuers.len(), identity.settings.tenants.len()), (2, 2));
    let feed = all.feed.unwrap();
    assert_eq!((feed.relays.len(), feed.lease, feed.revalidate), (2, 1_700, 20));
    assert_eq!(all.tls.unwrap().clients.unwrap().client_auth, ClientAuth::Optional);
}
