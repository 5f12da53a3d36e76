//! Confirmation that the process is out of descriptors.
//!
//! A single failed call does not prove that: descriptors are closed all the time, and the machine's table of open files
//! is shared with other processes. No client is evicted for a shortage that has already ended.

use crate::net::io_error::out_of_descriptors;
use std::net::{Ipv4Addr, UdpSocket};

/// The number of consecutive attempts that must fail.
const ATTEMPTS: u32 = 3;

/// Whether repeated attempts to open a socket fail for lack of descriptors. A socket needs a descriptor of the process
/// and an entry in the machine's table of open files.
pub(super) fn are_exhausted() -> bool {
    (0..ATTEMPTS).all(|_| is_socket_unavailable())
}

/// Whether opening a socket fails for lack of descriptors. Other failures do not count.
pub(super) fn is_socket_unavailable() -> bool {
    UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).is_err_and(|e| out_of_descriptors(&e))
}
