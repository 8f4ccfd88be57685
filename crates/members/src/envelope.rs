//! What a datagram is wrapped in, so that one that was cut, repeated, or meant for another fleet is known as such:
//! version, fleet, start of the sender's process (Unix time, ms), its count of datagrams, checksum. It guards against
//! accidents, not against somebody who can send from a gatekeeper's own address.

use std::collections::BTreeMap;
use thiserror::Error;

/// The platform's largest datagram, bytes.
pub const DATAGRAM_MAX: usize = 256;
/// Bytes of it that the envelope takes.
pub const OVERHEAD: usize = 21;
const VERSION: u8 = 1;
/// Datagrams that may overtake each other.
const WINDOW: u32 = 64;

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum Dropped {
    /// It is cut short, too long, or changed on its way.
    #[error("damaged")]
    Damaged,
    /// It is of another version, or of another fleet.
    #[error("of another fleet")]
    Foreign,
    /// It came before, or is of a process that has a successor, or far behind what came since.
    #[error("repeated")]
    Repeated,
    /// It is not from whom it says, or of nobody in the fleet.
    #[error("from a stranger")]
    Stranger,
}

fn tag(fleet: &str) -> [u8; 4] {
    crc32fast::hash(fleet.as_bytes()).to_be_bytes()
}

/// Wraps what one process sends.
pub struct Sealer {
    fleet: [u8; 4],
    start: u64,
    sent: u32,
}

impl Sealer {
    /// For a process of that fleet that began then.
    pub fn new(fleet: &str, start: u64) -> Sealer {
        Sealer { fleet: tag(fleet), start, sent: 0 }
    }

    /// A datagram around this.
    pub fn seal(&mut self, data: &[u8]) -> Vec<u8> {
        self.sent = self.sent.wrapping_add(1);
        let mut text = Vec::with_capacity(data.len() + OVERHEAD);
        text.push(VERSION);
        text.extend_from_slice(&self.fleet);
        text.extend_from_slice(&self.start.to_be_bytes());
        text.extend_from_slice(&self.sent.to_be_bytes());
        text.extend_from_slice(data);
        let sum = crc32fast::hash(&text);
        text.extend_from_slice(&sum.to_be_bytes());
        text
    }
}

/// What has come from one sender.
#[derive(Clone, Copy, Default)]
struct Heard {
    start: u64,
    last: u32,
    /// Those just before the last, a bit each.
    before: u64,
}

impl Heard {
    /// Notes one; false where it came before, or too late.
    fn notes(&mut self, start: u64, count: u32) -> bool {
        if start < self.start {
            return false;
        }
        if start > self.start {
            *self = Heard { start, last: count, before: 0 };
            return true;
        }
        let ahead = count.wrapping_sub(self.last);
        if ahead == 0 {
            return false;
        }
        if ahead < u32::MAX / 2 {
            self.before = match ahead {
                1..WINDOW => (self.before << ahead) | 1 << (ahead - 1),
                WINDOW => 1 << (ahead - 1),
                _ => 0,
            };
            self.last = count;
            return true;
        }
        let behind = self.last.wrapping_sub(count);
        if behind > WINDOW || self.before & 1 << (behind - 1) != 0 {
            return false;
        }
        self.before |= 1 << (behind - 1);
        true
    }
}

/// Unwraps what comes, one memory for each sender.
pub struct Opener {
    fleet: [u8; 4],
    heard: BTreeMap<u16, Heard>,
}

impl Opener {
    /// For that fleet.
    pub fn new(fleet: &str) -> Opener {
        Opener { fleet: tag(fleet), heard: BTreeMap::new() }
    }

    /// What a datagram from that sender holds.
    pub fn open<'a>(&mut self, from: u16, datagram: &'a [u8]) -> Result<&'a [u8], Dropped> {
        if datagram.len() > DATAGRAM_MAX {
            return Err(Dropped::Damaged);
        }
        let (text, sum) = datagram.split_last_chunk::<4>().ok_or(Dropped::Damaged)?;
        if crc32fast::hash(text) != u32::from_be_bytes(*sum) {
            return Err(Dropped::Damaged);
        }
        let (version, text) = text.split_first().ok_or(Dropped::Damaged)?;
        let (fleet, text) = text.split_first_chunk::<4>().ok_or(Dropped::Damaged)?;
        if (*version, *fleet) != (VERSION, self.fleet) {
            return Err(Dropped::Foreign);
        }
        let (start, text) = text.split_first_chunk::<8>().ok_or(Dropped::Damaged)?;
        let (count, data) = text.split_first_chunk::<4>().ok_or(Dropped::Damaged)?;
        let fresh =
            self.heard.entry(from).or_default().notes(u64::from_be_bytes(*start), u32::from_be_bytes(*count));
        fresh.then_some(data).ok_or(Dropped::Repeated)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn what_was_cut_changed_repeated_or_sent_elsewhere_is_known() {
        let (mut from, mut other) = (Sealer::new("f", 5), Sealer::new("g", 5));
        let mut to = Opener::new("f");
        let one = from.seal(b"one");
        assert_eq!(to.open(3, &one), Ok(&b"one"[..]));
        assert_eq!(to.open(3, &one), Err(Dropped::Repeated));
        assert_eq!(to.open(4, &one), Ok(&b"one"[..]), "each sender has its own count");
        assert_eq!(to.open(3, &other.seal(b"one")), Err(Dropped::Foreign));
        let two = from.seal(b"two");
        for cut in 0..two.len() {
            assert_eq!(to.open(3, &two[..cut]), Err(Dropped::Damaged), "{cut}");
        }
        for at in 0..two.len() {
            let mut changed = two.clone();
            changed[at] ^= 0x10;
            assert_eq!(to.open(3, &changed), Err(Dropped::Damaged), "{at}");
        }
        assert_eq!(to.open(3, &from.seal(&[7; DATAGRAM_MAX])), Err(Dropped::Damaged));
        // A successor counts anew, and its predecessor is heard no more.
        let mut successor = Sealer::new("f", 6);
        assert_eq!(to.open(3, &successor.seal(b"new")), Ok(&b"new"[..]));
        assert_eq!(to.open(3, &two), Err(Dropped::Repeated));
    }

    proptest! {
        #![proptest_config(ProptestConfig {
            rng_seed: proptest::test_runner::RngSeed::Fixed(1),
            failure_persistence: None,
            ..ProptestConfig::default()
        })]
        /// However datagrams are doubled, lost and mixed, none is taken twice, and one that is not far behind is taken.
        #[test]
        fn each_is_taken_once(order in proptest::collection::vec(0usize..200, 0..600)) {
            let mut from = Sealer::new("f", 1);
            let all: Vec<Vec<u8>> = (0..200u8).map(|n| from.seal(&[n])).collect();
            let mut to = Opener::new("f");
            let mut taken = std::collections::BTreeSet::new();
            let mut newest = None;
            for n in order {
                match to.open(0, &all[n]) {
                    Ok(data) => prop_assert!(data == [n as u8] && taken.insert(n)),
                    Err(why) => {
                        prop_assert_eq!(why, Dropped::Repeated);
                        prop_assert!(taken.contains(&n) || newest.is_some_and(|newest| newest > n + WINDOW as usize));
                    }
                }
                newest = newest.max(Some(n));
            }
        }
    }
}
