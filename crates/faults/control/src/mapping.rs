//! A control file in this process's memory.

use crate::ControlPage;
use std::ffi::CStr;
use std::io;
use std::ops::Deref;
use std::ptr::{self, NonNull};

/// A control page that stays mapped as long as this exists.
#[derive(Debug)]
pub struct Mapping(NonNull<ControlPage>);

// SAFETY: all fields of the page are atomics.
unsafe impl Send for Mapping {}
// SAFETY: as above.
unsafe impl Sync for Mapping {}

impl Mapping {
    /// The length of a control file.
    pub const LENGTH: usize = size_of::<ControlPage>();

    /// Maps a file of [`Mapping::LENGTH`] bytes. The page may not be valid yet.
    ///
    /// # Errors
    /// Those of the operating system, and [`io::ErrorKind::InvalidData`] for a file of another length.
    pub fn open(path: &CStr) -> io::Result<Mapping> {
        // SAFETY: the path ends with a zero byte.
        let descriptor = unsafe { libc::open(path.as_ptr(), libc::O_RDWR | libc::O_CLOEXEC) };
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let mapping = Mapping::map(descriptor);
        // SAFETY: opened above and not used any more; the mapping stays.
        unsafe { libc::close(descriptor) };
        mapping
    }

    fn map(descriptor: libc::c_int) -> io::Result<Mapping> {
        // SAFETY: a stat structure of zeros is valid, and fstat writes nothing beyond it.
        let length = unsafe {
            let mut status: libc::stat = std::mem::zeroed();
            if libc::fstat(descriptor, &raw mut status) != 0 {
                return Err(io::Error::last_os_error());
            }
            status.st_size
        };
        // Memory behind the file's end would raise SIGBUS.
        if usize::try_from(length) != Ok(Mapping::LENGTH) {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let (protection, flags) = (libc::PROT_READ | libc::PROT_WRITE, libc::MAP_SHARED);
        // SAFETY: a new mapping of the file's whole length.
        let address =
            unsafe { libc::mmap(ptr::null_mut(), Mapping::LENGTH, protection, flags, descriptor, 0) };
        if address == libc::MAP_FAILED {
            return Err(io::Error::last_os_error());
        }
        NonNull::new(address.cast()).map(Mapping).ok_or_else(|| io::ErrorKind::InvalidData.into())
    }

    /// Keeps it mapped until the process ends.
    pub fn leak(self) -> &'static ControlPage {
        let page = self.0;
        std::mem::forget(self);
        // SAFETY: it is not unmapped any more.
        unsafe { page.as_ref() }
    }
}

impl Deref for Mapping {
    type Target = ControlPage;

    fn deref(&self) -> &ControlPage {
        // SAFETY: mapped with this length until it is dropped.
        unsafe { self.0.as_ref() }
    }
}

impl Drop for Mapping {
    fn drop(&mut self) {
        // SAFETY: mapped by `map` with this length.
        unsafe { libc::munmap(self.0.as_ptr().cast(), Mapping::LENGTH) };
    }
}
