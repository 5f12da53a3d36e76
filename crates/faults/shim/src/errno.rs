//! The calling thread's `errno`.

use libc::c_int;

/// Its value.
pub fn get() -> c_int {
    // SAFETY: the location is the calling thread's own.
    unsafe { *libc::__errno_location() }
}

/// Replaces it.
pub fn set(errno: c_int) {
    // SAFETY: as above.
    unsafe { *libc::__errno_location() = errno };
}

/// What a call returns that fails with this error.
pub fn fail<T: From<i8>>(errno: c_int) -> T {
    set(errno);
    T::from(-1)
}
