//! Tests of tokens and key sets: the test vectors of the RFCs, and which tokens and sets are accepted.

mod common;
use common::*;
use ring::rand::SystemRandom;
use rstest::rstest;
use sagearch_identity::jwks::{Algorithm, KeySet};
use sagearch_identity::token::{MAX_TOKEN_BYTES, SignedToken};
use sagearch_identity::{Proof, Reason};
use serde_json::{Value, json};

const RSA_N: &str = "ofgWCuLjybRlzo0tZWJjNiuSfb4p4fAkd_wWJcyQoTbji9k0l8W26mPddxHmfHQp-Vaw-4qPCJrcS2mJPMEzP1Pt0Bm4d4QlL-yRT-SFd2lZS-pCgNMsD1W_YpRPEwOWvG6b32690r2jZ47soMZo9wGzjb_7OMg0LOL-bSf63kpaSHSXndS5z5rexMdbBYUsLA9e-KXBdQOS-UTo7WTBEMa2R2CapHg665xsmtdVMTBQY4uDZlxvb3qCo5ZwKh9kG4LT6_I5IhlJH7aGhyxXFvUK-DWNmoudF8NAco9_h9iaGNj8q2ethFkMLs91kzk2PAcDTW9gb54h4FRWyuXpoQ";
const CLAIMS: &str =
    "eyJpc3MiOiJqb2UiLA0KICJleHAiOjEzMDA4MTkzODAsDQogImh0dHA6Ly9leGFtcGxlLmNvbS9pc19yb290Ijp0cnVlfQ";

/// The vectors are from RFC 7515, appendices A.2 and A.3, and RFC 8037, appendix A.4.
#[rstest]
#[case::rs256(
    json!({"kty": "RSA", "n": RSA_N, "e": "AQAB"}),
    format!("eyJhbGciOiJSUzI1NiJ9.{CLAIMS}.cC4hiUPoj9Eetdgtv3hF80EGrhuB__dzERat0XF9g2VtQgr9PJbu3XOiZj5RZmh7AAuHIm4Bh-0Qc_lF5YKt_O8W2Fp5jujGbds9uJdbF9CUAr7t1dnZcAcQjbKBYNX4BAynRFdiuB--f_nZLgrnbyTyWzO75vRK5h6xBArLIARNPvkSjtQBMHlb1L07Qe7K0GarZRmB_eSN9383LcOLn6_dO--xi12jzDwusC-eOkHWEsqtFZESc6BfI7noOPqvhJ1phCnvWh6IeYI2w9QOYEUipUTI8np6LbgGY9Fs98rqVt5AXLIhWkWywlVmtVrBp0igcN_IoypGlUPQGe77Rw")
)]
#[case::es256(
    json!({"kty": "EC", "crv": "P-256", "x": "f83OJ3D2xF1Bg8vub9tLe1gHMzV76e8Tus9uPHvRVEU",
        "y": "x_FEzRu9m36HLN_tue659LNpXW6pCyStikYjKIWI5a0"}),
    format!("eyJhbGciOiJFUzI1NiJ9.{CLAIMS}.DtEhU3ljbEg8L38VWAfUAqOyKAM6-Xx-F4GawxaepmXFCgfTjDxw5djxLa8ISlSApmWQxfKTUJqPP3-Kg6NU1Q")
)]
#[case::eddsa(
    json!({"kty": "OKP", "crv": "Ed25519", "x": "11qYAYKxCrfVS_7TyWQHOg7hcvPapiMlrwIaaPcHURo"}),
    "eyJhbGciOiJFZERTQSJ9.RXhhbXBsZSBvZiBFZDI1NTE5IHNpZ25pbmc.hgyY0il_MGCjP0JzlnLWG1PPOt7-09PGcvMg3AIbQR6dWbhijcNR4ki4iylGjg5BhVsPt9g7sVvpAr_MuM0KAg".into()
)]
fn signatures_of_rfc_vectors_verify_and_changed_ones_do_not(#[case] jwk: Value, #[case] token: String) {
    let set = KeySet::parse(json!({"keys": [jwk]}).to_string().as_bytes()).unwrap();
    let signed = SignedToken::parse(&token).unwrap();
    let key = &set.keys[0].key;
    assert_eq!(key.algorithm, signed.algorithm);
    assert!(key.verifies(signed.input, &signed.signature));
    for index in [0, signed.signature.len() - 1] {
        let mut changed = signed.signature.clone();
        changed[index] ^= 1;
        assert!(!key.verifies(signed.input, &changed));
    }
    assert!(!key.verifies(&signed.input[1..], &signed.signature));
    assert!(!key.verifies(signed.input, &[]));
}

