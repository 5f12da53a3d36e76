//! The connections of gateways to stores.

use super::{IDLE_INTERVAL, StoreServers};
use crate::harness::relay::{Outgoing, RelayedConnection, accept};
use crate::participant::ParticipantId;
use crate::settings::KEEPALIVE;
use crate::store_protocol::{Command, Commands};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};

/// A gateway's connection to a store.
pub(super) struct Connection {
    pub(super) store: ParticipantId,
    pub(super) gateway: ParticipantId,
    pub(super) number: u64,
    /// Takes answers to be written.
    pub(super) answers: mpsc::UnboundedSender<Vec<u8>>,
}

impl StoreServers {
    /// Accepts connections for as long as the store lives, and again when it does.
    pub(super) async fn listen(self: Arc<Self>, id: ParticipantId) {
        let Some(server) = self.servers.get(&id) else { return };
        let mut incarnation = server.incarnation.subscribe();
        loop {
            let now = *incarnation.borrow_and_update();
            match now.map(|number| (number, server.port.listen())) {
                Some((number, Ok(listener))) => {
                    self.accept_all(id, number, &listener, &mut incarnation).await;
                }
                Some((_, Err(_))) => tokio::time::sleep(IDLE_INTERVAL).await,
                None => {
                    if incarnation.changed().await.is_err() {
                        return;
                    }
                }
            }
        }
    }

    /// Accepts connections until the incarnation ends.
    async fn accept_all(
        self: &Arc<Self>,
        id: ParticipantId,
        number: u64,
        listener: &TcpListener,
        incarnation: &mut watch::Receiver<Option<u64>>,
    ) {
        loop {
            tokio::select! {
                accepted = accept(listener, &self.context.network) => {
                    let Ok((stream, opener)) = accepted else { continue };
                    let (stores, relay) = (self.clone(), self.context.relay.clone());
                    tokio::spawn(async move {
                        if let Some(connection) = relay.accept_local(stream, opener, id).await {
                            stores.serve(id, number, connection).await;
                        }
                    });
                }
                _ = incarnation.changed() => return,
            }
        }
    }

    /// Serves one connection of a gateway until it ends, or the incarnation does.
    async fn serve(self: Arc<Self>, store: ParticipantId, incarnation: u64, relayed: RelayedConnection) {
        let Some(server) = self.servers.get(&store) else { return };
        let RelayedConnection { from: gateway, mut incoming, outgoing } = relayed;
        let mut current = server.incarnation.subscribe();
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (answers, mut to_write) = mpsc::unbounded_channel();
        let connection = Connection { store, gateway, number, answers };
        let mut commands = Commands::default();
        let idle = Duration::from_micros(KEEPALIVE);
        let resets = loop {
            if *current.borrow_and_update() != Some(incarnation) {
                break true;
            }
            tokio::select! {
                chunk = tokio::time::timeout(idle, incoming.recv()) => {
                    let Ok(Some(chunk)) = chunk else { break false };
                    commands.feed(&chunk.bytes, chunk.sent);
                    if !self.execute(&connection, &mut commands) {
                        break true;
                    }
                }
                answer = to_write.recv() => {
                    let Some(answer) = answer else { break false };
                    if outgoing.send(Outgoing::Bytes(answer)).await.is_err() {
                        break false;
                    }
                }
                _ = current.changed() => {}
            }
        };
        if resets {
            // The gateway may have closed it by then.
            let _ = outgoing.send(Outgoing::Reset).await;
        }
        self.close(number);
    }

    /// Whether all commands that are complete could be carried out.
    fn execute(&self, connection: &Connection, commands: &mut Commands) -> bool {
        loop {
            match commands.command() {
                Ok(Some((Command::Pull { id, pull }, sent))) => {
                    if !self.pull(connection, id, pull, sent) {
                        return false;
                    }
                }
                Ok(Some((Command::Kill(id), sent))) => self.cancel(connection.number, id, sent),
                Ok(Some((Command::Echo(tag) | Command::Meter(tag), _))) => {
                    // The connection may be about to end.
                    let _ = connection.answers.send(format!("{tag} yes - 0\r\n\r\n").into_bytes());
                }
                Ok(None) => return true,
                Err(_) => return false,
            }
        }
    }
}
