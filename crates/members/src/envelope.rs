//! Envelope of a datagram: format version, fleet_tag of the fleet, start time of the sender's process (Unix
//! time, ms), sequence number, payload and checksum. It detects datagrams that are truncated, duplicated, or
//! meant for another fleet. It protects against accidents, not against an attacker who can send from a
//! gatekeeper's own address.

use std::collections::BTreeMap;
use thiserror::Error;

/// Maximum size of a datagram on the platform, in bytes.
pub const DATAGRAM_MAX: usize = 256;
/// Size of the envelope without its payload, in bytes.
pub const OVERHEAD: usize = 21;
const FORMAT_VERSION: u8 = 1;
/// How far behind the newest datagram of a sender another one is still accepted, in datagrams.
const REPLAY_WINDOW: u32 = 64;

/// Why a datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum DropReason {
    /// It is truncated, too long, or its checksum doesn't match.
    #[error("corrupt")]
    Corrupt,
    /// It has another format version, or belongs to another fleet.
    #[error("other fleet or format version")]
    OtherFleet,
    /// It was received before, is from a process that has been replaced, or is too far behind the newest one.
    #[error("duplicate or too old")]
    Duplicate,
    /// Its sender doesn't match its source address, or it names a gatekeeper that is not in the fleet.
    #[error("invalid sender or member")]
    InvalidSender,
}

fn fleet_tag(fleet: &str) -> [u8; 4] {
    crc32fast::hash(fleet.as_bytes()).to_be_bytes()
}

/// Wraps the datagrams that one process sends.
pub struct DatagramEncoder {
    fleet: [u8; 4],
    start: u64,
    sequence: u32,
}

impl DatagramEncoder {
    /// Encoder for a process of the fleet named `fleet` that started at `start` (Unix time, ms).
    pub fn new(fleet: &str, start: u64) -> DatagramEncoder {
        DatagramEncoder { fleet: fleet_tag(fleet), start, sequence: 0 }
    }

    /// Wraps `data` in a datagram.
    pub fn encode(&mut self, data: &[u8]) -> Vec<u8> {
        self.sequence = self.sequence.wrapping_add(1);
        let mut datagram = Vec::with_capacity(data.len() + OVERHEAD);
        datagram.push(FORMAT_VERSION);
        datagram.extend_from_slice(&self.fleet);
        datagram.extend_from_slice(&self.start.to_be_bytes());
        datagram.extend_from_slice(&self.sequence.to_be_bytes());
        datagram.extend_from_slice(data);
        let checksum = crc32fast::hash(&datagram);
        datagram.extend_from_slice(&checksum.to_be_bytes());
        datagram
    }
}

/// Sequence numbers received from one sender.
#[derive(Clone, Copy, Default)]
struct ReplayWindow {
    start: u64,
    newest: u32,
    /// One bit for each sequence number just before `newest`, set if it was received.
    received: u64,
}

impl ReplayWindow {
    /// Records a sequence number; returns false if it was received before or is too old.
    fn accept(&mut self, start: u64, sequence: u32) -> bool {
        if start < self.start {
            return false;
        }
        if start > self.start {
            *self = ReplayWindow { start, newest: sequence, received: 0 };
            return true;
        }
        let ahead = sequence.wrapping_sub(self.newest);
        if ahead == 0 {
            return false;
        }
        if ahead < u32::MAX / 2 {
            self.received = match ahead {
                1..REPLAY_WINDOW => (self.received << ahead) | 1 << (ahead - 1),
                REPLAY_WINDOW => 1 << (ahead - 1),
                _ => 0,
            };
            self.newest = sequence;
            return true;
        }
        let behind = self.newest.wrapping_sub(sequence);
        if behind > REPLAY_WINDOW || self.received & 1 << (behind - 1) != 0 {
            return false;
        }
        self.received |= 1 << (behind - 1);
        true
    }
}

/// Unwraps received datagrams and keeps a replay window for each sender.
pub struct DatagramDecoder {
    fleet: [u8; 4],
    windows: BTreeMap<u16, ReplayWindow>,
}

impl DatagramDecoder {
    /// Decoder for the fleet named `fleet`.
    pub fn new(fleet: &str) -> DatagramDecoder {
        DatagramDecoder { fleet: fleet_tag(fleet), windows: BTreeMap::new() }
    }

