//! Waits for events, which can only be interrupted.

use crate::draw::Draw;
use crate::errno::fail;
use crate::real::replace;
use libc::{c_int, epoll_event};
use sagearch_fault_control::Call;

replace!(
    fn epoll_wait(poller: c_int, events: *mut epoll_event, most: c_int, timeout: c_int) -> c_int,
    |real| {
        match Draw::begin(Call::EpollWait).and_then(|draw| draw.errno()) {
            Some(errno) => fail(errno),
            None => real(poller, events, most, timeout),
        }
    }
);
