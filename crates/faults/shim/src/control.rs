//! The control page of this process.

use libc::c_char;
use sagearch_fault_control::{CONTROL_VARIABLE, ControlPage, Mapping, increment};
use std::ffi::{CStr, CString};
use std::ptr;
use std::sync::atomic::{AtomicPtr, Ordering};

static PAGE: AtomicPtr<ControlPage> = AtomicPtr::new(ptr::null_mut());

/// The page, once it is mapped.
pub fn page() -> Option<&'static ControlPage> {
    // SAFETY: null or a page that stays mapped until the process ends.
    unsafe { PAGE.load(Ordering::Acquire).as_ref() }
}

/// Maps the page before the program's `main`.
extern "C" fn initialize() {
    let Some(page) = open() else { return };
    increment(&page.counters.processes);
    PAGE.store(ptr::from_ref(page).cast_mut(), Ordering::Release);
}

fn open() -> Option<&'static ControlPage> {
    let variable = CString::new(CONTROL_VARIABLE).ok()?;
    // SAFETY: no other thread runs yet that could change the environment.
    let path: *const c_char = unsafe { libc::getenv(variable.as_ptr()) };
    if path.is_null() {
        return None;
    }
    // SAFETY: an entry of the environment ends with a zero byte.
    let mapping = Mapping::open(unsafe { CStr::from_ptr(path) }).ok()?;
    mapping.is_valid().then(|| mapping.leak())
}

#[used]
#[unsafe(link_section = ".init_array")]
static INITIALIZE: extern "C" fn() = initialize;
