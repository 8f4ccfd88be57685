//! Repair after a lost connection: ends of servers that another marker could not be sent are kept here and
//! sent in batches once the connection is back, each end until it is acknowledged.
//!
//! The list of live servers is sent whole whenever a connection comes up, but it leaves out servers that
//! have ended. Each end is therefore kept until the other marker acknowledges it. Usage reports are not
//! kept: they would count at the time of delivery, long after the requests that they stand for.

use crate::types::Millis;
use granitelead_control_protocol::messages::Instance;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// Maximum number of ends that are kept for one marker. Beyond it the oldest are dropped; that marker then
/// ends those servers once their heartbeats are missing.
pub const ENDS_PER_MARKER_MAX: usize = 1_000;
/// How long ends are kept, ms: by then the missing heartbeats have ended the servers there as well.
const EXPIRE_AFTER: Millis = 30_000;
/// Maximum number of ends in one batch.
const BATCH_MAX: usize = 64;

/// The end of a server that a marker has not acknowledged.
struct UnacknowledgedEnd {
    instance: Instance,
    since: Millis,
    /// The ticket under which it was last sent; 0 if it has to be sent again.
    ticket: u64,
}

/// The unacknowledged ends for each marker.
#[derive(Default)]
pub struct Repair {
    unacknowledged: BTreeMap<Ipv4Addr, BTreeMap<String, UnacknowledgedEnd>>,
    /// Markers to which batches are being sent, and the ticket of the latest batch.
    in_progress: BTreeMap<Ipv4Addr, u64>,
    resent_count: u64,
    dropped_count: u64,
}

impl Repair {
    /// Records ends of servers that a marker is sent under a ticket, until it acknowledges them.
    pub fn record_ends(&mut self, now: Millis, to: Ipv4Addr, ended: &[Instance], ticket: u64) {
        let ends = self.unacknowledged.entry(to).or_default();
        for instance in ended {
            ends.insert(
                instance.id.clone(),
                UnacknowledgedEnd { instance: instance.clone(), since: now, ticket },
            );
        }
        while ends.len() > ENDS_PER_MARKER_MAX {
            let oldest = ends.iter().min_by_key(|(_, end)| end.since).map(|(id, _)| id.clone());
            ends.remove(&oldest.unwrap_or_default());
            self.dropped_count += 1;
        }
    }

    /// A marker acknowledges what it was sent under a ticket. Returns whether to send the next batch.
    pub fn on_acknowledged(&mut self, from: Ipv4Addr, ticket: u64) -> bool {
        if let Some(ends) = self.unacknowledged.get_mut(&from) {
            ends.retain(|_, end| end.ticket != ticket);
        }
        self.in_progress.get(&from) == Some(&ticket)
    }

    /// The connection to a marker has come up: unacknowledged messages are considered lost.
    pub fn on_connected(&mut self, ip: Ipv4Addr) {
        self.in_progress.remove(&ip);
        for ends in self.unacknowledged.get_mut(&ip).into_iter().flat_map(BTreeMap::values_mut) {
            ends.ticket = 0;
        }
    }

    /// The next batch for a marker, to be sent under this ticket; empty once nothing is left.
    pub fn next_batch(&mut self, ip: Ipv4Addr, ticket: u64) -> Vec<Instance> {
        let ends = self.unacknowledged.get_mut(&ip).into_iter().flat_map(BTreeMap::values_mut);
        let batch: Vec<Instance> = ends
            .filter(|end| end.ticket == 0)
            .take(BATCH_MAX)
            .map(|end| {
                end.ticket = ticket;
                end.instance.clone()
            })
            .collect();
        if batch.is_empty() {
            self.in_progress.remove(&ip);
        } else {
            self.in_progress.insert(ip, ticket);
            self.resent_count += batch.len() as u64;
        }
        batch
    }

    /// Drops expired ends, and all ends for markers that are no longer known.
    pub fn expire(&mut self, now: Millis, known: impl Fn(&Ipv4Addr) -> bool) {
        self.unacknowledged.retain(|ip, ends| {
            ends.retain(|_, end| now < end.since + EXPIRE_AFTER);
            known(ip) && !ends.is_empty()
        });
        self.in_progress.retain(|ip, _| known(ip));
    }

    /// The number of ends that are kept, that were sent again after a disconnection, and that were dropped
    /// at the limit.
    pub fn counters(&self) -> (usize, u64, u64) {
        (self.unacknowledged.values().map(BTreeMap::len).sum(), self.resent_count, self.dropped_count)
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
    fn missed_ends_are_sent_in_batches_until_acknowledged() {
        let (mut repair, ip) = (Repair::default(), [10, 0, 0, 2].into());
        let all: Vec<Instance> = (0..100).map(ended).collect();
        repair.record_ends(0, ip, &all[..99], 7);
        repair.record_ends(0, ip, &all[99..], 8);
        expect_false!(repair.on_acknowledged(ip, 8));
        repair.on_connected(ip);
        let first = repair.next_batch(ip, 9);
        expect_that!(first.len(), eq(BATCH_MAX));
        // The connection breaks again before the batch is acknowledged.
        repair.on_connected(ip);
        expect_that!(repair.next_batch(ip, 10), eq(&first));
        expect_true!(repair.on_acknowledged(ip, 10));
        let second = repair.next_batch(ip, 11);
        expect_that!(second.len(), eq(99 - BATCH_MAX));
        expect_true!(repair.on_acknowledged(ip, 11));
        expect_true!(repair.next_batch(ip, 12).is_empty());
        repair.on_connected(ip);
        expect_true!(repair.next_batch(ip, 13).is_empty());
    }

    #[gtest]
    fn kept_ends_are_limited_in_number_and_age() {
        let (mut repair, ip) = (Repair::default(), [10, 0, 0, 2].into());
        for n in 0..ENDS_PER_MARKER_MAX + 5 {
            repair.record_ends(n as Millis, ip, &[ended(n)], 0);
        }
        expect_that!(repair.counters(), eq((ENDS_PER_MARKER_MAX, 0, 5)));
        repair.expire(EXPIRE_AFTER + 10, |_| true);
        expect_that!(repair.counters().0, eq(ENDS_PER_MARKER_MAX - 6));
        repair.expire(EXPIRE_AFTER + 10, |_| false);
        expect_that!(repair.counters().0, eq(0));
    }
}
