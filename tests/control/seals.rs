//! A gateway that must not serve without a version, before the first one comes.

use super::*;
use rstest::rstest;

/// How long the gateway is watched while the service is away: far over the 0.5 s after which the upkeep tries again.
const SERVICE_AWAY: Duration = Duration::from_secs(2);

/// The upkeep of key files took the seal of a gateway without a version for that of an invalid file, and lifted it after
/// 0.5 s: everyone was served under the gateway's own file, without credentials too.
#[rstest]
#[case::with_tls("tls {\n admin {\n certificate \"service.pem\" key=\"service.key\"\n }\n}\n")]
#[case::with_identity("")]
fn gateway_without_a_version_serves_nobody_while_the_service_is_away(#[case] own_part: &str) {
    let (fixture, bus, key) = (Fixture::default(), Bus::default(), signer("k1"));
    let cache = Store::new(1, |_, _| ok(b"x"));
    let token = token(&key, "red");
    let own_part = match own_part {
        "" => {
            fixture.folder.put("keys.json", &jwks(&[(&key, json!({}))]));
            file("file=\"keys.json\"", "")
        }
        own_part => own_part.to_string(),
    };
    let service_address = unused_address();
    let file = Fixture::operator_file(&[service_address], "") + &own_part;
    let gateway = gateway_under(&bus, &[cache.cache()], &fixture.folder, &file);
    let started = Instant::now();
    while started.elapsed() < SERVICE_AWAY {
        let answer = get(gateway.listen, "a1", &token);
        assert_eq!(answer.status, 503, "after {:?}, under {:?}", started.elapsed(), version_of(&answer));
        thread::sleep(Duration::from_millis(20));
    }
    let service = RunningService::start(&fixture, service_address);
    let mut ops = fixture.caller(service.address, "ops").connect().unwrap();
    ops.publish(&documents_for_red(&key, "a"), Plan::immediate()).unwrap();
    wait_for("the first version", || get(gateway.listen, "a1", &token).status == 200);
    assert!(version_of(&get(gateway.listen, "a1", &token)).starts_with("1.1-"));
    assert_eq!(get(gateway.listen, "a1", "").status, 401);
}
