//! Whether this marker has a quorum of the core and has caught up with it.

use super::{CatchUpRequest, Marker};
use crate::types::{Millis, Output};
use granitelead_control_protocol::messages::{PeerMessage, Update};
use std::collections::BTreeMap;

/// How often markers that have not answered a catch-up request are sent it again.
const CATCH_UP_RETRY_INTERVAL: Millis = 300;

impl Marker {
    /// Reports the loss of the quorum when no majority is reachable in both directions. Reports the quorum
    /// again once a majority has answered a catch-up request made since then and the newest version named in
    /// the answers is committed here. Answers are matched by the number of the request, not by time.
    pub(super) fn update_quorum_state(&mut self, now: Millis, out: &mut Vec<Output>) {
        if !self.core.has_quorum() {
            self.catch_up = None;
            if std::mem::take(&mut self.in_quorum) {
                self.announce_quorum_state(now, out);
            }
            return;
        }
        if self.in_quorum {
            return;
        }
        if self.catch_up.is_none() {
            self.last_catch_up_number += 1;
            self.catch_up =
                Some(CatchUpRequest { number: self.last_catch_up_number, at: 0, answers: BTreeMap::new() });
        }
        let (live, committed) = (self.core.live_markers(), self.core.committed().map(|d| d.version));
        let Some(catch_up) = self.catch_up.as_mut() else { return };
        if now >= catch_up.at + CATCH_UP_RETRY_INTERVAL || catch_up.at == 0 {
            catch_up.at = now;
            for ip in live.into_iter().filter(|ip| !catch_up.answers.contains_key(ip)) {
                out.push(Output::SendToMarker(ip, PeerMessage::CatchUp(catch_up.number)));
            }
        }
        let answered = self.core.majority_of_core(|ip| catch_up.answers.contains_key(&ip));
        if answered && catch_up.answers.values().all(|theirs| *theirs <= committed) {
            (self.in_quorum, self.catch_up) = (true, None);
            self.announce_quorum_state(now, out);
        }
    }

    /// Logs a change of the quorum state and sends it to all gatekeepers.
    fn announce_quorum_state(&mut self, now: Millis, out: &mut Vec<Output>) {
        let since = now - self.quorum_changed_at;
        log::info!("quorum {} after {since} ms", if self.in_quorum { "regained" } else { "lost" });
        self.quorum_changed_at = now;
        self.sessions.send_all(&Update::Contact(self.in_quorum), out);
    }
}
