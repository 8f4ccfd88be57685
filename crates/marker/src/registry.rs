//! Which servers there are, as their beats tell: soft state, the same at all markers soon.
//!
//! Of two words about one life of a server the one with the higher `call-sequence` holds; at the same sequence the
//! later state does. A life that has deregistered never comes back; one that only fell silent does with its next beat.

use granitelead_common::error_kinds::ErrorKind;
use granitelead_common::validation::Cursor;
use granitelead_control_protocol::messages::{Instance, InstanceState};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

use crate::parts::Millis;

/// Beats that may be missed before a server counts as gone, and the time on top.
const MISSED: (u64, Millis) = (4, 2_000);
/// Lives that are gone are remembered for so long, so that late words about them change nothing.
const REMEMBER: Millis = 30_000;
/// A server counts as heard for one beat and so long: those that beat at other markers are told of a little later.
const FRESH: Millis = 1_000;
/// Servers that are known at once.
pub const SERVERS_MAX: usize = 20_000;
/// Bytes of each text that a server gives.
const TEXT_MAX: usize = 200;

struct Entry {
    instance: Instance,
    at: Millis,
    /// Whether its last beat came here.
    here: bool,
}

/// What a word that is told on comes to.
#[derive(Clone, Debug, PartialEq)]
pub enum Learnt {
    /// What has changed here, if anything.
    News(Vec<Instance>),
    /// The server is no more, and whoever told does not know.
    Ended(Instance),
}

/// All servers that a marker knows.
pub struct Registry {
    entries: BTreeMap<String, Entry>,
    beat: Millis,
    /// Lives that have beaten here since the others were last told.
    beaten: BTreeSet<String>,
}

