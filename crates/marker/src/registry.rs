//! Registry of server instances, built from their heartbeats: soft state that converges on all markers.
//!
//! Of two reports about one instance the one with the higher `call-sequence` wins; at the same sequence the
//! later state does. An instance that has deregistered never comes back; one that was ended for missing
//! heartbeats does with its next heartbeat.

use granitelead_common::error_kinds::ErrorKind;
use granitelead_common::validation::Cursor;
use granitelead_control_protocol::messages::{Instance, InstanceState};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

use crate::types::Millis;

/// Heartbeats that a server may miss before it counts as gone, and the extra time on top, ms.
const MISSED_HEARTBEATS: (u64, Millis) = (4, 2_000);
/// How long instances are remembered that are gone, ms, so that late reports about them change nothing; the
/// second for those that have deregistered, which a marker that was down may still list when it returns.
const REMEMBER_GONE: (Millis, Millis) = (30_000, 600_000);
/// A server counts as recently heard for one heartbeat interval plus this time, ms: heartbeats that other
/// markers received are reported a little later.
const REPORT_DELAY: Millis = 1_000;
/// Maximum number of server instances.
pub const SERVERS_MAX: usize = 20_000;
/// Maximum length of each text in a heartbeat, bytes.
const TEXT_MAX: usize = 200;

struct Entry {
    instance: Instance,
    last_heard: Millis,
    /// Whether its last heartbeat came to this marker.
    is_local: bool,
    /// Whether it is known only from the disk, from before this start.
    is_restored: bool,
}

impl Entry {
    /// Whether it has been gone for so long that it can be forgotten.
    fn is_expired(&self, now: Millis) -> bool {
        let remember = match self.instance.sequence {
            u64::MAX => REMEMBER_GONE.1,
            _ => REMEMBER_GONE.0,
        };
        self.instance.state == InstanceState::Gone && now >= self.last_heard + remember
    }
}

/// The result of merging a report that another marker passed on.
#[derive(Clone, Debug, PartialEq)]
pub enum Merged {
    /// The instances that have changed here, if any.
    Changed(Vec<Instance>),
    /// The instance has ended, and the sender of the report does not know that.
    Ended(Instance),
}

/// All server instances that a marker knows.
pub struct Registry {
    entries: BTreeMap<String, Entry>,
    heartbeat_interval: Millis,
    /// Instances whose heartbeats came here since the other markers were last notified.
    heard_here: BTreeSet<String>,
    /// Ended instances that were forgotten before their time, to make room.
    evicted: Vec<String>,
}

/// Parses the body of a heartbeat.
///
/// # Errors
///
/// The kind of the error, and a text that names every invalid field by its path.
pub fn parse_heartbeat(id: &str, body: &[u8]) -> Result<Instance, (ErrorKind, String)> {
    let value: Value = serde_json::from_slice(body).map_err(|e| (ErrorKind::Malformed, e.to_string()))?;
    let at = Cursor::root(&value);
    let text = |at: Cursor| {
        let text = at.name();
        if text.len() > TEXT_MAX {
            at.add_error("too long");
        }
        text.to_owned()
    };
    let (information, status) = (at.field("information"), at.field("status"));
    let state = match status.field("state").text() {
        "ready" => InstanceState::Ready,
        "draining" => InstanceState::Draining,
        _ => {
            status.field("state").add_error("ready or draining is expected");
            InstanceState::Draining
        }
    };
    let address = text(at.field("address"));
    if address.parse::<std::net::SocketAddrV4>().is_err() {
        at.field("address").add_error("an address such as 10.128.0.9:8080 is expected");
    }
    let instance = Instance {
        id: id.to_owned(),
        service: text(information.field("service-name")),
        address,
        zone: text(information.field("zone")),
        version: information.field("version").optional("", Cursor::text).chars().take(TEXT_MAX).collect(),
        slots: information.field("capacity-slots").optional(1, Cursor::integer).clamp(1, 1 << 20) as u32,
        state,
        sequence: status.field("call-sequence").optional(0, Cursor::integer),
        cold_ms: status.field("cold-remaining-ms").optional(0, Cursor::integer),
    };
    at.finish(instance).map_err(|faults| (ErrorKind::Malformed, faults.to_string()))
}

/// Whether a report about an instance is newer than what is known.
pub fn is_newer(report: &Instance, known: &Instance) -> bool {
    (report.sequence, report.state) > (known.sequence, known.state)
}

