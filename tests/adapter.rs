//! Runs the built adapter, with batches on its standard input and replies on its standard output.

use serde_json::{Value, json};
use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_sagearch-benchlink"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut input = child.stdin.take().unwrap();
    // The write fails if the adapter exits before it has read all lines.
    let _ = input.write_all((lines.join("\n") + "\n").as_bytes());
    drop(input);
    child.wait_with_output().unwrap()
}

#[expect(clippy::needless_pass_by_value, reason = "callers hand in a value that they make in place")]
fn batch(serial: u64, messages: Value) -> String {
    json!({"Ts": 1_000_000 + serial * 10_000, "serial": serial, "news": messages}).to_string()
}

fn env() -> Value {
    json!({
        "Classes": [{"Aim": 500_000, "Credit": 1.0, "Deadline": 2_000_000, "Effect": "free", "Group": "all",
            "LateValue": 0.1, "MemorySpan": 0, "Name": "page", "Streamed": false}],
        "FamilyInfo": {"ClassFresh": [0], "Collapses": true, "MidKind": 1, "PaceKbPerS": 1000.0,
            "ParentCold": 9_000_000, "ParentLimitFactor": 2.0, "PassOn": [false], "PurgeTakes": 6_000_000,
            "SourceKind": 2, "Straight": false, "UpperColdFrom": 0.1, "ZoneBalancers": [1, 0], "New": 1},
        "Instances": 1, "Kinds": ["std", "parent", "origin"], "UnknownKey": {"field": 1},
        "Limits": {"MayCancel": true, "MaxRetryAfter": 500_000, "RetryAfter": true, "SendCap": 4},
        "Obligations": {"Fall": 2_000_000, "FallMultiple": 2.0, "StartCapacity": 0.2, "WarmUp": 9_000_000},
        "Report": {"Fields": ["rif", "x0"], "Source": "piggyback"},
        "Tick": 2000, "WeightKind": "nominal", "Zone": "near", "Zones": ["near", "hub"]
    })
}

fn start(gateway: u64) -> Value {
    json!([
        {"ATTACH": {"GatewayId": gateway, "Entropy": 18_446_744_073_709_551_615_u64, "Env": env()}},
        {"MEMBERS": {"GatewayId": gateway, "Mode": "Persisted", "Serial": 1, "NodesList": [
            {"Cache": 4_000_000_001_u32, "Dc": "near", "Bay": 0, "Rating": 4, "Readiness": "SERVING",
                "FamilyType": "std", "Later": true},
            {"Cache": 7, "Dc": "hub", "Bay": 0, "Rating": 4, "Readiness": "SERVING", "FamilyType": "parent"},
            {"Cache": 9, "Dc": "hub", "Bay": 0, "Rating": 4, "Readiness": "SERVING", "FamilyType": "origin"}
        ]}}
    ])
}

fn request(gateway: u64, id: &str) -> Value {
    json!({"REQUEST": {"GatewayId": gateway, "Corr": id, "Class": "page", "Budget": 2_000_000,
        "SizeKb": 50, "PurgeGroup": 3, "Options": 1, "Piece": 0, "ContentId": "c/a", "Extra": []}})
}

fn replies(output: &Output) -> Vec<Value> {
    let text = String::from_utf8(output.stdout.clone()).unwrap();
    text.lines().map(|line| serde_json::from_str(line).unwrap()).collect()
}

#[test]
fn request_is_dispatched_with_unaltered_ids() {
    let output = run(&[
        batch(1, start(3)),
        batch(2, json!([request(3, "00efd6cc5d3a91c4")])),
        batch(
            3,
            json!([{"RESPONSE": {"GatewayId": 3, "Corr": "00efd6cc5d3a91c4", "Cache": 4_000_000_001_u32,
            "TimeTaken": 9000, "Detail": 1, "Over": true, "Code": "Ok", "SeqNo": 0, "Stats": [3, 0.4]}}]),
        ),
    ]);
    assert!(output.status.success());
    let replies = replies(&output);
    assert_eq!(replies[0], json!({"serial": 1, "orders": []}));
    let orders = replies[1]["orders"].as_array().unwrap();
    let fill = orders.iter().find_map(|order| order.get("LOOK_AND_FILL")).unwrap();
    assert_eq!(fill["Corr"], "00efd6cc5d3a91c4");
    assert_eq!((&fill["Cache"], &fill["Source"]), (&json!(4_000_000_001_u32), &json!(7)));
    assert_eq!((&fill["Keep"], &fill["Switches"]), (&json!(1), &json!(1)));
    assert_eq!(replies[2]["orders"], json!([]));
}

