//! Computes and applies differences between two configurations, so that sending a change costs its own size
//! and not that of the whole configuration.
//!
//! Applying a difference gives the new configuration byte for byte or fails: a difference names the version
//! and the digest of the configuration that it starts from and of its result. A receiver that has another
//! base says so and is sent the full configuration.
//!
//! As in `rsync`, blocks of the old bytes are looked up among the new ones; each match is extended as far as
//! possible. Work and memory are bounded: at most [`BLOCKS_MAX`] blocks are indexed, and each new byte is
//! looked up once and compared once. Configurations larger than [`SIZE_MAX`] are sent in full.

use crate::messages::{Difference, Digest, Document, Revision, Run};
use snafu::Snafu;
use std::collections::HashMap;

/// Largest configuration for which differences are computed, bytes.
pub const SIZE_MAX: usize = 1 << 20;
/// Minimum length of a block, bytes. A run costs some ten, so that shorter matches save little.
const BLOCK_MIN: usize = 16;
/// Maximum number of indexed blocks; larger configurations use longer blocks.
const BLOCKS_MAX: usize = 32 << 10;
/// Approximate encoded size of a run without its new bytes, bytes.
const RUN_OVERHEAD: usize = 10;

/// Why a difference can't be applied.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum ApplyError {
    /// It starts from another configuration.
    #[snafu(display("it applies to version {:08x} {}, not to {:08x} {}", required.version, required.digest, actual.version, actual.digest))]
    BaseMismatch {
        /// The base that the difference requires.
        required: Revision,
        /// The configuration that it was applied to.
        actual: Revision,
    },
    /// A run copies bytes outside the old configuration, or the result would exceed [`SIZE_MAX`].
    #[snafu(display("a run copies {length} bytes at offset {at} of {size}"))]
    OutOfBounds {
        /// Offset of the run in the old bytes.
        at: u32,
        /// Length of the run, bytes.
        length: u32,
        /// Size of the old configuration, bytes.
        size: usize,
    },
    /// The result has another digest than the difference names.
    #[snafu(display("the result has digest {actual}, expected {expected}"))]
    ResultMismatch {
        /// Digest of the result.
        actual: Digest,
        /// Digest that the difference names.
        expected: Digest,
    },
}

impl Difference {
    /// Computes the difference between two configurations. Returns `None` if it isn't smaller than three
    /// quarters of the new configuration, or if one of them exceeds [`SIZE_MAX`].
    pub fn between(old: &Document, new: &Document) -> Option<Difference> {
        if old.bytes.len().max(new.bytes.len()) > SIZE_MAX {
            return None;
        }
        let runs = runs(&old.bytes, &new.bytes);
        let cost: usize = runs.iter().map(|Run(_, _, bytes)| RUN_OVERHEAD + bytes.len()).sum();
        let is_worthwhile = cost < new.bytes.len() / 4 * 3;
        is_worthwhile.then(|| Difference { from: old.revision(), to: new.revision(), runs })
    }

    /// Creates the new configuration from the old one.
    ///
    /// # Errors
    ///
    /// The base or the result doesn't match, or a run is out of bounds.
    pub fn apply(&self, old: &Document) -> Result<Document, ApplyError> {
        let actual = old.revision();
        if actual != self.from {
            return BaseMismatchSnafu { required: self.from, actual }.fail();
        }
        let size = old.bytes.len();
        let mut result = Vec::new();
        for Run(at, length, bytes) in &self.runs {
            let end = (*at as usize).checked_add(*length as usize);
            let copied = end.and_then(|end| old.bytes.get(*at as usize..end));
            let copied = copied.filter(|copied| result.len() + copied.len() + bytes.len() <= SIZE_MAX);
            let Some(copied) = copied else {
                return OutOfBoundsSnafu { at: *at, length: *length, size }.fail();
            };
            result.extend_from_slice(copied);
            result.extend_from_slice(bytes);
        }
        let digest = Digest::of(&result);
        if digest != self.to.digest {
            return ResultMismatchSnafu { actual: digest, expected: self.to.digest }.fail();
        }
        Ok(Document { version: self.to.version, bytes: result })
    }
}

/// Length of the common prefix, bytes.
fn common_prefix(a: &[u8], b: &[u8]) -> usize {
    a.iter().zip(b).take_while(|(a, b)| a == b).count()
}

/// Computes the runs that create the new bytes from the old ones.
fn runs(old: &[u8], new: &[u8]) -> Vec<Run> {
    let block = BLOCK_MIN.max(old.len().div_ceil(BLOCKS_MAX));
    let mut offsets: HashMap<&[u8], usize> = HashMap::new();
    for (n, bytes) in old.chunks_exact(block).enumerate() {
        offsets.entry(bytes).or_insert(n * block);
    }
    let mut runs: Vec<Run> = vec![Run(0, 0, Vec::new())];
    // Positions in the new bytes: where to look next, and up to where the runs cover them.
    let (mut at, mut covered) = (0, 0);
    while let Some(next) = new.get(at..at + block) {
        let Some(offset) = offsets.get(next).copied() else {
            at += 1;
            continue;
        };
        let length = common_prefix(&old[offset..], &new[at..]);
        // Blocks have fixed boundaries, so that the bytes before a match may match too.
        let before = old[..offset].iter().rev().zip(new[covered..at].iter().rev());
        let before = before.take_while(|(a, b)| a == b).count();
        if let Some(Run(_, _, bytes)) = runs.last_mut() {
            bytes.extend_from_slice(&new[covered..at - before]);
        }
        runs.push(Run((offset - before) as u32, (length + before) as u32, Vec::new()));
        at += length;
        covered = at;
    }
    if let Some(Run(_, _, bytes)) = runs.last_mut() {
        bytes.extend_from_slice(&new[covered..]);
    }
    runs.retain(|Run(_, length, bytes)| *length > 0 || !bytes.is_empty());
    runs
}
