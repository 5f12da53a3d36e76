//! Frames of peers' and operators' connections and of the log file: the length of the content in four bytes, a kind in one
//! byte, then the content.

use std::io::{self, Read, Write};
use thiserror::Error;

/// The longest content of a frame that is read, in bytes.
pub const MAX_CONTENT: usize = 1024 * 1024;
/// The length in four bytes, and the kind.
const HEADER_LENGTH: usize = 5;

/// Why a frame can't be read or written.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The connection or the file failed, or it ended within the frame.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The frame is longer than 1 MiB, or than its header can state.
    #[error("frame too large")]
    TooLarge,
}

/// A frame that was read.
pub struct Frame {
    /// What the content is; each user of frames has its own kinds.
    pub kind: u8,
    /// The content.
    pub content: Vec<u8>,
}

/// Writes a frame.
///
/// # Errors
///
/// If the content is too long or can't be written.
pub fn write_frame(to: &mut impl Write, kind: u8, content: &[u8]) -> Result<(), FrameError> {
    let length = u32::try_from(content.len()).map_err(|_| FrameError::TooLarge)?;
    to.write_all(&[&length.to_be_bytes()[..], &[kind], content].concat())?;
    Ok(())
}

/// Reads a frame.
///
/// # Errors
///
/// If the frame is too long, or can't be read to its end.
pub fn read_frame(from: &mut impl Read) -> Result<Frame, FrameError> {
    let mut header = [0; HEADER_LENGTH];
    from.read_exact(&mut header)?;
    let [a, b, c, d, kind] = header;
    let length = u32::from_be_bytes([a, b, c, d]) as usize;
    if length > MAX_CONTENT {
        return Err(FrameError::TooLarge);
    }
    let mut content = vec![0; length];
    from.read_exact(&mut content)?;
    Ok(Frame { kind, content })
}
