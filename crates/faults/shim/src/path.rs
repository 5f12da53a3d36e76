//! Whether a file lies where faults strike. Paths are built on the stack.

use crate::{control, errno};
use libc::{c_char, c_int};
use sagearch_fault_control::{LONGEST_PREFIX, Plan};
use std::ffi::CStr;
use std::sync::atomic::Ordering::Relaxed;

/// Longer paths are cut; a prefix is shorter still.
const LONGEST_PATH: usize = 2 * LONGEST_PREFIX;
/// The longest link of a descriptor in /proc, with its zero byte.
const LONGEST_LINK: usize = 32;
/// What no fault strikes without a prefix: no files on a disk.
const VIRTUAL: [&[u8]; 3] = [b"/proc", b"/sys", b"/dev"];

/// A path without an allocation.
struct Path {
    bytes: [u8; LONGEST_PATH],
    length: usize,
}

impl Path {
    fn empty() -> Path {
        Path { bytes: [0; LONGEST_PATH], length: 0 }
    }

    fn push(&mut self, bytes: &[u8]) {
        let taken = bytes.len().min(LONGEST_PATH - self.length);
        self.bytes[self.length..self.length + taken].copy_from_slice(&bytes[..taken]);
        self.length += taken;
    }

    fn read_link(link: &CStr) -> Path {
        let mut path = Path::empty();
        let before = errno::get();
        // SAFETY: the link ends with a zero byte, and the result fits the place.
        let read = unsafe { libc::readlink(link.as_ptr(), path.bytes.as_mut_ptr().cast(), LONGEST_PATH) };
        errno::set(before);
        path.length = usize::try_from(read).unwrap_or(0);
        path
    }

    /// The path of an open file, or of the working directory for `AT_FDCWD`.
    fn of_descriptor(descriptor: c_int) -> Path {
        if descriptor == libc::AT_FDCWD {
            return Path::read_link(c"/proc/self/cwd");
        }
        let mut link = [0; LONGEST_LINK];
        write_link(&mut link, descriptor);
        CStr::from_bytes_until_nul(&link).map_or_else(|_| Path::empty(), Path::read_link)
    }

    /// The path that a call names, from a folder on where it is relative.
    ///
    /// # Safety
    /// `name` is null or ends with a zero byte.
    unsafe fn named(folder: c_int, name: *const c_char) -> Path {
        if name.is_null() {
            return Path::empty();
        }
        // SAFETY: by the caller's promise.
        let name = unsafe { CStr::from_ptr(name) }.to_bytes();
        let mut path = Path::empty();
        if !name.starts_with(b"/") {
            path = Path::of_descriptor(folder);
            path.push(b"/");
        }
        path.push(name);
        path
    }

    fn lies_under(&self, prefix: &[u8]) -> bool {
        let path = &self.bytes[..self.length];
        path.starts_with(prefix) && matches!(path.get(prefix.len()), None | Some(b'/'))
    }

    /// Whether the plan in service strikes files at this path.
    fn is_struck(&self) -> bool {
        let strikes = control::page().and_then(|page| page.read_plan(|plan| self.is_under_prefix_of(plan)));
        strikes.unwrap_or(false)
    }

    fn is_under_prefix_of(&self, plan: &Plan) -> bool {
        let length = plan.prefix_length.load(Relaxed) as usize;
        if length == 0 {
            return !VIRTUAL.iter().any(|folder| self.lies_under(folder));
        }
        let path = &self.bytes[..self.length];
        let Some(begin) = path.get(..length) else { return false };
        let is_prefix =
            begin.iter().zip(&plan.prefix).all(|(byte, expected)| *byte == expected.load(Relaxed));
        is_prefix && matches!(path.get(length), None | Some(b'/'))
    }
}

/// Whether the plan in service strikes an open file. Never inlined: a path takes more of the stack than a coroutine
/// may have, and most calls need none.
#[inline(never)]
pub fn is_descriptor_struck(descriptor: c_int) -> bool {
    Path::of_descriptor(descriptor).is_struck()
}

/// The same of a file that a call names.
///
/// # Safety
/// `name` is null or ends with a zero byte.
#[inline(never)]
pub unsafe fn is_name_struck(folder: c_int, name: *const c_char) -> bool {
    // SAFETY: by the caller's promise.
    unsafe { Path::named(folder, name) }.is_struck()
}

/// Writes the link of a descriptor in /proc; the rest of the place stays zero.
fn write_link(place: &mut [u8; LONGEST_LINK], descriptor: c_int) {
    const FOLDER: &[u8] = b"/proc/self/fd/";
    place[..FOLDER.len()].copy_from_slice(FOLDER);
    let mut number = descriptor.unsigned_abs();
    let digits = number.checked_ilog10().unwrap_or(0) as usize + 1;
    for digit in place[FOLDER.len()..FOLDER.len() + digits].iter_mut().rev() {
        *digit = b'0' + (number % 10) as u8;
        number /= 10;
    }
}
