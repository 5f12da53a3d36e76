//! Addresses of a run: every participant has one of its own in 127/8, by which a relay knows who is connected to whom.
//!
//! A participant listens behind one port on all addresses of the loopback device. Each other one is told an address in
//! which its own number stands, so one socket serves all links of a listener, and the address that a connection
//! was made to names who made it.

use crate::participant::ParticipantId;
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};

/// Runs side by side that one machine can hold.
const RUN_NUMBERS: std::ops::Range<u8> = 64..128;
/// The port by which runs side by side find each other.
const RUN_LOCK_PORT: u16 = 4_990;
/// The port of a gateway itself, on its own address.
const GATEWAY_PORT: u16 = 5_050;
/// The port on which it listens for operators.
const OPERATORS_PORT: u16 = 5_051;
/// Connections that wait to be accepted.
const BACKLOG: i32 = 1_024;

/// The addresses of one run.
pub struct LoopbackNetwork {
    /// The second number of all its addresses.
    run: u8,
    _taken: TcpListener,
}

impl LoopbackNetwork {
    /// Takes the first addresses that no other run has.
    ///
    /// # Errors
    ///
    /// Where all of them are taken, or no socket can be had.
    pub fn take() -> io::Result<LoopbackNetwork> {
        for run in RUN_NUMBERS {
            match TcpListener::bind((Ipv4Addr::new(127, run, 255, 254), RUN_LOCK_PORT)) {
                Ok(taken) => return Ok(LoopbackNetwork { run, _taken: taken }),
                Err(e) if e.kind() == io::ErrorKind::AddrInUse => {}
                Err(e) => return Err(e),
            }
        }
        Err(io::Error::other(format!("{} runs are on this machine already", RUN_NUMBERS.len())))
    }

    /// The address of a participant, as others see it.
    pub fn ip(&self, participant: ParticipantId) -> Ipv4Addr {
        Ipv4Addr::new(127, self.run, (participant.0 / 250) as u8, (participant.0 % 250 + 1) as u8)
    }

    /// The address that stands for all gateways.
    pub fn broadcast_ip(&self) -> Ipv4Addr {
        Ipv4Addr::new(127, self.run, 255, 253)
    }

    /// Who has an address.
    pub fn participant(&self, at: Ipv4Addr) -> Option<ParticipantId> {
        let [net, run, high, low] = at.octets();
        let known = net == 127 && run == self.run && high < 250 && (1..=250).contains(&low);
        known.then(|| ParticipantId(u16::from(high) * 250 + u16::from(low) - 1))
    }

    /// Where a gateway's process listens.
    pub fn gateway(&self, participant: ParticipantId) -> SocketAddr {
        (self.ip(participant), GATEWAY_PORT).into()
    }

    /// Where it listens for operators.
    pub fn operators(&self, participant: ParticipantId) -> SocketAddr {
        (self.ip(participant), OPERATORS_PORT).into()
    }
}

/// A port that stays a participant's own, also while it does not listen.
pub struct Port {
    _held: Socket,
    number: u16,
}

fn socket() -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    // Without it the port would be open to other machines.
    socket.bind_device(Some(b"lo"))?;
    Ok(socket)
}

fn everywhere(port: u16) -> SocketAddr {
    SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, port).into()
}

impl Port {
    /// Takes a port that nobody has.
    ///
    /// # Errors
    ///
    /// Where no socket can be had.
    pub fn take() -> io::Result<Port> {
        let held = socket()?;
        held.bind(&everywhere(0).into())?;
        let number = held.local_addr()?.as_socket().map_or(0, |at| at.port());
        Ok(Port { _held: held, number })
    }

    /// Its number.
    pub fn number(&self) -> u16 {
        self.number
    }

    /// Listens there; dropping what comes of it has new connections refused.
    ///
    /// # Errors
    ///
    /// Where no socket can be had.
    pub fn listen(&self) -> io::Result<tokio::net::TcpListener> {
        let socket = socket()?;
        socket.bind(&everywhere(self.number).into())?;
        socket.listen(BACKLOG)?;
        socket.set_nonblocking(true)?;
        tokio::net::TcpListener::from_std(socket.into())
    }
}

#[cfg(test)]
mod tests;
