//! The membership of the gatekeepers that share all quotas, and which of them are missing.
//!
//! A gatekeeper that is missing may be cut off and still admit requests within its even share of each quota,
//! so the others leave it that share. It stays counted until its process has announced its end, or for a
//! long time: silence does not prove that it ended. The names are kept on disk, so that a marker that
//! restarts also knows of gatekeepers that can't reach it. A gatekeeper is counted only once its name is on
//! disk: otherwise a restart of all markers could forget one that goes on using its share.
//!
//! The shares add up to the whole quota only where all markers divide by the same number. Therefore the
//! number changes only while all markers of the group count together. Until then the share of a gatekeeper
//! that has ended stays unused, and a new gatekeeper has no share of its own, but takes part in the shares
//! of the gatekeepers that it counts with.

use crate::types::Millis;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

/// A gatekeeper that no marker has heard for this long is missing.
const MISSING_AFTER: Millis = 400;
/// A missing gatekeeper is removed after this time.
const REMOVE_AFTER: Millis = 600_000;
/// The same for one that is known only from disk: it may have ended while this marker was down.
const REMOVE_STORED_AFTER: Millis = 60_000;
/// Once all markers have counted together for this long, all know the same gatekeepers.
const AGREEMENT_DELAY: Millis = 1_500;
/// For how long after gatekeepers have ended the quotas are still shared among as many: processes that restart
/// together would each be told of few others at first.
const SHRINK_DELAY: Millis = 5_000;
/// Maximum number of gatekeepers.
const MEMBERS_MAX: usize = 20_000;
/// The attached marker of a gatekeeper that is attached to none.
const NOT_ATTACHED: Ipv4Addr = Ipv4Addr::UNSPECIFIED;

struct Member {
    /// The marker to which it reports its usage.
    attached_to: Ipv4Addr,
    /// When it was last heard; negative if that was before this process started.
    last_heard: i64,
    remove_at: Millis,
    /// Whether all markers know it. Once its name is also on disk it is included in the number by which all
    /// divide the quotas.
    is_agreed: bool,
}

impl Member {
    fn age(&self, now: Millis) -> Millis {
        (signed(now) - self.last_heard).max(0).unsigned_abs()
    }

    fn is_missing(&self, now: Millis) -> bool {
        self.age(now) >= MISSING_AFTER
    }
}

fn signed(time: Millis) -> i64 {
    i64::try_from(time).unwrap_or(i64::MAX)
}

/// All known gatekeepers and the quota divisor derived from them.
#[derive(Default)]
pub struct Members {
    members: BTreeMap<String, Member>,
    /// Gatekeepers that announced their end, and when.
    ended: BTreeMap<String, Millis>,
    /// Since when all markers have counted together; none while they do not.
    agreed_since: Option<Millis>,
    /// The most gatekeepers that were counted of late, and when.
    most_counted: (usize, Millis),
    /// The names that are on disk.
    durable: BTreeSet<String>,
    /// The ticket and the names of the last write.
    last_write: (u64, BTreeSet<String>),
}

impl Members {
    /// Restores the membership from disk; its gatekeepers are missing until a marker reports them.
    pub fn stored(now: Millis, names: Vec<String>) -> Members {
        let remove_at = now + REMOVE_STORED_AFTER;
        let last_heard = signed(now) - signed(MISSING_AFTER);
        let durable: BTreeSet<String> = names.iter().cloned().collect();
        let member =
            |name| (name, Member { attached_to: NOT_ATTACHED, last_heard, remove_at, is_agreed: true });
        Members {
            members: names.into_iter().map(member).collect(),
            durable: durable.clone(),
            last_write: (0, durable),
            ..Members::default()
        }
    }

    /// Returns the names to be written to disk, with a ticket, if they differ from those of the last write.
    pub fn write(&mut self) -> Option<(u64, Vec<String>)> {
        if self.members.keys().eq(&self.last_write.1) {
            return None;
        }
        let names: Vec<String> = self.members.keys().cloned().collect();
        self.last_write = (self.last_write.0 + 1, names.iter().cloned().collect());
        Some((self.last_write.0, names))
    }

