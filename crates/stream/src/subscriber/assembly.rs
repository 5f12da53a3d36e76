//! Assembles offered versions from their chunks.

use super::apply::Waiting;
use super::{DisconnectReason, Notice, Output, Rejection, Subscriber};
use crate::Millis;
use crate::message::{FromGateway, MAX_CHUNK_BYTES};
use crate::version::{Documents, MAX_DOCUMENTS, MAX_NAME_BYTES, Version, VersionId, digest};
use std::collections::VecDeque;
use std::sync::Arc;

/// A version that a service offers.
pub(super) struct Offer {
    pub(super) nonce: u64,
    pub(super) id: VersionId,
    /// The digest of the version that the delta applies to, or `None` if all documents are sent.
    pub(super) base: Option<String>,
    /// The names of the documents that are sent, in this order.
    pub(super) names: Vec<String>,
    /// The names of documents of the base that the version no longer contains.
    pub(super) removed: Vec<String>,
    /// The total size of the version, in bytes.
    pub(super) bytes: u64,
}

/// A chunk of a document.
pub(super) struct Chunk {
    pub(super) nonce: u64,
    pub(super) name: String,
    pub(super) text: String,
    pub(super) last: bool,
}

/// A version whose documents are being received.
#[derive(Debug)]
pub(super) struct Assembly {
    nonce: u64,
    id: VersionId,
    /// The documents of the base and the received ones.
    documents: Documents,
    /// The names of documents that have not been received completely, in order.
    missing: VecDeque<String>,
    /// The received text of the document whose last chunk is missing.
    partial: String,
    /// The total size of the received chunks, in bytes.
    bytes: usize,
}

impl Assembly {
    fn new(offer: Offer, mut documents: Documents) -> Assembly {
        for name in &offer.removed {
            documents.remove(name);
        }
        Assembly {
            nonce: offer.nonce,
            id: offer.id,
            documents,
            missing: offer.names.into(),
            partial: String::new(),
            bytes: 0,
        }
    }

    /// Adds a chunk of the next document that is missing.
    fn add(&mut self, chunk: Chunk) {
        self.partial.push_str(&chunk.text);
        if chunk.last {
            let text = std::mem::take(&mut self.partial);
            self.documents.insert(chunk.name, text);
            self.missing.pop_front();
        }
    }
}

impl Subscriber {
    /// The id of the newest complete version, whether in force or not.
    fn newest(&self) -> Option<&VersionId> {
        let waiting = self.waiting.as_ref().map(|waiting| &waiting.version.id);
        let applying = self.applying.as_ref().map(|applying| &applying.version.id);
        waiting.or(applying).or(self.in_force.as_ref().map(|version| &version.id))
    }

    /// Finds a complete version by its digest.
    fn version_by_digest(&self, digest: &str) -> Option<&Arc<Version>> {
        let waiting = self.waiting.iter().map(|waiting| &waiting.version);
        let applying = self.applying.iter().map(|applying| &applying.version);
        waiting.chain(applying).chain(self.in_force.iter()).find(|version| version.id.digest == digest)
    }

    pub(super) fn reject(&mut self, nonce: u64, id: VersionId, reason: Rejection, outputs: &mut Vec<Output>) {
        let cause = reason.to_string();
        outputs.push(Output::Notice(Notice::Rejected(id.clone(), reason)));
        self.nacked = Some(id.clone());
        outputs.push(Output::Send(FromGateway::Nack { nonce, id, cause }));
    }

