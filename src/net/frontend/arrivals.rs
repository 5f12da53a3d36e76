//! When a client's bytes came: the timeout of a request counts from its last byte, also where it has waited behind
//! another request.

use std::collections::VecDeque;
use std::time::Instant;

/// When the unused input of a connection came, in pieces as they were read.
#[derive(Debug, Default)]
pub(in crate::net) struct Arrivals {
    pieces: VecDeque<Piece>,
}

/// Bytes that were read together.
#[derive(Debug)]
struct Piece {
    bytes: usize,
    arrived: Instant,
}

impl Arrivals {
    /// Notes that bytes have come.
    pub fn note(&mut self, bytes: usize, arrived: Instant) {
        self.pieces.push_back(Piece { bytes, arrived });
    }

    /// Adds input that came later.
    pub fn append(&mut self, mut later: Arrivals) {
        self.pieces.append(&mut later.pieces);
    }

    /// Takes out the first bytes, and returns when the last of them came; `None`: there are not so many.
    pub fn take(&mut self, mut bytes: usize) -> Option<Instant> {
        let mut last = None;
        while bytes > 0 {
            let piece = self.pieces.front_mut()?;
            last = Some(piece.arrived);
            let taken = piece.bytes.min(bytes);
            piece.bytes -= taken;
            bytes -= taken;
            if piece.bytes == 0 {
                self.pieces.pop_front();
            }
        }
        last
    }
}

#[cfg(test)]
mod tests;
