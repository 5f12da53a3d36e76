//! Property tests: the parsers handle arbitrary input without a panic, and compiled rules decide as the rules they are
//! compiled from.

mod common;
use common::*;
use proptest::prelude::*;
use sagearch_identity::jwks::{Algorithm, KeySet};
use sagearch_identity::rights::{Method, Rights, Rule, StringInterner};
use sagearch_identity::token::{Claims, SignedToken};
use sagearch_identity::{Presented, Reason};
use std::sync::LazyLock;

/// A valid token, and its key set as text and parsed, for random changes.
static VALID: LazyLock<(String, String, KeySet)> = LazyLock::new(|| {
    let key = signer("k1", Algorithm::EdDsa);
    let set = serde_json::json!({"keys": [key.jwk()]}).to_string();
    (token(&key, &claims()), set, jwks(&[&key]))
});

fn rules() -> impl Strategy<Value = Vec<Rule>> {
    let word = || prop_oneof![Just("a"), Just("b"), Just("ab"), Just("")].prop_map(str::to_string);
    let method = prop_oneof![Just(Method::Get), Just(Method::Put), Just(Method::Lookup)];
    let rule =
        (any::<bool>(), prop::collection::vec(word(), 0..3), prop::collection::vec(method, 0..3), word());
    let rule = rule.prop_map(|(allow, classes, methods, prefix)| Rule { allow, classes, methods, prefix });
    prop::collection::vec(rule, 0..12)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn arbitrary_bytes_are_parsed_or_refused(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let _ = KeySet::parse(&bytes);
        let _ = Claims::parse(&bytes);
        let _ = Presented::read(&[bytes.clone().into()]);
        let _ = SignedToken::parse(&String::from_utf8_lossy(&bytes)).map(|signed| signed.claims());
    }

    #[test]
    fn deeply_nested_json_is_refused(depth in 1_usize..5_000, open in prop_oneof![Just("["), Just("{\"a\":")]) {
        prop_assert!(Claims::parse(open.repeat(depth).as_bytes()).is_err());
        let set = "{\"keys\":".to_string() + &open.repeat(depth);
        prop_assert!(KeySet::parse(set.as_bytes()).is_err());
    }

    /// A change of one character makes a token invalid, also in the last character of a part, whose unused bits must be
    /// zero.
    #[test]
    fn changed_token_is_refused(place in any::<prop::sample::Index>(), replacement in "[A-Za-z0-9_.=-]") {
        let (token, _, set) = &*VALID;
        let index = place.index(token.len());
        let mut changed = token.clone();
        changed.replace_range(index..=index, &replacement);
        let mut authority = authority(settings(), set);
        prop_assert_eq!(ask(&mut authority, &changed, 0).is_ok(), changed == *token);
    }

    #[test]
    fn truncated_key_set_is_rejected(place in any::<prop::sample::Index>()) {
        let (_, set, _) = &*VALID;
        prop_assert!(KeySet::parse(&set.as_bytes()[..place.index(set.len())]).is_err());
    }

    #[test]
    fn first_matching_rule_decides(
        rules in rules(), class in "[ab]{0,2}", object in "[ab]{0,3}", method in "GET|PUT|LOOKUP|DELETE|get",
    ) {
        let matches = |rule: &&Rule| {
            (rule.classes.is_empty() || rule.classes.contains(&class))
                && Method::of(&method)
                    .is_some_and(|method| rule.methods.is_empty() || rule.methods.contains(&method))
                && object.starts_with(&rule.prefix)
        };
        let expected = rules.iter().find(matches).is_some_and(|rule| rule.allow);
        let rights = Rights::new(&rules, &mut StringInterner::default());
        prop_assert_eq!(rights.allows(&class, &method, &object), expected);
    }
}

#[test]
fn reasons_have_distinct_labels_and_known_statuses() {
    let labels: std::collections::BTreeSet<&str> = Reason::ALL.iter().map(|reason| reason.label()).collect();
    assert_eq!(labels.len(), Reason::ALL.len());
    assert!(Reason::ALL.iter().all(|reason| matches!(reason.status(), 401 | 403 | 503)));
}
