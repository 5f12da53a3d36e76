//! The operators' file: all that the platform does not tell a gateway. KDL, `deploy/gateway.kdl` by default; without
//! one everything in it is off. `deploy/gateway.example.kdl` shows the form.
//!
//! A file is read whole or not at all. Each fault names file, line, column and cause.

pub mod fronts;
pub mod identity;
pub mod kdl;
pub mod tls;

use crate::settings::Names;
use fronts::{Dns, Raft};
use identity::Identity;
use kdl::{Fault, Text};
use std::io;
use std::path::Path;
use tls::Tls;

/// The file, as types.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Operators {
    pub identity: Option<Identity>,
    pub tls: Option<Tls>,
    pub dns: Option<Dns>,
    pub raft: Option<Raft>,
}

/// Reads a text. The zones that it names are those of the settings.
pub fn parse(file: &str, text: &str, names: &Names) -> Result<Operators, Fault> {
    parse_with(file, text, Some(names))
}

/// Without the settings, the fronts' part is passed over.
fn parse_with(file: &str, text: &str, names: Option<&Names>) -> Result<Operators, Fault> {
    let text = Text { file, text };
    let document = text.parse()?;
    let mut operators = Operators::default();
    let nodes = text.nodes(&document);
    for node in &nodes {
        let twice = match node.name() {
            "identity" => operators.identity.replace(identity::identity(node)?).is_some(),
            "tls" => operators.tls.replace(tls::tls(node)?).is_some(),
            "dns" => match names {
                Some(names) => operators.dns.replace(fronts::dns(node, names)?).is_some(),
                None => false,
            },
            "group" => operators.raft.replace(fronts::group(node)?).is_some(),
            _ => return Err(node.unknown()),
        };
        if twice {
            return Err(node.fault(format!("{:?} stands twice", node.name())));
        }
    }
    // Asking for certificates is the listener's, and whom to trust with them is identity's: one needs the other.
    let roots = operators.identity.as_ref().map_or(0, |identity| identity.trust.roots.len());
    match nodes.iter().find(|node| node.name() == "tls") {
        Some(node) if roots == 0 && operators.tls.as_ref().is_some_and(Tls::asks) => {
            Err(node.fault("client certificates are asked for, and identity names no roots"))
        }
        _ => Ok(operators),
    }
}

/// Reads a file that may be absent.
pub fn read(file: &Path, names: &Names) -> Result<Operators, Fault> {
    let name = file.to_string_lossy();
    match std::fs::read_to_string(file) {
        Ok(text) => parse(&name, &text, names),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(Operators::default()),
        Err(e) => Err(Fault::new(&name, "", (0, 0).into(), e)),
    }
}

/// Reads what a file says of identity and TLS, where there is no configuration beside it. It must be there.
pub fn read_without_names(file: &Path) -> Result<Operators, Fault> {
    let name = file.to_string_lossy();
    let text = std::fs::read_to_string(file).map_err(|e| Fault::new(&name, "", (0, 0).into(), e))?;
    parse_with(&name, &text, None)
}
