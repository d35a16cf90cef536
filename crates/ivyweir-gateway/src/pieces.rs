//! Received bytes in pieces of limited size.
//!
//! A single buffer that grows is copied to twice its size each time, and leaves holes in the heap that do not count.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};

/// Size up to which received bytes are joined.
const PIECE_BYTES: usize = 64 << 10;

/// Bytes that are received in pieces.
#[derive(Debug, Default)]
pub struct Pieces {
    full: VecDeque<Bytes>,
    last: BytesMut,
}

impl Pieces {
    /// Adds received bytes.
    pub fn push(&mut self, data: &[u8]) {
        for part in data.chunks(PIECE_BYTES) {
            if !self.last.is_empty() && self.last.len() + part.len() > PIECE_BYTES {
                self.full.push_back(std::mem::take(&mut self.last).freeze());
            }
            self.last.extend_from_slice(part);
        }
    }

    /// Returns the pieces in order.
    pub fn into_pieces(mut self) -> VecDeque<Bytes> {
        if !self.last.is_empty() {
            self.full.push_back(self.last.freeze());
        }
        self.full
    }

    /// Returns all bytes as one, copying them if there are several pieces.
    pub fn into_bytes(self) -> Bytes {
        if self.full.is_empty() {
            return self.last.freeze();
        }
        let mut pieces = self.into_pieces();
        let mut bytes = BytesMut::with_capacity(pieces.iter().map(Bytes::len).sum());
        // Each piece is freed once it is copied.
        while let Some(piece) = pieces.pop_front() {
            bytes.extend_from_slice(&piece);
        }
        bytes.freeze()
    }
}
