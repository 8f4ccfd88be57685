//! Frames: a length of four bytes, then so many bytes of CBOR.

use crate::words::Word;
use snafu::Snafu;

/// Largest frame, bytes: above the largest configuration.
pub const FRAME_MAX: usize = 16 << 20;

/// What is wrong with a stream of frames.
#[derive(Debug, Snafu)]
pub enum Fault {
    /// A frame is larger than any that is sent.
    #[snafu(display("a frame of {size} bytes, {FRAME_MAX} are allowed"))]
    Size {
        /// What it says.
        size: usize,
    },
    /// A frame holds no word.
    #[snafu(display("a frame of {size} bytes holds no word: {text}"))]
    Content {
        /// Its size.
        size: usize,
        /// Why.
        text: String,
    },
}

/// A word as bytes, with its length before it. Empty if it can't be written or is too large, which no word is.
pub fn write(word: &Word) -> Vec<u8> {
    let mut bytes = vec![0; 4];
    if ciborium::into_writer(word, &mut bytes).is_err() || bytes.len() - 4 > FRAME_MAX {
        log::error!("a word that can't be sent");
        return Vec::new();
    }
    let size = (bytes.len() - 4) as u32;
    bytes[..4].copy_from_slice(&size.to_be_bytes());
    bytes
}

/// Bytes as they come, cut into words.
#[derive(Default)]
pub struct Cutter {
    bytes: Vec<u8>,
    begin: usize,
}

impl Cutter {
    /// Takes in what has been read.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// The next whole word.
    ///
    /// # Errors
    ///
    /// What is no word; nothing after it can be read.
    pub fn word(&mut self) -> Result<Option<Word>, Fault> {
        let left = &self.bytes[self.begin..];
        let Some(head) = left.first_chunk::<4>() else { return Ok(self.rest()) };
        let size = u32::from_be_bytes(*head) as usize;
        if size > FRAME_MAX {
            return Err(Fault::Size { size });
        }
        let Some(body) = left.get(4..4 + size) else { return Ok(self.rest()) };
        let read = ciborium::from_reader(body);
        self.begin += 4 + size;
        read.map(Some).map_err(|e| Fault::Content { size, text: e.to_string() })
    }

    /// Forgets what has been cut off.
    fn rest(&mut self) -> Option<Word> {
        self.bytes.drain(..self.begin);
        self.begin = 0;
        if self.bytes.is_empty() && self.bytes.capacity() > 16 << 10 {
            self.bytes = Vec::new();
        }
        None
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::words::*;
    use googletest::prelude::*;
    use std::collections::BTreeMap;

    fn words() -> Vec<Word> {
        let node = Node { ip: [10, 1, 0, 2].into(), folder: 7 };
        let number = Number { round: 3, by: 7 };
        let document = Document { version: 12, bytes: vec![0, 255, 7] };
        let entries = BTreeMap::from([(12, Digest::of(&document.bytes)), (3, Digest([5; 16]))]);
        let ledger = Ledger::new(Some(2), entries.clone());
        let change = Change { document: Some(document.clone()), entries };
        vec![
            Word::Up(Up::Ping),
            Word::Between(node, Between::Hold(number, change)),
            Word::Between(node, Between::Copy(number, Whole { document: None, ledger })),
            Word::Down(Down::News(1, News::Configuration(document))),
            Word::Up(Up::Adds(u64::MAX, vec![("t".into(), 3)])),
        ]
    }

    #[gtest]
    fn words_come_back_however_the_bytes_are_cut() {
        let bytes: Vec<u8> = words().iter().flat_map(write).collect();
        for piece in [1, 3, 64, 10_000] {
            let (mut cutter, mut read) = (Cutter::default(), Vec::new());
            for part in bytes.chunks(piece) {
                cutter.feed(part);
                while let Some(word) = cutter.word().unwrap() {
                    read.push(word);
                }
            }
            expect_that!(read, eq(&words()), "{piece}");
        }
    }

    #[gtest]
    fn what_is_no_word_is_told_and_nothing_panics() {
        let mut cutter = Cutter::default();
        cutter.feed(&[255; 8]);
        expect_true!(matches!(cutter.word(), Err(Fault::Size { .. })));
        let mut bytes = write(&words()[1]);
        for place in 4..bytes.len() {
            bytes[place] ^= 0x55;
            let mut cutter = Cutter::default();
            cutter.feed(&bytes);
            let _ = cutter.word();
            bytes[place] ^= 0x55;
        }
    }
}
