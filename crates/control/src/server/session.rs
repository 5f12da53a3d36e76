//! Passes messages between the connections and the service, and applies the service's outputs.

use super::Server;
use super::accept::role_from_certificate;
use super::connection::{FlushOutcome, Outgoing, ReadOutcome};
use super::error::{ConnectionEnd, PublicationError};
use sagearch_stream::message::FromService;
use sagearch_stream::service::{CloseReason, Output, SessionId};
use serde_json::Value;
use std::time::Instant;

impl Server {
    /// Reads and writes as much as the socket allows without blocking.
    pub(super) fn handle_readiness(&mut self, session: SessionId) {
        if let Err(end) = self.read(session).and_then(|()| self.write(session)) {
            self.drop_connection(session, &end);
        }
    }

    fn read(&mut self, session: SessionId) -> Result<(), ConnectionEnd> {
        loop {
            let Some(connection) = self.connections.get_mut(&session) else { return Ok(()) };
            if connection.receive()? == ReadOutcome::WouldBlock {
                return Ok(());
            }
            if !connection.opened && !connection.tls.is_handshaking() {
                self.open_session(session)?;
            }
            // An output of the service may have ended the connection.
            let Some(connection) = self.connections.get_mut(&session) else { return Ok(()) };
            connection.decrypt()?;
            while let Some(connection) = self.connections.get_mut(&session) {
                let Some(message) = connection.next_received()? else { break };
                let outputs = self.service.message_received(session, message, self.now_ms());
                self.apply_outputs(outputs);
            }
        }
    }

    /// Opens a session of the service once the handshake is complete, in the role that the certificate grants.
    fn open_session(&mut self, session: SessionId) -> Result<(), ConnectionEnd> {
        let Some(connection) = self.connections.get_mut(&session) else { return Ok(()) };
        connection.opened = true;
        let role =
            role_from_certificate(&self.file, &connection.tls).ok_or(ConnectionEnd::UnknownCertificate)?;
        let outputs = self.service.session_opened(session, role, self.now_ms());
        self.apply_outputs(outputs);
        Ok(())
    }

    /// Writes queued messages until the socket would block or the queue is empty.
    fn write(&mut self, session: SessionId) -> Result<(), ConnectionEnd> {
        loop {
            let Some(connection) = self.connections.get_mut(&session) else { return Ok(()) };
            if connection.flush()? == FlushOutcome::Blocked {
                return Ok(());
            }
            let encoded = connection.encode_queued()?;
            if encoded.transfer_written {
                let outputs = self.service.transfer_written(session);
                self.apply_outputs(outputs);
            }
            if !encoded.has_messages {
                return Ok(());
            }
        }
    }

    /// Writes queued messages, and drops the connection on an error.
    fn write_or_drop(&mut self, session: SessionId) {
        if let Err(end) = self.write(session) {
            self.drop_connection(session, &end);
        }
    }

    fn send(&mut self, session: SessionId, outgoing: Outgoing) {
        let Some(connection) = self.connections.get_mut(&session) else { return };
        if let Err(end) = connection.enqueue(outgoing) {
            return self.drop_connection(session, &end);
        }
        self.write_or_drop(session);
    }

    fn reply(&mut self, session: SessionId, result: Result<Value, PublicationError>) {
        let answer = result.map_err(|error| error.to_string());
        self.send(session, Outgoing::Message(FromService::Reply { answer }));
    }

    fn close_session(&mut self, session: SessionId, reason: CloseReason) {
        tracing::info!(session, cause = reason.to_string(), "closing the connection");
        if let Some(connection) = self.connections.get_mut(&session) {
            connection.closing = true;
        }
        self.write_or_drop(session);
    }

    /// Applies the outputs of the service in order.
    pub(super) fn apply_outputs(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send(session, message) => self.send(session, Outgoing::Message(message)),
                Output::Transfer(session, transfer) => {
                    self.send(session, Outgoing::Transfer(Box::new(transfer)));
                }
                Output::Close(session, reason) => self.close_session(session, reason),
                Output::StoreState(state) => self.persistence.set_state(Instant::now(), state),
                Output::StoreVersion(version) => self.persistence.add_version(Instant::now(), version),
                Output::Publish(session, documents, plan) => {
                    let result = self.publish(documents, plan);
                    self.reply(session, result);
                }
                Output::Rollback(session, number) => {
                    let result = self.rollback(number);
                    self.reply(session, result);
                }
                Output::Notice(notice) => tracing::info!("{notice}"),
            }
        }
    }
}
