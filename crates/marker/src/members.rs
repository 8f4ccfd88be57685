//! The gatekeepers that share all quotas: which there are, and which of them are not heard.
//!
//! A gatekeeper that is not heard may be cut off and go on with its even part of each quota, so the others leave it that
//! part. It is counted until its process has said that it ends, or for a long time: silence is no end. Names are kept on
//! disk, so that a controller that starts again also knows of those that can't reach it.
//!
//! The parts add up to the whole only where all controllers divide by the same number. So that changes only while all of
//! them count together: until then the part of one that has ended is nobody's, and one that comes anew has none of its own,
//! but is let in on what those have that it counts with.

use crate::parts::Millis;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// A gatekeeper that no controller has heard for so long is missed.
const MISSED: Millis = 400;
/// One that is missed is forgotten after so long.
const FORGET: Millis = 600_000;
/// The same for one that is known from the disk only: it may have ended meanwhile.
const FORGET_STORED: Millis = 60_000;
/// After all controllers have counted together for so long, all know the same gatekeepers.
const AGREED: Millis = 1_500;
/// Gatekeepers that are known at once.
const MEMBERS_MAX: usize = 20_000;
/// The home of one that is missed.
const NOBODY: Ipv4Addr = Ipv4Addr::UNSPECIFIED;

struct Member {
    home: Ipv4Addr,
    /// When it was heard last: before this process began, where that is negative.
    heard: i64,
    forget_at: Millis,
    /// Whether the number by which all divide holds it.
    is_counted: bool,
}

impl Member {
    fn age(&self, now: Millis) -> Millis {
        (signed(now) - self.heard).max(0).unsigned_abs()
    }

    fn is_missed(&self, now: Millis) -> bool {
        self.age(now) >= MISSED
    }
}

fn signed(time: Millis) -> i64 {
    i64::try_from(time).unwrap_or(i64::MAX)
}

/// The gatekeepers that share all quotas.
#[derive(Default)]
pub struct Members {
    members: BTreeMap<String, Member>,
    /// Gatekeepers that said that they end, and when.
    ended: BTreeMap<String, Millis>,
    /// Since when all controllers count together, where they do.
    agreed_since: Option<Millis>,
}

impl Members {
    /// Those that are known from the disk are missed until a controller names them.
    pub fn stored(now: Millis, names: Vec<String>) -> Members {
        let forget_at = now + FORGET_STORED;
        let heard = signed(now) - signed(MISSED);
        let member = |name| (name, Member { home: NOBODY, heard, forget_at, is_counted: true });
        Members { members: names.into_iter().map(member).collect(), ..Members::default() }
    }

    /// Whether all controllers know the same gatekeepers.
    fn are_agreed(&self, now: Millis) -> bool {
        self.agreed_since.is_some_and(|since| now >= since + AGREED)
    }

    fn counted(&self) -> impl Iterator<Item = (&String, &Member)> {
        self.members.iter().filter(|(_, member)| member.is_counted)
    }

    /// A controller names all gatekeepers whose home it is: others whose home it was are heard no more. Those of one that
    /// does not count together with this one stay missed.
    pub fn take(&mut self, now: Millis, home: Ipv4Addr, names: Vec<String>, is_near: bool) {
        for (name, member) in self.members.iter_mut().filter(|(_, member)| member.home == home) {
            if !names.contains(name) {
                member.home = NOBODY;
            }
        }
        let is_counted = self.are_agreed(now) || self.counted().next().is_none();
        for name in names {
            self.ended.remove(&name);
            if let Some(member) = self.members.get_mut(&name) {
                member.home = home;
                if is_near {
                    (member.heard, member.forget_at) = (signed(now), now + FORGET);
                }
            } else if self.members.len() < MEMBERS_MAX {
                let heard = signed(now) - if is_near { 0 } else { signed(MISSED) };
                let member = Member { home, heard, forget_at: now + FORGET, is_counted };
                self.members.insert(name, member);
            }
        }
    }

    /// Another controller misses these, for so long each: one that starts again learns of them; nobody's time begins anew.
    pub fn learn_missed(&mut self, now: Millis, missed: Vec<(String, Millis)>) {
        for (name, age) in missed.into_iter().filter(|(_, age)| *age < FORGET) {
            if self.members.len() < MEMBERS_MAX {
                let heard = signed(now) - signed(age.max(MISSED));
                let forget_at = now + (FORGET - age);
                let member = Member { home: NOBODY, heard, forget_at, is_counted: true };
                self.members.entry(name).or_insert(member);
            }
        }
    }

    /// A gatekeeper said so long ago that it ends, unless it was heard since.
    pub fn end(&mut self, now: Millis, name: &str, age: Millis) {
        let at = now.saturating_sub(age);
        // One whose home has not noticed yet is named once more within that time.
        if self.members.get(name).is_some_and(|member| age > 0 && member.heard > signed(at + MISSED)) {
            return;
        }
        if let Some(member) = self.members.get_mut(name) {
            member.home = NOBODY;
        }
        if self.ended.len() < MEMBERS_MAX {
            self.ended.insert(name.to_owned(), at);
        }
    }

