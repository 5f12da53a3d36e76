//! Tests of the time until which keys, tokens and tenants are accepted, also for cached tokens and after a handover to
//! another process.

mod common;
use common::*;
use sagearch_identity::jwks::{Algorithm, KeySet};
use sagearch_identity::keyring::KeyState;
use sagearch_identity::settings::*;
use sagearch_identity::{Authority, Credentials, Now, Reason};
use serde_json::json;

fn state(authority: &mut Authority, kid: &str, ms: u64) -> Option<KeyState> {
    let report = authority.report(at(ms));
    report.issuers[0].keys.iter().find(|key| key.kid == kid).map(|key| key.state)
}

#[test]
fn key_is_announced_then_active_then_retiring_then_retired() {
    let (old, new) = (signer("old", Algorithm::EdDsa), signer("new", Algorithm::Es256));
    let seconds = |ms: u64| (T0 + ms) / 1_000;
    let set = published(&[(&old, json!({})), (&new, json!({"nbf": seconds(10_000)}))]).unwrap();
    let mut authority = authority(settings(), &set);
    let (by_old, by_new) = (token(&old, &claims()), token(&new, &claims()));
    // A token by an announced key is refused until the key's start; the leeway of tokens does not apply.
    assert!(ask(&mut authority, &by_old, 0).is_ok());
    assert_eq!(ask(&mut authority, &by_new, 9_999), Err(Reason::KeyNotActive));
    assert_eq!(state(&mut authority, "new", 9_999), Some(KeyState::Announced));
    assert!(ask(&mut authority, &by_new, 10_000).is_ok());
    // The old key is no longer published and is accepted for exactly 60 s.
    authority.install_key_set(ISS, &jwks(&[&new]), at(20_000)).unwrap();
    assert_eq!(state(&mut authority, "old", 20_000), Some(KeyState::Retiring));
    assert!(ask(&mut authority, &by_old, 79_999).is_ok(), "cached token by a retiring key");
    assert_eq!(ask(&mut authority, &by_old, 80_000), Err(Reason::KeyRetired));
    assert_eq!(ask(&mut authority, &by_old, 81_000), Err(Reason::KeyRetired), "key retired a second ago");
    // The key stays retired when it is published again and when the clock steps back.
    authority.install_key_set(ISS, &jwks(&[&old, &new]), at(90_000)).unwrap();
    assert_eq!(ask(&mut authority, &by_old, 90_000), Err(Reason::KeyRetired));
    let stepped_back = |ms| Now { unix: T0 + 1_000, monotonic: at(ms).monotonic };
    for ms in [90_001, 160_000, 240_000] {
        let credentials = Credentials { bearer: Some(&by_old), certificate: None };
        assert_eq!(authority.identify(credentials, stepped_back(ms)), Err(Reason::KeyRetired));
    }
}

#[test]
fn retiring_key_published_again_in_time_is_active() {
    let (one, other) = (signer("one", Algorithm::EdDsa), signer("other", Algorithm::EdDsa));
    let mut authority = authority(settings(), &jwks(&[&one, &other]));
    authority.install_key_set(ISS, &jwks(&[&other]), at(1_000)).unwrap();
    authority.install_key_set(ISS, &jwks(&[&one, &other]), at(30_000)).unwrap();
    assert_eq!(state(&mut authority, "one", 200_000), Some(KeyState::Active));
    assert!(ask(&mut authority, &token(&one, &claims()), 200_000).is_ok());
}

#[test]
fn key_at_end_in_set_or_settings_is_retired() {
    let (by_set, by_file) = (signer("set", Algorithm::EdDsa), signer("file", Algorithm::EdDsa));
    let set = published(&[(&by_set, json!({"exp": (T0 + 5_000) / 1_000})), (&by_file, json!({}))]).unwrap();
    let mut new_settings = settings();
    new_settings.issuers[0].keys =
        vec![KeyTerms { kid: "file".into(), active_from: Some(T0 + 1_000), retired_at: Some(T0 + 6_000) }];
    let mut authority = authority(new_settings, &set);
    let tokens = [token(&by_set, &claims()), token(&by_file, &claims())];
    let mut refusals = |ms| tokens.each_ref().map(|token| ask(&mut authority, token, ms).err());
    assert_eq!(refusals(999), [None, Some(Reason::KeyNotActive)]);
    assert_eq!(refusals(4_999), [None, None]);
    assert_eq!(refusals(5_000), [Some(Reason::KeyRetired), None]);
    assert_eq!(refusals(6_000), [Some(Reason::KeyRetired), Some(Reason::KeyRetired)]);
}

