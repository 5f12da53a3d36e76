//! Sessions of gateways and operators, and the messages received on them.

use super::{CloseReason, Notice, Output, Role, Service, SessionId, Transfer};
use crate::message::{BASE_MISSING, Command, FromGateway, FromService, PROTOCOL};
use crate::version::{Documents, MAX_DOCUMENTS, VersionId};
use crate::{Millis, RequestCounts};
use serde_json::json;

/// The minimum retry delay that a client is sent when there are too many sessions.
const MIN_RETRY: Millis = 1_000;
/// The difference between the retry delays of consecutive sessions. A prime spreads them over the reconnect window.
const RETRY_STRIDE: Millis = 7_919;

/// The cause shown for a rejection before the session started, for which the gateway reports the version only.
const REJECTED_BEFORE: &str = "before it came here";

/// The latest offer, which the gateway has not answered yet.
pub(super) struct Offered {
    pub(super) nonce: u64,
    pub(super) id: VersionId,
}

/// The version that a gateway rejected last.
pub(super) struct Rejected {
    pub(super) id: VersionId,
    /// The cause that the gateway reported.
    pub(super) cause: String,
}

/// The state of a session's peer.
pub(super) struct Peer {
    pub(super) role: Role,
    pub(super) last_received: Millis,
    pub(super) last_sent: Millis,
    /// The id of the gateway process. Two processes run at once during an upgrade.
    pub(super) instance: u64,
    /// Whether a gateway's first message was received. Until then, its version in force is unknown.
    pub(super) hello_received: bool,
    pub(super) in_force: Option<VersionId>,
    pub(super) offered: Option<Offered>,
    pub(super) rejected: Option<Rejected>,
    /// The last reported counters.
    pub(super) counts: RequestCounts,
    /// The counters last reported before the current version came into force.
    pub(super) counts_at_update: RequestCounts,
    upload: Upload,
}

/// The documents that an operator has uploaded and not published yet.
#[derive(Default)]
struct Upload {
    documents: Documents,
    /// The received text of the document whose last chunk is missing.
    partial: String,
    bytes: usize,
}

impl Upload {
    /// Adds a chunk. Returns whether the upload is still within the limits of a version.
    fn add(&mut self, name: String, text: &str, last: bool, max_bytes: usize) -> bool {
        self.bytes += text.len();
        if self.bytes > max_bytes || self.documents.len() >= MAX_DOCUMENTS {
            return false;
        }
        self.partial.push_str(text);
        if last {
            let text = std::mem::take(&mut self.partial);
            self.documents.insert(name, text);
        }
        true
    }

    fn take_documents(&mut self) -> Documents {
        self.bytes = 0;
        std::mem::take(&mut self.documents)
    }
}

impl Peer {
    fn new(role: Role, now: Millis) -> Peer {
        Peer {
            role,
            last_received: now,
            last_sent: now,
            instance: 0,
            hello_received: false,
            in_force: None,
            offered: None,
            rejected: None,
            counts: RequestCounts::default(),
            counts_at_update: RequestCounts::default(),
            upload: Upload::default(),
        }
    }

    /// Records the content of a gateway's first message.
    fn record_hello(&mut self, instance: u64, in_force: Option<VersionId>, nacked: Option<VersionId>) {
        self.hello_received = true;
        self.instance = instance;
        self.in_force = in_force;
        self.rejected = nacked.map(|id| Rejected { id, cause: REJECTED_BEFORE.into() });
        self.counts_at_update = self.counts;
    }

    /// Records that a gateway has brought a version into force.
    fn record_acknowledgement(&mut self, id: VersionId) {
        self.rejected = None;
        self.in_force = Some(id);
        self.offered = None;
        self.counts_at_update = self.counts;
    }

    /// Whether this is the version that the gateway rejected last.
    pub(super) fn has_rejected(&self, id: &VersionId) -> bool {
        self.rejected.as_ref().is_some_and(|rejected| rejected.id == *id)
    }

    /// Records that a gateway has rejected a version.
    fn record_rejection(&mut self, nonce: u64, id: VersionId, cause: String) {
        self.offered.take_if(|offered| offered.nonce == nonce);
        if cause == BASE_MISSING && self.in_force.is_some() {
            // Forgetting the gateway's version makes the next offer a full transfer without a base.
            self.in_force = None;
        } else {
            self.rejected = Some(Rejected { id, cause });
        }
    }
}

impl Service {
    /// Handles a new connection whose certificate has been verified.
    pub fn session_opened(&mut self, session: SessionId, role: Role, now: Millis) -> Vec<Output> {
        if self.peers.len() >= self.settings.max_sessions {
            // The delay depends on the session id, so that clients refused at once don't retry at once.
            let window = self.settings.reconnect_window.max(MIN_RETRY);
            let retry_ms = MIN_RETRY + session.wrapping_mul(RETRY_STRIDE) % window;
            return vec![
                Output::Send(session, FromService::Busy { retry_ms }),
                Output::Close(session, CloseReason::TooManySessions),
            ];
        }
        self.peers.insert(session, Peer::new(role, now));
        let welcome = FromService::Welcome {
            protocol: PROTOCOL,
            heartbeat_ms: self.settings.heartbeat_interval,
            reconnect_window_ms: self.settings.reconnect_window,
        };
        vec![Output::Send(session, welcome)]
    }

