//! Which source of the list to watch, and what to believe of what it tells. No I/O; time is passed in.

use crate::forms::{HostList, Revision, HOSTS};
use granitelead_decisions::ListScope;
use std::collections::{HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Most further sources beside the first.
pub const FURTHER_MAX: usize = 4;
/// Epochs that have been left, as many as are remembered.
const LEFT_MAX: usize = 16;
/// A source that has heard nothing for so long is stale.
pub const STALE: Duration = Duration::from_secs(5);
/// Time for a source to come up to a version that another one was at.
const CATCH_UP: Duration = Duration::from_secs(5);
/// A list that leaves fewer than one in so many servers is looked at twice.
const NEARLY_NONE: usize = 4;

/// What a line of a watch comes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// It is news, and has been noted as the list of now.
    Take(ListScope),
    /// It would leave hardly any server, so another source is to be asked first; nothing has been noted.
    Suspect(ListScope),
    /// Nothing new.
    Repeat,
    /// Not to be believed, nor the source that told it.
    Leave(Odd),
}

/// Why a source is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Odd {
    /// Its version is lower.
    #[error("it is behind the list that is known")]
    Older,
    /// It says that it has heard nothing for long, or does not come up to another.
    #[error("it is stale")]
    Stale,
    /// Its versions are of another line.
    #[error("it tells of another list")]
    OtherList,
    /// Its list would leave next to nobody.
    #[error("it lists hardly any server, another one many")]
    NearlyNone,
}

/// The sources of the list, and what has been heard of them.
pub struct Sources {
    places: Vec<SocketAddr>,
    at: usize,
    rev: u64,
    epoch: Option<u64>,
    /// Epochs that are over, for good.
    left: VecDeque<u64>,
    up: HashSet<String>,
    /// The last version told by the present watch.
    heard: Option<u64>,
    /// The next watch asks for the whole list.
    from_nothing: bool,
    /// The sources have been replaced: the next whole list begins anew.
    moved: bool,
    /// Sources in a row that had nothing to tell that was fit to be believed.
    in_vain: usize,
    /// Whether the present source has given a sign of life that is not stale.
    alive: bool,
    /// Whether it says that it is stale.
    stale: bool,
    /// A version that another source was at, and when the present one has to be there.
    behind: Option<(u64, Instant)>,
}

impl Sources {
    /// The first of `places` comes first; there is one at least.
    pub fn new(places: Vec<SocketAddr>, known: &HostList) -> Sources {
        let up = known.targets.iter().filter(|t| t.is_up()).map(|t| t.uid.clone()).collect();
        Sources {
            places,
            at: 0,
            rev: known.rev,
            epoch: known.epoch,
            left: VecDeque::new(),
            up,
            heard: None,
            from_nothing: false,
            moved: false,
            in_vain: 0,
            alive: false,
            stale: false,
            behind: None,
        }
    }

    /// The sources are others from now on. What is known stays until one of them tells otherwise.
    pub fn move_to(&mut self, places: Vec<SocketAddr>) {
        self.places = places;
        (self.at, self.in_vain, self.moved) = (0, 0, true);
    }

    /// The version and the epoch that are known.
    pub fn known(&self) -> (u64, Option<u64>) {
        (self.rev, self.epoch)
    }

    /// Whether the list comes from a service that other gatekeepers ask as well.
    pub fn are_shared(&self) -> bool {
        self.places.len() > 1 || self.epoch.is_some()
    }

    /// The source to watch, and its number.
    pub fn place(&self) -> (usize, SocketAddr) {
        (self.at, self.places[self.at])
    }

    /// A source beside the one that is watched, `draw` choosing among them.
    pub fn another(&self, draw: usize) -> Option<SocketAddr> {
        let others = self.places.len() - 1;
        (others > 0).then(|| self.places[(self.at + 1 + draw % others) % self.places.len()])
    }

    /// A watch begins: what to ask for.
    pub fn begin(&mut self) -> String {
        (self.heard, self.alive, self.stale, self.behind) = (None, false, false, None);
        match self.epoch {
            _ if self.from_nothing => format!("{HOSTS}?stream=1&index=0"),
            Some(epoch) => format!("{HOSTS}?stream=1&index={}&epoch={epoch}", self.rev),
            None => format!("{HOSTS}?stream=1&index={}", self.rev),
        }
    }

    /// The source said that it is not at the version asked for yet.
    pub fn ahead(&mut self) -> Odd {
        // Without an epoch the version may be one of another list altogether.
        self.from_nothing |= self.epoch.is_none();
        Odd::Older
    }

    /// The watch has ended, or none came about: the next source's turn.
    pub fn ended(&mut self) {
        if !self.alive && !self.stale {
            self.in_vain = self.in_vain.saturating_add(1);
        }
        self.at = (self.at + 1) % self.places.len();
    }