/// Revocation by the issuer or the operators stays in force after both have withdrawn it.
#[test]
fn revoked_key_is_refused_immediately_and_permanently() {
    let (one, other) = (signer("one", Algorithm::EdDsa), signer("other", Algorithm::EdDsa));
    let mut authority = authority(settings(), &jwks(&[&one, &other]));
    let tokens = [token(&one, &claims()), token(&other, &claims())];
    assert!(tokens.iter().all(|token| ask(&mut authority, token, 0).is_ok()));
    let set =
        published(&[(&one, json!({"revoked": {"revoked_at": T0 / 1_000}})), (&other, json!({}))]).unwrap();
    authority.install_key_set(ISS, &set, at(1)).unwrap();
    assert_eq!(ask(&mut authority, &tokens[0], 1), Err(Reason::KeyRevoked));
    assert!(ask(&mut authority, &tokens[1], 1).is_ok());
    let mut new_settings = settings();
    new_settings.revoked.keys.insert((ISS.into(), "other".into()));
    authority.apply_settings(new_settings, at(2)).unwrap();
    assert_eq!(ask(&mut authority, &tokens[1], 2), Err(Reason::KeyRevoked));
    authority.apply_settings(settings(), at(3)).unwrap();
    authority.install_key_set(ISS, &jwks(&[&one, &other]), at(3)).unwrap();
    assert!(tokens.iter().all(|token| ask(&mut authority, token, 3) == Err(Reason::KeyRevoked)));
}

#[test]
fn new_key_with_kid_of_old_one_is_accepted_beside_it() {
    let (old, new) = (signer("k", Algorithm::EdDsa), signer("k", Algorithm::EdDsa));
    let mut authority = authority(settings(), &jwks(&[&old]));
    authority.install_key_set(ISS, &jwks(&[&new]), at(0)).unwrap();
    let (by_old, by_new) = (token(&old, &claims()), token(&new, &claims()));
    assert!(ask(&mut authority, &by_old, 59_999).is_ok() && ask(&mut authority, &by_new, 59_999).is_ok());
    assert!(ask(&mut authority, &by_old, 60_000).is_err());
    assert!(ask(&mut authority, &by_new, 60_000).is_ok());
}

#[test]
fn keys_of_unreachable_issuer_are_accepted_until_hold_time() {
    let key = signer("k", Algorithm::EdDsa);
    let mut new_settings = settings();
    new_settings.issuers[0].source = url_source(10_000, 1_000, 120_000);
    let mut authority = authority(new_settings, &jwks(&[&key]));
    let token = token(&key, &claims());
    for ms in [30_000, 60_000] {
        authority.record_failed_fetch(ISS, at(ms));
        assert!(authority.start_due_requests(at(ms)).is_empty(), "retry without a delay");
        assert!(ask(&mut authority, &token, ms).is_ok());
    }
    // A set without usable keys does not replace the installed keys either.
    assert!(authority.install_key_set(ISS, &KeySet::default(), at(70_000)).is_err());
    assert!(ask(&mut authority, &token, 119_999).is_ok());
    assert_eq!(ask(&mut authority, &token, 120_000), Err(Reason::IssuerStale));
    authority.install_key_set(ISS, &jwks(&[&key]), at(120_001)).unwrap();
    assert!(ask(&mut authority, &token, 120_001).is_ok(), "keys of an issuer that is reachable again");
}

#[test]
fn unknown_kids_cause_one_request_per_interval() {
    let (key, next) = (signer("k", Algorithm::EdDsa), signer("next", Algorithm::EdDsa));
    let mut new_settings = settings();
    new_settings.issuers[0].source = url_source(3_600_000, 5_000, 7_200_000);
    let mut authority = Authority::with_settings(new_settings, 7, at(0)).unwrap();
    assert_eq!(authority.start_due_requests(at(0)).len(), 1, "the first request is due immediately");
    authority.install_key_set(ISS, &jwks(&[&key]), at(10)).unwrap();
    let flood: Vec<String> =
        (0..200).map(|n| token(&signer(&format!("u{n}"), Algorithm::EdDsa), &claims())).collect();
    let mut requests = Vec::new();
    for ms in (20..20_000).step_by(10) {
        assert_eq!(ask(&mut authority, &flood[ms as usize % 200], ms), Err(Reason::KeyUnknown));
        requests.extend(authority.start_due_requests(at(ms)).iter().map(|_| ms));
        if requests.last() == Some(&ms) {
            authority.install_key_set(ISS, &jwks(&[&key]), at(ms)).unwrap();
        }
    }
    assert!((3..=4).contains(&requests.len()) && requests[0] >= 5_000, "{requests:?}");
    // An unknown key id becomes known when the issuer publishes its key.
    let token = token(&next, &claims());
    assert_eq!(ask(&mut authority, &token, 20_000), Err(Reason::KeyUnknown));
    authority.install_key_set(ISS, &jwks(&[&key, &next]), at(20_001)).unwrap();
    assert!(ask(&mut authority, &token, 20_001).is_ok());
}

