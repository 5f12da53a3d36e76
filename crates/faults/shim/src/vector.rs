//! Buffers of one transfer, whole or cut.

use libc::{c_int, c_void, iovec};
use std::slice;

/// The buffers that a vectored call names.
#[derive(Clone, Copy)]
pub struct Buffers {
    address: *const iovec,
    count: c_int,
}

impl Buffers {
    /// # Safety
    /// `address` names `count` buffers as long as this is used.
    pub unsafe fn new(address: *const iovec, count: c_int) -> Buffers {
        Buffers { address, count }
    }

    fn all(&self) -> &[iovec] {
        match usize::try_from(self.count) {
            // SAFETY: by the promise of `new`.
            Ok(count) if !self.address.is_null() => unsafe { slice::from_raw_parts(self.address, count) },
            _ => &[],
        }
    }

    /// Their bytes.
    pub fn total(&self) -> usize {
        self.all().iter().map(|buffer| buffer.iov_len).sum()
    }

    /// The first that is not empty.
    pub fn first(&self) -> (*mut c_void, usize) {
        let first = self.all().iter().find(|buffer| buffer.iov_len > 0);
        first.map_or((std::ptr::null_mut(), 0), |buffer| (buffer.iov_base, buffer.iov_len))
    }

    /// The first so many bytes, all of them within the first buffer that is not empty.
    pub fn cut(&self, length: usize) -> iovec {
        let (iov_base, first) = self.first();
        iovec { iov_base, iov_len: length.min(first) }
    }
}