    /// Takes in a line.
    pub fn hear(&mut self, list: &HostList) -> Heard {
        if let Err(odd) = self.believes(list) {
            return Heard::Leave(odd);
        }
        // A watch tells in order what came after the version asked for; only a whole list may begin anew.
        let anew = list.epoch != self.epoch;
        let begins = list.all && (self.heard.is_none() || anew);
        if begins && !anew && list.epoch.is_some() && list.rev == self.rev {
            self.heard = Some(list.rev);
            return Heard::Repeat;
        }
        let last = if begins { None } else { self.heard.or((!list.all).then_some(self.rev)) };
        if last.is_some_and(|last| list.rev <= last) {
            return Heard::Repeat;
        }
        let scope = if list.all { ListScope::Full } else { ListScope::Delta };
        if self.places.len() > 1 && self.leaves_nearly_none(list) {
            return Heard::Suspect(scope);
        }
        self.accept(list);
        Heard::Take(scope)
    }

    /// Whether a line may be of the list that is known, or of one that replaces it.
    fn believes(&mut self, list: &HostList) -> Result<(), Odd> {
        if list.epoch == self.epoch {
            let back = list.all && self.heard.is_none() && list.epoch.is_some() && list.rev < self.rev;
            return if back { Err(Odd::Older) } else { Ok(()) };
        }
        if !list.all {
            self.from_nothing = true;
            return Err(Odd::OtherList);
        }
        let replaces = match (self.epoch, list.epoch) {
            _ if self.moved => true,
            (None, _) => true,
            // The platform's in place of ours: believed only where it is all there is.
            (Some(_), None) => self.places.len() == 1,
            (Some(_), Some(new)) if self.left.contains(&new) => return Err(Odd::Older),
            // The writer may begin an epoch with its clock set back; a mirror of an older one lags.
            (Some(old), Some(new)) => new > old || !list.mirror,
        };
        if replaces {
            return Ok(());
        }
        Err(if list.mirror { Odd::Older } else { Odd::OtherList })
    }

    fn leaves_nearly_none(&self, list: &HostList) -> bool {
        let before = self.up.len();
        let after = match list.all {
            true => list.targets.iter().filter(|t| t.is_up()).count(),
            false => {
                let mut up = self.up.clone();
                apply(&mut up, list);
                up.len()
            }
        };
        before > 1 && after * NEARLY_NONE < before
    }

    /// Whether another source's whole list shows that a suspect one is wrong.
    pub fn refutes(&self, other: &HostList, suspect: &HostList) -> bool {
        let at_least_as_new = other.all && other.epoch == suspect.epoch && other.rev >= suspect.rev;
        at_least_as_new && other.stale_ms.is_none() && !self.leaves_nearly_none(other)
    }

    /// A suspect list holds after all.
    pub fn accept(&mut self, list: &HostList) {
        if list.all {
            self.up.clear();
        }
        apply(&mut self.up, list);
        if let Some(old) = self.epoch.filter(|old| list.epoch.is_some_and(|new| new != *old)) {
            self.left.push_back(old);
            if self.left.len() > LEFT_MAX {
                self.left.pop_front();
            }
            self.behind = None;
        }
        (self.rev, self.epoch, self.heard) = (list.rev, list.epoch, Some(list.rev));
        (self.from_nothing, self.moved) = (false, false);
    }

    /// After each line, and each sign of life without one: whether to go on with this source.
    pub fn goes_on(&mut self, now: Instant, stale_ms: Option<u64>) -> Result<(), Odd> {
        self.stale = stale_ms.is_some_and(|ms| u128::from(ms) >= STALE.as_millis());
        if self.behind.is_some_and(|(rev, until)| self.rev < rev && now >= until) {
            return Err(Odd::Stale);
        }
        if !self.stale {
            (self.alive, self.in_vain) = (true, 0);
        } else if self.in_vain + 1 < self.places.len() {
            self.in_vain += 1;
            return Err(Odd::Stale);
        }
        Ok(())
    }

    /// Another source tells its version: whether the present one is to be left because of that.
    pub fn compare(&mut self, now: Instant, other: &Revision) -> Result<(), Odd> {
        let fresh = u128::from(other.stale_ms) < STALE.as_millis();
        let Some(epoch) = self.epoch.filter(|epoch| fresh && other.epoch >= *epoch) else { return Ok(()) };
        // A later epoch is ahead of any version of this one.
        let rev = if other.epoch > epoch { u64::MAX } else { other.rev };
        if self.stale && rev >= self.rev {
            return Err(Odd::Stale);
        }
        if rev > self.rev && self.behind.is_none() {
            self.behind = Some((rev, now + CATCH_UP));
        }
        Ok(())
    }
}

