//! The DNS frontend: request routing by DNS, with the same broker and under the same rules as HTTP.
//!
//! `[block-N.]OBJECT.CLASS.DOMAIN` stands for a request. A look-up is a request of the core too: the endpoint that is
//! picked gets a health check, a failed check is retried at the next endpoint, and the address of the one that passed is
//! the answer. Its time to live is 0, so that names leave a draining endpoint as soon as requests do. The load that an
//! answer brings to an endpoint is charged to the endpoint's slow start when it is picked.
//!
//! `transport` receives queries over UDP and TCP, `name` and `question` decide what is asked and whether it may be
//! answered, `resolver` looks up, and `answer` encodes.

mod answer;
mod name;
mod question;
mod resolver;
mod transport;

use crate::net::service::Service;
use hickory_proto::rr::Name;
use resolver::Resolver;
use sagearch_operators::fronts::Dns;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use thiserror::Error;
use transport::UdpServer;

/// Why the DNS frontend can't start.
#[derive(Debug, Error)]
pub enum DnsError {
    /// The domain of the operators' file is no domain name.
    #[error("dns.domain: {domain}: {cause}")]
    Domain {
        /// The domain, as the file states it.
        domain: String,
        /// What is wrong with it.
        #[source]
        cause: hickory_proto::ProtoError,
    },
    /// The address of the operators' file can't be listened at, by UDP and by TCP.
    #[error("dns.listen: {address}: {cause}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why it can't be used.
        #[source]
        cause: io::Error,
    },
}

/// Starts the frontend, and returns where it listens. Resolvers that ignore the time to live get the address of
/// `gateway` in their answers. `seed` makes the ids of look-ups differ from those of other processes.
///
/// # Errors
/// [`DnsError`]: the domain is no name, or the address can't be used.
pub fn start(
    service: &Arc<dyn Service>,
    dns: Dns,
    gateway: SocketAddr,
    seed: u64,
) -> Result<SocketAddr, DnsError> {
    let domain = Name::from_ascii(format!("{}.", dns.domain))
        .map_err(|cause| DnsError::Domain { domain: dns.domain, cause })?;
    let listen_error = |cause| DnsError::Listen { address: dns.listen, cause };
    let (socket, listener) = transport::bind(dns.listen).map_err(listen_error)?;
    let address = socket.local_addr().map_err(listen_error)?;
    log::info!("names under {domain} are answered at {address}");
    let resolver = Arc::new(Resolver::new(service.clone(), domain, gateway.ip(), seed));
    let udp_server = UdpServer::new(resolver.clone(), socket);
    crate::net::spawn(move || transport::serve_tcp(&resolver, &listener));
    crate::net::spawn(move || udp_server.run());
    Ok(address)
}

#[cfg(test)]
mod tests;
