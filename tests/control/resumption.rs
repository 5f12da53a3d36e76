//! The last good version: gateway restarts without a control service, open requests and reloads.

use super::*;

/// The service is down when the gateway starts and returns later. Until then the last good version is in force, also
/// when the newest stored version is truncated and the gateway resumes from the one before.
#[test]
fn gateway_without_a_service_resumes_from_its_last_good_version() {
    let (fixture, bus, key) = (Fixture::default(), Bus::default(), signer("k1"));
    let cache = Store::new(1, |_, _| ok(b"x"));
    let token = token(&key, "red");
    let service = RunningService::start(&fixture, "127.0.0.1:0".parse().unwrap());
    let service_address = service.address;
    let file = Fixture::operator_file(&[service_address], "");
    {
        let gateway = gateway_under(&bus, &[cache.cache()], &fixture.folder, &file);
        let mut ops = fixture.caller(service_address, "ops").connect().unwrap();
        ops.publish(&documents_for_red(&key, "a"), Plan::immediate()).unwrap();
        wait_for("the first version", || get(gateway.listen, "a1", &token).status == 200);
        wait_until_stable(&fixture, service_address, 1);
        ops.publish(&documents_for_red(&key, "b"), Plan::immediate()).unwrap();
        wait_for("the second version", || get(gateway.listen, "b1", &token).status == 200);
    }
    drop(service);
    let restarted = Instant::now();
    let gateway = gateway_under(&bus, &[cache.cache()], &fixture.folder, &file);
    let first = get(gateway.listen, "b1", &token);
    assert_eq!(first.status, 200, "the first answer after a restart is given under the last good version");
    assert!(version_of(&first).starts_with("1.2-"));
    println!("restart to the first answer: {:?}", restarted.elapsed());
    // The newest version file is truncated: the gateway resumes from the one before.
    let newest = std::fs::read_dir(fixture.path("versions"))
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .max()
        .unwrap();
    let bytes = std::fs::read(&newest).unwrap();
    std::fs::write(&newest, &bytes[..bytes.len() / 2]).unwrap();
    let restarted_gateway = gateway_under(&bus, &[cache.cache()], &fixture.folder, &file);
    assert!(version_of(&get(restarted_gateway.listen, "a1", &token)).starts_with("1.1-"));
    let _service = RunningService::start(&fixture, service_address);
    wait_for("the newest version is streamed again", || {
        get(restarted_gateway.listen, "b1", &token).status == 200
    });
}

/// A request that stays open over three versions is answered under the first one. A reload of the operator file keeps
/// the streamed documents.
#[test]
fn open_request_keeps_its_version_and_reload_keeps_the_streamed_part() {
    let (fixture, bus, key) = (Fixture::default(), Bus::default(), signer("k1"));
    let cache = Store::new(1, |line, _| {
        thread::sleep(Duration::from_millis(if line.contains("slow") { 600 } else { 0 }));
        ok(b"x")
    });
    let service = RunningService::start(&fixture, "127.0.0.1:0".parse().unwrap());
    let file = Fixture::operator_file(&[service.address], "");
    let gateway = gateway_under(&bus, &[cache.cache()], &fixture.folder, &file);
    let (address, token) = (gateway.listen, token(&key, "red"));
    let mut ops = fixture.caller(service.address, "ops").connect().unwrap();
    let mut publish = |prefix: &str, number: u64| {
        ops.publish(&documents_for_red(&key, prefix), Plan::immediate()).unwrap();
        wait_until_stable(&fixture, service.address, number);
    };
    publish("a", 1);
    // A version is stable without the gateways that have not connected yet.
    wait_for("the first version", || get(address, "a1", &token).status == 200);
    let id = NEXT_REQUEST_ID.fetch_add(1, Ordering::SeqCst);
    let slow = send(address, &request("video/a-slow", id, 1_500, &bearer(&token)));
    wait_for("the slow attempt", || cache.lines("PULL").iter().any(|line| line.contains("slow")));
    publish("b", 2);
    publish("c", 3);
    gateway.reload(config_under(&bus, &fixture.folder, &(file.clone() + "limits lookups=7\n"))).unwrap();
    let answer = read_answer(&slow, Instant::now()).unwrap();
    assert_eq!(answer.status, 200);
    assert!(version_of(&answer).starts_with("1.1-"), "{}", version_of(&answer));
    let newest = get(address, "c1", &token);
    assert!(
        newest.status == 200 && version_of(&newest).starts_with("1.3-"),
        "a reload keeps the streamed documents"
    );
}
