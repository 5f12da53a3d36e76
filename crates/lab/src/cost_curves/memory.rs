//! Memory by counting what the process has allocated and not freed.
//!
//! The laboratory's program installs [`CountingAllocator`]; in other programs, such as unit tests, nothing is counted and
//! [`allocated`] is `None`. Counted are the sizes that were asked for: what the system's allocator adds for its own
//! records and by fragmentation is not in them.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

static INSTALLED: AtomicBool = AtomicBool::new(false);
static LIVE: AtomicUsize = AtomicUsize::new(0);
static PEAK: AtomicUsize = AtomicUsize::new(0);

/// The system's allocator, with a count of live bytes.
pub struct CountingAllocator;

fn count_allocation(bytes: usize) {
    let live = LIVE.fetch_add(bytes, Ordering::Relaxed) + bytes;
    PEAK.fetch_max(live, Ordering::Relaxed);
}

// SAFETY: each call goes to the system's allocator unchanged; counting does not touch the memory.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        INSTALLED.store(true, Ordering::Relaxed);
        count_allocation(layout.size());
        // SAFETY: the caller keeps to the same contract.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        LIVE.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps to the same contract.
        unsafe { System.dealloc(pointer, layout) }
    }

    unsafe fn realloc(&self, pointer: *mut u8, layout: Layout, new_size: usize) -> *mut u8 {
        count_allocation(new_size);
        LIVE.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: the caller keeps to the same contract.
        unsafe { System.realloc(pointer, layout, new_size) }
    }
}

/// Bytes that are allocated now. `None`: this program does not count.
pub fn allocated() -> Option<usize> {
    INSTALLED.load(Ordering::Relaxed).then(|| LIVE.load(Ordering::Relaxed))
}

/// By how much some work made memory grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Growth {
    /// Bytes that were allocated after it, beyond those before.
    pub left: usize,
    /// The most bytes that were allocated during it, beyond those before.
    pub peak: usize,
}

/// Runs `work` and measures by how much it makes memory grow, as long as its result lives.
pub fn growth_of<T>(work: impl FnOnce() -> T) -> (T, Option<Growth>) {
    let before = LIVE.load(Ordering::Relaxed);
    PEAK.store(before, Ordering::Relaxed);
    let done = work();
    let growth = allocated().map(|after| Growth {
        left: after.saturating_sub(before),
        peak: PEAK.load(Ordering::Relaxed).saturating_sub(before),
    });
    (done, growth)
}
