//! The inherited listening socket for clients, which the platform holds open across the processes of a gateway.

use may::net::{TcpListener, TcpStream};
use std::io;
use std::mem::ManuallyDrop;
use std::net::SocketAddr;
use std::os::fd::{FromRawFd, IntoRawFd, RawFd};

/// Returns a listener on the inherited socket for clients. The socket is shared with other processes of the gateway, so none
/// may shut it down. An address other than `listen` is logged as a warning.
///
/// # Errors
///
/// Returns an error if the descriptor is not a socket with a local address.
pub fn inherit_listener(socket: RawFd, listen: SocketAddr) -> io::Result<TcpListener> {
    // SAFETY: the platform opened the descriptor for this process, which uses it nowhere else. `ManuallyDrop` keeps this
    // value from closing it.
    let inherited = ManuallyDrop::new(unsafe { std::net::TcpListener::from_raw_fd(socket) });
    let address = inherited.local_addr()?;
    if address != listen {
        log::warn!("descriptor {socket} listens on {address}, not on {listen}");
    }
    // SAFETY: as above. The descriptor is a socket, and the returned listener becomes its only owner.
    Ok(unsafe { TcpListener::from_raw_fd(socket) })
}

/// Converts an accepted connection for use by coroutines.
pub fn coroutine_stream(stream: std::net::TcpStream) -> TcpStream {
    // SAFETY: `into_raw_fd` has passed on the ownership of the descriptor, so it has no other owner.
    unsafe { TcpStream::from_raw_fd(stream.into_raw_fd()) }
}