/// The vector is from RFC 8037, appendix A.3.
#[test]
fn key_without_kid_is_named_by_its_thumbprint() {
    let jwk = json!({"kty": "OKP", "crv": "Ed25519", "x": "11qYAYKxCrfVS_7TyWQHOg7hcvPapiMlrwIaaPcHURo"});
    let set = KeySet::parse(json!({"keys": [jwk]}).to_string().as_bytes()).unwrap();
    assert_eq!(set.keys[0].key.kid, "kPrK_qmxVWaYVA9wwBF6Iuo3vVzz7TxHCTwXBygrS4k");
}

/// The first three tokens have the algorithms of RFC 7515, appendices A.1, A.4 and A.5. All are refused by the parser,
/// before a key is looked up.
#[rstest]
#[case::hs256(&format!("eyJ0eXAiOiJKV1QiLA0KICJhbGciOiJIUzI1NiJ9.{CLAIMS}.dBjftJeZ4CVP-mB92K27uhbUJU1p1r_wW1gFWFOEjXk"), Reason::Algorithm)]
#[case::es512("eyJhbGciOiJFUzUxMiJ9.UGF5bG9hZA.AdwM", Reason::Algorithm)]
#[case::none(&format!("eyJhbGciOiJub25lIn0.{CLAIMS}."), Reason::Algorithm)]
#[case::two_parts("eyJhbGciOiJFZERTQSJ9.e30", Reason::Malformed)]
#[case::four_parts("eyJhbGciOiJFZERTQSJ9.e30.AA.AA", Reason::Malformed)]
#[case::padded("eyJhbGciOiJFZERTQSJ9.e30=.AA", Reason::Malformed)]
#[case::nonzero_trailing_bits("eyJhbGciOiJFZERTQSJ9.e30.AB", Reason::Malformed)]
#[case::empty("..", Reason::Malformed)]
#[case::too_long(&"a".repeat(MAX_TOKEN_BYTES + 1), Reason::TooLarge)]
fn malformed_or_unsupported_token_is_refused(#[case] token: &str, #[case] reason: Reason) {
    assert_eq!(SignedToken::parse(token).unwrap_err(), reason);
}

#[rstest]
#[case::critical(json!({"alg": "EdDSA", "kid": "k1", "crit": ["exp"], "exp": 1}), Reason::Critical)]
#[case::empty_critical(json!({"alg": "EdDSA", "kid": "k1", "crit": []}), Reason::Critical)]
#[case::unencoded(json!({"alg": "EdDSA", "kid": "k1", "b64": false}), Reason::Critical)]
#[case::other_type(json!({"alg": "EdDSA", "kid": "k1", "typ": "secevent+jwt"}), Reason::Type)]
#[case::kid_is_a_number(json!({"alg": "EdDSA", "kid": 1}), Reason::Malformed)]
#[case::unknown_kid(json!({"alg": "EdDSA", "kid": "k9"}), Reason::KeyUnknown)]
#[case::algorithm_of_other_key_type(json!({"alg": "ES256", "kid": "k1"}), Reason::Algorithm)]
#[case::nested(json!({"alg": "EdDSA", "kid": "k1", "x": {"y": {"z": {}}}}), Reason::Malformed)]
fn token_with_unsupported_header_is_refused(#[case] header: Value, #[case] reason: Reason) {
    let (key, other) = (signer("k1", Algorithm::EdDsa), signer("k2", Algorithm::EdDsa));
    let mut authority = authority(settings(), &jwks(&[&key, &other]));
    let token = key.sign(&header, claims().to_string().as_bytes(), &SystemRandom::new()).unwrap();
    assert_eq!(ask(&mut authority, &token, 0), Err(reason));
}

#[rstest]
#[case::valid(json!({}), 0, None)]
#[case::one_of_two_audiences(json!({"aud": ["other", "gateway"]}), 0, None)]
#[case::list_claim(json!({"tenant": ["x", "payments"]}), 0, None)]
#[case::expired_within_leeway(json!({}), 629_999, None)]
#[case::expired(json!({}), 630_000, Some(Reason::Expired))]
#[case::not_yet_valid(json!({"nbf": T0 / 1_000 + 31}), 0, Some(Reason::NotYetValid))]
#[case::not_yet_valid_within_leeway(json!({"nbf": T0 / 1_000 + 30}), 0, None)]
#[case::issued_in_future(json!({"iat": T0 / 1_000 + 31}), 0, Some(Reason::IssuedInFuture))]
#[case::validity_too_long(json!({"exp": T0 / 1_000 + 864_000}), 0, Some(Reason::TooLong))]
#[case::missing_exp(json!({"exp": null}), 0, Some(Reason::Malformed))]
#[case::exp_is_text(json!({"exp": "tomorrow"}), 0, Some(Reason::Malformed))]
#[case::negative_exp(json!({"exp": -1}), 0, Some(Reason::Malformed))]
#[case::other_audience(json!({"aud": "other"}), 0, Some(Reason::Audience))]
#[case::missing_audience(json!({"aud": null}), 0, Some(Reason::Audience))]
#[case::unknown_issuer(json!({"iss": "https://other.example"}), 0, Some(Reason::IssuerUnknown))]
#[case::missing_issuer(json!({"iss": null}), 0, Some(Reason::Malformed))]
#[case::missing_principal(json!({"sub": null}), 0, Some(Reason::Malformed))]
#[case::unknown_tenant(json!({"tenant": "nobody"}), 0, Some(Reason::NoTenant))]
#[case::two_tenants(json!({"tenant": ["payments", "guides"]}), 0, Some(Reason::NoTenant))]
fn token_with_claims_is_accepted_or_refused(
    #[case] change: Value,
    #[case] ms: u64,
    #[case] refused: Option<Reason>,
) {
    for algorithm in [Algorithm::EdDsa, Algorithm::Es256] {
        let key = signer("k1", algorithm);
        let mut authority = authority(settings(), &jwks(&[&key]));
        let token = token(&key, &with(&change));
        // The second time an accepted token is in the cache.
        for _ in 0..2 {
            match (ask(&mut authority, &token, ms), refused) {
                (Ok(caller), None) => {
                    assert_eq!((&*caller.tenant, &*caller.principal), ("payments", "till-7"));
                    assert_eq!(caller.proof, Proof::Token);
                }
                (result, expected) => assert_eq!(result.err(), expected),
            }
        }
    }
}

