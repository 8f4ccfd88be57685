//! Repair: what a marker should have had while it could not be told is kept for it here, and handed over when its line
//! is up again, in parts, each once.
//!
//! What servers there are is told whole whenever a line comes up; what that leaves out is who is no more: a server
//! that ended, a gatekeeper that left. Each such word is kept until the other says that it has it. Adds are not
//! kept: they would count at the time of their handing over, long after what they were for.

use crate::parts::Millis;
use granitelead_control_protocol::messages::Instance;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// Ends that are kept for one marker; the oldest are dropped, and silence ends those servers there.
pub const KEPT_MAX: usize = 1_000;
/// They are kept for so long: by then silence has ended the servers there as well.
const KEEP: Millis = 30_000;
/// How many are handed over at once.
const PART: usize = 64;

/// An end that somebody may not know yet.
struct Owed {
    instance: Instance,
    since: Millis,
    /// Under which ticket it was told last.
    ticket: u64,
}

/// What is kept for others.
#[derive(Default)]
pub struct Repair {
    owed: BTreeMap<Ipv4Addr, BTreeMap<String, Owed>>,
    /// Markers to which parts are being handed over, and the ticket of the last part.
    handing: BTreeMap<Ipv4Addr, u64>,
    handed: u64,
    dropped: u64,
}

impl Repair {
    /// A marker is told of the end of servers under a ticket; it is kept until it has it.
    pub fn owe(&mut self, now: Millis, to: Ipv4Addr, ended: &[Instance], ticket: u64) {
        let owed = self.owed.entry(to).or_default();
        for instance in ended {
            owed.insert(instance.id.clone(), Owed { instance: instance.clone(), since: now, ticket });
        }
        while owed.len() > KEPT_MAX {
            let oldest = owed.iter().min_by_key(|(_, o)| o.since).map(|(id, _)| id.clone());
            owed.remove(&oldest.unwrap_or_default());
            self.dropped += 1;
        }
    }

    /// It has what it was told under a ticket. Says whether another part may follow.
    pub fn told(&mut self, from: Ipv4Addr, ticket: u64) -> bool {
        if let Some(owed) = self.owed.get_mut(&from) {
            owed.retain(|_, o| o.ticket != ticket);
        }
        self.handing.get(&from) == Some(&ticket)
    }

    /// Its line has come up: whatever was under way is lost.
    pub fn back(&mut self, ip: Ipv4Addr) {
        self.handing.remove(&ip);
        for owed in self.owed.get_mut(&ip).into_iter().flat_map(BTreeMap::values_mut) {
            owed.ticket = 0;
        }
    }

    /// The next part for it, to be told under this ticket; none where nothing is left.
    pub fn part(&mut self, ip: Ipv4Addr, ticket: u64) -> Vec<Instance> {
        let left = self.owed.get_mut(&ip).into_iter().flat_map(BTreeMap::values_mut);
        let part: Vec<Instance> = left
            .filter(|o| o.ticket == 0)
            .take(PART)
            .map(|o| {
                o.ticket = ticket;
                o.instance.clone()
            })
            .collect();
        if part.is_empty() {
            self.handing.remove(&ip);
        } else {
            self.handing.insert(ip, ticket);
            self.handed += part.len() as u64;
        }
        part
    }

    /// Forgets what is too old, and markers that are not known any more.
    pub fn sweep(&mut self, now: Millis, known: impl Fn(&Ipv4Addr) -> bool) {
        self.owed.retain(|ip, owed| {
            owed.retain(|_, o| now < o.since + KEEP);
            known(ip) && !owed.is_empty()
        });
        self.handing.retain(|ip, _| known(ip));
    }

    /// How many ends are kept, how many were handed over after a gap, and how many were dropped for want of room.
    pub fn figures(&self) -> (usize, u64, u64) {
        (self.owed.values().map(BTreeMap::len).sum(), self.handed, self.dropped)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use googletest::prelude::*;
    use granitelead_control_protocol::messages::InstanceState;

    fn ended(n: usize) -> Instance {
        Instance {
            id: format!("i{n}"),
            service: "s".into(),
            address: "10.0.0.1:80".into(),
            zone: "a".into(),
            version: String::new(),
            slots: 1,
            state: InstanceState::Gone,
            sequence: u64::MAX,
            cold_ms: 0,
        }
    }

    #[gtest]
    fn what_was_missed_is_handed_over_in_parts_and_once() {
        let (mut repair, ip) = (Repair::default(), [10, 0, 0, 2].into());
        let all: Vec<Instance> = (0..100).map(ended).collect();
        repair.owe(0, ip, &all[..99], 7);
        repair.owe(0, ip, &all[99..], 8);
        expect_false!(repair.told(ip, 8));
        repair.back(ip);
        let first = repair.part(ip, 9);
        expect_that!(first.len(), eq(PART));
        // The line breaks again before it is known to have come.
        repair.back(ip);
        expect_that!(repair.part(ip, 10), eq(&first));
        expect_true!(repair.told(ip, 10));
        let second = repair.part(ip, 11);
        expect_that!(second.len(), eq(99 - PART));
        expect_true!(repair.told(ip, 11));
        expect_true!(repair.part(ip, 12).is_empty());
        repair.back(ip);
        expect_true!(repair.part(ip, 13).is_empty());
    }

    #[gtest]
    fn what_is_kept_is_bounded_in_number_and_time() {
        let (mut repair, ip) = (Repair::default(), [10, 0, 0, 2].into());
        for n in 0..KEPT_MAX + 5 {
            repair.owe(n as Millis, ip, &[ended(n)], 0);
        }
        expect_that!(repair.figures(), eq((KEPT_MAX, 0, 5)));
        repair.sweep(KEEP + 10, |_| true);
        expect_that!(repair.figures().0, eq(KEPT_MAX - 6));
        repair.sweep(KEEP + 10, |_| false);
        expect_that!(repair.figures().0, eq(0));
    }
}