    pub(super) fn offer_received(&mut self, now: Millis, offer: Offer, outputs: &mut Vec<Output>) {
        self.assembly = None;
        let too_long = |name: &String| name.len() > MAX_NAME_BYTES;
        if offer.names.len() > MAX_DOCUMENTS || offer.names.iter().any(too_long) {
            return self.protocol_error(now, DisconnectReason::OfferTooLarge, outputs);
        }
        if self.in_force.as_ref().is_some_and(|version| version.id == offer.id) {
            // A repeated offer of the version in force.
            return outputs.push(Output::Send(FromGateway::Ack { nonce: offer.nonce, id: offer.id }));
        }
        if self.newest() == Some(&offer.id) {
            return self.update_nonce(&offer);
        }
        match self.base_documents(&offer) {
            Ok(documents) => self.assembly = Some(Assembly::new(offer, documents)),
            Err(reason) => {
                if let Rejection::Conflict(current) = &reason {
                    let (current, offered) = (current.clone(), offer.id.clone());
                    outputs.push(Output::Notice(Notice::Conflict { current, offered }));
                }
                self.reject(offer.nonce, offer.id, reason, outputs);
            }
        }
    }

    /// Handles a repeated offer of a version that is not in force yet: it is acknowledged with the newer nonce.
    fn update_nonce(&mut self, offer: &Offer) {
        if let Some(applying) = self.applying.as_mut().filter(|applying| applying.version.id == offer.id) {
            applying.nonce = Some(offer.nonce);
        }
        if let Some(waiting) = self.waiting.as_mut().filter(|waiting| waiting.version.id == offer.id) {
            waiting.nonce = offer.nonce;
        }
    }

    /// The base documents of an offer, or the reason to reject it.
    fn base_documents(&self, offer: &Offer) -> Result<Documents, Rejection> {
        if let Some(newest) = self.newest() {
            if offer.id.sequence() == newest.sequence() {
                return Err(Rejection::Conflict(newest.clone()));
            }
            if offer.id.sequence() < newest.sequence() {
                return Err(Rejection::Outdated(newest.clone()));
            }
        }
        let limit = self.settings.max_version_bytes;
        if offer.bytes > limit as u64 {
            return Err(Rejection::TooLarge { bytes: offer.bytes, limit });
        }
        let Some(base) = &offer.base else { return Ok(Documents::new()) };
        let version = self.version_by_digest(base).ok_or(Rejection::BaseMissing)?;
        Ok(version.documents.clone())
    }

    pub(super) fn chunk_received(&mut self, now: Millis, chunk: Chunk, outputs: &mut Vec<Output>) {
        // Chunks of a rejected offer may still arrive.
        let Some(assembly) = self.assembly.as_mut().filter(|assembly| assembly.nonce == chunk.nonce) else {
            return;
        };
        if assembly.missing.front() != Some(&chunk.name) || chunk.text.len() > MAX_CHUNK_BYTES {
            return self.protocol_error(now, DisconnectReason::UnexpectedChunk, outputs);
        }
        assembly.bytes += chunk.text.len();
        let limit = self.settings.max_version_bytes;
        if assembly.bytes > limit {
            let id = assembly.id.clone();
            self.assembly = None;
            return self.reject(chunk.nonce, id, Rejection::TooMuchReceived { limit }, outputs);
        }
        assembly.add(chunk);
    }

    pub(super) fn transfer_done(&mut self, now: Millis, nonce: u64, outputs: &mut Vec<Output>) {
        let Some(assembly) = self.assembly.take_if(|assembly| assembly.nonce == nonce) else { return };
        if !assembly.missing.is_empty() {
            return self.protocol_error(now, DisconnectReason::IncompleteTransfer, outputs);
        }
        let Assembly { id, documents, .. } = assembly;
        if digest(&documents) != id.digest {
            return self.reject(nonce, id, Rejection::DigestMismatch, outputs);
        }
        let version = Arc::new(Version { id, documents });
        if let Some(superseded) = self.waiting.replace(Waiting { nonce, version }) {
            // Versions arrive faster than they can be applied: only the newest one is kept.
            let id = superseded.version.id.clone();
            outputs.push(Output::Notice(Notice::Skipped(id.clone())));
            outputs.push(Output::Send(FromGateway::Skip { nonce: superseded.nonce, id }));
        }
    }
}
