//! Objects' bytes, which say of themselves what they are, and show it where a single one has changed.

use crate::model::copies::{Copy, Key};
use crate::trace::{Body, Micros};
use rand::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The tag of a copy: the same bytes have the same one, whenever they were given out.
pub fn etag(key: &Key, version: u64) -> String {
    format!("{}-{}-{version}", key.0, key.1)
}

/// FNV-1a: short, and the same on each machine.
fn hash(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3))
}

fn filled(head: &str, bytes: usize) -> Vec<u8> {
    let mut body = head.as_bytes().to_vec();
    let begun = body.len();
    body.resize(bytes.max(begun), 0);
    Pcg64Mcg::seed_from_u64(hash(head)).fill_bytes(&mut body[begun..]);
    body
}

/// The bytes of a copy.
pub fn make(key: &Key, copy: &Copy, bytes: usize) -> Vec<u8> {
    let (object, part) = key;
    filled(&format!("{object} {part} {} {} {bytes}\n", copy.version, copy.made), bytes)
}

/// What bytes say of themselves. `None`: they are not what a store has made.
pub fn read(bytes: &[u8]) -> Option<Body> {
    let end = bytes.iter().position(|byte| *byte == b'\n')? + 1;
    let head = std::str::from_utf8(&bytes[..end]).ok()?;
    let words: Vec<&str> = head.trim_end().split(' ').collect();
    let [object, part, version, made, length] = words[..] else { return None };
    let (version, made): (u64, Micros) = (version.parse().ok()?, made.parse().ok()?);
    let whole = length.parse::<usize>().ok()?.max(end) == bytes.len() && filled(head, bytes.len()) == bytes;
    whole.then(|| Body { object: object.into(), part: part.into(), version, made })
}

#[cfg(test)]
mod tests;