fn apply(up: &mut HashSet<String>, list: &HostList) {
    for target in &list.targets {
        if target.is_up() {
            up.insert(target.uid.clone());
        } else {
            up.remove(&target.uid);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::forms::Target;

    fn target(uid: &str, state: &str) -> Target {
        let text = format!(r#"{{"uid":"{uid}","endpoint":"127.0.0.1:1","state":"{state}"}}"#);
        serde_json::from_str(&text).unwrap()
    }

    fn whole(epoch: Option<u64>, rev: u64, servers: usize) -> HostList {
        let targets = (0..servers).map(|n| target(&format!("s{n}"), "up")).collect();
        HostList { rev, all: true, epoch, targets, ..HostList::default() }
    }

    fn change(epoch: Option<u64>, rev: u64) -> HostList {
        HostList { rev, epoch, targets: vec![target("s0", "up")], ..HostList::default() }
    }

    fn sources(places: usize) -> Sources {
        let places = (0..places).map(|n| SocketAddr::from(([127, 0, 0, 1], 9_000 + n as u16))).collect();
        Sources::new(places, &HostList::default())
    }

    const FULL: Heard = Heard::Take(ListScope::Full);
    const DELTA: Heard = Heard::Take(ListScope::Delta);

    #[test]
    fn a_lone_source_without_epochs_is_believed_as_ever() {
        let mut it = sources(1);
        assert_eq!(it.begin(), "/discovery/hosts?stream=1&index=0");
        assert_eq!(it.hear(&whole(None, 41, 3)), FULL);
        assert_eq!(it.hear(&whole(None, 41, 3)), Heard::Repeat);
        assert_eq!(it.hear(&change(None, 42)), DELTA);
        assert_eq!(it.hear(&change(None, 42)), Heard::Repeat);
        it.ended();
        assert_eq!(it.begin(), "/discovery/hosts?stream=1&index=42");
        assert_eq!(it.goes_on(Instant::now(), None), Ok(()));
        assert_eq!(it.hear(&change(None, 40)), Heard::Repeat);
        // Begun anew, after a sign of life or a line too old, and empty at that.
        assert_eq!(it.hear(&whole(None, 7, 0)), FULL);
        assert_eq!(it.known(), (7, None));
    }

    #[test]
    fn the_next_source_goes_on_from_the_version_known() {
        let mut it = sources(3);
        it.begin();
        assert_eq!(it.hear(&whole(Some(9), 100, 4)), FULL);
        for place in [1, 2, 0] {
            it.ended();
            assert_eq!(it.place().0, place);
            assert_eq!(it.begin(), "/discovery/hosts?stream=1&index=100&epoch=9");
        }
        assert_eq!(it.hear(&change(Some(9), 101)), DELTA);
    }

    #[test]
    fn an_older_list_of_the_same_epoch_is_never_taken() {
        for places in [1, 2] {
            let mut it = sources(places);
            it.begin();
            assert_eq!(it.hear(&whole(Some(9), 100, 4)), FULL);
            it.ended();
            it.begin();
            assert_eq!(it.hear(&whole(Some(9), 99, 4)), Heard::Leave(Odd::Older));
            it.move_to(it.places.clone());
            it.begin();
            assert_eq!(it.hear(&whole(Some(9), 99, 4)), Heard::Leave(Odd::Older));
            it.begin();
            assert_eq!(it.hear(&whole(Some(9), 100, 4)), Heard::Repeat, "nothing to do");
            assert_eq!(it.hear(&change(Some(9), 101)), DELTA);
        }
    }

    #[test]
    fn a_list_lost_and_begun_anew_is_taken_and_the_old_one_never_again() {
        let mut it = sources(2);
        it.begin();
        assert_eq!(it.hear(&whole(Some(9), 100, 4)), FULL);
        assert_eq!(it.hear(&whole(Some(12), 5, 4)), FULL, "on the same watch, though its version is lower");
        for mirror in [false, true] {
            it.begin();
            let old = HostList { mirror, ..whole(Some(9), 200, 4) };
            assert_eq!(it.hear(&old), Heard::Leave(Odd::Older));
        }
        it.begin();
        let lags = HostList { mirror: true, ..whole(Some(11), 200, 4) };
        assert_eq!(it.hear(&lags), Heard::Leave(Odd::Older), "a mirror of an epoch between the two");
        it.begin();
        assert_eq!(it.hear(&whole(Some(11), 1, 4)), FULL, "the writer, its clock set back");
        it.begin();
        assert_eq!(it.hear(&change(Some(14), 300)), Heard::Leave(Odd::OtherList));
        assert_eq!(it.begin(), "/discovery/hosts?stream=1&index=0");
    }

    #[test]
    fn a_list_without_epoch_replaces_one_with_an_epoch_only_alone_or_after_a_move() {
        for (places, moved, heard) in
            [(1, false, FULL), (2, false, Heard::Leave(Odd::OtherList)), (2, true, FULL)]
        {
            let mut it = sources(places);
            it.begin();
            assert_eq!(it.hear(&whole(Some(9), 100, 4)), FULL);
            if moved {
                it.move_to(it.places.clone());
            }
            it.begin();
            assert_eq!(it.hear(&whole(None, 3, 4)), heard, "{places} {moved}");
        }
    }

    #[test]
    fn memory_of_epochs_is_bounded() {
        let mut it = sources(2);
        for epoch in 1..100 {
            it.begin();
            assert_eq!(it.hear(&whole(Some(epoch), 1, 4)), FULL);
        }
        assert_eq!(it.left.len(), LEFT_MAX);
    }

    #[test]
    fn a_list_of_hardly_any_server_is_suspect_where_another_source_can_be_asked() {
        let mut gone = change(Some(9), 101);
        gone.targets = (0..7).map(|n| target(&format!("s{n}"), "removed")).collect();
        for suspect in [whole(Some(9), 101, 0), whole(Some(9), 101, 1), gone] {
            for (places, suspected) in [(1, false), (2, true)] {
                let mut it = sources(places);
                it.begin();
                assert_eq!(it.hear(&whole(Some(9), 100, 8)), FULL);
                it.begin();
                assert_eq!(matches!(it.hear(&suspect), Heard::Suspect(_)), suspected);
                if suspected {
                    assert_eq!(it.known().0, 100, "nothing noted yet");
                    assert!(it.refutes(&whole(Some(9), 101, 8), &suspect));
                    assert!(!it.refutes(&whole(Some(9), 100, 8), &suspect), "older");
                    assert!(!it.refutes(&whole(Some(8), 101, 8), &suspect), "another list");
                    assert!(!it.refutes(&whole(Some(9), 102, 1), &suspect), "as empty");
                    let stale = HostList { stale_ms: Some(9_000), ..whole(Some(9), 101, 8) };
                    assert!(!it.refutes(&stale, &suspect), "stale");
                    it.accept(&suspect);
                    assert_eq!(it.known().0, 101);
                }
            }
        }
        let mut it = sources(2);
        it.begin();
        assert_eq!(it.hear(&whole(Some(9), 100, 8)), FULL);
        assert_eq!(it.hear(&whole(Some(9), 101, 2)), FULL, "a quarter is no emptiness");
    }

    #[test]
    fn a_stale_source_is_left_unless_all_others_were_in_vain() {
        let (now, stale) = (Instant::now(), Some(6_000));
        let mut it = sources(3);
        it.begin();
        assert_eq!(it.hear(&whole(Some(9), 100, 4)), FULL);
        assert_eq!(it.goes_on(now, Some(1_000)), Ok(()), "a moment is not stale");
        for place in [0, 1] {
            assert_eq!((it.place().0, it.goes_on(now, stale)), (place, Err(Odd::Stale)));
            it.ended();
            it.begin();
        }
        assert_eq!(it.goes_on(now, stale), Ok(()), "better than none");
        let fresh = Revision { rev: 100, epoch: 9, stale_ms: 0 };
        assert_eq!(it.compare(now, &Revision { stale_ms: 7_000, ..fresh.clone() }), Ok(()));
        assert_eq!(it.compare(now, &fresh), Err(Odd::Stale));
        it.ended();
        it.begin();
        assert_eq!(it.goes_on(now, None), Ok(()));
        assert_eq!(it.goes_on(now, stale), Err(Odd::Stale), "all others may be better again");
    }

    #[test]
    fn a_source_that_does_not_come_up_to_another_is_left() {
        let (now, later) = (Instant::now(), Instant::now() + CATCH_UP);
        for (other, told, left) in [
            (Revision { rev: 103, epoch: 9, stale_ms: 0 }, 102, true),
            (Revision { rev: 103, epoch: 9, stale_ms: 0 }, 103, false),
            (Revision { rev: 5, epoch: 10, stale_ms: 0 }, 103, true),
            (Revision { rev: 500, epoch: 8, stale_ms: 0 }, 101, false),
            (Revision { rev: 500, epoch: 9, stale_ms: 60_000 }, 101, false),
        ] {
            let mut it = sources(2);
            it.begin();
            assert_eq!(it.hear(&whole(Some(9), 100, 4)), FULL);
            assert_eq!(it.compare(now, &other), Ok(()));
            assert_eq!(it.goes_on(now, None), Ok(()), "it has its time");
            assert_eq!(it.hear(&change(Some(9), told)), DELTA);
            assert_eq!(it.goes_on(later, None).is_err(), left, "{other:?}");
        }
    }
}
