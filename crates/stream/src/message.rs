//! Protocol messages and their framing: a four-byte length, then JSON.
//!
//! ```text
//! gateway                                  control service
//!   Hello{node, instance, have, nacked} ->
//!                                        <- Welcome{beat_ms, spread_ms} or Busy{retry_ms}
//!                                        <- Offer{nonce, id, base, names, removed, bytes}
//!                                        <- Piece{nonce, name, text, last} ... in the order of the offer
//!                                        <- Done{nonce}
//!   Ack{nonce, id}                       -> in force
//!   Nack{nonce, id, cause}               -> rejected; the previous version stays in force
//!   Skip{nonce, id}                      -> superseded by a newer version before it was applied
//!   Beat{requests, failed}              <-> every `beat_ms`
//! ```

use crate::version::{Digest, VersionId};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// The largest message, in bytes.
pub const MAX_FRAME_BYTES: usize = 512 * 1024;
/// The largest chunk of a document, in bytes. JSON escapes may make it up to six times as long on the wire.
pub const MAX_CHUNK_BYTES: usize = 64 * 1024;
/// The protocol version in the first message of both sides. A mismatch ends the connection.
pub const PROTOCOL: u32 = 1;

/// The cause of a rejection that indicates to the service that the gateway lacks the base of the offered delta.
pub const BASE_MISSING: &str = "it builds on what is not here";

/// A message from a gateway or an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "say", rename_all = "snake_case")]
pub enum FromGateway {
    /// A gateway's first message.
    Hello {
        /// The gateway's [`PROTOCOL`].
        protocol: u32,
        /// The gateway's name, which must match its certificate.
        node: String,
        /// The id of the gateway process. Two processes run at once during an upgrade.
        instance: u64,
        /// The version in force.
        have: Option<VersionId>,
        /// The version that the gateway rejected last, so that it is not offered again.
        nacked: Option<VersionId>,
    },
    /// Acknowledges a version that is in force.
    Ack {
        /// The nonce of the offer.
        nonce: u64,
        /// The version that is in force.
        id: VersionId,
    },
    /// Rejects a version; the previous version stays in force.
    Nack {
        /// The nonce of the offer.
        nonce: u64,
        /// The rejected version.
        id: VersionId,
        /// The reason, for operators. The service also interprets [`BASE_MISSING`].
        cause: String,
    },
    /// Reports that a version was not applied because a newer one superseded it.
    Skip {
        /// The nonce of the offer.
        nonce: u64,
        /// The skipped version.
        id: VersionId,
    },
    /// Reports that the process is alive, and its request counters since it started.
    #[serde(rename = "beat")]
    Heartbeat {
        /// All answered requests.
        requests: u64,
        /// Failed requests.
        failed: u64,
    },
    /// A chunk of a document that an operator uploads before [`Command::Publish`].
    #[serde(rename = "piece")]
    Chunk {
        /// The document's name.
        name: String,
        /// The text of the chunk, of at most [`MAX_CHUNK_BYTES`].
        text: String,
        /// Whether this is the document's last chunk.
        last: bool,
    },
    /// A command of an operator, on a separate connection.
    Command {
        /// The command to run.
        command: Command,
    },
}