/// Reads a beat.
///
/// # Errors
///
/// The kind and every fault, by its path.
pub fn read_beat(id: &str, body: &[u8]) -> Result<Instance, (ErrorKind, String)> {
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

/// Whether a word about a life of a server is newer than what is known.
pub fn is_newer(word: &Instance, known: &Instance) -> bool {
    (word.sequence, word.state) > (known.sequence, known.state)
}

impl Registry {
    /// Without any server; they beat so often.
    pub fn new(beat: Millis) -> Registry {
        Registry { entries: BTreeMap::new(), beat: beat.max(1), beaten: BTreeSet::new() }
    }

    /// Takes in a beat that came here. Gives what the others have to be told, if anything: also a server whose beats came
    /// elsewhere before, as whoever told of it there may not reach all.
    pub fn on_beat(&mut self, now: Millis, instance: Instance) -> Vec<Instance> {
        let id = instance.id.clone();
        self.beaten.insert(id.clone());
        let comes = self.entries.get(&id).is_some_and(|e| !e.here && is_newer(&instance, &e.instance));
        let mut changed = self.take(now, instance);
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.here = true;
            if comes && changed.is_empty() {
                changed.push(entry.instance.clone());
            }
        }
        changed
    }

    /// Takes in a word about a server. Gives what has changed.
    pub fn take(&mut self, now: Millis, instance: Instance) -> Vec<Instance> {
        if let Some(entry) = self.entries.get_mut(&instance.id) {
            if !is_newer(&instance, &entry.instance) {
                return Vec::new();
            }
            (entry.at, entry.here) = (now, false);
            let changes =
                entry.instance.state != instance.state || entry.instance.address != instance.address;
            entry.instance.update(instance);
            return changes.then(|| entry.instance.clone()).into_iter().collect();
        }
        if self.entries.len() >= SERVERS_MAX {
            log::error!("more than {SERVERS_MAX} servers: {} is not taken in", instance.id);
            return Vec::new();
        }
        let mut changed = Vec::new();
        // Whoever had the address has ended.
        if instance.state != InstanceState::Gone {
            let same = |e: &&mut Entry| {
                e.instance.address == instance.address && e.instance.state != InstanceState::Gone
            };
            for entry in self.entries.values_mut().filter(same) {
                (entry.instance.state, entry.at) = (InstanceState::Gone, now);
                changed.push(entry.instance.clone());
            }
        }
        changed.push(instance.clone());
        self.entries.insert(instance.id.clone(), Entry { instance, at: now, here: false });
        changed
    }

    /// What is known of a life.
    pub fn get(&self, id: &str) -> Option<&Instance> {
        self.entries.get(id).map(|e| &e.instance)
    }

    /// A server says that it ends.
    pub fn on_leave(&mut self, now: Millis, id: &str) -> Vec<Instance> {
        let Some(entry) = self.entries.get_mut(id) else {
            // Others may know it: they have to hear of its end before that is acknowledged.
            return self.take(now, Instance::ended(id));
        };
        let before = (entry.instance.state, entry.instance.sequence);
        (entry.instance.state, entry.instance.sequence, entry.at) = (InstanceState::Gone, u64::MAX, now);
        let changes = before != (InstanceState::Gone, u64::MAX);
        changes.then(|| entry.instance.clone()).into_iter().collect()
    }

    /// Servers have beaten at another marker.
    pub fn on_alive(&mut self, now: Millis, lives: &[(String, u64)]) -> Vec<Instance> {
        let mut changed = Vec::new();
        for (id, sequence) in lives {
            let Some(entry) = self.entries.get_mut(id) else { continue };
            if entry.instance.sequence < *sequence && entry.instance.state != InstanceState::Draining {
                (entry.instance.sequence, entry.at, entry.here) = (*sequence, now, false);
                if entry.instance.state == InstanceState::Gone {
                    entry.instance.state = InstanceState::Ready;
                    changed.push(entry.instance.clone());
                }
            } else if entry.instance.state == InstanceState::Draining {
                entry.at = now;
            }
        }
        changed
    }

    /// Those that have beaten here since this was last asked.
    pub fn beaten(&mut self) -> Vec<(String, u64)> {
        let beaten = std::mem::take(&mut self.beaten);
        let sequence = |id: String| self.entries.get(&id).map(|e| (id, e.instance.sequence));
        beaten.into_iter().filter_map(sequence).filter(|(_, n)| *n != u64::MAX).collect()
    }

    /// All that are not gone, as others are to know them.
    pub fn all(&self) -> Vec<Instance> {
        self.entries
            .values()
            .map(|e| &e.instance)
            .filter(|i| i.state != InstanceState::Gone)
            .cloned()
            .collect()
    }

    /// Takes in a word that is told on by somebody who may have been away for long.
    pub fn learn(&mut self, now: Millis, word: Instance) -> Learnt {
        let known = self.entries.get(&word.id).map(|e| &e.instance);
        let ended = known.is_some_and(|k| k.state == InstanceState::Gone && !is_newer(&word, k));
        // What is only remembered from before this start was not heard.
        let fresh = self.beat + FRESH;
        let taken = |e: &Entry| {
            let other = e.instance.id != word.id && e.instance.state != InstanceState::Gone;
            other && e.instance.address == word.address && e.at > 0 && now < e.at + fresh
        };
        if word.state != InstanceState::Gone && (ended || known.is_none() && self.entries.values().any(taken))
        {
            let end = known.filter(|_| ended).cloned();
            return Learnt::Ended(end.unwrap_or(Instance { state: InstanceState::Gone, ..word }));
        }
        Learnt::News(self.take(now, word))
    }

    /// Time passes; `deaf` says that beats may come elsewhere and not be told of here.
    pub fn on_tick(&mut self, now: Millis, deaf: bool) {
        let half = self.silence() / 2;
        for entry in self.entries.values_mut().filter(|e| deaf && e.instance.state != InstanceState::Gone) {
            entry.at = entry.at.max(now.saturating_sub(half));
        }
        self.entries.retain(|_, e| e.instance.state != InstanceState::Gone || now < e.at + REMEMBER);
    }

    fn silence(&self) -> Millis {
        MISSED.0 * self.beat + MISSED.1
    }

    /// The servers whose beats have stopped, as they are to be known once they are ended.
    pub fn silent(&self, now: Millis) -> Vec<Instance> {
        let silence = self.silence();
        let silent = |e: &&Entry| e.instance.state != InstanceState::Gone && now > e.at + silence;
        let ends = self.entries.values().filter(silent);
        ends.map(|e| Instance { state: InstanceState::Gone, ..e.instance.clone() }).collect()
    }

    /// Of servers that are silent elsewhere those that are not silent here, with the newest sequence.
    pub fn heard_of(&self, now: Millis, servers: &[Instance]) -> Vec<(String, u64)> {
        let silence = self.silence();
        let heard = |e: &&Entry| e.instance.state != InstanceState::Gone && now <= e.at + silence;
        let here = servers.iter().filter_map(|s| self.entries.get(&s.id)).filter(heard);
        here.map(|e| (e.instance.id.clone(), e.instance.sequence)).collect()
    }

    /// Ends servers that were silent, unless they have beaten since. Gives those that it ends.
    pub fn end(&mut self, now: Millis, silent: Vec<Instance>) -> Vec<Instance> {
        silent.into_iter().flat_map(|end| self.take(now, end)).collect()
    }

    /// All that are known, those too that are gone and still remembered: what one that was away may have missed.
    pub fn whole(&self) -> Vec<Instance> {
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
    fn a_server_starts_drains_and_goes_and_late_words_change_nothing() {
        let mut registry = Registry::new(1_500);
        expect_that!(registry.on_beat(0, server("x", 1, InstanceState::Ready)).len(), eq(1));
        expect_that!(registry.on_beat(1_500, server("x", 2, InstanceState::Ready)).len(), eq(0));
        expect_that!(registry.on_beat(2_000, server("x", 4, InstanceState::Draining)).len(), eq(1));
        expect_that!(registry.on_beat(2_100, server("x", 3, InstanceState::Ready)).len(), eq(0));
        expect_that!(registry.all()[0].state, eq(InstanceState::Draining));
        expect_that!(registry.on_leave(3_000, "x").len(), eq(1));
        expect_that!(registry.on_leave(3_000, "x").len(), eq(0));
        expect_that!(registry.on_beat(3_100, server("x", 5, InstanceState::Ready)).len(), eq(0));
        expect_true!(registry.all().is_empty());
    }

    #[gtest]
    fn silence_ends_a_server_unless_the_marker_may_be_deaf_and_a_beat_brings_it_back() {
        let mut registry = Registry::new(1_500);
        registry.on_beat(0, server("x", 1, InstanceState::Ready));
        registry.on_beat(0, server("xx", 1, InstanceState::Ready));
        expect_that!(registry.on_alive(7_000, &[("xx".into(), 5)]).len(), eq(0));
        registry.on_tick(8_001, true);
        expect_that!(registry.silent(8_001).len(), eq(0));
        let silent = registry.silent(12_002);
        expect_that!(silent[0].id, eq("x"));
        // Nobody is ended who has beaten since.
        let beaten = Instance { sequence: 0, ..silent[0].clone() };
        expect_that!(registry.end(12_002, vec![beaten]).len(), eq(0));
        expect_that!(registry.all().len(), eq(2));
        expect_that!(registry.end(12_002, silent)[0].id, eq("x"));
        expect_that!(registry.all().len(), eq(1));
        expect_that!(registry.on_alive(13_000, &[("x".into(), 9)])[0].state, eq(InstanceState::Ready));
        expect_that!(registry.all().len(), eq(2));
    }

    #[gtest]
    fn an_address_belongs_to_the_newest_life() {
        let mut registry = Registry::new(1_500);
        registry.on_beat(0, server("x", 7, InstanceState::Ready));
        let changed = registry.on_beat(10, server("y", 1, InstanceState::Ready));
        let told: Vec<(&str, InstanceState)> = changed.iter().map(|i| (i.id.as_str(), i.state)).collect();
        expect_that!(told, eq(&vec![("x", InstanceState::Gone), ("y", InstanceState::Ready)]));
    }

    #[gtest]
    fn a_beat_is_read_or_refused_by_its_paths() {
        let good = r#"{"address":"10.128.0.9:8080","information":{"service-name":"h","version":"v1","zone":"z",
            "capacity-slots":2},"status":{"state":"ready","call-sequence":4,"cold-remaining-ms":0}}"#;
        let read = read_beat("i", good.as_bytes()).unwrap();
        expect_that!((read.slots, read.sequence, read.state), eq((2, 4, InstanceState::Ready)));
        let bad = good.replace("10.128.0.9:8080", "nowhere").replace("\"ready\"", "\"fine\"");
        let (kind, text) = read_beat("i", bad.as_bytes()).unwrap_err();
        expect_that!(kind, eq(ErrorKind::Malformed));
        expect_that!(text, all!(contains_substring("address:"), contains_substring("status.state:")));
        expect_true!(read_beat("i", b"{").is_err());
    }
}
