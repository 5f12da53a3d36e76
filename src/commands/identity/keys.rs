//! `sagearch identity keys`: the keys of all issuers with their states.

use super::error::{Cause, CommandError};
use super::files::{read_bytes, read_text};
use super::offline::{OfflineConfig, decision_time};
use clap::Args;
use sagearch_identity::Millis;
use sagearch_identity::authority::Report;
use std::path::{Path, PathBuf};
use std::time::Duration;
use ureq::tls::{Certificate, ClientCert, PemItem, PrivateKey, RootCerts, TlsConfig};

/// A running gateway answers within this time, or the command fails.
const TIMEOUT: Duration = Duration::from_secs(5);

// The arguments of the command. This is no documentation comment, as that would show in its help.
#[derive(Args)]
pub struct Keys {
    /// Of a running gateway, at its admin address: `http://127.0.0.1:9000`
    #[arg(long, value_name = "URL")]
    admin: Option<String>,
    /// A file with the token of an operator
    #[arg(long, value_name = "FILE", requires = "admin")]
    token: Option<PathBuf>,
    /// Whom to trust with the admin address's certificate
    #[arg(long, value_name = "FILE", requires = "admin")]
    roots: Option<PathBuf>,
    /// A certificate and its key, to be shown to it
    #[arg(long, value_name = "FILE", requires = "key")]
    certificate: Option<PathBuf>,
    #[arg(long, value_name = "FILE", requires = "certificate")]
    key: Option<PathBuf>,
    /// When, as 2026-11-30T18:00:00Z; now without
    #[arg(long, value_name = "MOMENT")]
    at: Option<jiff::Timestamp>,
    #[arg(long)]
    json: bool,
}

impl Keys {
    /// Prints the keys.
    pub(super) fn run(&self, operators: &Path) -> Result<(), CommandError> {
        let report = match &self.admin {
            Some(url) => self.fetch(url)?,
            None => self.compute(operators)?,
        };
        if self.json {
            println!("{}", serde_json::to_string(&report)?);
        } else {
            print_text(&report);
        }
        Ok(())
    }

    /// The report of a gateway that would start under the operators' file.
    fn compute(&self, operators: &Path) -> Result<Report, CommandError> {
        let now = decision_time(self.at);
        Ok(OfflineConfig::read(operators)?.authority(&[], now)?.report(now))
    }

    /// The report of a running gateway, from its admin address.
    fn fetch(&self, url: &str) -> Result<Report, CommandError> {
        let config = ureq::Agent::config_builder().timeout_global(Some(TIMEOUT)).proxy(None);
        let agent = config.tls_config(self.tls_config()?).build().new_agent();
        let mut call = agent.get(format!("{}/v1/identity/keys", url.trim_end_matches('/')));
        if let Some(token) = &self.token {
            call = call.header("Authorization", format!("Bearer {}", read_text(token)?));
        }
        let text = call.call().and_then(|mut answer| answer.body_mut().read_to_string());
        let text = text.map_err(|error| admin_error(url, error))?;
        serde_json::from_str(&text).map_err(|error| admin_error(url, error))
    }

    fn tls_config(&self) -> Result<TlsConfig, CommandError> {
        let mut config = TlsConfig::builder();
        if let Some(roots) = &self.roots {
            config = config.root_certs(RootCerts::new_with_certs(&read_certificates(roots)?));
        }
        if let (Some(chain), Some(key)) = (&self.certificate, &self.key) {
            let key = PrivateKey::from_pem(&read_bytes(key)?).map_err(CommandError::invalid_file(key))?;
            config = config.client_cert(Some(ClientCert::new_with_certs(&read_certificates(chain)?, key)));
        }
        Ok(config.build())
    }
}

fn read_certificates(path: &Path) -> Result<Vec<Certificate<'static>>, CommandError> {
    let bytes = read_bytes(path)?;
    let certificates = ureq::tls::parse_pem(&bytes).filter_map(|item| match item {
        Ok(PemItem::Certificate(certificate)) => Some(Ok(certificate)),
        Ok(_) => None,
        Err(error) => Some(Err(CommandError::invalid_file(path)(error))),
    });
    certificates.collect()
}

fn admin_error(url: &str, source: impl Into<Cause>) -> CommandError {
    CommandError::Admin { url: url.into(), source: source.into() }
}

fn print_text(report: &Report) {
    println!("{:<10} {:<7} {:<24} {:<24} {:<24} KID", "STATE", "ALG", "SEEN", "FROM", "UNTIL");
    for issuer in &report.issuers {
        let heard =
            issuer.heard_ms_ago.map_or("never heard".into(), |ms| format!("heard {} s ago", ms / 1_000));
        println!("{} ({heard}, asked {} times)", issuer.name, issuer.lookups);
        for key in &issuer.keys {
            let (seen, from, until) = (time_text(Some(key.seen)), time_text(key.from), time_text(key.until));
            let (state, algorithm) = (key.state.name(), &key.algorithm);
            println!("{state:<10} {algorithm:<7} {seen:<24} {from:<24} {until:<24} {}", key.kid);
        }
    }
}

fn time_text(unix_ms: Option<Millis>) -> String {
    let time = unix_ms.and_then(|ms| jiff::Timestamp::from_millisecond(i64::try_from(ms).ok()?).ok());
    time.map_or_else(|| "-".to_string(), |time| time.to_string())
}