/// A message from a control service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "say", rename_all = "snake_case")]
pub enum FromService {
    /// The first message of a session.
    Welcome {
        /// The service's [`PROTOCOL`].
        protocol: u32,
        /// The interval of heartbeats in both directions, in milliseconds.
        #[serde(rename = "beat_ms")]
        heartbeat_ms: u64,
        /// The window over which gateways spread their reconnects after an outage of the service, in milliseconds.
        #[serde(rename = "spread_ms")]
        reconnect_window_ms: u64,
    },
    /// Refuses a session because too many are open.
    Busy {
        /// The delay before the next connection attempt, in milliseconds.
        retry_ms: u64,
    },
    /// Offers a version to the gateway.
    Offer {
        /// Identifies the offer in its chunks and in the gateway's answer.
        nonce: u64,
        /// The offered version.
        id: VersionId,
        /// The digest of the version that the delta applies to, or `None` if all documents are sent.
        base: Option<Digest>,
        /// The names of the documents that are sent, in this order.
        names: Vec<String>,
        /// The names of documents of the base that the version no longer contains.
        removed: Vec<String>,
        /// The total size of the version, in bytes.
        bytes: u64,
    },
    /// A chunk of an offered document.
    #[serde(rename = "piece")]
    Chunk {
        /// The nonce of the offer.
        nonce: u64,
        /// The document's name.
        name: String,
        /// The text of the chunk, of at most [`MAX_CHUNK_BYTES`].
        text: String,
        /// Whether this is the document's last chunk.
        last: bool,
    },
    /// Ends a transfer: all documents of the offer have been sent.
    Done {
        /// The nonce of the offer.
        nonce: u64,
    },
    /// Reports that the service is alive.
    #[serde(rename = "beat")]
    Heartbeat,
    /// The answer to a command.
    Reply {
        /// The result, or the text of the error.
        answer: Result<serde_json::Value, String>,
    },
}

/// A command of an operator to the control service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "command", rename_all = "snake_case")]
pub enum Command {
    /// Publishes the documents that were uploaded on this connection.
    Publish {
        /// The plan of the rollout.
        plan: crate::rollout::Plan,
    },
    /// Returns the versions of the gateways and the state of the rollout.
    Status,
    /// Publishes the content of an earlier version under a new number.
    Rollback {
        /// The number of the earlier version.
        number: u64,
    },
    /// Sends the documents of a version as a transfer, followed by the reply.
    Show {
        /// The number of the version, or `None` for the newest.
        number: Option<u64>,
    },
}

/// An error of encoding or decoding a message.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The message is larger than [`MAX_FRAME_BYTES`].
    #[error("message of {bytes} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes")]
    TooLarge {
        /// The size of the message without its four-byte length prefix.
        bytes: usize,
    },
    /// The message can't be represented as JSON.
    #[error(transparent)]
    Unencodable(serde_json::Error),
    /// The frame is not valid JSON of the expected message type.
    #[error("malformed message: {0}")]
    Malformed(#[source] serde_json::Error),
}

/// Encodes a message as a frame.
///
/// # Errors
/// [`FrameError::TooLarge`], and [`FrameError::Unencodable`] for types that JSON can't represent.
pub fn encode(message: &impl Serialize) -> Result<Vec<u8>, FrameError> {
    let text = serde_json::to_vec(message).map_err(FrameError::Unencodable)?;
    if text.len() > MAX_FRAME_BYTES {
        return Err(FrameError::TooLarge { bytes: text.len() });
    }
    let mut frame = Vec::with_capacity(4 + text.len());
    frame.extend_from_slice(&(text.len() as u32).to_be_bytes());
    frame.extend_from_slice(&text);
    Ok(frame)
}

/// Decodes messages from a byte stream that arrives in pieces of any size.
#[derive(Default)]
pub struct Decoder {
    buffer: Vec<u8>,
    consumed: usize,
}

impl Decoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        // Discards decoded bytes before appending, which bounds the buffer.
        if self.consumed > 0 {
            self.buffer.drain(..self.consumed);
            self.consumed = 0;
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next message, or `None` until its frame is complete.
    ///
    /// # Errors
    /// [`FrameError::TooLarge`] and [`FrameError::Malformed`], after which the connection can't be used any more.
    pub fn next_message<T: DeserializeOwned>(&mut self) -> Result<Option<T>, FrameError> {
        let unread = &self.buffer[self.consumed..];
        let Some((length_prefix, rest)) = unread.split_first_chunk::<4>() else { return Ok(None) };
        let length = u32::from_be_bytes(*length_prefix) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(FrameError::TooLarge { bytes: length });
        }
        let Some(text) = rest.get(..length) else { return Ok(None) };
        let message = serde_json::from_slice(text).map_err(FrameError::Malformed)?;
        self.consumed += 4 + length;
        Ok(Some(message))
    }
}
