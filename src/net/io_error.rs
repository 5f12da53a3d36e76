//! Classification of failed system calls on sockets: what the error means for the call itself and for the peer.
//!
//! The same errno means different things in different calls. `EHOSTUNREACH` at `connect` proves that nothing was sent,
//! while at `read` a request may have run. At `accept` it concerns a client that has disconnected again, and the listener
//! is still usable.

use may::io::WaitIo;
use may::net::TcpStream;
use std::io;
use std::time::Duration;

/// The delay before a call is retried when this machine lacked memory or buffers for it.
const SHORTAGE_RETRY_DELAY: Duration = Duration::from_millis(2);

/// How many further calls on a broken connection must fail before it counts as broken.
const BROKEN_CONFIRMATIONS: u32 = 8;

/// The maximum number of attempts to set a socket option.
const OPTION_ATTEMPTS: u32 = 8;

/// The system call in which an error occurred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// `socket(2)`, with the registration of its descriptor for events.
    Socket,
    /// `connect(2)`, until the connection is established. Also used by callers that open the socket in the same step.
    Connect,
    /// `accept(2)`.
    Accept,
    /// `read(2)` and `recv(2)` on an established connection.
    Read,
    /// `write(2)` and `send(2)` on an established connection.
    Write,
    /// `epoll_wait(2)`.
    EpollWait,
    /// `setsockopt(2)`.
    SetOption,
    /// `shutdown(2)`.
    Shutdown,
}

/// A resource that this machine lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resource {
    /// File descriptors, of the process or of the machine.
    Descriptors,
    /// Memory or network buffers.
    Memory,
    /// Local addresses or ports for outgoing connections.
    Addresses,
    /// A route to the peer's network.
    Route,
}

/// What a failed call means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The call had no effect and may be retried once its socket is ready.
    Transient,
    /// This machine lacks a resource. The failure proves nothing about the peer, and the call sent and lost no byte.
    LocalShortage(Resource),
    /// The peer refused the connection: no request ran.
    PeerRefused,
    /// No connection was established: no request ran, and the peer can't be reached from this machine.
    Unreachable,
    /// An established connection is broken: requests that were written on it may have run.
    Broken,
    /// A programming error, a call that this system does not support, or an errno that the manual pages don't list.
    Unexpected,
}

impl Failure {
    /// Classifies an error of this call.
    pub fn of(call: Call, error: &io::Error) -> Failure {
        match error.raw_os_error() {
            Some(errno) => classify_errno(call, errno),
            None => classify_kind(call, error.kind()),
        }
    }

    /// Whether the cause lies on this machine, so that the failure must not count against the peer. Only before the
    /// connection is established does it also prove that no request ran.
    pub fn is_local(self) -> bool {
        matches!(self, Failure::Transient | Failure::LocalShortage(_) | Failure::Unexpected)
    }
}

/// Whether a call failed because this process or the machine is out of descriptors.
pub fn out_of_descriptors(error: &io::Error) -> bool {
    Failure::of(Call::Connect, error) == Failure::LocalShortage(Resource::Descriptors)
}

/// The retry state of one read or write on an established connection. The owner limits the total time.
pub(super) struct Retries {
    call: Call,
    broken_failures: u32,
}

impl Retries {
    pub(super) fn of(call: Call) -> Retries {
        Retries { call, broken_failures: 0 }
    }

    /// Waits until the failed call may be retried.
    ///
    /// # Errors
    /// Returns the given error if the connection is broken.
    pub(super) fn wait(&mut self, stream: &TcpStream, error: io::Error) -> io::Result<()> {
        if self.is_connection_broken(&error) {
            return Err(error);
        }
        if error.kind() == io::ErrorKind::WouldBlock {
            stream.wait_io();
        } else if matches!(Failure::of(self.call, &error), Failure::LocalShortage(_)) {
            may::coroutine::sleep(SHORTAGE_RETRY_DELAY);
        }
        Ok(())
    }

    /// Whether this failure shows that the connection is broken. Linux reports a broken connection once, and then as end
    /// of stream or EPIPE at each further call, so it counts as broken only after that is confirmed.
    pub(super) fn is_connection_broken(&mut self, error: &io::Error) -> bool {
        match Failure::of(self.call, error) {
            Failure::Transient | Failure::LocalShortage(_) => false,
            Failure::Broken if error.raw_os_error().is_some() => {
                self.broken_failures += 1;
                self.broken_failures > BROKEN_CONFIRMATIONS
            }
            _ => true,
        }
    }
}

/// The result of waiting for more input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum InputWait {
    /// The read is retried.
    Continue,
    /// The time for the input has expired: no more is read.
    TimedOut,
}

/// Sets `TCP_NODELAY`, which turns off the delay of small writes. If that fails, the connection is slower but works.
pub(super) fn set_nodelay(stream: &TcpStream) {
    if let Err(e) = stream.set_nodelay(true) {
        log::debug!("failed to set TCP_NODELAY: {e}");
    }
}

/// Sets a socket option that the caller relies on, such as a timeout, with up to [`OPTION_ATTEMPTS`] attempts.
///
/// # Errors
/// Returns the error of the last attempt.
pub(super) fn retry_option(set: impl Fn() -> io::Result<()>) -> io::Result<()> {
    (1..OPTION_ATTEMPTS).find_map(|_| set().ok()).map_or_else(set, Ok)
}

