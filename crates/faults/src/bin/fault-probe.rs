//! Makes one kind of call many times and prints how each ended, for the shim's own tests.
//!
//! `fault-probe CALL COUNT FOLDER` prints an errno a line, 0 for success.

use libc::{AF_INET, EFD_NONBLOCK, SO_KEEPALIVE, SOCK_STREAM, SOL_SOCKET, c_int, c_void};
use std::fs::File;
use std::io::{self, IoSlice, IoSliceMut, Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::os::fd::{AsRawFd, FromRawFd, OwnedFd};
use std::path::Path;
use std::ptr;

/// What goes through a stream that is checked.
const STREAM_BYTES: usize = 1 << 20;
/// What is sent of it at a time, at most.
const PIECE_BYTES: usize = 4 * 1024;
/// What is written to a file at a time.
const FILE_BYTES: [u8; 64] = [7; 64];

fn errno_of<T>(result: io::Result<T>) -> i32 {
    result.err().map_or(0, |error| error.raw_os_error().unwrap_or(-1))
}

fn checked(result: c_int) -> io::Result<c_int> {
    if result < 0 { Err(io::Error::last_os_error()) } else { Ok(result) }
}

fn repeat(count: usize, mut call: impl FnMut() -> i32) {
    let lines: Vec<String> = (0..count).map(|_| call().to_string()).collect();
    println!("{}", lines.join("\n"));
}

/// One that nobody connects to: an accept that is not made to fail finds nothing.
fn accepts(count: usize) -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    listener.set_nonblocking(true)?;
    repeat(count, || errno_of(listener.accept()));
    Ok(())
}

fn sockets(count: usize) {
    repeat(count, || {
        // SAFETY: no pointers.
        let socket = checked(unsafe { libc::socket(AF_INET, SOCK_STREAM, 0) });
        // SAFETY: opened above.
        errno_of(socket.map(|socket| unsafe { OwnedFd::from_raw_fd(socket) }))
    });
}

/// A datagram socket that is connected to another.
fn datagrams() -> io::Result<(UdpSocket, UdpSocket)> {
    let (one, other) = (UdpSocket::bind("127.0.0.1:0")?, UdpSocket::bind("127.0.0.1:0")?);
    one.connect(other.local_addr()?)?;
    one.set_nonblocking(true)?;
    Ok((one, other))
}

fn connects(count: usize) -> io::Result<()> {
    let socket = UdpSocket::bind("127.0.0.1:0")?;
    repeat(count, || errno_of(socket.connect("127.0.0.1:9")));
    Ok(())
}

fn reads(count: usize) -> io::Result<()> {
    let (socket, _other) = datagrams()?;
    repeat(count, || errno_of(socket.recv(&mut [0; 8])));
    Ok(())
}

fn writes(count: usize) -> io::Result<()> {
    let (socket, _other) = datagrams()?;
    repeat(count, || errno_of(socket.send(&[0; 8])));
    Ok(())
}

fn waits(count: usize) -> io::Result<()> {
    // SAFETY: no pointers.
    let poller = checked(unsafe { libc::epoll_create1(0) })?;
    let mut event = libc::epoll_event { events: 0, u64: 0 };
    // SAFETY: room for one event.
    repeat(count, || errno_of(checked(unsafe { libc::epoll_wait(poller, &raw mut event, 1, 0) })));
    Ok(())
}

fn set_options(count: usize) -> io::Result<()> {
    let socket = TcpListener::bind("127.0.0.1:0")?;
    let (value, length) = (1 as c_int, size_of::<c_int>() as u32);
    let place: *const c_void = (&raw const value).cast();
    repeat(count, || {
        let descriptor = socket.as_raw_fd();
        // SAFETY: the value lives as long as the call.
        errno_of(checked(unsafe { libc::setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, place, length) }))
    });
    Ok(())
}

fn opens(count: usize, folder: &Path) {
    let path = folder.join("file");
    repeat(count, || errno_of(File::options().append(true).create(true).open(&path)));
}

fn file_writes(count: usize, folder: &Path) {
    let mut number = 0;
    repeat(count, || {
        number += 1;
        errno_of(std::fs::write(folder.join(number.to_string()), FILE_BYTES))
    });
}

fn syncs(count: usize, folder: &Path) -> io::Result<()> {
    let file = File::create(folder.join("file"))?;
    repeat(count, || errno_of(file.sync_data()));
    Ok(())
}

fn renames(count: usize, folder: &Path) -> io::Result<()> {
    let path = folder.join("file");
    File::create(&path)?;
    repeat(count, || errno_of(std::fs::rename(&path, &path)));
    Ok(())
}

