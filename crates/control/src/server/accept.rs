//! Accepts connections, derives the role of a peer from its certificate, and drops connections.

use super::Server;
use super::connection::Connection;
use super::error::ConnectionEnd;
use mio::{Interest, Token};
use rustls::ServerConnection;
use sagearch_identity::Presented;
use sagearch_operators::control::ServiceFile;
use sagearch_stream::service::{Role, SessionId};
use std::io;

/// Connections accepted beyond the limit of served ones, so that they can be answered with a retry delay.
const MAX_BUSY_CONNECTIONS: usize = 100;
/// Connections accepted by one call of [`Server::accept`].
const MAX_ACCEPTS_PER_CALL: usize = 64;

impl Server {
    /// Accepts pending connections, up to [`MAX_ACCEPTS_PER_CALL`].
    pub(super) fn accept(&mut self) {
        for _ in 0..MAX_ACCEPTS_PER_CALL {
            let mut stream = match self.listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return,
                Err(e) => return tracing::warn!(cause = %e, "accepting a connection failed"),
            };
            if self.connections.len() >= self.file.connections + MAX_BUSY_CONNECTIONS {
                continue;
            }
            let Ok(tls) = ServerConnection::new(self.tls_config.clone()) else { continue };
            let session = self.next_session;
            self.next_session += 1;
            let interest = Interest::READABLE | Interest::WRITABLE;
            let _ = stream.set_nodelay(true);
            if self.poll.registry().register(&mut stream, Token(session as usize), interest).is_err() {
                continue;
            }
            self.connections.insert(session, Connection::new(stream, tls));
            self.handle_readiness(session);
        }
    }

    /// Drops connections whose handshake or writes have timed out.
    pub(super) fn drop_timed_out_connections(&mut self) {
        let timed_out = self.connections.iter().filter(|(_, connection)| connection.has_timed_out());
        let timed_out: Vec<SessionId> = timed_out.map(|(session, _)| *session).collect();
        for session in timed_out {
            self.drop_connection(session, &ConnectionEnd::TimedOut);
        }
    }

    /// Drops a connection immediately, without writing its queue.
    pub(super) fn drop_connection(&mut self, session: SessionId, end: &ConnectionEnd) {
        let Some(mut connection) = self.connections.remove(&session) else { return };
        tracing::debug!(session, cause = end.to_string(), "connection ended");
        let _ = self.poll.registry().deregister(&mut connection.stream);
        if connection.opened {
            let outputs = self.service.session_closed(session);
            self.apply_outputs(outputs);
        }
    }
}

/// Returns the role that the peer's certificate grants. A gateway's URI is the configured prefix followed by its name.
pub(super) fn role_from_certificate(file: &ServiceFile, tls: &ServerConnection) -> Option<Role> {
    let identity = Presented::read(tls.peer_certificates()?).ok()?;
    let find_operator = |uri: &String| file.operators.iter().find(|operator| uri.starts_with(&operator.uri));
    if let Some(operator) = identity.uris.iter().find_map(find_operator) {
        return Some(Role::Operator { name: operator.name.clone(), may_change: operator.may_change });
    }
    let name = identity.uris.iter().find_map(|uri| uri.strip_prefix(&file.gateways))?;
    (!name.is_empty()).then(|| Role::Gateway(name.to_string()))
}