    /// Handles that the write with this ticket is on disk.
    pub fn on_written(&mut self, ticket: u64) {
        if ticket == self.last_write.0 {
            self.durable.clone_from(&self.last_write.1);
        }
    }

    /// Whether all markers know the same gatekeepers by now.
    fn are_agreed(&self, now: Millis) -> bool {
        self.agreed_since.is_some_and(|since| now >= since + AGREEMENT_DELAY)
    }

    fn counted(&self) -> impl Iterator<Item = (&String, &Member)> {
        self.members.iter().filter(|(name, member)| member.is_agreed && self.durable.contains(*name))
    }

    /// Takes in a marker's report of all gatekeepers that are attached to it: others that were attached to
    /// it before are attached to none any more. If the marker does not count together with this one
    /// (`counts_together` is false), its gatekeepers stay missing.
    pub fn on_report(&mut self, now: Millis, marker: Ipv4Addr, names: Vec<String>, counts_together: bool) {
        for (name, member) in self.members.iter_mut().filter(|(_, member)| member.attached_to == marker) {
            if !names.contains(name) {
                member.attached_to = NOT_ATTACHED;
            }
        }
        let is_agreed = self.are_agreed(now) || !self.members.values().any(|member| member.is_agreed);
        for name in names {
            self.ended.remove(&name);
            if let Some(member) = self.members.get_mut(&name) {
                member.attached_to = marker;
                if counts_together {
                    (member.last_heard, member.remove_at) = (signed(now), now + REMOVE_AFTER);
                }
            } else if self.members.len() < MEMBERS_MAX {
                let last_heard = signed(now) - if counts_together { 0 } else { signed(MISSING_AFTER) };
                let member =
                    Member { attached_to: marker, last_heard, remove_at: now + REMOVE_AFTER, is_agreed };
                self.members.insert(name, member);
            }
        }
    }

    /// Merges the gatekeepers that another marker misses, each with the time for which it has been missing:
    /// a marker that restarts learns of them this way. The expiry of a gatekeeper that is known already is
    /// not extended.
    pub fn merge_missing(&mut self, now: Millis, missed: Vec<(String, Millis)>) {
        for (name, age) in missed.into_iter().filter(|(_, age)| *age < REMOVE_AFTER) {
            if self.members.len() < MEMBERS_MAX {
                let last_heard = signed(now) - signed(age.max(MISSING_AFTER));
                let remove_at = now + (REMOVE_AFTER - age);
                let member = Member { attached_to: NOT_ATTACHED, last_heard, remove_at, is_agreed: true };
                self.members.entry(name).or_insert(member);
            }
        }
    }

    /// Records that a gatekeeper announced its end `age` ms ago, unless it was heard since.
    pub fn on_end(&mut self, now: Millis, name: &str, age: Millis) {
        let at = now.saturating_sub(age);
        // A marker that has not noticed the end yet may report the gatekeeper once more within that time.
        if self
            .members
            .get(name)
            .is_some_and(|member| age > 0 && member.last_heard > signed(at + MISSING_AFTER))
        {
            return;
        }
        if let Some(member) = self.members.get_mut(name) {
            member.attached_to = NOT_ATTACHED;
        }
        if self.ended.len() < MEMBERS_MAX {
            self.ended.insert(name.to_owned(), at);
        }
    }