    /// Checks a datagram from gatekeeper `from` and returns its payload.
    pub fn decode<'a>(&mut self, from: u16, datagram: &'a [u8]) -> Result<&'a [u8], DropReason> {
        if datagram.len() > DATAGRAM_MAX {
            return Err(DropReason::Corrupt);
        }
        let (contents, checksum) = datagram.split_last_chunk::<4>().ok_or(DropReason::Corrupt)?;
        if crc32fast::hash(contents) != u32::from_be_bytes(*checksum) {
            return Err(DropReason::Corrupt);
        }
        let (version, rest) = contents.split_first().ok_or(DropReason::Corrupt)?;
        let (fleet, rest) = rest.split_first_chunk::<4>().ok_or(DropReason::Corrupt)?;
        if (*version, *fleet) != (FORMAT_VERSION, self.fleet) {
            return Err(DropReason::OtherFleet);
        }
        let (start, rest) = rest.split_first_chunk::<8>().ok_or(DropReason::Corrupt)?;
        let (sequence, data) = rest.split_first_chunk::<4>().ok_or(DropReason::Corrupt)?;
        let window = self.windows.entry(from).or_default();
        let is_new = window.accept(u64::from_be_bytes(*start), u32::from_be_bytes(*sequence));
        is_new.then_some(data).ok_or(DropReason::Duplicate)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn corrupt_duplicate_and_foreign_datagrams_are_dropped() {
        let (mut from, mut other) = (DatagramEncoder::new("f", 5), DatagramEncoder::new("g", 5));
        let mut decoder = DatagramDecoder::new("f");
        let one = from.encode(b"one");
        assert_eq!(decoder.decode(3, &one), Ok(&b"one"[..]));
        assert_eq!(decoder.decode(3, &one), Err(DropReason::Duplicate));
        assert_eq!(decoder.decode(4, &one), Ok(&b"one"[..]), "each sender has its own count");
        assert_eq!(decoder.decode(3, &other.encode(b"one")), Err(DropReason::OtherFleet));
        let two = from.encode(b"two");
        for cut in 0..two.len() {
            assert_eq!(decoder.decode(3, &two[..cut]), Err(DropReason::Corrupt), "{cut}");
        }
        for at in 0..two.len() {
            let mut changed = two.clone();
            changed[at] ^= 0x10;
            assert_eq!(decoder.decode(3, &changed), Err(DropReason::Corrupt), "{at}");
        }
        assert_eq!(decoder.decode(3, &from.encode(&[7; DATAGRAM_MAX])), Err(DropReason::Corrupt));
        // A restarted process begins a new sequence, and datagrams of its predecessor are dropped.
        let mut successor = DatagramEncoder::new("f", 6);
        assert_eq!(decoder.decode(3, &successor.encode(b"new")), Ok(&b"new"[..]));
        assert_eq!(decoder.decode(3, &two), Err(DropReason::Duplicate));
    }

    proptest! {
        #![proptest_config(ProptestConfig {
            rng_seed: proptest::test_runner::RngSeed::Fixed(1),
            failure_persistence: None,
            ..ProptestConfig::default()
        })]
        /// With datagrams duplicated, lost and reordered, none is accepted twice, and each one within the
        /// replay window is accepted.
        #[test]
        fn each_datagram_is_accepted_once(order in proptest::collection::vec(0usize..200, 0..600)) {
            let mut from = DatagramEncoder::new("f", 1);
            let all: Vec<Vec<u8>> = (0..200u8).map(|n| from.encode(&[n])).collect();
            let mut decoder = DatagramDecoder::new("f");
            let mut accepted = std::collections::BTreeSet::new();
            let mut newest = None;
            for n in order {
                match decoder.decode(0, &all[n]) {
                    Ok(data) => prop_assert!(data == [n as u8] && accepted.insert(n)),
                    Err(reason) => {
                        prop_assert_eq!(reason, DropReason::Duplicate);
                        prop_assert!(
                            accepted.contains(&n)
                                || newest.is_some_and(|newest| newest > n + REPLAY_WINDOW as usize)
                        );
                    }
                }
                newest = newest.max(Some(n));
            }
        }
    }
}
