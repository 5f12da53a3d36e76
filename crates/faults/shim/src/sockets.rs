//! Calls on IP sockets. Others, such as eventfds, pipes and Unix sockets, pass.

use crate::draw::Draw;
use crate::errno::{self, fail};
use crate::real::replace;
use crate::vector::Buffers;
use crate::{control, files};
use libc::{c_int, c_void, iovec, msghdr, size_t, sockaddr, socklen_t, ssize_t};
use sagearch_fault_control::Call;

/// An integer option of a descriptor. `None`: it is no socket. `errno` stays as it is.
fn option_of(descriptor: c_int, option: c_int) -> Option<c_int> {
    let before = errno::get();
    let mut value: c_int = 0;
    let mut length = size_of::<c_int>() as socklen_t;
    let place = (&raw mut value).cast();
    // SAFETY: the option's value fits its place.
    let result = unsafe { libc::getsockopt(descriptor, libc::SOL_SOCKET, option, place, &raw mut length) };
    errno::set(before);
    (result == 0).then_some(value)
}

fn is_ip(domain: c_int) -> bool {
    matches!(domain, libc::AF_INET | libc::AF_INET6)
}

/// Whether a descriptor is an IP socket.
pub fn is_ip_socket(descriptor: c_int) -> bool {
    option_of(descriptor, libc::SO_DOMAIN).is_some_and(is_ip)
}

fn is_stream(descriptor: c_int) -> bool {
    option_of(descriptor, libc::SO_TYPE) == Some(libc::SOCK_STREAM)
}

/// A call on this descriptor, where it is an IP socket.
fn begin(call: Call, descriptor: c_int) -> Option<Draw> {
    control::page()?;
    if is_ip_socket(descriptor) { Draw::begin(call) } else { None }
}

/// The error of a call on an IP socket.
fn errno_of(call: Call, descriptor: c_int) -> Option<c_int> {
    begin(call, descriptor)?.errno()
}

/// How much a transfer is to move.
#[derive(Clone, Copy)]
struct Amount {
    total: usize,
    /// Within the first buffer: a transfer that is cut ends there.
    first: usize,
}

impl Amount {
    fn of_one_buffer(total: usize) -> Amount {
        Amount { total, first: total }
    }

    fn of(buffers: Buffers) -> Amount {
        Amount { total: buffers.total(), first: buffers.first().1 }
    }
}

/// A read or write on an IP socket: fails, moves less than asked, or passes.
fn transfer(
    draw: &Draw,
    descriptor: c_int,
    amount: Amount,
    move_bytes: impl FnOnce(usize) -> ssize_t,
) -> ssize_t {
    if let Some(errno) = draw.errno() {
        return fail(errno);
    }
    // A datagram's end would be lost.
    let cut = draw.short_transfer(amount.total).filter(|_| is_stream(descriptor));
    let Some(length) = cut.map(|length| length.min(amount.first)) else { return move_bytes(amount.total) };
    let moved = move_bytes(length);
    // Else fewer bytes were there in any case.
    if moved == length.cast_signed() {
        draw.count_short_transfer();
    }
    moved
}

replace!(fn accept(listener: c_int, address: *mut sockaddr, length: *mut socklen_t) -> c_int, |real| {
    match errno_of(Call::Accept, listener) {
        Some(errno) => fail(errno),
        None => real(listener, address, length),
    }
});

replace!(
    fn accept4(listener: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int) -> c_int,
    |real| {
        match errno_of(Call::Accept, listener) {
            Some(errno) => fail(errno),
            None => real(listener, address, length, flags),
        }
    }
);

replace!(fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int, |real| {
    let draw = if is_ip(domain) { Draw::begin(Call::Socket) } else { None };
    match draw.and_then(|draw| draw.errno()) {
        Some(errno) => fail(errno),
        None => real(domain, kind, protocol),
    }
});

replace!(fn connect(socket: c_int, address: *const sockaddr, length: socklen_t) -> c_int, |real| {
    match errno_of(Call::Connect, socket) {
        Some(libc::EINTR) => {
            // An interrupted connect goes on in the background.
            let result = real(socket, address, length);
            let goes_on = result == 0 || errno::get() == libc::EINPROGRESS;
            if goes_on { fail(libc::EINTR) } else { result }
        }
        Some(errno) => fail(errno),
        None => real(socket, address, length),
    }
});