#[test]
fn cached_token_after_change_of_settings_is_checked_again() {
    let key = signer("k", Algorithm::EdDsa);
    let mut authority = authority(settings(), &jwks(&[&key]));
    let token = token(&key, &with(&json!({"jti": "t-1"})));
    let caller = ask(&mut authority, &token, 0).unwrap();
    let change = |authority: &mut Authority, change: &dyn Fn(&mut Settings)| {
        let mut new_settings = settings();
        change(&mut new_settings);
        authority.apply_settings(new_settings, at(1)).unwrap();
        ask(authority, &token, 1)
    };
    assert!(change(&mut authority, &|_| ()).is_ok());
    let removed_tenant = change(&mut authority, &|settings| drop(settings.tenants.remove(0)));
    assert_eq!(removed_tenant, Err(Reason::NoTenant));
    // A caller that is already identified keeps its rights.
    assert!(caller.may("video", "GET", "guide") && !caller.may("video", "GET", "secret-1"));
    assert!(change(&mut authority, &|_| ()).is_ok());
    let revoke_token = |settings: &mut Settings| settings.revoked.tokens.extend([(ISS.into(), "t-1".into())]);
    assert_eq!(change(&mut authority, &revoke_token), Err(Reason::Revoked));
    let revoke_principal =
        |settings: &mut Settings| settings.revoked.principals.extend([("payments".into(), "till-7".into())]);
    assert_eq!(change(&mut authority, &revoke_principal), Err(Reason::Revoked));
    assert_eq!(
        change(&mut authority, &|settings| settings.issuers[0].algorithms.clear()),
        Err(Reason::Algorithm)
    );
    assert_eq!(
        change(&mut authority, &|settings| settings.audiences = vec!["x".into()]),
        Err(Reason::Audience)
    );
    let removed_issuer = change(&mut authority, &|settings| {
        settings.issuers.clear();
        settings.tenants.iter_mut().for_each(|tenant| tenant.tokens.clear());
    });
    assert_eq!(removed_issuer, Err(Reason::IssuerUnknown));
    assert!(change(&mut authority, &|_| ()).is_ok(), "keys of a removed issuer are kept");
}

#[test]
fn token_cache_at_capacity_does_not_grow() {
    let key = signer("k", Algorithm::EdDsa);
    let new_settings = Settings { cached: 50, ..settings() };
    let mut authority = authority(new_settings, &jwks(&[&key]));
    for n in 0..200 {
        ask(&mut authority, &token(&key, &with(&json!({"jti": n.to_string()}))), 0).unwrap();
    }
    assert_eq!(authority.report(at(0)).tokens_cached, 50);
}

#[test]
fn key_set_beyond_capacity_is_rejected_without_effect() {
    let keys: Vec<_> = (0..200).map(|n| signer(&format!("k{n}"), Algorithm::EdDsa)).collect();
    let sets: Vec<Vec<_>> = keys.chunks(100).map(|set| set.iter().collect()).collect();
    let mut authority = authority(settings(), &jwks(&sets[0]));
    authority.install_key_set(ISS, &jwks(&sets[1]), at(1)).unwrap();
    let more: Vec<_> = (200..540).map(|n| signer(&format!("k{n}"), Algorithm::EdDsa)).collect();
    let (first, second) = more.split_at(170);
    authority.install_key_set(ISS, &jwks(&first.iter().collect::<Vec<_>>()), at(2)).unwrap();
    let error = authority.install_key_set(ISS, &jwks(&second.iter().collect::<Vec<_>>()), at(3)).unwrap_err();
    assert!(error.to_string().contains("over 512"), "{error}");
    assert!(ask(&mut authority, &token(&first[0], &claims()), 3).is_ok());
}

