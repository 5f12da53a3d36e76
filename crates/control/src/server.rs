//! The service's event loop: one thread with non-blocking mio sockets and TLS by rustls.
//!
//! Each connection has a queue of outgoing messages and transfers. The chunks of a transfer are encoded only when the
//! write buffer has room, so a connection buffers no more than some 256 KB whatever the size of the version.

mod accept;
mod connection;
mod error;
mod publication;
mod session;

pub use error::ServerError;

use crate::disk::ServiceStore;
use crate::persistence::Persistence;
use crate::tls as tls_files;
use connection::Connection;
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token};
use rustls::ServerConfig;
use sagearch_operators::control::ServiceFile;
use sagearch_stream::service::{Service, SessionId, Settings};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// Token of the listener; the token of a connection is its session identifier.
const LISTENER_TOKEN: Token = Token(0);
/// Interval between ticks of the service.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The control service with its listener and connections.
pub struct Server {
    file: ServiceFile,
    persistence: Persistence,
    poll: Poll,
    listener: TcpListener,
    tls_config: Arc<ServerConfig>,
    service: Service,
    connections: BTreeMap<SessionId, Connection>,
    next_session: SessionId,
    started_at: Instant,
    /// Address on which the service listens.
    pub at: SocketAddr,
}

impl Server {
    /// Loads the stored state and versions, and starts to listen.
    ///
    /// # Errors
    /// [`ServerError`] if the data folder, the TLS files or the listen address can't be used.
    pub fn start(file: ServiceFile) -> Result<Server, ServerError> {
        let listen_error = |source| ServerError::Listen { address: file.listen, source };
        let store = ServiceStore::new(&file.data);
        let (state, versions) = store.load(file.epoch)?;
        let tls_config = tls_files::server(&file.certificate, &file.key, &file.roots)?;
        let settings = Settings {
            heartbeat_interval: file.beat,
            reconnect_window: file.spread,
            max_transfers: file.at_once,
            max_sessions: file.connections,
            max_versions: file.keep,
            max_version_bytes: file.largest,
        };
        let mut listener = TcpListener::bind(file.listen).map_err(listen_error)?;
        let at = listener.local_addr().map_err(listen_error)?;
        let poll = Poll::new().map_err(listen_error)?;
        poll.registry().register(&mut listener, LISTENER_TOKEN, Interest::READABLE).map_err(listen_error)?;
        let service = Service::new(settings, state, versions, 0);
        tracing::info!(%at, stable = ?service.state().stable, "the control service listens");
        let (connections, started_at) = (BTreeMap::new(), Instant::now());
        let persistence = Persistence::new(store, file.keep);
        Ok(Server {
            file,
            persistence,
            poll,
            listener,
            tls_config,
            service,
            connections,
            next_session: 1,
            started_at,
            at,
        })
    }

    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Runs the event loop until `stop` is set.
    ///
    /// # Errors
    /// The error of polling the sockets.
    pub fn run(&mut self, stop: &AtomicBool) -> io::Result<()> {
        let mut events = Events::with_capacity(1_024);
        let mut last_tick = Instant::now();
        while !stop.load(Ordering::SeqCst) {
            if let Err(e) = self.poll.poll(&mut events, Some(TICK_INTERVAL)) {
                if e.kind() == io::ErrorKind::Interrupted {
                    continue;
                }
                return Err(e);
            }
            for event in &events {
                match event.token() {
                    LISTENER_TOKEN => self.accept(),
                    Token(session) => self.handle_readiness(session as SessionId),
                }
            }
            if last_tick.elapsed() >= TICK_INTERVAL {
                last_tick = Instant::now();
                // Accepts the connections that exceeded the limit of the previous call.
                self.accept();
                self.drop_timed_out_connections();
                let outputs = self.service.tick(self.now_ms());
                self.apply_outputs(outputs);
                self.persistence.retry(Instant::now());
            }
        }
        Ok(())
    }
}
