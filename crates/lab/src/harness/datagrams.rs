//! Datagrams between gateways: one socket relays all of them.
//!
//! A gateway is told an address of each other one in which that one's number stands, and one that stands for all. The
//! relay sees from whose address a datagram came and to which it went, and hands it on from the sender's address in that
//! list, so that who gets it knows the sender.

use super::network::LoopbackNetwork;
use super::relay::LinkRelay;
use crate::network_emulation;
use crate::participant::ParticipantId;
use nix::cmsg_space;
use nix::libc::{in_addr, in_pktinfo};
use nix::sys::socket::{
    ControlMessage, ControlMessageOwned, MsgFlags, SockaddrIn, recvmsg, sendmsg, setsockopt, sockopt,
};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use socket2::{Domain, Protocol, Socket, Type};
use std::io::{self, IoSlice, IoSliceMut};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::UdpSocket;

/// The longest that gateways may send.
const MAX_BYTES: usize = 256;
/// The port at which a gateway hears.
const PORT: u16 = 7_946;
/// Datagrams that are held for later delivery; beyond, one is lost, as in a full buffer.
const MAX_HELD: u64 = 100_000;

/// The relay of all datagrams.
pub struct Datagrams {
    socket: UdpSocket,
    port: u16,
    network: Arc<LoopbackNetwork>,
    relay: Arc<LinkRelay>,
    gateways: Vec<ParticipantId>,
    held: AtomicU64,
    /// Those that were longer than may be.
    pub too_long: AtomicU64,
}

fn io_error(error: nix::errno::Errno) -> io::Error {
    io::Error::from_raw_os_error(error as i32)
}

impl Datagrams {
    /// A relay between some gateways.
    ///
    /// # Errors
    ///
    /// Where the socket can't be had.
    pub fn start(
        network: Arc<LoopbackNetwork>,
        relay: Arc<LinkRelay>,
        gateways: Vec<ParticipantId>,
        seed: u64,
    ) -> io::Result<Arc<Datagrams>> {
        let socket = Socket::new(Domain::IPV4, Type::DGRAM, Some(Protocol::UDP))?;
        // Without it the port would be open to other machines.
        socket.bind_device(Some(b"lo"))?;
        socket.bind(&SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)).into())?;
        socket.set_nonblocking(true)?;
        setsockopt(&socket, sockopt::Ipv4PacketInfo, &true).map_err(io_error)?;
        let socket = UdpSocket::from_std(socket.into())?;
        let port = socket.local_addr()?.port();
        let (held, too_long) = (AtomicU64::new(0), AtomicU64::new(0));
        let datagrams = Arc::new(Datagrams { socket, port, network, relay, gateways, held, too_long });
        let relaying = datagrams.clone();
        tokio::spawn(async move { relaying.run(Pcg64Mcg::seed_from_u64(seed)).await });
        Ok(datagrams)
    }

    /// Where a gateway itself listens.
    pub fn listen_address(&self, gateway: ParticipantId) -> SocketAddr {
        (self.network.ip(gateway), PORT).into()
    }

    /// A gateway's address as all others know it.
    pub fn peer(&self, gateway: ParticipantId) -> SocketAddr {
        (self.network.ip(gateway), self.port).into()
    }

    /// The address that stands for all.
    pub fn broadcast_address(&self) -> SocketAddr {
        (self.network.broadcast_ip(), self.port).into()
    }

    /// Takes one datagram, with who sent it and to which address.
    fn receive(&self, bytes: &mut [u8]) -> io::Result<(usize, Option<ParticipantId>, Ipv4Addr)> {
        let mut control = cmsg_space!(in_pktinfo);
        let mut slices = [IoSliceMut::new(bytes)];
        let message = recvmsg::<SockaddrIn>(
            self.socket.as_raw_fd(),
            &mut slices,
            Some(&mut control),
            MsgFlags::MSG_DONTWAIT | MsgFlags::MSG_TRUNC,
        )
        .map_err(io_error)?;
        let sender = message.address.and_then(|at| self.network.participant(at.ip()));
        let to = message.cmsgs().map_err(io_error)?.find_map(|control| match control {
            ControlMessageOwned::Ipv4PacketInfo(info) => {
                Some(Ipv4Addr::from(u32::from_be(info.ipi_addr.s_addr)))
            }
            _ => None,
        });
        Ok((message.bytes, sender, to.unwrap_or(Ipv4Addr::UNSPECIFIED)))
    }

    /// Sends one from the sender's address in the list of peers.
    fn send(&self, bytes: &[u8], from: ParticipantId, to: ParticipantId) -> io::Result<()> {
        let SocketAddr::V4(at) = self.listen_address(to) else { return Ok(()) };
        let address = in_addr { s_addr: u32::from(self.network.ip(from)).to_be() };
        let info = in_pktinfo { ipi_ifindex: 0, ipi_spec_dst: address, ipi_addr: in_addr { s_addr: 0 } };
        let to = SockaddrIn::from(SocketAddrV4::new(*at.ip(), at.port()));
        let messages = [ControlMessage::Ipv4PacketInfo(&info)];
        let slices = [IoSlice::new(bytes)];
        sendmsg(self.socket.as_raw_fd(), &slices, &messages, MsgFlags::MSG_DONTWAIT, Some(&to))
            .map_err(io_error)?;
        Ok(())
    }

    async fn run(self: Arc<Self>, mut random: Pcg64Mcg) {
        let mut bytes = [0; MAX_BYTES + 1];
        loop {
            let received = self.socket.async_io(Interest::READABLE, || self.receive(&mut bytes)).await;
            let Ok((length, Some(from), to)) = received else { continue };
            if length > MAX_BYTES {
                self.too_long.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            for to in self.receivers(to) {
                let link = self.relay.condition(from, to);
                for delay in network_emulation::datagram_delays(&link, &mut random) {
                    self.deliver(&bytes[..length], from, to, delay);
                }
            }
        }
    }

    /// Whom an address stands for.
    fn receivers(&self, address: Ipv4Addr) -> Vec<ParticipantId> {
        if address == self.network.broadcast_ip() {
            return self.gateways.clone();
        }
        let receiver = self.network.participant(address);
        receiver.into_iter().filter(|receiver| self.gateways.contains(receiver)).collect()
    }

    /// Hands one on after a delay. One that can't be handed on is lost, as datagrams may be.
    fn deliver(self: &Arc<Self>, bytes: &[u8], from: ParticipantId, to: ParticipantId, delay: Duration) {
        if delay.is_zero() {
            let _ = self.send(bytes, from, to);
            return;
        }
        if self.held.fetch_add(1, Ordering::Relaxed) >= MAX_HELD {
            self.held.fetch_sub(1, Ordering::Relaxed);
            return;
        }
        let (relay, copy) = (self.clone(), bytes.to_vec());
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            relay.held.fetch_sub(1, Ordering::Relaxed);
            let _ = relay.send(&copy, from, to);
        });
    }
}

#[cfg(test)]
mod tests;