    /// Advances to `now`. `all_together` says whether all markers count together, and `heard_at` when each
    /// marker that counts together with this one was last heard. Returns the quota divisor (the number of
    /// gatekeepers, at least 1) and how many of them are missing. If none is missing, all quotas belong to the
    /// gatekeepers in contact whatever their number, and those that have just ended are included.
    pub fn update(
        &mut self,
        now: Millis,
        all_together: bool,
        heard_at: impl Fn(Ipv4Addr) -> Option<Millis>,
    ) -> (u32, u32) {
        self.agreed_since = all_together.then(|| self.agreed_since.unwrap_or(now));
        if self.are_agreed(now) {
            self.members.retain(|name, _| !self.ended.contains_key(name));
            self.members.values_mut().for_each(|member| member.is_agreed = true);
        }
        for member in self.members.values_mut() {
            // A marker that is heard would have reported that it no longer hears one of its gatekeepers.
            if let Some(heard) = heard_at(member.attached_to).filter(|heard| heard + MISSING_AFTER > now) {
                member.last_heard = member.last_heard.max(signed(heard.min(now)));
                member.remove_at = member.remove_at.max(heard.min(now) + REMOVE_AFTER);
            }
        }
        self.members.retain(|_, member| now < member.remove_at);
        self.ended.retain(|_, at| now < *at + REMOVE_AFTER);
        let missed = self.counted().filter(|(_, member)| member.is_missing(now)).count();
        let counted = self.counted().count();
        if counted >= self.most_counted.0 || now >= self.most_counted.1 + SHRINK_DELAY {
            self.most_counted = (counted, now);
        }
        let all = if missed > 0 { counted } else { self.most_counted.0 };
        ((all as u32).max(1), missed as u32)
    }

    /// The missing gatekeepers, and for how long each has been missing, ms.
    pub fn missing(&self, now: Millis) -> Vec<(String, Millis)> {
        let missed = self.counted().filter(|(_, member)| member.is_missing(now));
        missed.map(|(name, member)| (name.clone(), member.age(now))).collect()
    }

    /// The gatekeepers that announced their end and were not heard since, and how long ago, ms.
    pub fn ended(&self, now: Millis) -> Vec<(String, Millis)> {
        self.ended.iter().map(|(name, at)| (name.clone(), now - at)).collect()
    }

    /// Whether any gatekeeper counts for the divisor.
    pub fn any_counted(&self) -> bool {
        self.counted().next().is_some()
    }

