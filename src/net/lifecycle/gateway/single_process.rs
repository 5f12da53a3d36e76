//! Parts that only one process of a gateway can run at a time. During an upgrade they start once the previous process has
//! freed their addresses.

use super::error::StartError;
use crate::consensus::{Instance, InvalidDocument};
use crate::net::configuration::agreed_routes::{self, RoutesFollower};
use crate::net::core::Core;
use crate::net::frontend::dns;
use crate::net::service::Service;
use sagearch_operators::fronts::{Dns, Raft};
use std::fmt::Display;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How often a thread checks whether an address in use has become free.
const ADDRESS_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// The stack size of the thread that waits for an address.
const STACK_BYTES: usize = 256 * 1024;

/// Whether another process listens at an address.
fn is_in_use(address: SocketAddr) -> bool {
    std::net::TcpListener::bind(address).is_err_and(|e| e.kind() == io::ErrorKind::AddrInUse)
}

/// Starts a thread that waits until the address is free and then runs `start`.
fn start_when_free<E: Display>(
    address: SocketAddr,
    start: impl FnOnce() -> Result<(), E> + Send + 'static,
) -> Result<(), StartError> {
    log::info!("{address} is in use; waiting until it is free");
    let thread = std::thread::Builder::new().name("take-over".into()).stack_size(STACK_BYTES);
    let spawned = thread.spawn(move || {
        while is_in_use(address) {
            std::thread::sleep(ADDRESS_RETRY_INTERVAL);
        }
        if let Err(e) = start() {
            log::error!("{address}: {e}");
        }
    });
    spawned.map(drop).map_err(|cause| StartError::TakeOver { address, cause })
}

/// Starts the DNS frontend, at once or when its address becomes free. Returns its address; `None`: it is off. `listen` is
/// the address where clients connect.
pub(super) fn start_dns(
    core: &Arc<Core>,
    dns: Option<Dns>,
    listen: SocketAddr,
    seed: u64,
) -> Result<Option<SocketAddr>, StartError> {
    let Some(dns) = dns else { return Ok(None) };
    let service: Arc<dyn Service> = core.clone();
    if !(core.socket_shared && is_in_use(dns.listen)) {
        return Ok(Some(dns::start(&service, dns, listen, seed)?));
    }
    let address = dns.listen;
    start_when_free(address, move || dns::start(&service, dns, listen, seed).map(drop))?;
    Ok(Some(address))
}

/// Starts this gateway's instance of the consensus group for the DNS frontend's routes, at once or when its address becomes
/// free. `None`: no group is configured, or the address is not free yet.
pub(super) fn start_consensus(core: &Arc<Core>, raft: Option<Raft>) -> Result<Option<Instance>, StartError> {
    let Some(raft) = raft else { return Ok(None) };
    let address = raft.listen;
    if !(core.socket_shared && is_in_use(address)) {
        let instance = join_consensus_group(core, &raft);
        return instance.map(Some).map_err(|cause| StartError::Consensus { address, cause });
    }
    let core = core.clone();
    start_when_free(address, move || -> io::Result<()> {
        // The instance stops when it is dropped, so this thread owns it.
        let _instance = join_consensus_group(&core, &raft)?;
        loop {
            std::thread::park();
        }
    })?;
    Ok(None)
}

/// Starts this gateway's instance of the consensus group, which agrees on the DNS frontend's routes.
fn join_consensus_group(core: &Arc<Core>, raft: &Raft) -> io::Result<Instance> {
    let (validating_core, following_core) = (core.clone(), core.clone());
    let validate = move |text: &[u8]| {
        let parsed = agreed_routes::parse(text, &validating_core.deployment().names);
        parsed.map(drop).map_err(InvalidDocument::from)
    };
    let follower = RoutesFollower {
        routes: core.agreed_routes.clone().unwrap_or_default(),
        deployment: move || following_core.deployment(),
    };
    Instance::start(raft, Arc::new(validate), follower)
}
