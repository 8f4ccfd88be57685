//! Configurations told as what differs from one that the other has: a change costs its own size, not the whole's.
//!
//! What is applied comes out byte for byte as it was, or not at all: a difference names the number and the digest of
//! what it begins from and of what it makes. Whoever has another one says so, and is told the whole.
//!
//! Blocks of the old bytes are looked up among the new ones, as `rsync` does it, and made as long as they go. Work and
//! memory are bounded: at most [`BLOCKS_MAX`] blocks are listed, each new byte is looked up once and compared once. What
//! is larger than [`SIZE_MAX`] is told whole.

use crate::words::{Difference, Digest, Document, Revision, Run};
use snafu::Snafu;
use std::collections::HashMap;

/// Largest configuration of which differences are made, bytes.
pub const SIZE_MAX: usize = 1 << 20;
/// Least length of a block, bytes: a run costs some ten.
const BLOCK: usize = 16;
/// Blocks that are listed at once; of larger configurations they are longer.
const BLOCKS_MAX: usize = 32 << 10;
/// What a run costs besides the bytes that it brings, about.
const RUN: usize = 10;

/// Why a difference is not applied.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum Fault {
    /// It begins from another configuration.
    #[snafu(display("it begins from version {:08x} {}, not from {:08x} {}", wants.version, wants.digest, has.version, has.digest))]
    Base {
        /// What it begins from.
        wants: Revision,
        /// What it was to be applied to.
        has: Revision,
    },
    /// It takes bytes that the old one has not, or makes more than any configuration holds.
    #[snafu(display("a run takes {length} bytes at {at} of {size}"))]
    Bounds {
        /// Where.
        at: u32,
        /// How many.
        length: u32,
        /// How many there are.
        size: usize,
    },
    /// What it makes is not what it says.
    #[snafu(display("it makes {made}, not {wanted}"))]
    Made {
        /// What comes out.
        made: Digest,
        /// What was to.
        wanted: Digest,
    },
}

impl Difference {
    /// What differs between two, unless the whole costs little more or is too large.
    pub fn between(old: &Document, new: &Document) -> Option<Difference> {
        if old.bytes.len().max(new.bytes.len()) > SIZE_MAX {
            return None;
        }
        let runs = runs(&old.bytes, &new.bytes);
        let cost: usize = runs.iter().map(|Run(_, _, bytes)| RUN + bytes.len()).sum();
        let worth = cost < new.bytes.len() / 4 * 3;
        worth.then(|| Difference { from: old.revision(), to: new.revision(), runs })
    }

    /// Makes the new one out of the old.
    ///
    /// # Errors
    ///
    /// Why it can't be; nothing is made then.
    pub fn apply(&self, old: &Document) -> Result<Document, Fault> {
        let has = old.revision();
        if has != self.from {
            return BaseSnafu { wants: self.from, has }.fail();
        }
        let size = old.bytes.len();
        let mut made = Vec::new();
        for Run(at, length, bytes) in &self.runs {
            let end = (*at as usize).checked_add(*length as usize);
            let taken = end.and_then(|end| old.bytes.get(*at as usize..end));
            let taken = taken.filter(|taken| made.len() + taken.len() + bytes.len() <= SIZE_MAX);
            let Some(taken) = taken else {
                return BoundsSnafu { at: *at, length: *length, size }.fail();
            };
            made.extend_from_slice(taken);
            made.extend_from_slice(bytes);
        }
        let digest = Digest::of(&made);
        if digest != self.to.digest {
            return MadeSnafu { made: digest, wanted: self.to.digest }.fail();
        }
        Ok(Document { version: self.to.version, bytes: made })
    }
}

/// How many bytes two have in common from here on.
fn common(a: &[u8], b: &[u8]) -> usize {
    a.iter().zip(b).take_while(|(a, b)| a == b).count()
}

fn runs(old: &[u8], new: &[u8]) -> Vec<Run> {
    let block = BLOCK.max(old.len().div_ceil(BLOCKS_MAX));
    let mut places: HashMap<&[u8], usize> = HashMap::new();
    for (n, bytes) in old.chunks_exact(block).enumerate() {
        places.entry(bytes).or_insert(n * block);
    }
    let mut runs: Vec<Run> = vec![Run(0, 0, Vec::new())];
    // In the new bytes: where to look, and how far they are told.
    let (mut at, mut told) = (0, 0);
    while let Some(next) = new.get(at..at + block) {
        let Some(place) = places.get(next).copied() else {
            at += 1;
            continue;
        };
        let length = common(&old[place..], &new[at..]);
        // A block begins where it happens to: what is before it may be the same too.
        let before = old[..place].iter().rev().zip(new[told..at].iter().rev());
        let before = before.take_while(|(a, b)| a == b).count();
        if let Some(Run(_, _, bytes)) = runs.last_mut() {
            bytes.extend_from_slice(&new[told..at - before]);
        }
        runs.push(Run((place - before) as u32, (length + before) as u32, Vec::new()));
        at += length;
        told = at;
    }
    if let Some(Run(_, _, bytes)) = runs.last_mut() {
        bytes.extend_from_slice(&new[told..]);
    }
    runs.retain(|Run(_, length, bytes)| *length > 0 || !bytes.is_empty());
    runs
}
