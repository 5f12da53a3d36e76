//! What the driver receives from connections and from its owner.

use raft::eraftpb::Message;
use std::sync::mpsc::Sender;
use thiserror::Error;

/// An input of the driver.
pub enum Input {
    /// A message of a peer.
    Message(Message),
    /// A document to agree on.
    Propose(Proposal),
    /// End the driver.
    Stop,
}

/// A document to agree on, and where the outcome goes.
pub struct Proposal {
    /// The document.
    pub document: Vec<u8>,
    /// Receives the outcome once.
    pub reply: Sender<ProposalResult>,
}

/// The outcome of a proposal.
pub type ProposalResult = Result<(), ProposalError>;

/// Why a document was not agreed on. Operators read the texts.
#[derive(Debug, Error)]
pub enum ProposalError {
    /// It was not committed in time. It may have been sent to peers, and be committed later.
    #[error("not agreed in time: it may still come to be")]
    TimedOut,
    /// Raft refused it, as where there is no leader; nothing was sent.
    #[error(transparent)]
    Refused(#[from] raft::Error),
    /// The instance takes no part while its log can't be stored; nothing was sent.
    #[error("the disk fails: ask again")]
    StorageFails,
    /// The document is longer than the group takes.
    #[error("the document is too large")]
    TooLarge,
    /// The document is not valid.
    #[error(transparent)]
    Invalid(#[from] InvalidDocument),
    /// The driver did not reply.
    #[error("no word of it")]
    NoReply,
}

/// What is wrong with a document, in words for operators.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{0}")]
pub struct InvalidDocument(String);

impl From<String> for InvalidDocument {
    fn from(cause: String) -> InvalidDocument {
        InvalidDocument(cause)
    }
}

impl From<&str> for InvalidDocument {
    fn from(cause: &str) -> InvalidDocument {
        InvalidDocument(cause.to_owned())
    }
}
