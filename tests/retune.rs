//! Settings that change at SIGHUP.

mod stand;
use rstest::rstest;
use sagearch::config::{Config, decode};
use serde_json::{Value, json};
use stand::*;
use std::time::{Duration, Instant};

/// The configuration of a gateway that follows this bus, changed.
fn changed(bus: &Bus, change: impl FnOnce(&mut Value)) -> Config {
    let mut whole = config(bus, "127.0.0.1:0", 1024);
    change(&mut whole);
    decode(&whole.to_string(), None, None).unwrap()
}

/// An origin that is slow to turn the first attempt away, unseen, and serves the rest.
fn refuses_first() -> Store {
    let asked = std::sync::atomic::AtomicUsize::new(0);
    Store::new(9, move |_, _| {
        if asked.fetch_add(1, std::sync::atomic::Ordering::SeqCst) == 0 {
            std::thread::sleep(Duration::from_millis(300));
            return Do::Answer("refused", "-", Vec::new());
        }
        ok(b"x")
    })
}

#[test]
fn open_requests_keep_their_rules_and_new_ones_get_the_new() {
    let (bus, origin) = (Bus::default(), refuses_first());
    let gateway = gateway(&bus, &[origin.origin()]);
    let open = send(gateway.listen, &request("once/form1", 1, 2_500, ""));
    wait_for("the attempt", || origin.pulls() == 1);
    let new = changed(&bus, |whole| {
        let settings = &mut whole["settings"];
        let mut extra = settings["Classes"][1].clone();
        extra["Name"] = json!("extra");
        // `once` is dropped, `submit` carries no key any more, `extra` is new, and one attempt is all.
        settings["Classes"] = json!([settings["Classes"][0], settings["Classes"][2], extra]);
        settings["Classes"][1]["Effect"] = json!("free");
        settings["Limits"]["SendCap"] = json!(1);
    });
    gateway.reload(new).unwrap();
    let at = gateway.listen;
    assert_eq!(ask(at, "once/form1", 2).status, 404, "dropped");
    assert_eq!([ask(at, "submit/form1", 3).status, ask(at, "extra/form1", 4).status], [200, 200]);
    // Two attempts, as when it was taken.
    assert_eq!(read_answer(&open, Instant::now()).unwrap().status, 200);
    assert_eq!(origin.pulls(), 4);
    let refusing = refuses_first();
    bus.list(&[origin.gone("removed"), refusing.origin()]);
    std::thread::sleep(Duration::from_millis(200));
    assert_eq!((ask(at, "extra/form1", 5).status, refusing.pulls()), (503, 1), "one attempt");
    // Back as it was: the key is wanted again.
    gateway.reload(changed(&bus, |_| ())).unwrap();
    assert_eq!([ask(at, "submit/form1", 6).status, ask(at, "extra/form1", 7).status], [400, 404]);
}

/// A broken file moves nothing, neither the settings nor the bus.
#[rstest]
#[case::empty(|_: Value| String::new())]
#[case::cut_off(|whole: Value| whole.to_string()[..900].to_string())]
#[case::no_settings(|mut whole: Value| { whole.as_object_mut().unwrap().remove("settings"); whole.to_string() })]
#[case::no_limits(|mut whole: Value| { whole.as_object_mut().unwrap().remove("limits"); whole.to_string() })]
#[case::short_of_a_key(|mut whole: Value| { whole["settings"]["FamilyInfo"].as_object_mut().unwrap().remove("PassOn"); whole.to_string() })]
#[case::class_short_of_a_key(|mut whole: Value| { whole["settings"]["Classes"][1].as_object_mut().unwrap().remove("Group"); whole.to_string() })]
#[case::null(|mut whole: Value| { whole["settings"]["Tick"] = Value::Null; whole.to_string() })]
#[case::no_deadline(|mut whole: Value| { whole["settings"]["Classes"][0]["Deadline"] = json!(0); whole.to_string() })]
#[case::negative_deadline(|mut whole: Value| { whole["settings"]["Classes"][0]["Deadline"] = json!(-1); whole.to_string() })]
#[case::no_attempts(|mut whole: Value| { whole["settings"]["Limits"]["SendCap"] = json!(0); whole.to_string() })]
#[case::lists_of_other_lengths(|mut whole: Value| { whole["settings"]["FamilyInfo"]["PassOn"] = json!([false]); whole.to_string() })]
fn a_broken_file_moves_nothing(#[case] broken: fn(Value) -> String) {
    let (bus, elsewhere) = (Bus::default(), Bus::default());
    let stores = [(1, b"x"), (2, b"y")].map(|(id, body)| Store::new(id, move |_, _| ok(body)));
    let gateway = gateway(&bus, &[stores[0].cache()]);
    let mut whole = config(&elsewhere, "127.0.0.1:0", 1024);
    whole["settings"]["Classes"][0]["Name"] = json!("other");
    let error = decode(&broken(whole), None, None).and_then(|config| gateway.reload(config)).unwrap_err();
    assert!(!error.to_string().is_empty());
    bus.list(&[stores[0].gone("removed"), stores[1].cache()]);
    let next = std::sync::atomic::AtomicU64::new(1);
    wait_for("the old bus is followed", || {
        let id = next.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
        ask(gateway.listen, &format!("video/o{id}"), id).body == b"y"
    });
}
