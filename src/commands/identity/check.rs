//! `sagearch identity check`: what a token or certificate stands for.

use super::error::{CommandError, FileProblem};
use super::files::{read_bytes, read_text};
use super::offline::{OfflineConfig, decision_time};
use super::output::Format;
use clap::Args;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::pem::PemObject;
use sagearch_identity::rights::Rule;
use sagearch_identity::{Caller, Credentials, Presented, Reason};
use serde_json::{Value, json};
use std::path::{Path, PathBuf};
use thiserror::Error;

// The arguments of the command. This is no documentation comment, as that would show in its help.
#[derive(Args)]
pub struct Check {
    /// A file with the token; `-` is standard input
    #[arg(long, value_name = "FILE", required_unless_present = "certificate")]
    token: Option<PathBuf>,
    /// A file with the certificate's chain
    #[arg(long, value_name = "FILE", conflicts_with = "token")]
    certificate: Option<PathBuf>,
    /// When, as 2026-11-30T18:00:00Z; now without
    #[arg(long, value_name = "MOMENT")]
    at: Option<jiff::Timestamp>,
    /// Whether it may ask for this
    #[arg(long, requires = "object")]
    class: Option<String>,
    #[arg(long, requires = "class")]
    object: Option<String>,
    #[arg(long, default_value = "GET")]
    method: String,
    /// Keys of an issuer as `ISSUER=FILE`, in place of where the operators' file says
    #[arg(long, value_name = "ISSUER=FILE")]
    keys: Vec<String>,
    #[arg(long)]
    json: bool,
}

/// Why credentials are not accepted.
#[derive(Debug, Error)]
pub(super) enum CheckError {
    /// They are refused, which is an answer.
    #[error("refused: {0}")]
    Refused(Reason),
    /// They could not be checked.
    #[error(transparent)]
    Failed(#[from] CommandError),
}

impl Check {
    /// Checks the credentials and prints who they stand for.
    pub(super) fn run(&self, operators: &Path) -> Result<(), CheckError> {
        let (config, now) = (OfflineConfig::read(operators)?, decision_time(self.at));
        let mut authority = config.authority(&self.keys, now)?;
        let token = self.token.as_deref().map(read_text).transpose()?;
        let certificate = self.certificate.as_deref().map(read_certificate).transpose()?;
        let credentials = Credentials { bearer: token.as_deref(), certificate: certificate.as_ref() };
        let caller = authority.identify(credentials, now).map_err(CheckError::Refused)?;
        let may = self.may(&caller);
        if may == Some(false) {
            return Err(CheckError::Refused(Reason::RightMissing));
        }
        let tenants = &config.identity.settings.tenants;
        let tenant = tenants.iter().find(|tenant| *tenant.name == *caller.tenant);
        let rules = tenant.map_or(&[][..], |tenant| &tenant.rules);
        Format::new(self.json).print(&json_answer(&caller, rules, may), &text_answer(&caller, rules));
        Ok(())
    }

    /// Prints why the credentials are refused.
    pub(super) fn print_refusal(&self, reason: Reason) {
        let json = json!({"accepted": false, "reason": reason.label()});
        Format::new(self.json).print(&json, &CheckError::Refused(reason).to_string());
    }

    /// Whether the caller may ask for what the arguments name; `None`: they name nothing.
    fn may(&self, caller: &Caller) -> Option<bool> {
        match (&self.class, &self.object) {
            (Some(class), Some(object)) => Some(caller.may(class, &self.method, object)),
            _ => None,
        }
    }
}

fn read_certificate(path: &Path) -> Result<Presented, CheckError> {
    let bytes = read_bytes(path)?;
    let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&bytes).collect();
    let chain = chain.map_err(|_| CommandError::wrong_file(path, FileProblem::NotPem))?;
    Presented::read(&chain).map_err(CheckError::Refused)
}

fn json_answer(caller: &Caller, rules: &[Rule], may: Option<bool>) -> Value {
    let rule = |rule: &Rule| {
        let methods: Vec<&str> = rule.methods.iter().map(|method| method.name()).collect();
        json!({"allow": rule.allow, "classes": rule.classes, "prefix": rule.prefix, "methods": methods})
    };
    let rules: Vec<Value> = rules.iter().map(rule).collect();
    let (tenant, principal) = (&*caller.tenant, &*caller.principal);
    json!({"accepted": true, "tenant": tenant, "principal": principal, "rules": rules, "may": may})
}

fn text_answer(caller: &Caller, rules: &[Rule]) -> String {
    let mut lines = vec![format!("tenant {}, principal {}", caller.tenant, caller.principal)];
    for rule in rules {
        let or_all = |list: Vec<&str>| if list.is_empty() { "all".into() } else { list.join(" ") };
        let classes = or_all(rule.classes.iter().map(String::as_str).collect());
        let methods = or_all(rule.methods.iter().map(|method| method.name()).collect());
        let word = if rule.allow { "allow" } else { "deny" };
        lines.push(format!("{word} classes {classes}, methods {methods}, objects {}*", rule.prefix));
    }
    lines.join("\n")
}
