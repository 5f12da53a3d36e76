//! The stored intents of operators.

use super::frame_form::difference;
use super::stand::*;
use super::{fixture, read_fixture};
use sagearch::net::lifecycle::intents::Intents;
use serde_json::Value;
use std::path::Path;

const FILE: &str = "sagearch-n0.json";

fn json(file: &Path) -> Value {
    serde_json::from_slice(&std::fs::read(file).unwrap()).unwrap()
}

#[test]
fn intents_read_and_rewritten_keep_their_bytes() {
    let recorded = read_fixture("intents/sagearch-n0.json");
    let intents: Intents = serde_json::from_slice(&recorded).unwrap();
    assert!(intents.names("s-00000001") && intents.names("s-00000002") && !intents.names("s-00000003"));
    assert_eq!(
        String::from_utf8(serde_json::to_vec(&intents).unwrap()).unwrap(),
        String::from_utf8(recorded).unwrap()
    );
}

#[test]
fn recorded_intents_file_is_applied_and_rewritten_in_the_same_form() {
    let (bus, folder) = (Bus::default(), Folder::default());
    std::fs::copy(fixture("intents/sagearch-n0.json"), folder.0.join(FILE)).unwrap();
    let stores: Vec<Store> = (1..=3).map(|id| Store::new(id, |_, _| ok(b"x"))).collect();
    let list: Vec<Value> = stores.iter().map(Store::cache).collect();
    let gateway = gateway_for_operators(&bus, &list, &folder);
    let admin = gateway.admin.unwrap();
    assert_eq!(call(admin, "GET /v1/readyz"), 503, "the recorded drain is in force");
    assert_eq!(call(admin, "POST /v1/gateway/activate"), 200);
    (1..40).for_each(|id| assert_eq!(ask(gateway.listen, &format!("video/o{id}"), id).status, 200));
    assert_eq!(stores[0].pulls(), 0, "the recorded store is suspended");
    // The recorded resume time has expired and is not written again. A store that is resumed now takes its place.
    assert_eq!(call(admin, "POST /v1/stores/s-00000003/suspend"), 200);
    assert_eq!(call(admin, "POST /v1/stores/s-00000003/resume"), 200);
    let (recorded, mut now) = (json(&fixture("intents/sagearch-n0.json")), json(&folder.0.join(FILE)));
    let resume_times = now["back"].as_object_mut().unwrap();
    let resumed_at = resume_times.remove("s-00000003").expect("the resume time of the store");
    resume_times.insert("s-00000002".into(), resumed_at);
    // In addition to the recorded form, the file holds the time since boot, which is not stepped, for this store only.
    let since_boot = now.as_object_mut().unwrap().remove("back_since_boot").expect("resume times since boot");
    assert!(!since_boot["boot"].as_str().unwrap().is_empty());
    let micros = since_boot["micros"].as_object().unwrap();
    assert_eq!(micros.keys().collect::<Vec<_>>(), ["s-00000003"]);
    assert!(micros["s-00000003"].as_u64() > Some(0));
    assert_eq!(difference(&recorded, &now, ""), None);
}
