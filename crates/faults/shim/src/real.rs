//! The C library's own functions behind the replaced ones.

use libc::c_void;
use std::ffi::CStr;
use std::ptr;
use std::sync::atomic::{AtomicPtr, Ordering};

/// A function of the next library that has it, looked up at the first call.
pub struct RealFunction {
    name: &'static CStr,
    address: AtomicPtr<c_void>,
}

impl RealFunction {
    /// One by its name.
    pub const fn new(name: &'static CStr) -> RealFunction {
        RealFunction { name, address: AtomicPtr::new(ptr::null_mut()) }
    }

    /// Where it is.
    pub fn address(&self) -> *mut c_void {
        let known = self.address.load(Ordering::Relaxed);
        if known.is_null() { self.look_up() } else { known }
    }

    #[cold]
    fn look_up(&self) -> *mut c_void {
        // SAFETY: the name ends with a zero byte.
        let found = unsafe { libc::dlsym(libc::RTLD_NEXT, self.name.as_ptr()) };
        if found.is_null() {
            // SAFETY: ends the process; there is nothing to go on with.
            unsafe { libc::abort() };
        }
        self.address.store(found, Ordering::Relaxed);
        found
    }
}

/// Defines a function that takes the place of the C library's; `real` in its body is that one.
macro_rules! replace {
    (fn $name:ident($($argument:ident: $type:ty),* $(,)?) -> $result:ty, |$real:ident| $body:expr) => {
        /// Replaces the C library's function of this name.
        ///
        /// # Safety
        /// As for the C library's function.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name($($argument: $type),*) -> $result {
            const NAME: &std::ffi::CStr =
                match std::ffi::CStr::from_bytes_with_nul(concat!(stringify!($name), "\0").as_bytes()) {
                    Ok(name) => name,
                    Err(_) => panic!("a function's name has no zero byte"),
                };
            static REAL: $crate::real::RealFunction = $crate::real::RealFunction::new(NAME);
            // SAFETY: the C library's function of this name has this signature.
            let $real: unsafe extern "C" fn($($type),*) -> $result =
                unsafe { std::mem::transmute(REAL.address()) };
            // SAFETY: the caller's arguments are passed on; a transfer is only ever made shorter.
            #[allow(unused_unsafe)]
            unsafe { $body }
        }
    };
}

pub(crate) use replace;
