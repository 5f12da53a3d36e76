//! Tests of client certificates with roots, revocation lists and tenants that change.

mod common;
use common::*;
use rcgen::*;
use rustls::pki_types::CertificateDer;
use sagearch_identity::certificate::{Trust, serial_of};
use sagearch_identity::{Authority, Credentials, Millis, Presented, Reason};
use std::sync::Arc;

/// A certificate authority with its own root certificate.
struct Ca {
    issuer: Issuer<'static, KeyPair>,
    der: CertificateDer<'static>,
}

fn date_time(ms: Millis) -> ::time::OffsetDateTime {
    ::time::OffsetDateTime::from_unix_timestamp(i64::try_from((T0 + ms) / 1_000).unwrap()).unwrap()
}

fn ca(name: &str) -> Ca {
    let mut params = CertificateParams::new(Vec::new()).unwrap();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    params.distinguished_name.push(DnType::CommonName, name);
    (params.not_before, params.not_after) = (date_time(0), date_time(100_000_000));
    let key = KeyPair::generate().unwrap();
    let der = params.self_signed(&key).unwrap().der().clone();
    Ca { issuer: Issuer::new(params, key), der }
}

impl Ca {
    fn certificate(&self, names: &[SanType], serial: u64, not_after: Millis) -> Presented {
        let mut params = CertificateParams::new(Vec::new()).unwrap();
        params.subject_alt_names = names.to_vec();
        params.extended_key_usages = vec![ExtendedKeyUsagePurpose::ClientAuth];
        params.serial_number = Some(SerialNumber::from(serial));
        (params.not_before, params.not_after) = (date_time(0), date_time(not_after));
        let signed = params.signed_by(&KeyPair::generate().unwrap(), &self.issuer).unwrap();
        Presented::read(std::slice::from_ref(signed.der())).unwrap()
    }

    fn revocation_list(&self, serials: &[u64]) -> CertificateRevocationList {
        let revoked = |serial: &u64| RevokedCertParams {
            serial_number: SerialNumber::from(*serial),
            revocation_time: date_time(0),
            reason_code: None,
            invalidity_date: None,
        };
        let params = CertificateRevocationListParams {
            this_update: date_time(0),
            next_update: date_time(50_000),
            crl_number: SerialNumber::from(1_u64),
            issuing_distribution_point: None,
            revoked_certs: serials.iter().map(revoked).collect(),
            key_identifier_method: KeyIdMethod::Sha256,
        };
        params.signed_by(&self.issuer).unwrap()
    }
}

fn trust(roots: &[&Ca], lists: &[CertificateRevocationList], lists_expire: bool) -> Trust {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let roots: Vec<_> = roots.iter().map(|ca| ca.der.clone()).collect();
    let lists = lists.iter().map(|list| list.der().clone()).collect();
    Trust::new(&roots, lists, lists_expire, true, provider).unwrap()
}

fn uri(text: &str) -> SanType {
    SanType::URI(text.try_into().unwrap())
}

fn dns(text: &str) -> SanType {
    SanType::DnsName(text.try_into().unwrap())
}

fn identify(authority: &mut Authority, presented: &Presented, ms: Millis) -> Result<String, Reason> {
    let caller = authority.identify(Credentials { bearer: None, certificate: Some(presented) }, at(ms))?;
    Ok(format!("{}/{}", caller.tenant, caller.principal))
}

