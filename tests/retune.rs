//! Reloads of changed settings.

mod stand;
use rstest::rstest;
use sagearch::config::{Config, decode};
use serde_json::{Value, json};
use stand::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The configuration of a gateway that follows this bus, after a change to its JSON form.
fn changed_config(bus: &Bus, change: impl FnOnce(&mut Value)) -> Config {
    let mut json = config(bus, "127.0.0.1:0", 1024);
    change(&mut json);
    decode(&json.to_string(), None, None).unwrap()
}

/// An origin that refuses its first attempt unprocessed after a delay, and serves all others.
fn origin_that_refuses_first_attempt() -> Store {
    let attempts = std::sync::atomic::AtomicUsize::new(0);
    Store::new(9, move |_, _| {
        if attempts.fetch_add(1, std::sync::atomic::Ordering::SeqCst) == 0 {
            std::thread::sleep(Duration::from_millis(300));
            return Do::Answer("refused", "-", Vec::new());
        }
        ok(b"x")
    })
}

#[test]
fn reload_applies_to_new_requests_only() {
    let (bus, origin) = (Bus::default(), origin_that_refuses_first_attempt());
    let gateway = gateway(&bus, &[origin.origin()]);
    let open = send(gateway.listen, &request("once/form1", 1, 2_500, ""));
    wait_for("the first attempt", || origin.pulls() == 1);
    let new_config = changed_config(&bus, |config| {
        let settings = &mut config["settings"];
        let mut extra = settings["Classes"][1].clone();
        extra["Name"] = json!("extra");
        // Removes `once`, lets `submit` do without an idempotency key, adds `extra` and allows a single attempt.
        settings["Classes"] = json!([settings["Classes"][0], settings["Classes"][2], extra]);
        settings["Classes"][1]["Effect"] = json!("free");
        settings["Limits"]["SendCap"] = json!(1);
    });
    gateway.reload(new_config).unwrap();
    let address = gateway.listen;
    assert_eq!(ask(address, "once/form1", 2).status, 404, "the removed class is unknown");
    assert_eq!([ask(address, "submit/form1", 3).status, ask(address, "extra/form1", 4).status], [200, 200]);
    // The open request has two attempts, under the settings of its arrival.
    assert_eq!(read_answer(&open, Instant::now()).unwrap().status, 200);
    assert_eq!(origin.pulls(), 4);
    let refusing_origin = origin_that_refuses_first_attempt();
    bus.list(&[origin.gone("removed"), refusing_origin.origin()]);
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!(
        (ask(address, "extra/form1", 5).status, refusing_origin.pulls()),
        (503, 1),
        "a new request has a single attempt"
    );
    // The original settings return: `submit` requires a key again, and `extra` is unknown.
    gateway.reload(changed_config(&bus, |_| ())).unwrap();
    assert_eq!([ask(address, "submit/form1", 6).status, ask(address, "extra/form1", 7).status], [400, 404]);
}