    /// Time passes; `all_together` says whether all controllers count together, and `heard_at` when each that counts together
    /// with this one was heard last. Gives by how many gatekeepers all divide, one at the least, and how many of them are
    /// missed.
    pub fn look(
        &mut self,
        now: Millis,
        all_together: bool,
        heard_at: impl Fn(Ipv4Addr) -> Option<Millis>,
    ) -> (u32, u32) {
        self.agreed_since = all_together.then(|| self.agreed_since.unwrap_or(now));
        if self.are_agreed(now) {
            self.members.retain(|name, _| !self.ended.contains_key(name));
            self.members.values_mut().for_each(|member| member.is_counted = true);
        }
        for member in self.members.values_mut() {
            // A controller that is heard would have said that one of its gatekeepers is not.
            if let Some(heard) = heard_at(member.home).filter(|heard| heard + MISSED > now) {
                member.heard = member.heard.max(signed(heard.min(now)));
                member.forget_at = member.forget_at.max(heard.min(now) + FORGET);
            }
        }
        self.members.retain(|_, member| now < member.forget_at);
        self.ended.retain(|_, at| now < *at + FORGET);
        let missed = self.counted().filter(|(_, member)| member.is_missed(now)).count();
        ((self.counted().count() as u32).max(1), missed as u32)
    }

    /// Those that are missed, and for how long each.
    pub fn missed(&self, now: Millis) -> Vec<(String, Millis)> {
        let missed = self.counted().filter(|(_, member)| member.is_missed(now));
        missed.map(|(name, member)| (name.clone(), member.age(now))).collect()
    }

    /// Those that said that they end and were not heard since, and how long ago.
    pub fn ended(&self, now: Millis) -> Vec<(String, Millis)> {
        self.ended.iter().map(|(name, at)| (name.clone(), now - at)).collect()
    }

    /// The names of those that are counted.
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

    /// Such a time after the controllers have come to count together.
    const LATER: Millis = 1_000 + AGREED;

    fn together(members: &mut Members, now: Millis) -> (u32, u32) {
        members.look(now, true, |ip| (ip == HERE).then_some(now))
    }

    fn apart(members: &mut Members, now: Millis) -> (u32, u32) {
        members.look(now, false, |ip| (ip == HERE).then_some(now))
    }

    /// Three gatekeepers here, known to all.
    fn three() -> Members {
        let mut members = Members::default();
        members.take(1_000, HERE, names(&["a", "b", "c"]), true);
        assert_eq!(together(&mut members, 1_000), (3, 0));
        assert_eq!(together(&mut members, LATER), (3, 0));
        members
    }

    #[gtest]
    fn one_that_falls_silent_is_counted_for_ten_minutes_and_one_that_ends_is_not() {
        let mut members = three();
        members.take(LATER, HERE, names(&["a", "b", "c"]), true);
        members.take(LATER + 1_000, HERE, names(&["a"]), true);
        expect_that!(together(&mut members, LATER + 1_000), eq((3, 2)));
        members.end(LATER + 1_100, "b", 0);
        expect_that!(together(&mut members, LATER + 1_100), eq((2, 1)));
        expect_that!(members.missed(LATER + 1_100), elements_are![eq(&("c".to_owned(), 1_100))]);
        expect_that!(together(&mut members, LATER + 599_900).0, eq(2));
        expect_that!(together(&mut members, LATER + 600_000).0, eq(1));
    }

    #[gtest]
    fn the_number_by_which_all_divide_stands_while_they_count_apart() {
        let mut members = three();
        apart(&mut members, LATER);
        members.end(LATER + 100, "a", 0);
        members.take(LATER + 200, HERE, names(&["b", "c", "d"]), true);
        expect_that!(apart(&mut members, LATER + 1_000), eq((3, 1)));
        expect_that!(together(&mut members, LATER + 2_000), eq((3, 1)));
        expect_that!(together(&mut members, LATER + 2_000 + AGREED), eq((3, 0)));
        expect_that!(members.names(), eq(&names(&["b", "c", "d"])));
    }

    #[gtest]
    fn those_of_a_controller_that_counts_apart_are_missed() {
        let mut members = Members::default();
        members.take(1_000, THERE, names(&["a", "b"]), true);
        expect_that!(members.look(1_500, true, |_| Some(1_500)), eq((2, 0)));
        members.take(2_000, THERE, names(&["a", "b"]), false);
        expect_that!(members.look(2_000, false, |_| None), eq((2, 2)));
    }

    #[gtest]
    fn those_on_disk_are_missed_until_they_are_named_and_for_a_minute_at_the_most() {
        let mut members = Members::stored(0, names(&["a", "b"]));
        expect_that!(together(&mut members, 0), eq((2, 2)));
        members.take(100, HERE, names(&["a"]), true);
        expect_that!(together(&mut members, 100), eq((2, 1)));
        expect_that!(together(&mut members, 60_000), eq((1, 0)));
    }

    #[gtest]
    fn an_end_that_is_told_late_ends_nobody_who_was_heard_since() {
        let mut members = three();
        members.take(9_000, HERE, names(&["a"]), true);
        members.end(9_000, "a", 5_000);
        members.end(9_000, "b", 5_000);
        members.end(9_000, "c", 5_000);
        together(&mut members, 9_000);
        expect_that!(members.names(), eq(&names(&["a"])));
        let b = ("b".to_owned(), 5_500);
        expect_true!(members.ended(9_500).contains(&b));
    }
}