#[test]
fn token_with_duplicate_claim_is_refused() {
    let key = signer("k1", Algorithm::EdDsa);
    let mut authority = authority(settings(), &jwks(&[&key]));
    let duplicate = claims().to_string().replacen('{', "{\"tenant\":\"guides\",", 1);
    let header = json!({"alg": "EdDSA", "kid": "k1"});
    let token = key.sign(&header, duplicate.as_bytes(), &SystemRandom::new()).unwrap();
    assert_eq!(ask(&mut authority, &token, 0), Err(Reason::Malformed));
}

#[test]
fn signature_by_other_key_with_same_kid_is_refused() {
    let (key, impostor) = (signer("k1", Algorithm::EdDsa), signer("k1", Algorithm::EdDsa));
    let mut authority = authority(settings(), &jwks(&[&key]));
    assert_eq!(ask(&mut authority, &token(&impostor, &claims()), 0), Err(Reason::Signature));
    assert!(ask(&mut authority, &token(&key, &claims()), 0).is_ok());
}

#[rstest]
#[case::truncated(r#"{"keys":[{"kty":"OKP""#, "not JSON")]
#[case::two_documents(r#"{"keys":[]}{"keys":[]}"#, "more than one document")]
#[case::duplicate_member(r#"{"keys":[],"keys":[]}"#, "a member stands twice")]
#[case::missing_keys("{}", "keys is missing")]
#[case::key_is_not_an_object(r#"{"keys":[1]}"#, "key 0: not an object")]
#[case::short_coordinate(r#"{"keys":[{"kty":"OKP","crv":"Ed25519","x":"AAAA"}]}"#, "key 0: x has 3 bytes")]
#[case::missing_coordinate(
    r#"{"keys":[{"kty":"EC","crv":"P-256","x":"f83OJ3D2xF1Bg8vub9tLe1gHMzV76e8Tus9uPHvRVEU"}]}"#,
    "key 0: y is missing"
)]
#[case::private_key(
    r#"{"keys":[{"kty":"OKP","crv":"Ed25519","d":"x","x":"11qYAYKxCrfVS_7TyWQHOg7hcvPapiMlrwIaaPcHURo"}]}"#,
    "private half"
)]
#[case::short_modulus(r#"{"keys":[{"kty":"RSA","n":"ofgW","e":"AQAB"}]}"#, "24 bits")]
fn key_set_with_invalid_key_is_rejected_completely(#[case] text: &str, #[case] cause: &str) {
    let error = KeySet::parse(text.as_bytes()).unwrap_err();
    assert!(error.to_string().contains(cause), "{error}");
}

#[test]
fn key_set_with_other_kinds_or_duplicate_kids_keeps_usable_keys() {
    let (one, other) = (signer("k1", Algorithm::EdDsa), signer("k1", Algorithm::EdDsa));
    let duplicate = published(&[(&one, json!({})), (&one, json!({}))]).unwrap();
    assert_eq!(duplicate.keys.len(), 1, "duplicate of the same key");
    let error = published(&[(&one, json!({})), (&other, json!({}))]).unwrap_err();
    assert!(error.to_string().contains("key 1: its kid is another key's"), "{error}");
    let ignored =
        [json!({"use": "enc"}), json!({"key_ops": ["sign"]}), json!({"alg": "PS256"}), json!({"kty": "oct"})];
    for members in ignored {
        let set = published(&[(&one, members)]).unwrap();
        assert_eq!((set.keys.len(), set.ignored), (0, 1));
    }
    let many: Vec<Value> = (0..10_000).map(|index| json!({"kty": "oct", "kid": index.to_string()})).collect();
    assert!(KeySet::parse(json!({"keys": many}).to_string().as_bytes()).is_err());
}