/// The resource that an errno reports as lacking. Such an errno means the same in every call.
fn shortage(errno: i32) -> Option<Resource> {
    match errno {
        libc::EMFILE | libc::ENFILE => Some(Resource::Descriptors),
        libc::ENOMEM | libc::ENOBUFS | libc::ENOSR => Some(Resource::Memory),
        _ => None,
    }
}

fn classify_errno(call: Call, errno: i32) -> Failure {
    if let Some(resource) = shortage(errno) {
        return Failure::LocalShortage(resource);
    }
    if errno == libc::EINTR {
        return Failure::Transient;
    }
    match call {
        // ENOSPC comes from epoll_ctl(2): the user has reached the limit of watched descriptors.
        Call::Socket if errno == libc::ENOSPC => Failure::LocalShortage(Resource::Memory),
        Call::Socket | Call::EpollWait | Call::SetOption => Failure::Unexpected,
        Call::Connect => classify_connect_errno(errno),
        Call::Accept => classify_accept_errno(errno),
        Call::Read | Call::Write | Call::Shutdown => classify_established_errno(call, errno),
    }
}

fn classify_connect_errno(errno: i32) -> Failure {
    match errno {
        libc::EINPROGRESS | libc::EALREADY => Failure::Transient,
        libc::EADDRINUSE | libc::EADDRNOTAVAIL => Failure::LocalShortage(Resource::Addresses),
        libc::ENETUNREACH | libc::ENETDOWN => Failure::LocalShortage(Resource::Route),
        // EAGAIN: no free local port, or no free routing cache entry. ENOSPC: as with `Call::Socket`.
        libc::EAGAIN | libc::ENOSPC => Failure::LocalShortage(Resource::Memory),
        libc::ECONNREFUSED | libc::ECONNRESET | libc::ECONNABORTED => Failure::PeerRefused,
        // EPERM and EACCES: a local firewall rule blocks this address, while others can be reached.
        libc::ETIMEDOUT
        | libc::EHOSTUNREACH
        | libc::EHOSTDOWN
        | libc::ENONET
        | libc::EPROTO
        | libc::EPERM
        | libc::EACCES => Failure::Unreachable,
        _ => Failure::Unexpected,
    }
}

/// Linux returns network errors that are pending on the accepted socket. They concern the client, not the listener.
fn classify_accept_errno(errno: i32) -> Failure {
    match errno {
        libc::EAGAIN
        | libc::ECONNABORTED
        | libc::EPERM
        | libc::ENETDOWN
        | libc::EPROTO
        | libc::ENOPROTOOPT
        | libc::EHOSTDOWN
        | libc::ENONET
        | libc::EHOSTUNREACH
        | libc::EOPNOTSUPP
        | libc::ENETUNREACH
        | libc::ETIMEDOUT
        | libc::ESOCKTNOSUPPORT
        | libc::EPROTONOSUPPORT => Failure::Transient,
        libc::ENOSPC => Failure::LocalShortage(Resource::Memory),
        _ => Failure::Unexpected,
    }
}

fn classify_established_errno(call: Call, errno: i32) -> Failure {
    match errno {
        libc::EAGAIN => Failure::Transient,
        // A write with TCP Fast Open, before the connection is established.
        libc::EALREADY if call == Call::Write => Failure::Transient,
        libc::ECONNRESET
        | libc::ECONNABORTED
        | libc::ECONNREFUSED
        | libc::EPIPE
        | libc::ESHUTDOWN
        | libc::ENOTCONN
        | libc::ETIMEDOUT
        | libc::EHOSTUNREACH
        | libc::EHOSTDOWN
        | libc::ENETUNREACH
        | libc::ENETDOWN
        | libc::ENETRESET
        | libc::ENONET
        | libc::EPROTO
        | libc::EIO
        | libc::EPERM
        | libc::EACCES => Failure::Broken,
        _ => Failure::Unexpected,
    }
}

/// Classifies errors without an errno, which come from the standard library and from callers.
fn classify_kind(call: Call, kind: io::ErrorKind) -> Failure {
    match (call, kind) {
        (_, io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => Failure::Transient,
        (_, io::ErrorKind::OutOfMemory) => Failure::LocalShortage(Resource::Memory),
        (Call::Connect, io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset) => {
            Failure::PeerRefused
        }
        (Call::Connect, io::ErrorKind::TimedOut | io::ErrorKind::HostUnreachable) => Failure::Unreachable,
        (
            Call::Read | Call::Write | Call::Shutdown,
            io::ErrorKind::ConnectionReset
            | io::ErrorKind::ConnectionAborted
            | io::ErrorKind::NotConnected
            | io::ErrorKind::BrokenPipe
            | io::ErrorKind::UnexpectedEof
            | io::ErrorKind::WriteZero
            | io::ErrorKind::TimedOut
            | io::ErrorKind::InvalidData,
        ) => Failure::Broken,
        _ => Failure::Unexpected,
    }
}

#[cfg(test)]
mod tests;
