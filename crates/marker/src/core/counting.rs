//! With which other markers this one counts quotas together: a group in which each hears each.
//!
//! The part of a gatekeeper that uses little may be used by the others that hear of it. Were it heard by two that do not
//! hear each other, both would use the same part. So the markers fall into groups in which all hear each other, each
//! is in one group only, and what comes from outside the own group is not counted.

use super::{Core, Heard};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

/// What each marker hears, by what it says itself.
type Hearing<'a> = BTreeMap<Ipv4Addr, &'a [Ipv4Addr]>;

fn hear_each_other(hearing: &Hearing, a: Ipv4Addr, b: Ipv4Addr) -> bool {
    let hears = |x: &Ipv4Addr, y: &Ipv4Addr| hearing.get(x).is_some_and(|others| others.contains(y));
    hears(&a, &b) && hears(&b, &a)
}

/// The group of one marker. All that know the same come to the same groups: the lowest address begins one, and each further
/// one joins it that hears all in it and is heard by them; so on with those that are left.
fn group_of(hearing: &Hearing, me: Ipv4Addr) -> BTreeSet<Ipv4Addr> {
    let mut left: BTreeSet<Ipv4Addr> = hearing.keys().copied().collect();
    loop {
        let mut group = BTreeSet::new();
        for ip in &left {
            if group.iter().all(|other| hear_each_other(hearing, *ip, *other)) {
                group.insert(*ip);
            }
        }
        if group.contains(&me) || group.is_empty() {
            return group;
        }
        left.retain(|ip| !group.contains(ip));
    }
}

impl Core {
    /// The other markers of this one's group, as far as is known here.
    pub(super) fn group(&self) -> BTreeSet<Ipv4Addr> {
        let (me, live) = (self.me().ip, self.live());
        let lately = self.heard.iter().filter(|(_, heard)| heard.lately(self.now));
        let mut hearing: Hearing = lately.map(|(ip, heard)| (*ip, heard.hears.as_slice())).collect();
        hearing.insert(me, &live);
        let mut group = group_of(&hearing, me);
        group.remove(&me);
        group
    }

    /// The markers with which this one counts together: those of its group that say that it is in theirs.
    pub fn counts_with(&self) -> BTreeSet<Ipv4Addr> {
        let mut group = self.group();
        let says = |heard: &Heard| heard.standing.group.contains(&self.me().ip);
        group.retain(|ip| self.heard.get(ip).is_some_and(says));
        group
    }

    /// Whether all of the core and all others that were heard of late count together with this marker.
    pub fn all_count_together(&self, counts_with: &BTreeSet<Ipv4Addr>) -> bool {
        let Some(epoch) = self.agreement.epoch() else { return false };
        let core = epoch.core.iter().map(|node| node.ip);
        let stays = |heard: &&Heard| heard.at.is_some() && !heard.standing.is_leaving;
        let heard = self.heard.values().filter(stays).map(|heard| heard.node.ip);
        core.chain(heard).all(|ip| ip == self.me().ip || counts_with.contains(&ip))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use googletest::prelude::*;

    fn ip(n: u8) -> Ipv4Addr {
        Ipv4Addr::new(10, 0, 0, n)
    }

    /// The group of one among markers that hear each other but for the links that are named, from and to.
    fn group(markers: u8, deaf: &[(u8, u8)], me: u8) -> Vec<u8> {
        let hears = |to: u8| {
            let others = (1..=markers).filter(|from| *from != to && !deaf.contains(&(*from, to)));
            others.map(ip).collect::<Vec<_>>()
        };
        let all: Vec<(Ipv4Addr, Vec<Ipv4Addr>)> = (1..=markers).map(|n| (ip(n), hears(n))).collect();
        let hearing: Hearing = all.iter().map(|(ip, others)| (*ip, others.as_slice())).collect();
        group_of(&hearing, ip(me)).into_iter().map(|ip| ip.octets()[3]).collect()
    }

    #[gtest]
    fn all_that_hear_each_other_are_one_group() {
        expect_that!(group(4, &[], 3), eq(&vec![1, 2, 3, 4]));
    }

    #[gtest]
    fn one_that_is_not_heard_or_does_not_hear_counts_alone() {
        expect_that!(group(3, &[(3, 1), (3, 2)], 3), eq(&vec![3]));
        expect_that!(group(3, &[(1, 3), (2, 3)], 3), eq(&vec![3]));
        expect_that!(group(3, &[(3, 1), (3, 2)], 2), eq(&vec![1, 2]));
    }

    #[gtest]
    fn a_marker_between_two_that_do_not_hear_each_other_counts_with_one_of_them() {
        let cut = [(1, 3), (3, 1)];
        expect_that!(group(3, &cut, 1), eq(&vec![1, 2]));
        expect_that!(group(3, &cut, 2), eq(&vec![1, 2]));
        expect_that!(group(3, &cut, 3), eq(&vec![3]));
    }
}