/// What the runtime needs: an eventfd and a pipe. Prints errnos as the others do.
fn wakeups(count: usize) -> io::Result<()> {
    // SAFETY: no pointers; the descriptor is open.
    let mut event = unsafe { File::from_raw_fd(checked(libc::eventfd(0, EFD_NONBLOCK))?) };
    let (mut reader, mut writer) = io::pipe()?;
    repeat(count, || {
        let mut place = [0; 8];
        let both = event.write_all(&1_u64.to_ne_bytes()).and_then(|()| event.read_exact(&mut place));
        errno_of(both.and_then(|()| writer.write_all(&place)).and_then(|()| reader.read_exact(&mut place)))
    });
    Ok(())
}

fn pattern() -> Vec<u8> {
    (0..STREAM_BYTES).map(|place| (place * 31 + place / 251) as u8).collect()
}

/// Plain and vectored writes by turns.
fn send_all(mut stream: TcpStream) -> io::Result<()> {
    let bytes = pattern();
    let mut rest = &bytes[..];
    while !rest.is_empty() {
        let piece = &rest[..rest.len().min(PIECE_BYTES)];
        let (first, second) = piece.split_at(piece.len().min(3));
        let written = match rest.len() % 2 {
            0 => stream.write(piece),
            _ => stream.write_vectored(&[IoSlice::new(first), IoSlice::new(second)]),
        };
        match written {
            Ok(written) => rest = &rest[written..],
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

/// Plain and vectored reads by turns, up to the end.
fn receive_all(mut stream: TcpStream) -> io::Result<Vec<u8>> {
    let (mut bytes, mut first, mut second) = (Vec::new(), [0; 3], [0; 16 * 1024]);
    loop {
        let read = if bytes.len().is_multiple_of(2) {
            stream.read(&mut second).inspect(|read| bytes.extend_from_slice(&second[..*read]))
        } else {
            let buffers = &mut [IoSliceMut::new(&mut first), IoSliceMut::new(&mut second)];
            stream.read_vectored(buffers).inspect(|read| {
                bytes.extend_from_slice(&first[..first.len().min(*read)]);
                bytes.extend_from_slice(&second[..read.saturating_sub(first.len())]);
            })
        };
        match read {
            Ok(0) => return Ok(bytes),
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
}

/// Prints whether what was sent has come.
fn stream() -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let sender = TcpStream::connect(listener.local_addr()?)?;
    let sending = std::thread::spawn(move || send_all(sender));
    let received = receive_all(listener.accept()?.0)?;
    let sent = sending.join().map_err(|_| io::Error::other("the sender died"))?;
    println!("{}", sent.is_ok() && received == pattern());
    Ok(())
}

fn clock(clock: libc::clockid_t) -> i64 {
    let mut time = libc::timespec { tv_sec: 0, tv_nsec: 0 };
    // SAFETY: room for a time.
    unsafe { libc::clock_gettime(clock, &raw mut time) };
    time.tv_sec * 1_000_000 + time.tv_nsec / 1_000
}

/// Prints the wall clock by five calls and the monotonic clock, in microseconds.
fn clocks() {
    let mut time = libc::timeval { tv_sec: 0, tv_usec: 0 };
    // SAFETY: room for a time; no zone is asked for.
    unsafe { libc::gettimeofday(&raw mut time, ptr::null_mut()) };
    // SAFETY: no place is asked for.
    let seconds = unsafe { libc::time(ptr::null_mut()) };
    println!("{}", clock(libc::CLOCK_REALTIME));
    println!("{}", clock(libc::CLOCK_REALTIME_COARSE));
    println!("{}", time.tv_sec * 1_000_000 + time.tv_usec);
    println!("{}", seconds * 1_000_000);
    println!("{}", clock(libc::CLOCK_MONOTONIC));
}

fn main() -> io::Result<()> {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, call, count, folder] = &arguments[..] else {
        return Err(io::Error::other("usage: fault-probe CALL COUNT FOLDER"));
    };
    let count = count.parse().map_err(io::Error::other)?;
    let folder = Path::new(folder);
    match call.as_str() {
        "accept" => accepts(count),
        "socket" => {
            sockets(count);
            Ok(())
        }
        "connect" => connects(count),
        "read" => reads(count),
        "write" => writes(count),
        "epoll-wait" => waits(count),
        "set-socket-option" => set_options(count),
        "open" => {
            opens(count, folder);
            Ok(())
        }
        "file-write" => {
            file_writes(count, folder);
            Ok(())
        }
        "sync" => syncs(count, folder),
        "rename" => renames(count, folder),
        "wakeup" => wakeups(count),
        "stream" => stream(),
        "clocks" => {
            clocks();
            Ok(())
        }
        _ => Err(io::Error::other("no such call")),
    }
}
