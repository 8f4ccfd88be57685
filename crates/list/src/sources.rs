//! Chooses which source of the server list to watch and which of its updates to apply. Performs no I/O; the
//! caller passes the time in.

use crate::messages::{HostList, Revision, HOSTS_PATH};
use granitelead_decisions::ListScope;
use std::collections::{HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Maximum number of sources in addition to the first one.
pub const FURTHER_SOURCES_MAX: usize = 4;
/// Maximum number of former epochs that are remembered.
const RETIRED_EPOCHS_MAX: usize = 16;
/// A source that has had no contact with the origin of the list for this long is stale.
pub const STALE_AFTER: Duration = Duration::from_secs(5);
/// Time in which the watched source has to reach a version that another source already has.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(5);
/// An update that leaves fewer than one in this many servers up is verified with another source.
const NEARLY_EMPTY_RATIO: usize = 4;

/// What to do with an update received from a watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpdateDecision {
    /// Apply it; it has been recorded as the current list.
    Apply(ListScope),
    /// Verify it with another source first, as it would leave hardly any server up; nothing has been
    /// recorded.
    Verify(ListScope),
    /// Ignore it; it contains nothing new.
    Duplicate,
    /// Reject it and switch to another source.
    Reject(SourceError),
}

/// Why a source is abandoned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum SourceError {
    /// Its list is older than the current one.
    #[error("the source is behind the current list")]
    Outdated,
    /// It reports that its list is stale, or did not catch up with another source in time.
    #[error("the source is stale")]
    Stale,
    /// Its list has another epoch.
    #[error("the source has a list of another epoch")]
    OtherList,
    /// Its list is nearly empty while another source's list is not.
    #[error("the source lists hardly any servers, another source lists many")]
    NearlyEmpty,
}

/// The sources of the list and the state of the list received from them.
pub struct Sources {
    addresses: Vec<SocketAddr>,
    /// Index of the source that is watched.
    current: usize,
    rev: u64,
    epoch: Option<u64>,
    /// Former epochs, whose lists are never accepted again.
    retired_epochs: VecDeque<u64>,
    /// Names of the servers that are up.
    up: HashSet<String>,
    /// Last version received from the current watch.
    last_rev: Option<u64>,
    /// Whether the next watch requests the full list.
    request_full_list: bool,
    /// Whether the sources have been replaced, so that the next full list is accepted with any epoch.
    were_replaced: bool,
    /// Number of consecutive sources that gave no usable update.
    failures_in_a_row: usize,
    /// Whether the current source has sent an update or a heartbeat while it was not stale.
    is_alive: bool,
    /// Whether the current source reports that its list is stale.
    is_stale: bool,
    /// A version that another source has, and the deadline for the current source to reach it.
    catch_up: Option<(u64, Instant)>,
}

impl Sources {
    /// Starts with the first of `addresses`, which must not be empty, and with `known` as the current list.
    pub fn new(addresses: Vec<SocketAddr>, known: &HostList) -> Sources {
        let up = known.targets.iter().filter(|t| t.is_up()).map(|t| t.uid.clone()).collect();
        Sources {
            addresses,
            current: 0,
            rev: known.rev,
            epoch: known.epoch,
            retired_epochs: VecDeque::new(),
            up,
            last_rev: None,
            request_full_list: false,
            were_replaced: false,
            failures_in_a_row: 0,
            is_alive: false,
            is_stale: false,
            catch_up: None,
        }
    }

    /// Replaces the sources. The current list stays until one of them sends another one.
    pub fn replace(&mut self, addresses: Vec<SocketAddr>) {
        self.addresses = addresses;
        (self.current, self.failures_in_a_row, self.were_replaced) = (0, 0, true);
    }

    /// The version and the epoch of the current list.
    pub fn known(&self) -> (u64, Option<u64>) {
        (self.rev, self.epoch)
    }

    /// Whether the list comes from a service that other gatekeepers use as well.
    pub fn are_shared(&self) -> bool {
        self.addresses.len() > 1 || self.epoch.is_some()
    }

    /// The source to watch: its index and address.
    pub fn current(&self) -> (usize, SocketAddr) {
        (self.current, self.addresses[self.current])
    }

