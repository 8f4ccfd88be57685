//! Determines the group of markers with which this one adds up quota usage: markers that all hear
//! each other.
//!
//! Gatekeepers may use the unused share of another gatekeeper. If its reports reached two markers
//! that do not hear each other, the same share would be given out twice. Therefore the markers are
//! partitioned into groups in which every pair hears each other, and reports from outside the own
//! group are ignored.

use super::{Core, Peer};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

/// For each marker, the markers that it reports as alive.
type Hearing<'a> = BTreeMap<Ipv4Addr, &'a [Ipv4Addr]>;

fn hear_each_other(hearing: &Hearing, a: Ipv4Addr, b: Ipv4Addr) -> bool {
    let hears = |x: &Ipv4Addr, y: &Ipv4Addr| hearing.get(x).is_some_and(|others| others.contains(y));
    hears(&a, &b) && hears(&b, &a)
}

/// The group of one marker. The result depends only on `hearing`, so all markers with the same view
/// agree: the lowest address starts a group, and each further marker joins if it and all members
/// hear each other. The remaining markers are partitioned the same way.
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
    /// The other markers of this marker's group, according to its own view.
    pub(super) fn group(&self) -> BTreeSet<Ipv4Addr> {
        let (me, live) = (self.me().ip, self.live_markers());
        let alive = self.peers.iter().filter(|(_, peer)| peer.is_alive(self.now));
        let mut hearing: Hearing = alive.map(|(ip, peer)| (*ip, peer.hears.as_slice())).collect();
        hearing.insert(me, &live);
        let mut group = group_of(&hearing, me);
        group.remove(&me);
        group
    }

    /// The markers with which this one adds up usage: members of its group that also report it as a
    /// member of theirs.
    pub fn quota_group(&self) -> BTreeSet<Ipv4Addr> {
        let mut group = self.group();
        let confirms = |peer: &Peer| peer.standing.group.contains(&self.me().ip);
        group.retain(|ip| self.peers.get(ip).is_some_and(confirms));
        group
    }

    /// Whether `counts_with` covers the whole core and every marker heard from that is not shutting
    /// down.
    pub fn quota_group_is_complete(&self, counts_with: &BTreeSet<Ipv4Addr>) -> bool {
        let Some(epoch) = self.agreement.epoch() else { return false };
        let core = epoch.core.iter().map(|node| node.ip);
        let staying = |peer: &&Peer| peer.last_heard.is_some() && !peer.standing.is_leaving;
        let others = self.peers.values().filter(staying).map(|peer| peer.node.ip);
        core.chain(others).all(|ip| ip == self.me().ip || counts_with.contains(&ip))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use googletest::prelude::*;

    fn ip(n: u8) -> Ipv4Addr {
        Ipv4Addr::new(10, 0, 0, n)
    }

    /// The group of `me` among markers that all hear each other, except over the links `deaf`,
    /// given as (from, to).
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
    fn markers_that_all_hear_each_other_form_one_group() {
        expect_that!(group(4, &[], 3), eq(&vec![1, 2, 3, 4]));
    }

    #[gtest]
    fn an_isolated_or_one_way_cut_marker_is_alone_in_its_group() {
        expect_that!(group(3, &[(3, 1), (3, 2)], 3), eq(&vec![3]));
        expect_that!(group(3, &[(1, 3), (2, 3)], 3), eq(&vec![3]));
        expect_that!(group(3, &[(3, 1), (3, 2)], 2), eq(&vec![1, 2]));
    }

    #[gtest]
    fn a_marker_between_two_that_do_not_hear_each_other_joins_only_one_of_them() {
        let cut = [(1, 3), (3, 1)];
        expect_that!(group(3, &cut, 1), eq(&vec![1, 2]));
        expect_that!(group(3, &cut, 2), eq(&vec![1, 2]));
        expect_that!(group(3, &cut, 3), eq(&vec![3]));
    }
}