impl Registry {
    /// Creates an empty registry; `heartbeat_interval` is the heartbeat interval, ms.
    pub fn new(heartbeat_interval: Millis) -> Registry {
        Registry {
            entries: BTreeMap::new(),
            heartbeat_interval: heartbeat_interval.max(1),
            heard_here: BTreeSet::new(),
            evicted: Vec::new(),
        }
    }

    /// Takes in the instances that were on disk when the marker started.
    pub fn restore(&mut self, now: Millis, instances: Vec<Instance>) {
        for instance in instances {
            let id = instance.id.clone();
            self.apply(now, instance);
            if let Some(entry) = self.entries.get_mut(&id) {
                entry.is_restored = true;
            }
        }
    }

    /// Takes in a heartbeat that came to this marker. Returns the changes that the other markers have to be
    /// sent, if any: also a server whose heartbeats came to another marker before, as that one may not have
    /// reached all.
    pub fn on_heartbeat(&mut self, now: Millis, instance: Instance) -> Vec<Instance> {
        let id = instance.id.clone();
        self.heard_here.insert(id.clone());
        let was_remote =
            self.entries.get(&id).is_some_and(|e| !e.is_local && is_newer(&instance, &e.instance));
        let mut changed = self.apply(now, instance);
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.is_local = true;
            if was_remote && changed.is_empty() {
                changed.push(entry.instance.clone());
            }
        }
        changed
    }

    /// Takes in a report about an instance. Returns the changes.
    pub fn apply(&mut self, now: Millis, instance: Instance) -> Vec<Instance> {
        if let Some(entry) = self.entries.get_mut(&instance.id) {
            if !is_newer(&instance, &entry.instance) {
                return Vec::new();
            }
            (entry.last_heard, entry.is_local, entry.is_restored) = (now, false, false);
            let is_changed =
                entry.instance.state != instance.state || entry.instance.address != instance.address;
            entry.instance.update(instance);
            return is_changed.then(|| entry.instance.clone()).into_iter().collect();
        }
        if self.entries.len() >= SERVERS_MAX && !self.evict_ended() {
            log::error!("server limit of {SERVERS_MAX} reached: instance {} is ignored", instance.id);
            return Vec::new();
        }
        let mut changed = Vec::new();
        // An instance that had the same address before has ended.
        if instance.state != InstanceState::Gone {
            let same = |e: &&mut Entry| {
                e.instance.address == instance.address && e.instance.state != InstanceState::Gone
            };
            for entry in self.entries.values_mut().filter(same) {
                (entry.instance.state, entry.last_heard) = (InstanceState::Gone, now);
                changed.push(entry.instance.clone());
            }
        }
        changed.push(instance.clone());
        let entry = Entry { instance, last_heard: now, is_local: false, is_restored: false };
        self.entries.insert(entry.instance.id.clone(), entry);
        changed
    }

    /// Forgets the instance that has been gone for the longest time, if any is gone.
    fn evict_ended(&mut self) -> bool {
        let ended = self.entries.iter().filter(|(_, e)| e.instance.state == InstanceState::Gone);
        let Some(oldest) = ended.min_by_key(|(_, e)| e.last_heard).map(|(id, _)| id.clone()) else {
            return false;
        };
        self.entries.remove(&oldest);
        self.evicted.push(oldest);
        true
    }

    /// The latest known state of an instance.
    pub fn get(&self, id: &str) -> Option<&Instance> {
        self.entries.get(id).map(|e| &e.instance)
    }

    /// Ends an instance that deregisters. Returns the changes.
    pub fn on_deregister(&mut self, now: Millis, id: &str) -> Vec<Instance> {
        let Some(entry) = self.entries.get_mut(id) else {
            // Other markers may know it: they have to receive its end before the call is acknowledged.
            return self.apply(now, Instance::ended(id));
        };
        let before = (entry.instance.state, entry.instance.sequence);
        (entry.instance.state, entry.instance.sequence, entry.last_heard) =
            (InstanceState::Gone, u64::MAX, now);
        let is_changed = before != (InstanceState::Gone, u64::MAX);
        is_changed.then(|| entry.instance.clone()).into_iter().collect()
    }

    /// Takes in instances whose heartbeats another marker received, with their sequences. Returns the
    /// changes.
    pub fn on_remote_heartbeats(&mut self, now: Millis, instances: &[(String, u64)]) -> Vec<Instance> {
        let mut changed = Vec::new();
        for (id, sequence) in instances {
            let Some(entry) = self.entries.get_mut(id) else { continue };
            if entry.instance.sequence < *sequence && entry.instance.state != InstanceState::Draining {
                (entry.instance.sequence, entry.last_heard) = (*sequence, now);
                (entry.is_local, entry.is_restored) = (false, false);
                if entry.instance.state == InstanceState::Gone {
                    entry.instance.state = InstanceState::Ready;
                    changed.push(entry.instance.clone());
                }
            } else if entry.instance.state == InstanceState::Draining {
                entry.last_heard = now;
            }
        }
        changed
    }

    /// Takes the instances whose heartbeats came here since the last call, with their sequences.
    pub fn take_local_heartbeats(&mut self) -> Vec<(String, u64)> {
        let heard = std::mem::take(&mut self.heard_here);
        let sequence = |id: String| self.entries.get(&id).map(|e| (id, e.instance.sequence));
        heard.into_iter().filter_map(sequence).filter(|(_, n)| *n != u64::MAX).collect()
    }

    /// All instances that are not gone, as other markers and gatekeepers are to know them.
    pub fn live(&self) -> Vec<Instance> {
        self.entries
            .values()
            .map(|e| &e.instance)
            .filter(|i| i.state != InstanceState::Gone)
            .cloned()
            .collect()
    }

    /// Merges a report passed on by a marker that may have been disconnected for long.
    pub fn merge(&mut self, now: Millis, report: Instance) -> Merged {
        let known = self.entries.get(&report.id).map(|e| &e.instance);
        let ended = known.is_some_and(|k| k.state == InstanceState::Gone && !is_newer(&report, k));
        // An instance that is known only from before this start was not heard.
        let recent = self.heartbeat_interval + REPORT_DELAY;
        let has_address = |e: &Entry| {
            let is_other = e.instance.id != report.id && e.instance.state != InstanceState::Gone;
            is_other && e.instance.address == report.address && !e.is_restored && now < e.last_heard + recent
        };
        if report.state != InstanceState::Gone
            && (ended || known.is_none() && self.entries.values().any(has_address))
        {
            let end = known.filter(|_| ended).cloned();
            return Merged::Ended(end.unwrap_or(Instance { state: InstanceState::Gone, ..report }));
        }
        Merged::Changed(self.apply(now, report))
    }

    /// Advances to `now` and forgets instances that have been gone for long; returns their ids.
    /// `may_miss_reports` says that heartbeats may reach other markers without being reported here: no timeout
    /// can then pass its half.
    pub fn on_tick(&mut self, now: Millis, may_miss_reports: bool) -> Vec<String> {
        let half = self.timeout() / 2;
        for entry in
            self.entries.values_mut().filter(|e| may_miss_reports && e.instance.state != InstanceState::Gone)
        {
            entry.last_heard = entry.last_heard.max(now.saturating_sub(half));
        }
        let expired = self.entries.iter().filter(|(_, entry)| entry.is_expired(now));
        let expired: Vec<String> = expired.map(|(id, _)| id.clone()).collect();
        expired.iter().for_each(|id| drop(self.entries.remove(id)));
        expired.into_iter().chain(std::mem::take(&mut self.evicted)).collect()
    }

    fn timeout(&self) -> Millis {
        MISSED_HEARTBEATS.0 * self.heartbeat_interval + MISSED_HEARTBEATS.1
    }

    /// The servers whose heartbeats have timed out, already marked as gone.
    pub fn timed_out(&self, now: Millis) -> Vec<Instance> {
        let timeout = self.timeout();
        let silent = |e: &&Entry| e.instance.state != InstanceState::Gone && now > e.last_heard + timeout;
        let ends = self.entries.values().filter(silent);
        ends.map(|e| Instance { state: InstanceState::Gone, ..e.instance.clone() }).collect()
    }

    /// Of servers that timed out at another marker those that have not timed out here, with their newest
    /// sequence.
    pub fn not_timed_out(&self, now: Millis, servers: &[Instance]) -> Vec<(String, u64)> {
        let timeout = self.timeout();
        let heard = |e: &&Entry| e.instance.state != InstanceState::Gone && now <= e.last_heard + timeout;
        let here = servers.iter().filter_map(|s| self.entries.get(&s.id)).filter(heard);
        here.map(|e| (e.instance.id.clone(), e.instance.sequence)).collect()
    }

    /// Ends servers that had timed out, unless a heartbeat has come since. Returns those that it ends.
    pub fn end_timed_out(&mut self, now: Millis, silent: Vec<Instance>) -> Vec<Instance> {
        silent.into_iter().flat_map(|end| self.apply(now, end)).collect()
    }

    /// All known instances, including those that are gone and still remembered: what a marker that was
    /// disconnected may have missed.
    pub fn snapshot(&self) -> Vec<Instance> {
        self.entries.values().map(|e| e.instance.clone()).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use googletest::prelude::*;

    fn server(id: &str, sequence: u64, state: InstanceState) -> Instance {
        Instance {
            id: id.into(),
            service: "s".into(),
            address: format!("10.0.0.{}:80", id.len()),
            zone: "a".into(),
            version: "v1".into(),
            slots: 2,
            state,
            sequence,
            cold_ms: 0,
        }
    }

    #[gtest]
    fn late_reports_do_not_change_a_server_that_drains_or_has_ended() {
        let mut registry = Registry::new(1_500);
        expect_that!(registry.on_heartbeat(0, server("x", 1, InstanceState::Ready)).len(), eq(1));
        expect_that!(registry.on_heartbeat(1_500, server("x", 2, InstanceState::Ready)).len(), eq(0));
        expect_that!(registry.on_heartbeat(2_000, server("x", 4, InstanceState::Draining)).len(), eq(1));
        expect_that!(registry.on_heartbeat(2_100, server("x", 3, InstanceState::Ready)).len(), eq(0));
        expect_that!(registry.live()[0].state, eq(InstanceState::Draining));
        expect_that!(registry.on_deregister(3_000, "x").len(), eq(1));
        expect_that!(registry.on_deregister(3_000, "x").len(), eq(0));
        expect_that!(registry.on_heartbeat(3_100, server("x", 5, InstanceState::Ready)).len(), eq(0));
        expect_true!(registry.live().is_empty());
    }

    #[gtest]
    fn missing_heartbeats_end_a_server_unless_reports_are_missing_and_a_heartbeat_restores_it() {
        let mut registry = Registry::new(1_500);
        registry.on_heartbeat(0, server("x", 1, InstanceState::Ready));
        registry.on_heartbeat(0, server("xx", 1, InstanceState::Ready));
        expect_that!(registry.on_remote_heartbeats(7_000, &[("xx".into(), 5)]).len(), eq(0));
        registry.on_tick(8_001, true);
        expect_that!(registry.timed_out(8_001).len(), eq(0));
        let silent = registry.timed_out(12_002);
        expect_that!(silent[0].id, eq("x"));
        // A server with a heartbeat since is not ended.
        let outdated = Instance { sequence: 0, ..silent[0].clone() };
        expect_that!(registry.end_timed_out(12_002, vec![outdated]).len(), eq(0));
        expect_that!(registry.live().len(), eq(2));
        expect_that!(registry.end_timed_out(12_002, silent)[0].id, eq("x"));
        expect_that!(registry.live().len(), eq(1));
        expect_that!(
            registry.on_remote_heartbeats(13_000, &[("x".into(), 9)])[0].state,
            eq(InstanceState::Ready)
        );
        expect_that!(registry.live().len(), eq(2));
    }

    #[gtest]
    fn an_address_belongs_to_the_newest_instance() {
        let mut registry = Registry::new(1_500);
        registry.on_heartbeat(0, server("x", 7, InstanceState::Ready));
        let changed = registry.on_heartbeat(10, server("y", 1, InstanceState::Ready));
        let changes: Vec<(&str, InstanceState)> = changed.iter().map(|i| (i.id.as_str(), i.state)).collect();
        expect_that!(changes, eq(&vec![("x", InstanceState::Gone), ("y", InstanceState::Ready)]));
    }

    #[gtest]
    fn a_heartbeat_is_parsed_or_rejected_with_the_paths_of_its_errors() {
        let good = r#"{"address":"10.128.0.9:8080","information":{"service-name":"h","version":"v1","zone":"z",
            "capacity-slots":2},"status":{"state":"ready","call-sequence":4,"cold-remaining-ms":0}}"#;
        let read = parse_heartbeat("i", good.as_bytes()).unwrap();
        expect_that!((read.slots, read.sequence, read.state), eq((2, 4, InstanceState::Ready)));
        let bad = good.replace("10.128.0.9:8080", "nowhere").replace("\"ready\"", "\"fine\"");
        let (kind, text) = parse_heartbeat("i", bad.as_bytes()).unwrap_err();
        expect_that!(kind, eq(ErrorKind::Malformed));
        expect_that!(text, all!(contains_substring("address:"), contains_substring("status.state:")));
        expect_true!(parse_heartbeat("i", b"{").is_err());
    }
}
