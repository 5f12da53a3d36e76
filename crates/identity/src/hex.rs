//! Hexadecimal encoding.

use std::fmt::Write;

/// Encodes each byte as two lower-case digits.
pub(crate) fn encode(bytes: &[u8]) -> String {
    bytes.iter().fold(String::with_capacity(2 * bytes.len()), |mut text, byte| {
        // Writing to a string can't fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}
