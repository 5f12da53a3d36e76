//! How queries come in and answers go out, by UDP and by TCP.

use super::answer::MAX_UDP_PAYLOAD;
use super::resolver::{Resolver, Transport};
use crate::net::io_error::{retry_option, set_nodelay};
use crate::net::{Permit, lock, spawn};
use may::net::{TcpListener, TcpStream, UdpSocket};
use std::collections::HashSet;
use std::io::{self, Read, Write};
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How many TCP clients may be connected; further ones are closed.
const MAX_TCP_CLIENTS: usize = 32;
/// The largest query over TCP that is read, in bytes.
const MAX_TCP_QUERY: usize = 4_096;
/// A TCP client that sends or reads nothing for this long is closed.
const TCP_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// How often a port is chosen that is free for both protocols.
const BIND_ATTEMPTS: usize = 16;
/// The pause after a failed read of the UDP socket.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(1);
/// The pause after a failed `accept`.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// A datagram with its sender.
#[derive(Clone, PartialEq, Eq, Hash)]
struct Datagram {
    sender: SocketAddr,
    bytes: Vec<u8>,
}

/// Answers queries by UDP.
#[derive(Clone)]
pub(super) struct UdpServer {
    resolver: Arc<Resolver>,
    socket: Arc<UdpSocket>,
    /// Datagrams that are being answered. A resolver that repeats its query meanwhile must not be charged twice.
    in_progress: Arc<Mutex<HashSet<Datagram>>>,
}

impl UdpServer {
    pub(super) fn new(resolver: Arc<Resolver>, socket: UdpSocket) -> UdpServer {
        UdpServer { resolver, socket: Arc::new(socket), in_progress: Arc::default() }
    }

    /// Answers queries for ever, each in a coroutine of its own.
    pub(super) fn run(&self) {
        let mut buffer = [0; MAX_UDP_PAYLOAD as usize];
        loop {
            let datagram = match self.socket.recv_from(&mut buffer) {
                Ok((read, sender)) => Datagram { sender, bytes: buffer[..read].to_vec() },
                Err(e) => {
                    log::debug!("dns: {e}");
                    may::coroutine::sleep(RECEIVE_RETRY_DELAY);
                    continue;
                }
            };
            if !lock(&self.in_progress).insert(datagram.clone()) {
                continue;
            }
            let server = self.clone();
            spawn(move || server.answer(&datagram));
        }
    }

    fn answer(&self, datagram: &Datagram) {
        let sender = datagram.sender;
        let answer = self.resolver.answer(&datagram.bytes, sender.ip(), Transport::Udp);
        lock(&self.in_progress).remove(datagram);
        if let Some(bytes) = answer {
            // Not waited for, as many coroutines share the socket. A datagram that is lost is asked for again.
            let _ = self.socket.inner().send_to(&bytes, sender);
        }
    }
}

/// Accepts TCP clients for ever, and answers each in a coroutine of its own.
pub(super) fn serve_tcp(resolver: &Arc<Resolver>, listener: &TcpListener) {
    let connected = Arc::new(AtomicUsize::new(0));
    loop {
        let Ok((mut stream, client)) = listener.accept() else {
            may::coroutine::sleep(ACCEPT_RETRY_DELAY);
            continue;
        };
        let Some(permit) = Permit::take(&connected, MAX_TCP_CLIENTS) else { continue };
        let resolver = resolver.clone();
        spawn(move || {
            let _permit = permit;
            if let Err(e) = serve_tcp_client(&resolver, &mut stream, client.ip()) {
                log::debug!("dns: {client}: {e}");
            }
        });
    }
}

/// Answers the queries of one TCP client, each preceded by its length (RFC 1035, section 4.2.2).
fn serve_tcp_client(resolver: &Resolver, stream: &mut TcpStream, client: IpAddr) -> io::Result<()> {
    set_nodelay(stream);
    retry_option(|| stream.set_read_timeout(Some(TCP_IDLE_TIMEOUT)))?;
    retry_option(|| stream.set_write_timeout(Some(TCP_IDLE_TIMEOUT)))?;
    loop {
        let mut length = [0; 2];
        stream.read_exact(&mut length)?;
        let length = usize::from(u16::from_be_bytes(length));
        if length > MAX_TCP_QUERY {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let mut bytes = vec![0; length];
        stream.read_exact(&mut bytes)?;
        let Some(answer) = resolver.answer(&bytes, client, Transport::Tcp) else { return Ok(()) };
        let length = u16::try_from(answer.len()).map_err(|_| io::ErrorKind::InvalidData)?;
        stream.write_all(&[&length.to_be_bytes()[..], &answer].concat())?;
    }
}

/// Binds UDP and TCP to one port. Port 0 stands for any port that is free for both.
pub(super) fn bind(address: SocketAddr) -> io::Result<(UdpSocket, TcpListener)> {
    let bind_both = || {
        let socket = UdpSocket::bind(address)?;
        let listener = TcpListener::bind(socket.local_addr()?)?;
        Ok((socket, listener))
    };
    let attempts = if address.port() == 0 { BIND_ATTEMPTS } else { 1 };
    (1..attempts).find_map(|_| bind_both().ok()).map_or_else(bind_both, Ok)
}