/// An invalid configuration is rejected, and the gateway keeps its settings and its event bus.
#[rstest]
#[case::empty(|_: Value| String::new())]
#[case::truncated(|config: Value| config.to_string()[..900].to_string())]
#[case::no_settings(|mut config: Value| { config.as_object_mut().unwrap().remove("settings"); config.to_string() })]
#[case::no_limits(|mut config: Value| { config.as_object_mut().unwrap().remove("limits"); config.to_string() })]
#[case::missing_key(|mut config: Value| { config["settings"]["FamilyInfo"].as_object_mut().unwrap().remove("PassOn"); config.to_string() })]
#[case::class_missing_key(|mut config: Value| { config["settings"]["Classes"][1].as_object_mut().unwrap().remove("Group"); config.to_string() })]
#[case::null(|mut config: Value| { config["settings"]["Tick"] = Value::Null; config.to_string() })]
#[case::no_deadline(|mut config: Value| { config["settings"]["Classes"][0]["Deadline"] = json!(0); config.to_string() })]
#[case::negative_deadline(|mut config: Value| { config["settings"]["Classes"][0]["Deadline"] = json!(-1); config.to_string() })]
#[case::no_attempts(|mut config: Value| { config["settings"]["Limits"]["SendCap"] = json!(0); config.to_string() })]
#[case::list_of_wrong_length(|mut config: Value| { config["settings"]["FamilyInfo"]["PassOn"] = json!([false]); config.to_string() })]
fn invalid_configuration_changes_nothing(#[case] invalidate: fn(Value) -> String) {
    let (bus, other_bus) = (Bus::default(), Bus::default());
    let stores = [(1, b"x"), (2, b"y")].map(|(id, body)| Store::new(id, move |_, _| ok(body)));
    let gateway = gateway(&bus, &[stores[0].cache()]);
    let mut json = config(&other_bus, "127.0.0.1:0", 1024);
    json["settings"]["Classes"][0]["Name"] = json!("other");
    let error = decode(&invalidate(json), None, None).and_then(|config| gateway.reload(config)).unwrap_err();
    assert!(!error.to_string().is_empty());
    bus.list(&[stores[0].gone("removed"), stores[1].cache()]);
    let next_id = std::sync::atomic::AtomicU64::new(1);
    wait_for("an event of the previous bus is applied", || {
        let id = next_id.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
        ask(gateway.listen, &format!("video/o{id}"), id).body == b"y"
    });
}

/// A client can reach each of these classes after the reload.
fn assert_classes_are_known(listen: SocketAddr, classes: &[&str], first_id: u64) {
    for (id, class) in (first_id..).zip(classes) {
        assert_ne!(ask(listen, &format!("{class}/form1"), id).status, 404, "{class} is known");
    }
}

/// Adds the class `added` to the configuration, a copy of `video` without the keys that the wire page lets be absent.
fn add_class_without_optional_keys(config: &mut Value) {
    let classes = config["settings"]["Classes"].as_array_mut().unwrap();
    let mut added = classes[0].clone();
    added["Name"] = json!("added");
    added.as_object_mut().unwrap().remove("AimStretch");
    classes.push(added);
    for by_class in ["ClassFresh", "PassOn"] {
        let list = config["settings"]["FamilyInfo"][by_class].as_array_mut().unwrap();
        list.push(list[0].clone());
    }
}

/// A new class without `AimStretch` had the whole file turned down, and with it the new address of the event bus: the
/// gateway went on with a bus that had nothing more to tell, and answered from purged copies.
#[test]
fn class_without_optional_key_is_accepted_with_the_new_bus() {
    let (bus, other_bus) = (Bus::default(), Bus::default());
    let stores = [(1, b"x"), (2, b"y")].map(|(id, body)| Store::new(id, move |_, _| ok(body)));
    let gateway = gateway(&bus, &[stores[0].cache()]);
    other_bus.list(&[stores[0].cache()]);
    gateway.reload(changed_config(&other_bus, add_class_without_optional_keys)).unwrap();
    assert_classes_are_known(gateway.listen, &["video", "added"], 1);
    other_bus.list(&[stores[0].gone("removed"), stores[1].cache()]);
    let next_id = std::sync::atomic::AtomicU64::new(10);
    wait_for("an event of the new bus is applied", || {
        let id = next_id.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
        ask(gateway.listen, &format!("video/o{id}"), id).body == b"y"
    });
}

/// The same fault on the way back: a class that was in force without the key was refused once it had been dropped, because
/// all classes that were left had the key.
#[test]
fn class_without_optional_key_is_dropped_and_added_again() {
    let (bus, origin) = (Bus::default(), Store::new(9, |_, _| ok(b"x")));
    let gateway = gateway(&bus, &[origin.origin()]);
    for round in 0..3 {
        gateway.reload(changed_config(&bus, add_class_without_optional_keys)).unwrap();
        assert_classes_are_known(gateway.listen, &["video", "added"], 1 + 10 * round);
        gateway.reload(changed_config(&bus, |_| ())).unwrap();
        assert_eq!(ask(gateway.listen, "added/form1", 5 + 10 * round).status, 404);
    }
}