    /// A source other than the current one, selected by the random number `draw`.
    pub fn pick_other(&self, draw: usize) -> Option<SocketAddr> {
        let others = self.addresses.len() - 1;
        (others > 0).then(|| self.addresses[(self.current + 1 + draw % others) % self.addresses.len()])
    }

    /// Starts a watch and returns the path and query to request.
    pub fn start_watch(&mut self) -> String {
        (self.last_rev, self.is_alive, self.is_stale, self.catch_up) = (None, false, false, None);
        match self.epoch {
            _ if self.request_full_list => format!("{HOSTS_PATH}?stream=1&index=0"),
            Some(epoch) => format!("{HOSTS_PATH}?stream=1&index={}&epoch={epoch}", self.rev),
            None => format!("{HOSTS_PATH}?stream=1&index={}", self.rev),
        }
    }

    /// Handles the response that the source has not reached the requested version.
    pub fn on_version_ahead(&mut self) -> SourceError {
        // Without an epoch the current version may belong to a different list, so the full list is requested
        // next.
        self.request_full_list |= self.epoch.is_none();
        SourceError::Outdated
    }

    /// Switches to the next source after a watch has ended or failed.
    pub fn advance(&mut self) {
        if !self.is_alive && !self.is_stale {
            self.failures_in_a_row = self.failures_in_a_row.saturating_add(1);
        }
        self.current = (self.current + 1) % self.addresses.len();
    }

    /// Decides what to do with an update, and records it if it is to be applied.
    pub fn evaluate(&mut self, list: &HostList) -> UpdateDecision {
        if let Err(error) = self.check_epoch(list) {
            return UpdateDecision::Reject(error);
        }
        // A watch sends the versions after the requested one in order; only a full list may start over.
        let is_new_epoch = list.epoch != self.epoch;
        let starts_over = list.all && (self.last_rev.is_none() || is_new_epoch);
        if starts_over && !is_new_epoch && list.epoch.is_some() && list.rev == self.rev {
            self.last_rev = Some(list.rev);
            return UpdateDecision::Duplicate;
        }
        let last = if starts_over { None } else { self.last_rev.or((!list.all).then_some(self.rev)) };
        if last.is_some_and(|last| list.rev <= last) {
            return UpdateDecision::Duplicate;
        }
        let scope = if list.all { ListScope::Full } else { ListScope::Delta };
        if self.addresses.len() > 1 && self.leaves_nearly_empty(list) {
            return UpdateDecision::Verify(scope);
        }
        self.accept(list);
        UpdateDecision::Apply(scope)
    }

    /// Checks that an update belongs to the current list or to one that may replace it.
    fn check_epoch(&mut self, list: &HostList) -> Result<(), SourceError> {
        if list.epoch == self.epoch {
            let is_older = list.all && self.last_rev.is_none() && list.epoch.is_some() && list.rev < self.rev;
            return if is_older { Err(SourceError::Outdated) } else { Ok(()) };
        }
        if !list.all {
            self.request_full_list = true;
            return Err(SourceError::OtherList);
        }
        let may_replace = match (self.epoch, list.epoch) {
            _ if self.were_replaced => true,
            (None, _) => true,
            // A list of the platform's own discovery replaces one with an epoch only if it is the only
            // source.
            (Some(_), None) => self.addresses.len() == 1,
            (Some(_), Some(new)) if self.retired_epochs.contains(&new) => return Err(SourceError::Outdated),
            // The writer may start an epoch after its clock was set back; a mirror with an older epoch lags
            // behind.
            (Some(old), Some(new)) => new > old || !list.mirror,
        };
        if may_replace {
            return Ok(());
        }
        Err(if list.mirror { SourceError::Outdated } else { SourceError::OtherList })
    }

    fn leaves_nearly_empty(&self, list: &HostList) -> bool {
        let before = self.up.len();
        let after = match list.all {
            true => list.targets.iter().filter(|t| t.is_up()).count(),
            false => {
                let mut up = self.up.clone();
                apply(&mut up, list);
                up.len()
            }
        };
        before > 1 && after * NEARLY_EMPTY_RATIO < before
    }

    /// Whether the full list of another source shows that a nearly empty one is wrong.
    pub fn refutes(&self, other: &HostList, suspect: &HostList) -> bool {
        let at_least_as_new = other.all && other.epoch == suspect.epoch && other.rev >= suspect.rev;
        at_least_as_new && other.stale_ms.is_none() && !self.leaves_nearly_empty(other)
    }

