//! Calls on regular files and directories.

use crate::control;
use crate::draw::Draw;
use crate::errno::{self, fail};
use crate::path::{is_descriptor_struck, is_name_struck};
use crate::real::replace;
use libc::{c_char, c_int, c_uint, c_void, mode_t, off_t, size_t, ssize_t};
use sagearch_fault_control::Call;
use std::sync::atomic::{AtomicBool, Ordering};

/// What the write after a torn one ends with.
const TORN_ERRNO: c_int = libc::ENOSPC;
/// Descriptors from here on have no mark: their torn writes fail at once.
const MARKED_DESCRIPTORS: usize = 4_096;

/// Descriptors whose last write was torn, so that the next one fails.
static TORN: [AtomicBool; MARKED_DESCRIPTORS] = [const { AtomicBool::new(false) }; MARKED_DESCRIPTORS];

fn mark_of(descriptor: c_int) -> Option<&'static AtomicBool> {
    usize::try_from(descriptor).ok().and_then(|place| TORN.get(place))
}

/// The type bits of a descriptor's file. `errno` stays as it is.
fn file_type(descriptor: c_int) -> Option<mode_t> {
    let before = errno::get();
    // SAFETY: a stat structure of zeros is valid, and fstat writes nothing beyond it.
    let (result, status) = unsafe {
        let mut status: libc::stat = std::mem::zeroed();
        (libc::fstat(descriptor, &raw mut status), status)
    };
    errno::set(before);
    (result == 0).then_some(status.st_mode & libc::S_IFMT)
}

/// A call on an open file of one of these types, where the plan strikes it. Standard streams always pass.
fn begin(call: Call, descriptor: c_int, types: &[mode_t]) -> Option<Draw> {
    control::page()?;
    if descriptor <= libc::STDERR_FILENO || !types.contains(&file_type(descriptor)?) {
        return None;
    }
    if is_descriptor_struck(descriptor) { Draw::begin(call) } else { None }
}

/// A write of so many bytes: fails, stops half-way, or passes.
pub fn write(descriptor: c_int, length: usize, write_bytes: impl FnOnce(usize) -> ssize_t) -> ssize_t {
    let Some(draw) = begin(Call::FileWrite, descriptor, &[libc::S_IFREG]) else {
        return write_bytes(length);
    };
    if mark_of(descriptor).is_some_and(|mark| mark.swap(false, Ordering::Relaxed)) {
        draw.count_fired();
        return fail(TORN_ERRNO);
    }
    if let Some(errno) = draw.errno() {
        return fail(errno);
    }
    if draw.is_killed() {
        write_part(&draw, length, write_bytes);
        die();
    }
    if !draw.is_torn() {
        return write_bytes(length);
    }
    match (write_part(&draw, length, write_bytes), mark_of(descriptor)) {
        (written, Some(mark)) if written > 0 => {
            mark.store(true, Ordering::Relaxed);
            written
        }
        _ => fail(TORN_ERRNO),
    }
}

/// Writes the begin alone.
fn write_part(draw: &Draw, length: usize, write_bytes: impl FnOnce(usize) -> ssize_t) -> ssize_t {
    let part = draw.part_of(length);
    draw.count_torn();
    if part == 0 { 0 } else { write_bytes(part) }
}

/// Ends the process as SIGKILL from outside does: nothing runs any more.
fn die() -> ! {
    loop {
        // SAFETY: both calls have no preconditions.
        unsafe {
            libc::kill(libc::getpid(), libc::SIGKILL);
            libc::pause();
        }
    }
}

/// The error of a call that names a file.
///
/// # Safety
/// `name` is null or ends with a zero byte.
unsafe fn errno_at(call: Call, folder: c_int, name: *const c_char) -> Option<c_int> {
    control::page()?;
    // SAFETY: by the caller's promise.
    if !unsafe { is_name_struck(folder, name) } {
        return None;
    }
    Draw::begin(call)?.errno()
}

/// A descriptor that was torn may have been closed since; what is opened under its number is whole.
fn opened(descriptor: c_int) -> c_int {
    if let Some(mark) = mark_of(descriptor) {
        mark.store(false, Ordering::Relaxed);
    }
    descriptor
}

// These take the mode as a variable argument. It is passed in the same place as a fixed one on Linux's ABIs.
replace!(fn open(name: *const c_char, flags: c_int, mode: mode_t) -> c_int, |real| {
    match errno_at(Call::Open, libc::AT_FDCWD, name) {
        Some(errno) => fail(errno),
        None => opened(real(name, flags, mode)),
    }
});

replace!(fn open64(name: *const c_char, flags: c_int, mode: mode_t) -> c_int, |real| {
    match errno_at(Call::Open, libc::AT_FDCWD, name) {
        Some(errno) => fail(errno),
        None => opened(real(name, flags, mode)),
    }
});

replace!(fn openat(folder: c_int, name: *const c_char, flags: c_int, mode: mode_t) -> c_int, |real| {
    match errno_at(Call::Open, folder, name) {
        Some(errno) => fail(errno),
        None => opened(real(folder, name, flags, mode)),
    }
});

replace!(fn openat64(folder: c_int, name: *const c_char, flags: c_int, mode: mode_t) -> c_int, |real| {
    match errno_at(Call::Open, folder, name) {
        Some(errno) => fail(errno),
        None => opened(real(folder, name, flags, mode)),
    }
});

replace!(
    fn pwrite(descriptor: c_int, buffer: *const c_void, length: size_t, offset: off_t) -> ssize_t,
    |real| write(descriptor, length, |length| real(descriptor, buffer, length, offset))
);

replace!(
    fn pwrite64(descriptor: c_int, buffer: *const c_void, length: size_t, offset: off_t) -> ssize_t,
    |real| write(descriptor, length, |length| real(descriptor, buffer, length, offset))
);

/// The error of a sync.
fn errno_of_sync(descriptor: c_int) -> Option<c_int> {
    begin(Call::Sync, descriptor, &[libc::S_IFREG, libc::S_IFDIR])?.errno()
}

replace!(fn fsync(descriptor: c_int) -> c_int, |real| {
    match errno_of_sync(descriptor) {
        Some(errno) => fail(errno),
        None => real(descriptor),
    }
});

replace!(fn fdatasync(descriptor: c_int) -> c_int, |real| {
    match errno_of_sync(descriptor) {
        Some(errno) => fail(errno),
        None => real(descriptor),
    }
});

replace!(fn rename(from: *const c_char, to: *const c_char) -> c_int, |real| {
    match errno_at(Call::Rename, libc::AT_FDCWD, to) {
        Some(errno) => fail(errno),
        None => real(from, to),
    }
});

replace!(
    fn renameat(from_folder: c_int, from: *const c_char, to_folder: c_int, to: *const c_char) -> c_int,
    |real| {
        match errno_at(Call::Rename, to_folder, to) {
            Some(errno) => fail(errno),
            None => real(from_folder, from, to_folder, to),
        }
    }
);

replace!(
    fn renameat2(
        from_folder: c_int,
        from: *const c_char,
        to_folder: c_int,
        to: *const c_char,
        flags: c_uint,
    ) -> c_int,
    |real| {
        match errno_at(Call::Rename, to_folder, to) {
            Some(errno) => fail(errno),
            None => real(from_folder, from, to_folder, to, flags),
        }
    }
);