    /// The names of the gatekeepers that count for the divisor.
    pub fn names(&self) -> Vec<String> {
        self.counted().map(|(name, _)| name.clone()).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use googletest::prelude::*;

    const HERE: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
    const THERE: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

    fn names(names: &[&str]) -> Vec<String> {
        names.iter().map(|name| (*name).to_owned()).collect()
    }

    /// A time by which the markers have counted together long enough to agree.
    const LATER: Millis = 1_000 + AGREEMENT_DELAY;

    /// Writes the names to a disk that takes no time.
    fn write(members: &mut Members) {
        if let Some((ticket, _)) = members.write() {
            members.on_written(ticket);
        }
    }

    fn together(members: &mut Members, now: Millis) -> (u32, u32) {
        write(members);
        members.update(now, true, |ip| (ip == HERE).then_some(now))
    }

    fn separately(members: &mut Members, now: Millis) -> (u32, u32) {
        write(members);
        members.update(now, false, |ip| (ip == HERE).then_some(now))
    }

    /// Three gatekeepers attached to this marker, known to all.
    fn three() -> Members {
        let mut members = Members::default();
        members.on_report(1_000, HERE, names(&["a", "b", "c"]), true);
        assert_eq!(together(&mut members, 1_000), (3, 0));
        assert_eq!(together(&mut members, LATER), (3, 0));
        members
    }

    #[gtest]
    fn a_silent_gatekeeper_counts_for_ten_minutes_and_an_ended_one_does_not() {
        let mut members = three();
        members.on_report(LATER, HERE, names(&["a", "b", "c"]), true);
        members.on_report(LATER + 1_000, HERE, names(&["a"]), true);
        expect_that!(together(&mut members, LATER + 1_000), eq((3, 2)));
        members.on_end(LATER + 1_100, "b", 0);
        expect_that!(together(&mut members, LATER + 1_100), eq((2, 1)));
        expect_that!(members.missing(LATER + 1_100), elements_are![eq(&("c".to_owned(), 1_100))]);
        expect_that!(together(&mut members, LATER + 599_900).0, eq(2));
        together(&mut members, LATER + 600_000);
        expect_that!(members.names(), eq(&names(&["a"])));
        expect_that!(together(&mut members, LATER + 600_000 + SHRINK_DELAY).0, eq(1));
    }

    #[gtest]
    fn the_divisor_does_not_change_while_markers_count_separately() {
        let mut members = three();
        separately(&mut members, LATER);
        members.on_end(LATER + 100, "a", 0);
        members.on_report(LATER + 200, HERE, names(&["b", "c", "d"]), true);
        expect_that!(separately(&mut members, LATER + 1_000), eq((3, 1)));
        expect_that!(together(&mut members, LATER + 2_000), eq((3, 1)));
        expect_that!(together(&mut members, LATER + 2_000 + AGREEMENT_DELAY), eq((3, 0)));
        expect_that!(members.names(), eq(&names(&["b", "c", "d"])));
    }

    #[gtest]
    fn gatekeepers_of_a_marker_that_counts_separately_are_missing() {
        let mut members = Members::default();
        members.on_report(1_000, THERE, names(&["a", "b"]), true);
        write(&mut members);
        expect_that!(members.update(1_500, true, |_| Some(1_500)), eq((2, 0)));
        members.on_report(2_000, THERE, names(&["a", "b"]), false);
        expect_that!(members.update(2_000, false, |_| None), eq((2, 2)));
    }

    /// Guards against processes that restart together, of which each is told that it is the only one.
    #[gtest]
    fn the_number_stays_for_a_while_when_all_gatekeepers_end_together() {
        let mut members = three();
        ["a", "b", "c"].iter().for_each(|name| members.on_end(LATER, name, 0));
        expect_that!(together(&mut members, LATER), eq((3, 0)));
        members.on_report(LATER + 500, HERE, names(&["a"]), true);
        expect_that!(together(&mut members, LATER + 500), eq((3, 0)));
        expect_that!(together(&mut members, LATER + SHRINK_DELAY), eq((1, 0)));
    }

    #[gtest]
    fn a_gatekeeper_is_counted_once_its_name_is_on_disk() {
        let mut members = three();
        members.on_report(LATER + 100, HERE, names(&["a", "b", "c", "d"]), true);
        let update = |members: &mut Members| members.update(LATER + 100, true, |_| Some(LATER + 100));
        expect_that!(update(&mut members), eq((3, 0)));
        let (first, _) = members.write().unwrap();
        expect_that!(members.write(), none());
        expect_that!(update(&mut members), eq((3, 0)));
        members.on_report(LATER + 100, HERE, names(&["a", "b", "c", "d", "e"]), true);
        let (second, stored) = members.write().unwrap();
        expect_that!(stored, eq(&names(&["a", "b", "c", "d", "e"])));
        members.on_written(first);
        expect_that!(update(&mut members), eq((3, 0)));
        members.on_written(second);
        expect_that!(update(&mut members), eq((5, 0)));
    }

    #[gtest]
    fn stored_gatekeepers_are_missing_until_reported_and_removed_after_a_minute() {
        let mut members = Members::stored(0, names(&["a", "b"]));
        expect_that!(together(&mut members, 0), eq((2, 2)));
        members.on_report(100, HERE, names(&["a"]), true);
        expect_that!(together(&mut members, 100), eq((2, 1)));
        expect_that!(together(&mut members, 60_000), eq((1, 0)));
    }

    #[gtest]
    fn a_late_end_does_not_remove_a_gatekeeper_that_was_heard_since() {
        let mut members = three();
        members.on_report(9_000, HERE, names(&["a"]), true);
        members.on_end(9_000, "a", 5_000);
        members.on_end(9_000, "b", 5_000);
        members.on_end(9_000, "c", 5_000);
        together(&mut members, 9_000);
        expect_that!(members.names(), eq(&names(&["a"])));
        let b = ("b".to_owned(), 5_500);
        expect_true!(members.ended(9_500).contains(&b));
    }
}