#[test]
fn new_process_accepts_no_key_that_the_old_one_refused() {
    let keys = ["retired", "retiring", "revoked", "active"].map(|kid| signer(kid, Algorithm::EdDsa));
    let [retired, retiring, revoked, active] = &keys;
    let all = jwks(&[retired, retiring, revoked, active]);
    let mut old = authority(settings(), &all);
    old.install_key_set(ISS, &jwks(&[retiring, revoked, active]), at(0)).unwrap();
    let mut new_settings = settings();
    new_settings.revoked.keys.insert((ISS.into(), "revoked".into()));
    old.apply_settings(new_settings, at(40_000)).unwrap();
    old.install_key_set(ISS, &jwks(&[revoked, active]), at(40_000)).unwrap();
    let handover = serde_json::to_string(&old.hand_over(at(61_000))).unwrap();
    // The new process reads an older key set with all keys, and its clock is behind.
    let behind = |ms: u64| Now { unix: T0 + ms - 30_000, monotonic: ms };
    let mut new = Authority::with_settings(settings(), 9, behind(61_000)).unwrap();
    new.take_over(serde_json::from_str(&handover).unwrap(), behind(61_000));
    new.install_key_set(ISS, &all, behind(61_000)).unwrap();
    let mut refusal = |key, ms| {
        let token = token(key, &claims());
        new.identify(Credentials { bearer: Some(&token), certificate: None }, behind(ms)).err()
    };
    assert_eq!(refusal(retired, 61_001), Some(Reason::KeyRetired));
    assert_eq!(refusal(revoked, 61_001), Some(Reason::KeyRevoked));
    assert_eq!((refusal(retiring, 99_000), refusal(active, 99_000)), (None, None));
    assert_eq!((refusal(retiring, 100_001), refusal(active, 100_001)), (Some(Reason::KeyRetired), None));
}

#[test]
fn network_with_longest_prefix_determines_the_tenant() {
    let authority = Authority::with_settings(settings(), 7, at(0)).unwrap();
    let tenant =
        |ip: &str| authority.identify_network(ip.parse().unwrap()).map(|caller| caller.tenant.to_string());
    assert_eq!(tenant("10.2.3.4").unwrap(), "payments");
    assert_eq!(tenant("10.1.3.4").unwrap(), "guides");
    assert_eq!(tenant("::ffff:10.1.3.4").unwrap(), "guides");
    assert_eq!(tenant("2001:db8::1").unwrap(), "payments");
    assert_eq!(tenant("192.0.2.1"), Err(Reason::NoTenant));
}

/// A change that makes settings invalid.
type Change = dyn Fn(&mut Settings);

#[test]
fn invalid_settings_are_rejected_without_effect() {
    let key = signer("k", Algorithm::EdDsa);
    let mut authority = authority(settings(), &jwks(&[&key]));
    let invalid_changes: [(&Change, &str); 7] = [
        (&|settings| settings.tenants[1].name = "payments".into(), "stands twice"),
        (&|settings| settings.tenants[1].tokens = settings.tenants[0].tokens.clone(), "another's already"),
        (
            &|settings| settings.tenants[1].networks = settings.tenants[0].networks.clone(),
            "another's already",
        ),
        (
            &|settings| settings.tenants[1].certificates = settings.tenants[0].certificates.clone(),
            "another's already",
        ),
        (&|settings| settings.issuers.clear(), "is not in the file"),
        (&|settings| settings.audiences.clear(), "no audience"),
        (&|settings| settings.anonymous = Some("nobody".into()), "is not in the file"),
    ];
    for (change, cause) in invalid_changes {
        let mut new_settings = settings();
        change(&mut new_settings);
        let error = authority.apply_settings(new_settings, at(1)).unwrap_err();
        assert!(error.to_string().contains(cause), "{error}");
        assert!(ask(&mut authority, &token(&key, &claims()), 1).is_ok());
    }
    assert_eq!(authority.report(at(1)).version, 1);
}

#[test]
fn request_without_credentials_is_refused_unless_settings_name_a_tenant() {
    let mut authority = Authority::with_settings(settings(), 7, at(0)).unwrap();
    assert_eq!(authority.identify(Credentials::default(), at(0)), Err(Reason::Missing));
    authority.apply_settings(Settings { anonymous: Some("guides".into()), ..settings() }, at(0)).unwrap();
    assert_eq!(&*authority.identify(Credentials::default(), at(0)).unwrap().tenant, "guides");
    assert!(ask(&mut authority, "x", 0).is_err(), "an invalid token is refused");
}