    /// Records an update as part of the current list.
    pub fn accept(&mut self, list: &HostList) {
        if list.all {
            self.up.clear();
        }
        apply(&mut self.up, list);
        if let Some(old) = self.epoch.filter(|old| list.epoch.is_some_and(|new| new != *old)) {
            self.retired_epochs.push_back(old);
            if self.retired_epochs.len() > RETIRED_EPOCHS_MAX {
                self.retired_epochs.pop_front();
            }
            self.catch_up = None;
        }
        (self.rev, self.epoch, self.last_rev) = (list.rev, list.epoch, Some(list.rev));
        (self.request_full_list, self.were_replaced) = (false, false);
    }

    /// Checks after each update and each heartbeat whether to stay with the current source.
    pub fn check_source(&mut self, now: Instant, stale_ms: Option<u64>) -> Result<(), SourceError> {
        self.is_stale = stale_ms.is_some_and(|ms| u128::from(ms) >= STALE_AFTER.as_millis());
        if self.catch_up.is_some_and(|(rev, deadline)| self.rev < rev && now >= deadline) {
            return Err(SourceError::Stale);
        }
        if !self.is_stale {
            (self.is_alive, self.failures_in_a_row) = (true, 0);
        } else if self.failures_in_a_row + 1 < self.addresses.len() {
            self.failures_in_a_row += 1;
            return Err(SourceError::Stale);
        }
        Ok(())
    }

    /// Checks whether the current source is to be abandoned given the version that another source has.
    pub fn compare(&mut self, now: Instant, other: &Revision) -> Result<(), SourceError> {
        let is_fresh = u128::from(other.stale_ms) < STALE_AFTER.as_millis();
        let Some(epoch) = self.epoch.filter(|epoch| is_fresh && other.epoch >= *epoch) else { return Ok(()) };
        // A later epoch is ahead of every version of the current one.
        let rev = if other.epoch > epoch { u64::MAX } else { other.rev };
        if self.is_stale && rev >= self.rev {
            return Err(SourceError::Stale);
        }
        if rev > self.rev && self.catch_up.is_none() {
            self.catch_up = Some((rev, now + CATCH_UP_TIMEOUT));
        }
        Ok(())
    }
}

