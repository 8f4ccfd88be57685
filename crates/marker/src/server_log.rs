//! Which changes of servers have still to be written to disk, and which writes are durable.
//!
//! One record is kept for each server, so a write costs as much as has changed. A server that drains or is
//! gone is written at once, because its call is acknowledged only when the record is durable. Other changes
//! are collected for [`WRITE_INTERVAL`]: the next heartbeat repeats what is lost of them.

use crate::types::{Millis, Output, ServerWrite};
use granitelead_control_protocol::messages::Instance;
use std::collections::BTreeMap;

/// How long changes that no call waits for are collected, ms.
const WRITE_INTERVAL: Millis = 400;

/// The changes that are not written yet, and the tickets of writes.
#[derive(Default)]
pub struct ServerLog {
    /// The new record of each changed server; none if its record is to be removed.
    unwritten: BTreeMap<String, Option<Instance>>,
    written_at: Millis,
    last_ticket: u64,
    durable_ticket: u64,
}

impl ServerLog {
    /// Records changed servers, to be written with the next write.
    pub fn record(&mut self, changed: &[Instance]) {
        for instance in changed {
            self.unwritten.insert(instance.id.clone(), Some(instance.clone()));
        }
    }

    /// Removes the records of servers that are not remembered any more.
    pub fn remove(&mut self, ids: Vec<String>) {
        self.unwritten.extend(ids.into_iter().map(|id| (id, None)));
    }

    /// Writes what is recorded. Returns the ticket of the write after which all recorded changes are durable.
    pub fn write(&mut self, now: Millis, out: &mut Vec<Output>) -> u64 {
        if !self.unwritten.is_empty() {
            (self.last_ticket, self.written_at) = (self.last_ticket + 1, now);
            let records = std::mem::take(&mut self.unwritten);
            out.push(Output::StoreServers(ServerWrite { ticket: self.last_ticket, records }));
        }
        self.last_ticket
    }

    /// Writes what has been collected for long enough.
    pub fn on_tick(&mut self, now: Millis, out: &mut Vec<Output>) {
        if now >= self.written_at + WRITE_INTERVAL {
            self.write(now, out);
        }
    }

    /// Handles that all writes up to this ticket are on disk.
    pub fn on_written(&mut self, ticket: u64) {
        self.durable_ticket = self.durable_ticket.max(ticket);
    }

    /// The ticket up to which all writes are on disk.
    pub fn durable_ticket(&self) -> u64 {
        self.durable_ticket
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use googletest::prelude::*;

    #[gtest]
    fn a_write_has_the_newest_record_of_each_server_and_covers_all_before_it() {
        let (mut log, mut out) = (ServerLog::default(), Vec::new());
        expect_that!(log.write(0, &mut out), eq(0));
        let (x, y) = (Instance::ended("x"), Instance::ended("y"));
        log.record(&[x.clone(), y.clone()]);
        log.remove(vec!["y".into()]);
        expect_that!(log.write(10, &mut out), eq(1));
        let records = BTreeMap::from([("x".to_owned(), Some(x)), ("y".to_owned(), None)]);
        expect_that!(out, eq(&vec![Output::StoreServers(ServerWrite { ticket: 1, records })]));
        // Nothing has changed since: the earlier write is enough.
        expect_that!(log.write(20, &mut out), eq(1));
        expect_that!(log.durable_ticket(), eq(0));
        log.on_written(1);
        expect_that!(log.durable_ticket(), eq(1));
    }

    #[gtest]
    fn changes_that_no_call_waits_for_are_written_together() {
        let (mut log, mut out) = (ServerLog::default(), Vec::new());
        log.record(&[Instance::ended("x")]);
        log.on_tick(WRITE_INTERVAL - 1, &mut out);
        expect_true!(out.is_empty());
        log.record(&[Instance::ended("y")]);
        log.on_tick(WRITE_INTERVAL, &mut out);
        expect_that!(out.len(), eq(1));
    }
}
