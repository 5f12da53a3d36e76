//! Proposals: checked and submitted to the driver at an instance, and made to an instance by an operator.

use super::CONNECT_TIMEOUT;
use super::driver::PROPOSAL_TIMEOUT;
use super::frame::{Frame, FrameError, read_frame, write_frame};
use super::input::{Input, InvalidDocument, Proposal, ProposalError, ProposalResult};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};
use std::time::Duration;
use thiserror::Error;

/// The kind of a frame that holds a proposed document.
pub const PROPOSAL: u8 = b'P';
/// The kind of the answer to a proposal that was agreed on.
pub const AGREED: u8 = b'D';
/// The kind of the answer to a proposal that was not; it holds the cause.
pub const REFUSED: u8 = b'F';

/// The longest document that is proposed, in bytes.
const MAX_DOCUMENT: usize = 64 * 1024;
/// How long an instance waits for its driver's reply.
const REPLY_TIMEOUT: Duration = PROPOSAL_TIMEOUT.saturating_mul(2);
/// How long an operator waits for an instance's answer.
const ANSWER_TIMEOUT: Duration = PROPOSAL_TIMEOUT.saturating_mul(3);

/// Checks a document before it is proposed.
pub type Check = Arc<dyn Fn(&[u8]) -> Result<(), InvalidDocument> + Send + Sync>;

/// The driver has ended.
#[derive(Debug, Error)]
#[error("the instance has stopped")]
pub struct DriverStopped;

/// Why a proposal to an instance failed. Operators read the texts.
#[derive(Debug, Error)]
pub enum ProposeError {
    /// The instance answered that the group did not agree, with the cause.
    #[error("{0}")]
    Refused(String),
    /// The instance can't be reached, or gave no answer.
    #[error("{to}: {source}")]
    Connection {
        /// The instance's address.
        to: SocketAddr,
        /// What failed.
        source: FrameError,
    },
}

/// Checks a document's length and content.
pub fn validate(document: &[u8], check: &Check) -> ProposalResult {
    if document.len() > MAX_DOCUMENT {
        return Err(ProposalError::TooLarge);
    }
    Ok(check(document)?)
}

/// Submits a document to the driver and waits for the outcome.
pub fn submit(document: Vec<u8>, inputs: &Sender<Input>) -> Result<ProposalResult, DriverStopped> {
    let (reply, outcome) = channel();
    inputs.send(Input::Propose(Proposal { document, reply })).map_err(|_| DriverStopped)?;
    Ok(outcome.recv_timeout(REPLY_TIMEOUT).unwrap_or(Err(ProposalError::NoReply)))
}

/// Proposes a document to an instance and waits until the group has agreed on it.
///
/// # Errors
///
/// If the instance can't be reached or the group does not agree; a group that was late may still agree.
pub fn propose(to: SocketAddr, document: &[u8]) -> Result<(), ProposeError> {
    let answer = exchange(to, document).map_err(|source| ProposeError::Connection { to, source })?;
    match answer.kind {
        AGREED => Ok(()),
        _ => Err(ProposeError::Refused(String::from_utf8_lossy(&answer.content).into_owned())),
    }
}

fn exchange(to: SocketAddr, document: &[u8]) -> Result<Frame, FrameError> {
    let mut stream = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT)?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
    write_frame(&mut stream, PROPOSAL, document)?;
    read_frame(&mut stream)
}
