//! The paths of a gateway's files and sockets. Several gateways may share a folder, so the gateway's name is part of each.

use std::path::{Path, PathBuf};

/// Returns the path of a gateway's file in a folder. Characters of the gateway's name other than ASCII letters, digits, `-`
/// and `_` are replaced by `_`.
pub fn gateway_file_path(folder: &Path, name: &str, ending: &str) -> PathBuf {
    let sanitized = |c: char| if c.is_ascii_alphanumeric() || "-_".contains(c) { c } else { '_' };
    folder.join(format!("sagearch-{}.{ending}", name.chars().map(sanitized).collect::<String>()))
}

#[cfg(test)]
mod tests;