replace!(
    fn setsockopt(socket: c_int, level: c_int, name: c_int, value: *const c_void, length: socklen_t) -> c_int,
    |real| {
        match errno_of(Call::SetSocketOption, socket) {
            Some(errno) => fail(errno),
            None => real(socket, level, name, value, length),
        }
    }
);

replace!(fn read(descriptor: c_int, buffer: *mut c_void, length: size_t) -> ssize_t, |real| {
    match begin(Call::Read, descriptor) {
        Some(draw) => transfer(&draw, descriptor, Amount::of_one_buffer(length), |length| {
            real(descriptor, buffer, length)
        }),
        None => real(descriptor, buffer, length),
    }
});

replace!(fn recv(socket: c_int, buffer: *mut c_void, length: size_t, flags: c_int) -> ssize_t, |real| {
    match begin(Call::Read, socket) {
        Some(draw) => transfer(&draw, socket, Amount::of_one_buffer(length), |length| {
            real(socket, buffer, length, flags)
        }),
        None => real(socket, buffer, length, flags),
    }
});

replace!(
    fn recvfrom(
        socket: c_int,
        buffer: *mut c_void,
        length: size_t,
        flags: c_int,
        address: *mut sockaddr,
        address_length: *mut socklen_t,
    ) -> ssize_t,
    |real| {
        match begin(Call::Read, socket) {
            Some(draw) => transfer(&draw, socket, Amount::of_one_buffer(length), |length| {
                real(socket, buffer, length, flags, address, address_length)
            }),
            None => real(socket, buffer, length, flags, address, address_length),
        }
    }
);

replace!(fn readv(descriptor: c_int, buffers: *const iovec, count: c_int) -> ssize_t, |real| {
    match begin(Call::Read, descriptor) {
        Some(draw) => {
            let whole = Buffers::new(buffers, count);
            transfer(&draw, descriptor, Amount::of(whole), |length| {
                if length == whole.total() {
                    real(descriptor, buffers, count)
                } else {
                    real(descriptor, &whole.cut(length), 1)
                }
            })
        }
        None => real(descriptor, buffers, count),
    }
});

// Messages fail, but are not cut.
replace!(fn recvmsg(socket: c_int, message: *mut msghdr, flags: c_int) -> ssize_t, |real| {
    match errno_of(Call::Read, socket) {
        Some(errno) => fail(errno),
        None => real(socket, message, flags),
    }
});

replace!(fn write(descriptor: c_int, buffer: *const c_void, length: size_t) -> ssize_t, |real| {
    match begin(Call::Write, descriptor) {
        Some(draw) => transfer(&draw, descriptor, Amount::of_one_buffer(length), |length| {
            real(descriptor, buffer, length)
        }),
        None => files::write(descriptor, length, |length| real(descriptor, buffer, length)),
    }
});

replace!(fn send(socket: c_int, buffer: *const c_void, length: size_t, flags: c_int) -> ssize_t, |real| {
    match begin(Call::Write, socket) {
        Some(draw) => transfer(&draw, socket, Amount::of_one_buffer(length), |length| {
            real(socket, buffer, length, flags)
        }),
        None => real(socket, buffer, length, flags),
    }
});

replace!(
    fn sendto(
        socket: c_int,
        buffer: *const c_void,
        length: size_t,
        flags: c_int,
        address: *const sockaddr,
        address_length: socklen_t,
    ) -> ssize_t,
    |real| {
        match begin(Call::Write, socket) {
            Some(draw) => transfer(&draw, socket, Amount::of_one_buffer(length), |length| {
                real(socket, buffer, length, flags, address, address_length)
            }),
            None => real(socket, buffer, length, flags, address, address_length),
        }
    }
);

replace!(fn writev(descriptor: c_int, buffers: *const iovec, count: c_int) -> ssize_t, |real| {
    let whole = Buffers::new(buffers, count);
    let move_bytes = |length: usize| {
        if length == whole.total() {
            real(descriptor, buffers, count)
        } else {
            real(descriptor, &whole.cut(length), 1)
        }
    };
    match begin(Call::Write, descriptor) {
        Some(draw) => transfer(&draw, descriptor, Amount::of(whole), move_bytes),
        None => files::write(descriptor, whole.total(), move_bytes),
    }
});

replace!(fn sendmsg(socket: c_int, message: *const msghdr, flags: c_int) -> ssize_t, |real| {
    match errno_of(Call::Write, socket) {
        Some(errno) => fail(errno),
        None => real(socket, message, flags),
    }
});
