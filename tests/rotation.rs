//! Keys and certificates that rotate under load: no credential is accepted outside its validity, and no valid one is
//! rejected.
//!
//! By default keys change every second for six seconds; the long run is
//! `SAGEARCH_ROTATE_MS=30000 SAGEARCH_ROTATE_FOR_S=600 cargo test --release --test rotation -- --nocapture`.

#[path = "stand/identity.rs"]
mod identity_stand;
#[path = "stand/mod.rs"]
mod stand;
use identity_stand::*;
use sagearch::issue::{CertificateAndKey, Validity};
use sagearch_identity::issue::Signer;
use serde_json::json;
use stand::*;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime};

/// A number from an environment variable, or the default.
fn setting(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// The period in which a credential is valid, in Unix milliseconds; `until` is exclusive.
#[derive(Clone, Copy)]
struct ValidityMillis {
    from: u64,
    until: u64,
}

impl ValidityMillis {
    /// Whether a credential that was sent at `sent` and answered at `answered` must be accepted. `None`: its state
    /// changed within this time or a margin around it. Test and gateway read the same clock, and the gateway checks the
    /// credential between the two.
    fn must_be_accepted(self, sent: u64, answered: u64) -> Option<bool> {
        const MARGIN_MILLIS: u64 = 15;
        let (first, last) = (sent.saturating_sub(MARGIN_MILLIS), answered + MARGIN_MILLIS);
        match () {
            () if self.from <= first && last < self.until => Some(true),
            () if last < self.from || self.until <= first => Some(false),
            () => None,
        }
    }
}

/// Counts of correct and wrong decisions.
#[derive(Default)]
struct DecisionCounts {
    /// Correct decisions by kind of credential.
    correct: Mutex<BTreeMap<&'static str, u64>>,
    invalid_accepted: AtomicU64,
    valid_rejected: AtomicU64,
}

impl DecisionCounts {
    fn count(&self, kind: &'static str, expected: Option<bool>, accepted: bool) {
        match expected {
            None => {}
            Some(expected) if expected == accepted => {
                *self.correct.lock().unwrap().entry(kind).or_default() += 1;
            }
            Some(true) => drop(self.valid_rejected.fetch_add(1, Ordering::SeqCst)),
            Some(false) => drop(self.invalid_accepted.fetch_add(1, Ordering::SeqCst)),
        }
    }
}

/// A signing key, a token that it signed, and the key's validity.
struct Key {
    token: String,
    signer: Signer,
    validity: ValidityMillis,
}

/// Consecutive keys, each announced a period before its start and valid for a period and a half, so that there are
/// always announced, active, retiring and retired keys. Starts and ends are whole seconds because X.509 and JWK times
/// are.
fn key_schedule(start: u64, period: u64, count: u64) -> Vec<Key> {
    let to_whole_seconds = |ms: u64| ms / 1_000 * 1_000;
    (0..count)
        .map(|n| {
            let signer = signer(&format!("key-{n}"));
            let from = to_whole_seconds(start + n * period);
            let validity = ValidityMillis { from, until: to_whole_seconds(from + period * 3 / 2 + 999) };
            Key { token: token(&signer, "red"), signer, validity }
        })
        .collect()
}

/// The key set that the issuer publishes at `now`.
fn published_key_set(keys: &[Key], revoked: &Signer, now: u64, period: u64) -> String {
    let visible =
        keys.iter().filter(|key| key.validity.from <= now + 2 * period && now < key.validity.until + period);
    let mut key_set: Vec<_> = visible
        .map(|key| {
            (&key.signer, json!({"nbf": key.validity.from / 1_000, "exp": key.validity.until / 1_000}))
        })
        .collect();
    key_set.push((revoked, json!({"revoked": {"revoked_at": 1}})));
    jwks(&key_set)
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario in chronological order")]
fn rotation_under_load_accepts_valid_credentials_only() {
    let period = setting("SAGEARCH_ROTATE_MS", 1_000).max(1_000);
    let duration_ms = setting("SAGEARCH_ROTATE_FOR_S", 6) * 1_000;
    let (bus, folder) = (Bus::default(), Folder::default());
    let cache = Store::new(1, |_, _| ok(b"x"));
    let start = unix_ms() - 2 * period;
    let keys = Arc::new(key_schedule(start, period, duration_ms / period + 8));
    let revoked = signer("revoked");
    let revoked_token = token(&revoked, "red");
    let issuer = Issuer::new(published_key_set(&keys, &revoked, unix_ms(), period));
    let (ca, foreign) = (Authority::new("ca"), Authority::new("foreign"));
    folder.put("ca.pem", &ca.0.certificate);
    folder
        .put("crl.pem", &ca.0.revocation_list(&["0abc".into()], life(duration_ms / 1_000 + 3_600)).unwrap());
    folder.put_pair("gw", &ca.server(&["gw.test"]));
    let refresh = format!("every=\"{}ms\" interval=\"50ms\" hold=\"{}ms\"", period / 5, period * 20);
    let trust = "certificates { roots \"ca.pem\"; revocation-lists \"crl.pem\"; }";
    let tls = "tls handshakes=200 { clients client-certificates=\"optional\" { certificate \"gw.pem\" key=\"gw.key\"; }; }";
    let gateway =
        gateway_under(&bus, &[cache.cache()], &folder, &(file(&issuer.keys(&refresh), trust) + tls));
    let (counts, stop, next_id) =
        (Arc::new(DecisionCounts::default()), Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(1)));
    let address = gateway.listen;
    let anonymous_config = Arc::new(client_config(&[&ca], None));
    wait_for("the first keys", || {
        let now = unix_ms();
        let Some(key) =
            keys.iter().find(|key| key.validity.from + 50 < now && now + 500 < key.validity.until)
        else {
            return false;
        };
        let text = request("video/a", next_id.fetch_add(1, Ordering::SeqCst), 1_500, &bearer(&key.token));
        Tls::connect(address, &anonymous_config, "gw.test")
            .and_then(|mut tls| tls.ask(&text))
            .is_some_and(|answer| answer.status == 200)
    });
    let mut workers = Vec::new();
    // Tokens of keys in all states, on persistent connections.
    for worker in 0..4 {
        let (keys, counts, stop, next_id, anonymous_config) =
            (keys.clone(), counts.clone(), stop.clone(), next_id.clone(), anonymous_config.clone());
        let revoked_token = revoked_token.clone();
        workers.push(thread::spawn(move || {
            let unknown = token(&signer(&format!("unknown-{worker}")), "red");
            let mut tls = Tls::connect(address, &anonymous_config, "gw.test").unwrap();
            for turn in worker.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let now = unix_ms();
                let live: Vec<&Key> = keys
                    .iter()
                    .filter(|key| key.validity.from <= now + period && now < key.validity.until + 2 * period)
                    .collect();
                let never_valid = ValidityMillis { from: u64::MAX, until: 0 };
                let (kind, token, validity) = match turn % 6 {
                    4 => ("revoked", revoked_token.as_str(), never_valid),
                    5 => ("unknown", unknown.as_str(), never_valid),
                    _ => {
                        let key = live[turn / 6 % live.len()];
                        let kind = match () {
                            () if now < key.validity.from => "announced",
                            () if now >= key.validity.until => "retired",
                            () => "active or retiring",
                        };
                        (kind, key.token.as_str(), key.validity)
                    }
                };
                let text = request("video/a", next_id.fetch_add(1, Ordering::SeqCst), 1_500, &bearer(token));
                let sent = unix_ms();
                let Some(answer) = tls.ask(&text) else {
                    tls = Tls::connect(address, &anonymous_config, "gw.test").unwrap();
                    continue;
                };
                counts.count(kind, validity.must_be_accepted(sent, unix_ms()), answer.status == 200);
                assert!(matches!(answer.status, 200 | 401), "{}", answer.status);
                thread::sleep(Duration::from_millis(5));
            }
        }));
    }
    // Consecutive, revoked and foreign certificates, each for two requests on a new connection.
    {
        let (counts, stop, next_id) = (counts.clone(), stop.clone(), next_id.clone());
        workers.push(thread::spawn(move || {
            let system_time = |ms: u64| SystemTime::UNIX_EPOCH + Duration::from_millis(ms);
            let certificates: Vec<(ValidityMillis, CertificateAndKey)> = (0..duration_ms / period + 8)
                .map(|n| {
                    let from = (start + n * period) / 1_000 * 1_000;
                    // `notAfter` is inclusive (RFC 5280): the certificate expires after the begin of its last second.
                    let validity =
                        ValidityMillis { from, until: (from + period * 3 / 2).div_ceil(1_000) * 1_000 };
                    let life =
                        Validity { from: system_time(validity.from), until: system_time(validity.until) };
                    (validity, ca.client("spiffe://test/red/till", 0x5000 + n, life))
                })
                .collect();
            let revoked_certificate =
                ca.client("spiffe://test/red/till", 0x0abc, life(duration_ms / 1_000 + 600));
            let foreign_certificate =
                foreign.client("spiffe://test/red/till", 1, life(duration_ms / 1_000 + 600));
            let never_valid = ValidityMillis { from: u64::MAX, until: 0 };
            for turn in 0_usize.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let now = unix_ms();
                let live: Vec<_> = certificates
                    .iter()
                    .filter(|(validity, _)| validity.from <= now + period && now < validity.until + period)
                    .collect();
                let (kind, validity, certificate) = match turn % 5 {
                    3 => ("revoked certificate", never_valid, &revoked_certificate),
                    4 => ("foreign certificate", never_valid, &foreign_certificate),
                    _ => {
                        let (validity, certificate) = live[turn / 5 % live.len()];
                        ("certificate", *validity, certificate)
                    }
                };
                let config = Arc::new(client_config(&[&ca], Some(certificate)));
                let sent = unix_ms();
                let mut tls = Tls::connect(address, &config, "gw.test");
                for _ in 0..2 {
                    let text = request("video/a", next_id.fetch_add(1, Ordering::SeqCst), 1_500, "");
                    let answer = tls.as_mut().and_then(|tls| tls.ask(&text));
                    let (accepted, closes) = answer.map_or((false, true), |answer| {
                        (answer.status == 200, answer.fields.contains_key("connection"))
                    });
                    counts.count(kind, validity.must_be_accepted(sent, unix_ms()), accepted);
                    if closes {
                        break;
                    }
                }
                thread::sleep(Duration::from_millis(10));
            }
        }));
    }
    let end = unix_ms() + duration_ms;
    while unix_ms() < end {
        issuer.publish(Publishes::Set(published_key_set(&keys, &revoked, unix_ms(), period)));
        thread::sleep(Duration::from_millis(period / 10));
    }
    stop.store(true, Ordering::SeqCst);
    for worker in workers {
        worker.join().unwrap();
    }
    let correct = counts.correct.lock().unwrap().clone();
    let (invalid_accepted, valid_rejected) =
        (counts.invalid_accepted.load(Ordering::SeqCst), counts.valid_rejected.load(Ordering::SeqCst));
    println!(
        "{correct:?}; invalid accepted {invalid_accepted}, valid rejected {valid_rejected}; {} key set requests",
        issuer.asked.load(Ordering::SeqCst)
    );
    for kind in [
        "announced",
        "active or retiring",
        "retired",
        "revoked",
        "unknown",
        "certificate",
        "revoked certificate",
        "foreign certificate",
    ] {
        assert!(correct.get(kind).is_some_and(|count| *count >= 20), "{kind}: {correct:?}");
    }
    assert_eq!((invalid_accepted, valid_rejected), (0, 0));
}
