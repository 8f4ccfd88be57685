//! Encodes messages as frames: a big-endian length of four bytes, followed by that many bytes of CBOR.

use crate::messages::Message;
use snafu::Snafu;

/// Largest frame, bytes. It exceeds the largest configuration.
pub const FRAME_MAX: usize = 16 << 20;

/// Why a stream of frames can't be decoded.
#[derive(Debug, Snafu)]
pub enum FrameError {
    /// A frame is larger than [`FRAME_MAX`].
    #[snafu(display("a frame has {size} bytes, more than the limit of {FRAME_MAX}"))]
    Size {
        /// Its announced size, bytes.
        size: usize,
    },
    /// A frame doesn't contain a valid message.
    #[snafu(display("a frame of {size} bytes is not a valid message: {text}"))]
    Content {
        /// Its size, bytes.
        size: usize,
        /// The decoding error.
        text: String,
    },
}

/// Encodes a message as a frame. Returns no bytes if it can't be encoded or is too large, which doesn't
/// happen for the messages that are sent.
pub fn encode(message: &Message) -> Vec<u8> {
    let mut bytes = vec![0; 4];
    if ciborium::into_writer(message, &mut bytes).is_err() || bytes.len() - 4 > FRAME_MAX {
        log::error!("a message can't be encoded or exceeds {FRAME_MAX} bytes; it is not sent");
        return Vec::new();
    }
    let size = (bytes.len() - 4) as u32;
    bytes[..4].copy_from_slice(&size.to_be_bytes());
    bytes
}

/// Splits a byte stream into messages.
#[derive(Default)]
pub struct FrameDecoder {
    buffer: Vec<u8>,
    consumed: usize,
}

impl FrameDecoder {
    /// Appends bytes that have been read.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Decodes the next complete message, if there is one.
    ///
    /// # Errors
    ///
    /// The frame is too large or not a valid message; the rest of the stream can't be decoded.
    pub fn next_message(&mut self) -> Result<Option<Message>, FrameError> {
        let remaining = &self.buffer[self.consumed..];
        let Some(header) = remaining.first_chunk::<4>() else { return Ok(self.discard_consumed()) };
        let size = u32::from_be_bytes(*header) as usize;
        if size > FRAME_MAX {
            return Err(FrameError::Size { size });
        }
        let Some(body) = remaining.get(4..4 + size) else { return Ok(self.discard_consumed()) };
        let decoded = ciborium::from_reader(body);
        self.consumed += 4 + size;
        decoded.map(Some).map_err(|e| FrameError::Content { size, text: e.to_string() })
    }

    /// Removes decoded bytes from the buffer, and frees a large empty buffer.
    fn discard_consumed(&mut self) -> Option<Message> {
        self.buffer.drain(..self.consumed);
        self.consumed = 0;
        if self.buffer.is_empty() && self.buffer.capacity() > 16 << 10 {
            self.buffer = Vec::new();
        }
        None
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::messages::*;
    use googletest::prelude::*;
    use std::collections::BTreeMap;

    fn samples() -> Vec<Message> {
        let node = Node { ip: [10, 1, 0, 2].into(), replica_id: 7 };
        let number = ProposalNumber { round: 3, proposer: 7 };
        let document = Document { version: 12, bytes: vec![0, 255, 7] };
        let entries = BTreeMap::from([(12, Digest::of(&document.bytes)), (3, Digest([5; 16]))]);
        let ledger = Ledger::new(Some(2), entries.clone());
        let change = Change { document: Some(document.clone()), entries };
        vec![
            Message::ToMarker(ToMarker::Ping),
            Message::Peer(node, PeerMessage::Replicate(number, change)),
            Message::Peer(node, PeerMessage::InstallSnapshot(number, Snapshot { document: None, ledger })),
            Message::ToGatekeeper(ToGatekeeper::Update(1, Update::Configuration(document))),
            Message::ToMarker(ToMarker::Usage(u64::MAX, vec![("t".into(), 3)])),
        ]
    }

    #[gtest]
    fn messages_round_trip_for_any_split_of_the_bytes() {
        let bytes: Vec<u8> = samples().iter().flat_map(encode).collect();
        for piece in [1, 3, 64, 10_000] {
            let (mut decoder, mut read) = (FrameDecoder::default(), Vec::new());
            for part in bytes.chunks(piece) {
                decoder.feed(part);
                while let Some(message) = decoder.next_message().unwrap() {
                    read.push(message);
                }
            }
            expect_that!(read, eq(&samples()), "{piece}");
        }
    }

    #[gtest]
    fn invalid_frames_are_reported_without_panicking() {
        let mut decoder = FrameDecoder::default();
        decoder.feed(&[255; 8]);
        expect_true!(matches!(decoder.next_message(), Err(FrameError::Size { .. })));
        let mut bytes = encode(&samples()[1]);
        for index in 4..bytes.len() {
            bytes[index] ^= 0x55;
            let mut decoder = FrameDecoder::default();
            decoder.feed(&bytes);
            let _ = decoder.next_message();
            bytes[index] ^= 0x55;
        }
    }
}