#[test]
fn names_in_certificates_determine_the_tenant() {
    let ca = ca("one");
    let mut authority = Authority::with_settings(settings(), 7, at(0)).unwrap();
    let mut identify_names = |names: &[SanType]| {
        let presented = ca.certificate(names, 1, 3_600_000);
        authority.set_trust(Some(trust(&[&ca], &[], false)));
        identify(&mut authority, &presented, 1_000)
    };
    let child = uri("spiffe://example/payments/till/7");
    assert_eq!(
        identify_names(std::slice::from_ref(&child)).unwrap(),
        "payments/spiffe://example/payments/till/7"
    );
    assert_eq!(identify_names(&[uri("spiffe://example/guides")]).unwrap(), "guides/spiffe://example/guides");
    assert_eq!(identify_names(&[uri("spiffe://example/guides/more")]), Err(Reason::NoTenant));
    assert_eq!(identify_names(&[uri("spiffe://example/payments")]), Err(Reason::NoTenant));
    assert_eq!(identify_names(&[dns("till.Payments.example")]).unwrap(), "payments/till.Payments.example");
    assert_eq!(identify_names(&[dns("a.till.payments.example")]), Err(Reason::NoTenant));
    assert_eq!(identify_names(&[dns("payments.example")]), Err(Reason::NoTenant));
    assert_eq!(identify_names(&[]), Err(Reason::NoTenant));
    assert_eq!(identify_names(&[child, uri("spiffe://example/guides")]), Err(Reason::CertificateNames));
}

#[test]
fn certificate_after_change_of_trust_or_settings_is_checked_again() {
    let (one, other) = (ca("one"), ca("other"));
    let presented = one.certificate(&[uri("spiffe://example/payments/a")], 0x1f, 60_000);
    let mut authority = Authority::with_settings(settings(), 7, at(0)).unwrap();
    assert_eq!(
        identify(&mut authority, &presented, 0),
        Err(Reason::CertificateUntrusted),
        "no roots are set"
    );
    let set = |authority: &mut Authority, trust| authority.set_trust(Some(trust));
    set(&mut authority, trust(&[&one], &[], false));
    for ms in [0, 900] {
        assert!(identify(&mut authority, &presented, ms).is_ok());
    }
    set(&mut authority, trust(&[&other], &[], false));
    assert_eq!(identify(&mut authority, &presented, 1_000), Err(Reason::CertificateUntrusted));
    set(&mut authority, trust(&[&one, &other], &[one.revocation_list(&[7])], false));
    assert!(identify(&mut authority, &presented, 1_000).is_ok());
    set(&mut authority, trust(&[&one], &[one.revocation_list(&[0x1f])], false));
    assert_eq!(identify(&mut authority, &presented, 1_000), Err(Reason::CertificateRevoked));
    // With `lists_expire`, an expired revocation list makes all certificates of its issuer invalid.
    set(&mut authority, trust(&[&one], &[one.revocation_list(&[7])], true));
    assert!(identify(&mut authority, &presented, 49_000).is_ok());
    set(&mut authority, trust(&[&one], &[one.revocation_list(&[7])], true));
    assert!(identify(&mut authority, &presented, 51_000).is_err());
    set(&mut authority, trust(&[&one], &[], false));
    let mut changed = settings();
    changed.revoked.serials.insert(serial_of("00:1F"));
    authority.apply_settings(changed, at(51_000)).unwrap();
    assert_eq!(identify(&mut authority, &presented, 51_000), Err(Reason::CertificateRevoked));
    authority
        .apply_settings(sagearch_identity::Settings { tenants: Vec::new(), ..settings() }, at(51_000))
        .unwrap();
    assert_eq!(identify(&mut authority, &presented, 51_000), Err(Reason::NoTenant));
    authority.apply_settings(settings(), at(51_000)).unwrap();
    assert!(identify(&mut authority, &presented, 59_999).is_ok());
    assert_eq!(identify(&mut authority, &presented, 60_000), Err(Reason::CertificateExpired));
    let renewed = one.certificate(&[uri("spiffe://example/payments/a")], 0x20, 120_000);
    assert!(identify(&mut authority, &renewed, 60_000).is_ok());
}

#[test]
fn chain_beyond_limits_is_refused() {
    let ca = ca("one");
    let nine_certificates = vec![ca.der.clone(); 9];
    assert_eq!(Presented::read(&nine_certificates).unwrap_err(), Reason::TooLarge);
    assert_eq!(Presented::read(&[CertificateDer::from(vec![48, 3, 1])]).unwrap_err(), Reason::Malformed);
    assert_eq!(Presented::read(&[]).unwrap_err(), Reason::Missing);
    assert_eq!(Presented::read(&[CertificateDer::from(vec![0; 40_000])]).unwrap_err(), Reason::TooLarge);
}
