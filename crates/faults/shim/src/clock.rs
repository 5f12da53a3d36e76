//! The wall clock, stepped. The monotonic clocks pass.

use crate::control;
use crate::real::replace;
use libc::{c_int, c_void, clockid_t, time_t, timespec, timeval};
use sagearch_fault_control::increment;
use std::sync::atomic::Ordering::Relaxed;

const NANOS_PER_MICRO: i64 = 1_000;
const MICROS_PER_SECOND: i64 = 1_000_000;
const NANOS_PER_SECOND: i64 = NANOS_PER_MICRO * MICROS_PER_SECOND;

/// By how much the wall clock is off, in microseconds.
fn step() -> i64 {
    let Some(page) = control::page() else { return 0 };
    increment(&page.counters.wall_clock_readings);
    let step = page.read_plan(|plan| plan.wall_clock_step.load(Relaxed)).unwrap_or(0);
    if step != 0 {
        increment(&page.counters.stepped_readings);
    }
    step
}

/// Seconds and their parts, moved by as many parts.
fn moved(seconds: i64, parts: i64, by: i64, parts_per_second: i64) -> (i64, i64) {
    let parts = parts + by % parts_per_second;
    let seconds = seconds + by / parts_per_second + parts.div_euclid(parts_per_second);
    (seconds, parts.rem_euclid(parts_per_second))
}

replace!(fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int, |real| {
    let result = real(clock, time);
    if result == 0 && matches!(clock, libc::CLOCK_REALTIME | libc::CLOCK_REALTIME_COARSE) {
        let time = &mut *time;
        let by = step().saturating_mul(NANOS_PER_MICRO);
        (time.tv_sec, time.tv_nsec) = moved(time.tv_sec, time.tv_nsec, by, NANOS_PER_SECOND);
    }
    result
});

replace!(fn gettimeofday(time: *mut timeval, zone: *mut c_void) -> c_int, |real| {
    let result = real(time, zone);
    if result == 0
        && let Some(time) = time.as_mut()
    {
        (time.tv_sec, time.tv_usec) = moved(time.tv_sec, time.tv_usec, step(), MICROS_PER_SECOND);
    }
    result
});

replace!(fn time(place: *mut time_t) -> time_t, |real| {
    let seconds = real(std::ptr::null_mut()) + step().div_euclid(MICROS_PER_SECOND);
    if let Some(place) = place.as_mut() {
        *place = seconds;
    }
    seconds
});
