//! Certificates of an authority of one's own, for small installations and for tests.

use rcgen::{
    BasicConstraints, CertificateParams, CertificateRevocationListParams, DnType, ExtendedKeyUsagePurpose,
    IsCa, Issuer, KeyIdMethod, KeyPair, KeyUsagePurpose, RevokedCertParams, SanType, SerialNumber,
};
use std::time::{Duration, SystemTime};
use thiserror::Error;

/// By how much the validity of new certificates starts before now, as clocks differ.
const CLOCK_TOLERANCE: Duration = Duration::from_mins(1);

/// Why a certificate or a revocation list can't be issued.
#[derive(Debug, Error)]
pub enum IssueError {
    /// A key can't be generated or read, or a certificate can't be read or signed.
    #[error(transparent)]
    Certificate(#[from] rcgen::Error),
    /// A name can't be in a certificate.
    #[error("{name:?}: {source}")]
    Name {
        /// The URI or DNS name.
        name: String,
        /// What is wrong with it.
        source: rcgen::Error,
    },
}

/// A certificate and its private key, as PEM.
pub struct CertificateAndKey {
    /// The certificate.
    pub certificate: String,
    /// The private key (PKCS #8).
    pub key: String,
}

/// What a certificate is to state.
#[derive(Clone, Debug, Default)]
pub struct CertificateRequest {
    /// URIs among its subject alternative names.
    pub uris: Vec<String>,
    /// DNS names and IP addresses among its subject alternative names.
    pub names: Vec<String>,
    /// Whether it is for a server; otherwise it is for a client.
    pub server: bool,
    /// Its serial number, by which it can be revoked; `None`: a random one.
    pub serial: Option<u64>,
}

/// From when until when a certificate is valid, or a revocation list is current.
#[derive(Clone, Copy, Debug)]
pub struct Validity {
    /// The start.
    pub from: SystemTime,
    /// The end.
    pub until: SystemTime,
}

impl Validity {
    /// From a minute ago, as clocks differ, until `span` from now.
    pub fn for_next(span: Duration) -> Validity {
        let now = sagearch_clock::system_time();
        Validity { from: now - CLOCK_TOLERANCE, until: now + span }
    }

    fn apply(self, params: &mut CertificateParams) {
        params.not_before = self.from.into();
        params.not_after = self.until.into();
    }
}

/// Creates an authority: a certificate that signs itself and others.
///
/// # Errors
///
/// No key can be generated.
pub fn create_authority(name: &str, validity: Validity) -> Result<CertificateAndKey, IssueError> {
    let mut params = CertificateParams::new(Vec::new())?;
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    params.distinguished_name.push(DnType::CommonName, name);
    validity.apply(&mut params);
    let key = KeyPair::generate()?;
    let certificate = params.self_signed(&key)?.pem();
    Ok(CertificateAndKey { certificate, key: key.serialize_pem() })
}

impl CertificateAndKey {
    /// The authority whose certificate and key these are.
    fn issuer(&self) -> Result<Issuer<'static, KeyPair>, IssueError> {
        let key = KeyPair::from_pem(&self.key)?;
        Ok(Issuer::from_ca_cert_pem(&self.certificate, key)?)
    }

    /// Issues a certificate by this authority, with a new key.
    ///
    /// # Errors
    ///
    /// A name can't be in a certificate, or this is no authority.
    pub fn issue_certificate(
        &self,
        request: &CertificateRequest,
        validity: Validity,
    ) -> Result<CertificateAndKey, IssueError> {
        let mut params = request.params()?;
        validity.apply(&mut params);
        let key = KeyPair::generate()?;
        let certificate = params.signed_by(&key, &self.issuer()?)?.pem();
        Ok(CertificateAndKey { certificate, key: key.serialize_pem() })
    }

    /// Issues the list of certificates that this authority has revoked, as PEM. `serials` are hexadecimal; separators
    /// are ignored.
    ///
    /// # Errors
    ///
    /// This is no authority.
    pub fn revocation_list(&self, serials: &[String], validity: Validity) -> Result<String, IssueError> {
        let revoked = |serial: &String| RevokedCertParams {
            serial_number: SerialNumber::from(hex_bytes(serial)),
            revocation_time: validity.from.into(),
            reason_code: None,
            invalidity_date: None,
        };
        let params = CertificateRevocationListParams {
            this_update: validity.from.into(),
            next_update: validity.until.into(),
            crl_number: SerialNumber::from(1_u64),
            issuing_distribution_point: None,
            revoked_certs: serials.iter().map(revoked).collect(),
            key_identifier_method: KeyIdMethod::Sha256,
        };
        Ok(params.signed_by(&self.issuer()?)?.pem()?)
    }
}

impl CertificateRequest {
    fn params(&self) -> Result<CertificateParams, IssueError> {
        let mut params = CertificateParams::new(Vec::new())?;
        for uri in &self.uris {
            params.subject_alt_names.push(SanType::URI(ia5_string(uri)?));
        }
        for name in &self.names {
            let name = match name.parse() {
                Ok(address) => SanType::IpAddress(address),
                Err(_) => SanType::DnsName(ia5_string(name)?),
            };
            params.subject_alt_names.push(name);
        }
        let usage = if self.server {
            ExtendedKeyUsagePurpose::ServerAuth
        } else {
            ExtendedKeyUsagePurpose::ClientAuth
        };
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages = vec![usage];
        params.serial_number = self.serial.map(SerialNumber::from);
        Ok(params)
    }
}

fn ia5_string(name: &str) -> Result<rcgen::string::Ia5String, IssueError> {
    name.try_into().map_err(|source| IssueError::Name { name: name.into(), source })
}

/// The bytes of a hexadecimal number with an even or odd number of digits. Other characters are ignored.
fn hex_bytes(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.chars().filter_map(|digit| Some(digit.to_digit(16)? as u8)).collect();
    let (first, pairs) = digits.split_at(digits.len() % 2);
    first.iter().copied().chain(pairs.chunks_exact(2).map(|pair| pair[0] << 4 | pair[1])).collect()
}