/// Applies an update to the set of servers that are up.
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
    use crate::messages::Target;

    fn target(uid: &str, state: &str) -> Target {
        let text = format!(r#"{{"uid":"{uid}","endpoint":"127.0.0.1:1","state":"{state}"}}"#);
        serde_json::from_str(&text).unwrap()
    }

    fn full_list(epoch: Option<u64>, rev: u64, servers: usize) -> HostList {
        let targets = (0..servers).map(|n| target(&format!("s{n}"), "up")).collect();
        HostList { rev, all: true, epoch, targets, ..HostList::default() }
    }

    fn delta(epoch: Option<u64>, rev: u64) -> HostList {
        HostList { rev, epoch, targets: vec![target("s0", "up")], ..HostList::default() }
    }

    fn new_sources(addresses: usize) -> Sources {
        let addresses =
            (0..addresses).map(|n| SocketAddr::from(([127, 0, 0, 1], 9_000 + n as u16))).collect();
        Sources::new(addresses, &HostList::default())
    }

    const FULL: UpdateDecision = UpdateDecision::Apply(ListScope::Full);
    const DELTA: UpdateDecision = UpdateDecision::Apply(ListScope::Delta);

    #[test]
    fn a_single_source_without_epochs_may_start_over_with_any_version() {
        let mut sources = new_sources(1);
        assert_eq!(sources.start_watch(), "/discovery/hosts?stream=1&index=0");
        assert_eq!(sources.evaluate(&full_list(None, 41, 3)), FULL);
        assert_eq!(sources.evaluate(&full_list(None, 41, 3)), UpdateDecision::Duplicate);
        assert_eq!(sources.evaluate(&delta(None, 42)), DELTA);
        assert_eq!(sources.evaluate(&delta(None, 42)), UpdateDecision::Duplicate);
        sources.advance();
        assert_eq!(sources.start_watch(), "/discovery/hosts?stream=1&index=42");
        assert_eq!(sources.check_source(Instant::now(), None), Ok(()));
        assert_eq!(sources.evaluate(&delta(None, 40)), UpdateDecision::Duplicate);
        // A full list starts over after a heartbeat or an outdated update, even with a lower version and no
        // servers.
        assert_eq!(sources.evaluate(&full_list(None, 7, 0)), FULL);
        assert_eq!(sources.known(), (7, None));
    }

    #[test]
    fn the_next_source_continues_from_the_current_version() {
        let mut sources = new_sources(3);
        sources.start_watch();
        assert_eq!(sources.evaluate(&full_list(Some(9), 100, 4)), FULL);
        for place in [1, 2, 0] {
            sources.advance();
            assert_eq!(sources.current().0, place);
            assert_eq!(sources.start_watch(), "/discovery/hosts?stream=1&index=100&epoch=9");
        }
        assert_eq!(sources.evaluate(&delta(Some(9), 101)), DELTA);
    }

    #[test]
    fn an_older_list_of_the_same_epoch_is_never_accepted() {
        for addresses in [1, 2] {
            let mut sources = new_sources(addresses);
            sources.start_watch();
            assert_eq!(sources.evaluate(&full_list(Some(9), 100, 4)), FULL);
            sources.advance();
            sources.start_watch();
            assert_eq!(
                sources.evaluate(&full_list(Some(9), 99, 4)),
                UpdateDecision::Reject(SourceError::Outdated)
            );
            sources.replace(sources.addresses.clone());
            sources.start_watch();
            assert_eq!(
                sources.evaluate(&full_list(Some(9), 99, 4)),
                UpdateDecision::Reject(SourceError::Outdated)
            );
            sources.start_watch();
            assert_eq!(
                sources.evaluate(&full_list(Some(9), 100, 4)),
                UpdateDecision::Duplicate,
                "nothing to do"
            );
            assert_eq!(sources.evaluate(&delta(Some(9), 101)), DELTA);
        }
    }

    #[test]
    fn a_list_of_a_new_epoch_is_accepted_and_former_epochs_never_again() {
        let mut sources = new_sources(2);
        sources.start_watch();
        assert_eq!(sources.evaluate(&full_list(Some(9), 100, 4)), FULL);
        assert_eq!(
            sources.evaluate(&full_list(Some(12), 5, 4)),
            FULL,
            "on the same watch, though its version is lower"
        );
        for mirror in [false, true] {
            sources.start_watch();
            let former = HostList { mirror, ..full_list(Some(9), 200, 4) };
            assert_eq!(sources.evaluate(&former), UpdateDecision::Reject(SourceError::Outdated));
        }
        sources.start_watch();
        let lagging = HostList { mirror: true, ..full_list(Some(11), 200, 4) };
        assert_eq!(
            sources.evaluate(&lagging),
            UpdateDecision::Reject(SourceError::Outdated),
            "a mirror with an epoch between the two"
        );
        sources.start_watch();
        assert_eq!(
            sources.evaluate(&full_list(Some(11), 1, 4)),
            FULL,
            "the writer after its clock was set back"
        );
        sources.start_watch();
        assert_eq!(sources.evaluate(&delta(Some(14), 300)), UpdateDecision::Reject(SourceError::OtherList));
        assert_eq!(sources.start_watch(), "/discovery/hosts?stream=1&index=0");
    }

    #[test]
    fn a_list_without_epoch_replaces_one_with_an_epoch_only_from_a_single_or_replaced_source() {
        for (addresses, were_replaced, decision) in
            [(1, false, FULL), (2, false, UpdateDecision::Reject(SourceError::OtherList)), (2, true, FULL)]
        {
            let mut sources = new_sources(addresses);
            sources.start_watch();
            assert_eq!(sources.evaluate(&full_list(Some(9), 100, 4)), FULL);
            if were_replaced {
                sources.replace(sources.addresses.clone());
            }
            sources.start_watch();
            assert_eq!(sources.evaluate(&full_list(None, 3, 4)), decision, "{addresses} {were_replaced}");
        }
    }

    #[test]
    fn the_number_of_remembered_epochs_is_bounded() {
        let mut sources = new_sources(2);
        for epoch in 1..100 {
            sources.start_watch();
            assert_eq!(sources.evaluate(&full_list(Some(epoch), 1, 4)), FULL);
        }
        assert_eq!(sources.retired_epochs.len(), RETIRED_EPOCHS_MAX);
    }

    #[test]
    fn a_nearly_empty_list_is_verified_if_there_is_another_source() {
        let mut removals = delta(Some(9), 101);
        removals.targets = (0..7).map(|n| target(&format!("s{n}"), "removed")).collect();
        for suspect in [full_list(Some(9), 101, 0), full_list(Some(9), 101, 1), removals] {
            for (addresses, is_verified) in [(1, false), (2, true)] {
                let mut sources = new_sources(addresses);
                sources.start_watch();
                assert_eq!(sources.evaluate(&full_list(Some(9), 100, 8)), FULL);
                sources.start_watch();
                assert_eq!(matches!(sources.evaluate(&suspect), UpdateDecision::Verify(_)), is_verified);
                if is_verified {
                    assert_eq!(sources.known().0, 100, "nothing recorded yet");
                    assert!(sources.refutes(&full_list(Some(9), 101, 8), &suspect));
                    assert!(!sources.refutes(&full_list(Some(9), 100, 8), &suspect), "older");
                    assert!(!sources.refutes(&full_list(Some(8), 101, 8), &suspect), "another list");
                    assert!(!sources.refutes(&full_list(Some(9), 102, 1), &suspect), "as empty");
                    let stale = HostList { stale_ms: Some(9_000), ..full_list(Some(9), 101, 8) };
                    assert!(!sources.refutes(&stale, &suspect), "stale");
                    sources.accept(&suspect);
                    assert_eq!(sources.known().0, 101);
                }
            }
        }
        let mut sources = new_sources(2);
        sources.start_watch();
        assert_eq!(sources.evaluate(&full_list(Some(9), 100, 8)), FULL);
        assert_eq!(sources.evaluate(&full_list(Some(9), 101, 2)), FULL, "a quarter of the servers is enough");
    }

    #[test]
    fn a_stale_source_is_abandoned_unless_all_others_have_failed() {
        let (now, stale) = (Instant::now(), Some(6_000));
        let mut sources = new_sources(3);
        sources.start_watch();
        assert_eq!(sources.evaluate(&full_list(Some(9), 100, 4)), FULL);
        assert_eq!(sources.check_source(now, Some(1_000)), Ok(()), "one second is not stale");
        for index in [0, 1] {
            assert_eq!(
                (sources.current().0, sources.check_source(now, stale)),
                (index, Err(SourceError::Stale))
            );
            sources.advance();
            sources.start_watch();
        }
        assert_eq!(sources.check_source(now, stale), Ok(()), "a stale source is better than none");
        let fresh = Revision { rev: 100, epoch: 9, stale_ms: 0 };
        assert_eq!(sources.compare(now, &Revision { stale_ms: 7_000, ..fresh.clone() }), Ok(()));
        assert_eq!(sources.compare(now, &fresh), Err(SourceError::Stale));
        sources.advance();
        sources.start_watch();
        assert_eq!(sources.check_source(now, None), Ok(()));
        assert_eq!(
            sources.check_source(now, stale),
            Err(SourceError::Stale),
            "the other sources may have recovered"
        );
    }

    #[test]
    fn a_source_that_does_not_catch_up_with_another_is_abandoned() {
        let (now, later) = (Instant::now(), Instant::now() + CATCH_UP_TIMEOUT);
        for (other, received, is_abandoned) in [
            (Revision { rev: 103, epoch: 9, stale_ms: 0 }, 102, true),
            (Revision { rev: 103, epoch: 9, stale_ms: 0 }, 103, false),
            (Revision { rev: 5, epoch: 10, stale_ms: 0 }, 103, true),
            (Revision { rev: 500, epoch: 8, stale_ms: 0 }, 101, false),
            (Revision { rev: 500, epoch: 9, stale_ms: 60_000 }, 101, false),
        ] {
            let mut sources = new_sources(2);
            sources.start_watch();
            assert_eq!(sources.evaluate(&full_list(Some(9), 100, 4)), FULL);
            assert_eq!(sources.compare(now, &other), Ok(()));
            assert_eq!(sources.check_source(now, None), Ok(()), "the deadline has not passed");
            assert_eq!(sources.evaluate(&delta(Some(9), received)), DELTA);
            assert_eq!(sources.check_source(later, None).is_err(), is_abandoned, "{other:?}");
        }
    }
}