    /// Handles the end of a connection, whichever side closed it.
    pub fn session_closed(&mut self, session: SessionId) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.peers.remove(&session);
        self.transferring.remove(&session);
        self.queue.retain(|queued| *queued != session);
        self.start_transfers(&mut outputs);
        outputs
    }

    /// Handles the completion of a transfer whose messages have all been written.
    pub fn transfer_written(&mut self, session: SessionId) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.transferring.remove(&session);
        self.start_transfers(&mut outputs);
        outputs
    }

    /// Handles a received message. A message that its sender may not send closes the session.
    pub fn message_received(&mut self, session: SessionId, message: FromGateway, now: Millis) -> Vec<Output> {
        let mut outputs = Vec::new();
        let Some(peer) = self.peers.get_mut(&session) else { return outputs };
        peer.last_received = now;
        let result = match peer.role.clone() {
            Role::Gateway(name) => self.gateway_message(session, &name, message, &mut outputs),
            Role::Operator { name, may_change } => {
                self.operator_message(session, &Operator { name, may_change }, message, now, &mut outputs)
            }
        };
        match result {
            Ok(()) => outputs,
            Err(reason) => vec![Output::Close(session, reason)],
        }
    }

    fn gateway_message(
        &mut self,
        session: SessionId,
        name: &str,
        message: FromGateway,
        outputs: &mut Vec<Output>,
    ) -> Result<(), CloseReason> {
        let Some(peer) = self.peers.get_mut(&session) else { return Ok(()) };
        match message {
            FromGateway::Hello { protocol, .. } if protocol != PROTOCOL => {
                return Err(CloseReason::UnsupportedProtocol);
            }
            FromGateway::Hello { node, .. } if node != name => return Err(CloseReason::NodeNameMismatch),
            FromGateway::Hello { instance, have, nacked, .. } => peer.record_hello(instance, have, nacked),
            FromGateway::Ack { id, .. } => peer.record_acknowledgement(id),
            FromGateway::Nack { nonce, id, cause } => {
                let gateway = name.to_string();
                let notice = Notice::Rejected { gateway, id: id.clone(), cause: cause.clone() };
                outputs.push(Output::Notice(notice));
                peer.record_rejection(nonce, id, cause);
            }
            FromGateway::Skip { .. } => return Ok(()),
            FromGateway::Heartbeat { requests, failed } => {
                peer.counts = RequestCounts { requests, failed };
                return Ok(());
            }
            FromGateway::Chunk { .. } | FromGateway::Command { .. } => return Err(CloseReason::NotAllowed),
        }
        self.start_transfers(outputs);
        Ok(())
    }

    fn operator_message(
        &mut self,
        session: SessionId,
        operator: &Operator,
        message: FromGateway,
        now: Millis,
        outputs: &mut Vec<Output>,
    ) -> Result<(), CloseReason> {
        match message {
            FromGateway::Chunk { name, text, last } if operator.may_change => {
                let max_bytes = self.settings.max_version_bytes;
                let Some(peer) = self.peers.get_mut(&session) else { return Ok(()) };
                if peer.upload.add(name, &text, last, max_bytes) {
                    Ok(())
                } else {
                    Err(CloseReason::UploadTooLarge)
                }
            }
            FromGateway::Command { command } => {
                outputs.extend(self.command(session, command, operator, now));
                Ok(())
            }
            _ => Err(CloseReason::NotAllowed),
        }
    }

    fn command(
        &mut self,
        session: SessionId,
        command: Command,
        operator: &Operator,
        now: Millis,
    ) -> Vec<Output> {
        let reply = |answer| vec![Output::Send(session, FromService::Reply { answer })];
        match command {
            Command::Status => reply(Ok(self.status(now))),
            Command::Show { number } => self.show(session, number),
            Command::Publish { .. } | Command::Rollback { .. } if !operator.may_change => {
                reply(Err(format!("{} may look and not change", operator.name)))
            }
            Command::Publish { plan } => {
                let peer = self.peers.get_mut(&session);
                let documents = peer.map(|peer| peer.upload.take_documents());
                documents.map(|documents| Output::Publish(session, documents, plan)).into_iter().collect()
            }
            Command::Rollback { number } => vec![Output::Rollback(session, number)],
        }
    }

    /// Sends the documents of a version as a transfer, then replies with its id.
    fn show(&mut self, session: SessionId, number: Option<u64>) -> Vec<Output> {
        let version = match number {
            Some(number) => self.versions.get(&number),
            None => self.newest(),
        };
        let reply = |answer| Output::Send(session, FromService::Reply { answer });
        let Some(version) = version.cloned() else {
            return vec![reply(Err("there is no such version".into()))];
        };
        self.nonce += 1;
        let id = json!(version.id);
        let transfer = Transfer::new(self.nonce, version, None);
        vec![Output::Transfer(session, transfer), reply(Ok(id))]
    }
}

/// The operator of a session, according to its certificate.
struct Operator {
    name: String,
    may_change: bool,
}
