//! Transfers: the sequences of messages that carry versions to their receivers.

use crate::message::{FromService, MAX_CHUNK_BYTES};
use crate::version::Version;
use std::collections::VecDeque;
use std::sync::Arc;

/// The transfer of a version to one receiver, as an iterator of messages. Chunks are created lazily, so that a thousand
/// transfers of a version take no more memory than one.
#[derive(Clone, Debug, PartialEq)]
pub struct Transfer {
    /// Identifies the transfer's offer in the answers of the receiver.
    pub nonce: u64,
    version: Arc<Version>,
    /// The version that the gateway has. Documents that are unchanged from it are not sent.
    base: Option<Arc<Version>>,
    started: bool,
    /// The names of documents that are not sent completely yet.
    remaining: VecDeque<String>,
    /// The number of bytes sent of the first remaining document.
    sent_bytes: usize,
    done: bool,
}

impl Transfer {
    pub(super) fn new(nonce: u64, version: Arc<Version>, base: Option<Arc<Version>>) -> Transfer {
        let changed = |name: &&String| {
            base.as_ref().is_none_or(|base| base.documents.get(*name) != version.documents.get(*name))
        };
        let remaining = version.documents.keys().filter(changed).cloned().collect();
        Transfer { nonce, version, base, started: false, remaining, sent_bytes: 0, done: false }
    }
}

impl Transfer {
    fn offer(&self) -> FromService {
        let documents = &self.version.documents;
        let base = self.base.as_ref();
        let removed = base.into_iter().flat_map(|base| base.documents.keys());
        FromService::Offer {
            nonce: self.nonce,
            id: self.version.id.clone(),
            base: base.map(|base| base.id.digest.clone()),
            names: self.remaining.iter().cloned().collect(),
            removed: removed.filter(|name| !documents.contains_key(*name)).cloned().collect(),
            bytes: self.version.size() as u64,
        }
    }

    /// Returns the next chunk of the first remaining document.
    fn chunk(&mut self) -> Option<FromService> {
        let name = self.remaining.front()?.clone();
        let text = self.version.documents.get(&name).map_or("", String::as_str);
        let mut end = (self.sent_bytes + MAX_CHUNK_BYTES).min(text.len());
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        let chunk = text[self.sent_bytes..end].to_string();
        let last = end == text.len();
        self.sent_bytes = end;
        if last {
            self.remaining.pop_front();
            self.sent_bytes = 0;
        }
        Some(FromService::Chunk { nonce: self.nonce, name, text: chunk, last })
    }
}

impl Iterator for Transfer {
    type Item = FromService;

    fn next(&mut self) -> Option<FromService> {
        if !std::mem::replace(&mut self.started, true) {
            return Some(self.offer());
        }
        if let Some(chunk) = self.chunk() {
            return Some(chunk);
        }
        let finished = std::mem::replace(&mut self.done, true);
        (!finished).then_some(FromService::Done { nonce: self.nonce })
    }
}
