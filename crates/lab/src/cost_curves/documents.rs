//! Documents of configuration versions, of the size that a large deployment has.

use super::error::MeasurementError;
use sagearch_stream::version::Documents;
use std::fmt::Write;

/// The name of the operators' text, as in `sagearch-control`.
pub const TEXT: &str = "operators.kdl";
/// The name of the compiled form of the text.
pub const COMPILED: &str = "operators.json";
/// A document that gateways keep beside them.
pub const SMALL: &str = "notes.txt";
/// Tenants of a version of 1.9 MB.
pub const TENANTS: u64 = 10_000;

const ISSUER: &str = "https://login.example";
/// A set of one Ed25519 key: the example of RFC 8037.
const KEY_SET: &str = r#"{"keys":[{"kty":"OKP","crv":"Ed25519","kid":"k1","alg":"EdDSA","use":"sig","x":"11qYAYKxCrfVS_7TyWQHOg7hcvPapiMlrwIaaPcHURo"}]}"#;

/// The operators' language, with so many tenants of five rules each. `revision` changes one line.
pub fn text(tenants: u64, revision: u64) -> String {
    let mut text = format!("identity {{\n audience \"gw\"\n issuer \"{ISSUER}\" {{ keys set=\"main\"; }}\n");
    for number in 0..tenants {
        let _ = writeln!(
            text,
            " tenant \"t{number}\" {{ token issuer=\"{ISSUER}\" claim=\"tenant\" value=\"t{number}\"; \
             deny \"video\" prefix=\"draft-\"; allow \"video\" prefix=\"a\"; allow \"video\" prefix=\"b\"; \
             allow \"once\"; allow \"submit\"; }}"
        );
    }
    let _ = write!(text, "}}\nlimits lookups={}\nkey-set \"main\" json=#\"{KEY_SET}\"#\n", revision + 1);
    text
}

/// What the control service publishes of a text: itself and its compiled form.
///
/// # Errors
///
/// Where the text has faults.
pub fn published(text: String) -> Result<Documents, MeasurementError> {
    let compiled = sagearch_operators::compile(TEXT, &text).map_err(MeasurementError::rejected)?;
    Ok(Documents::from([(TEXT.into(), text), (COMPILED.into(), compiled)]))
}