#[test]
fn messages_with_unknown_ids_or_for_a_stopped_gateway_are_ignored() {
    let output = run(&[
        batch(1, start(3)),
        batch(
            2,
            json!([
                {"EXPIRED": {"GatewayId": 3, "Corr": "0000000000000001"}},
                {"WAKE": {"GatewayId": 3, "Nonce": "not-a-number"}},
                {"RESPONSE": {"GatewayId": 3, "Corr": "0000000000000002", "Cache": 7, "Code": "UnknownCode"}},
                {"HALT": {"GatewayId": 3}},
                request(3, "0000000000000003")
            ]),
        ),
    ]);
    assert!(output.status.success());
    assert_eq!(replies(&output)[1]["orders"], json!([]));
}

#[test]
fn idempotent_request_with_an_unknown_outcome_is_retried_or_refused() {
    let output = run(&[
        batch(1, start(3)),
        batch(2, json!([request(3, "00000000000000aa")])),
        batch(
            3,
            json!([{"RESPONSE": {"GatewayId": 3, "Corr": "00000000000000aa", "Cache": 4_000_000_001_u32,
            "TimeTaken": 9000, "Code": "UnknownCode", "SeqNo": 0}}]),
        ),
    ]);
    assert!(output.status.success());
    let text = replies(&output)[2].to_string();
    assert!(text.contains("LOOK_AND_FILL") || text.contains("PUSH_BACK"), "{text}");
}

#[test]
fn malformed_line_ends_the_adapter_with_an_error_message_and_status() {
    for malformed in
        ["{\"Ts\":1,", "{\"Ts\":1,\"serial\":2,\"news\":[{\"UNKNOWN_MESSAGE\":{\"GatewayId\":3}}]}"]
    {
        let output = run(&[batch(1, start(3)), malformed.to_string(), batch(3, json!([]))]);
        assert!(!output.status.success());
        assert_eq!(replies(&output).len(), 1);
        let message = String::from_utf8(output.stderr).unwrap();
        assert!(message.contains("batch on line 2"), "{message}");
    }
    let unknown_mode = batch(8, json!([{"MEMBERS": {"GatewayId": 3, "Mode": "UnknownMode", "Serial": 1}}]));
    let output = run(&[batch(1, start(3)), unknown_mode]);
    let message = String::from_utf8(output.stderr).unwrap();
    assert!(message.contains("batch 8") && message.contains("UnknownMode"), "{message}");
}

#[test]
fn unusable_settings_are_reported_in_a_bug_order() {
    let messages = json!([{"ATTACH": {"GatewayId": 3, "Entropy": 1, "Env": {"Zone": "near"}}}]);
    let output = run(&[batch(1, messages)]);
    assert!(output.status.success());
    let bug = &replies(&output)[0]["orders"][0]["BUG"];
    assert_eq!(bug["GatewayId"], 3);
    assert!(bug["Msg"].as_str().unwrap().contains("unusable settings"));
}

#[test]
fn gateways_in_one_process_decide_as_in_separate_processes() {
    let request_batch = |gateways: &[u64], serial: u64| {
        let requests =
            gateways.iter().map(|gateway| request(*gateway, &format!("{:016x}", serial * 100 + gateway)));
        batch(serial, requests.collect::<Vec<_>>().into())
    };
    let start_batch = |gateways: &[u64]| {
        let messages: Vec<Value> =
            gateways.iter().flat_map(|id| start(*id).as_array().unwrap().clone()).collect();
        batch(1, messages.into())
    };
    let run_gateways = |gateways: &[u64]| {
        let mut lines = vec![start_batch(gateways)];
        lines.extend((2..40).map(|serial| request_batch(gateways, serial)));
        replies(&run(&lines))
    };
    let orders_of = |replies: &[Value], gateway: u64| -> Vec<Value> {
        let orders = replies.iter().flat_map(|reply| reply["orders"].as_array().unwrap().clone());
        let is_own =
            |order: &Value| order.as_object().unwrap().values().all(|order| order["GatewayId"] == gateway);
        orders.filter(is_own).collect()
    };
    let (shared, separate) = (run_gateways(&[3, 5]), run_gateways(&[5]));
    assert_eq!(orders_of(&shared, 5), orders_of(&separate, 5));
    assert!(!orders_of(&separate, 5).is_empty());
}
