use super::*;
use rstest::rstest;
use serde_json::json;

/// A configuration in the form of the wire page's example, with all keys that the pages name as optional, and with lists
/// of objects at several depths.
fn complete() -> Value {
    let class =
        |name: &str| json!({"Name": name, "Aim": 1, "AimStretch": 1.5, "Deadline": 2, "Group": "all"});
    json!({
        "name": "n0", "admin": "127.0.0.1:1", "bus": "127.0.0.1:2", "limits": {"cores": 1.0, "sockets": 64},
        "peers": ["127.0.0.1:3", "127.0.0.1:4"],
        "settings": {
            "Classes": [class("a"), class("b"), class("c")],
            "Fees": {"Fleet": 0.1, "Probe": 0.012},
            "FamilyInfo": {"ClassFresh": [0, 8, 0], "Nested": {"Of": [{"Parts": [{"One": 1, "Two": [[3]]}]}]}},
            "Tenants": [{"Name": "t", "Fraction": 0.5}],
            "Zones": ["north", "south"],
        }
    })
}

/// The JSON pointers of all keys of objects, at any depth.
fn all_keys(value: &Value, at: &str, found: &mut Vec<String>) {
    let children: Vec<(String, &Value)> = match value {
        Value::Object(keys) => keys.iter().map(|(key, value)| (key.clone(), value)).collect(),
        Value::Array(entries) => {
            entries.iter().enumerate().map(|(index, value)| (index.to_string(), value)).collect()
        }
        _ => return,
    };
    for (step, child) in children {
        let at = format!("{at}/{step}");
        if value.is_object() {
            found.push(at.clone());
        }
        all_keys(child, &at, found);
    }
}

fn without(document: &Value, pointer: &str) -> Value {
    let mut document = document.clone();
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    document.pointer_mut(parent).unwrap().as_object_mut().unwrap().remove(key).unwrap();
    document
}

/// `/settings/Classes/1/Aim` as the path of a message, `settings.Classes[1].Aim`.
fn message_path(pointer: &str) -> String {
    let mut path = String::new();
    for step in pointer.split('/').skip(1) {
        path = if step.parse::<usize>().is_ok() { format!("{path}[{step}]") } else { key_path(&path, step) };
    }
    path
}

fn is_optional(pointer: &str) -> bool {
    let without_indices: Vec<&str> = pointer.split('/').skip(1).collect();
    matches!(
        without_indices[..],
        ["admin"] | ["settings", "Classes", _, "AimStretch"] | ["settings", "Fees", "Fleet"]
    )
}

fn missing_key(required: &RequiredKeys, document: &Value) -> Option<String> {
    required.check(&Shape(document.clone())).err().map(|error| error.key)
}

/// Guards against a file that is refused for an optional key, and against a broken one that passes for the same reason.
#[test]
fn every_key_but_the_optional_ones_is_required_at_any_depth() {
    let complete = complete();
    let mut keys = Vec::new();
    all_keys(&complete, "", &mut keys);
    assert!(keys.len() > 30 && keys.iter().filter(|key| is_optional(key)).count() == 5, "{keys:?}");
    for key in keys {
        let required = RequiredKeys::of(&Shape(complete.clone()));
        let expected = (!is_optional(&key)).then(|| message_path(&key));
        assert_eq!(missing_key(&required, &without(&complete, &key)), expected, "{key}");
    }
}

/// The next file may bring back what the last one has dropped, and drop it again.
#[rstest]
#[case::admin("/admin")]
#[case::first_entry("/settings/Classes/0/AimStretch")]
#[case::last_entry("/settings/Classes/2/AimStretch")]
#[case::fee("/settings/Fees/Fleet")]
fn optional_key_is_dropped_and_added_again(#[case] key: &str, #[values(true, false)] starts_with: bool) {
    let documents = [complete(), without(&complete(), key)];
    let mut required = RequiredKeys::of(&Shape(documents[usize::from(!starts_with)].clone()));
    for document in documents.iter().cycle().take(6) {
        assert_eq!(missing_key(&required, document), None);
        required.replace(&Shape(document.clone()));
    }
}

/// Guards against a class that was in force and is refused when it comes back, as the entries that were left happened to
/// have a key more in common.
#[test]
fn entry_that_was_in_force_may_return_with_the_keys_that_it_had() {
    let entry = |name: &str| json!({"Name": name, "Parts": [{"One": 1, "Two": 2}]});
    let mut shorter = entry("b");
    shorter["Parts"][0].as_object_mut().unwrap().remove("Two");
    let list = |entries: &[&Value]| json!({"List": entries});
    let mut required = RequiredKeys::of(&Shape(list(&[&entry("a"), &shorter])));
    for next in [list(&[&entry("a")]), list(&[]), list(&[&entry("a")]), list(&[&shorter])] {
        assert_eq!(missing_key(&required, &next), None);
        required.replace(&Shape(next));
    }
    shorter["Parts"][0].as_object_mut().unwrap().remove("One");
    assert_eq!(missing_key(&required, &list(&[&shorter])), Some("List[0].Parts[0].One".into()));
}

/// Guards against a broken entry that passes after all entries have been dropped.
#[test]
fn entries_keep_their_required_keys_while_the_list_is_empty() {
    let mut required = RequiredKeys::of(&Shape(complete()));
    let mut empty = complete();
    empty["settings"]["Classes"] = json!([]);
    assert_eq!(missing_key(&required, &empty), None);
    required.replace(&Shape(empty));
    let broken = without(&complete(), "/settings/Classes/1/Deadline");
    assert_eq!(missing_key(&required, &broken), Some("settings.Classes[1].Deadline".into()));
}

#[rstest]
#[case::null_for_a_value(json!({"a": null, "b": [1], "c": {}}), "a")]
#[case::object_for_a_list(json!({"a": 1, "b": {}, "c": {}}), "b")]
#[case::null_in_a_list(json!({"a": 1, "b": [1, null], "c": {}}), "b[1]")]
#[case::list_for_an_object(json!({"a": 1, "b": [], "c": []}), "c")]
fn value_of_another_type_is_missing(#[case] replacement: Value, #[case] path: &str) {
    let required = RequiredKeys::of(&Shape(json!({"a": 1, "b": [1], "c": {}})));
    assert_eq!(missing_key(&required, &replacement).as_deref(), Some(path));
}
