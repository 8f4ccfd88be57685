//! The gatekeepers that share quotas: reports to the other markers, the number that gatekeepers are sent, and the
//! names on disk.

use super::Marker;
use crate::types::{Millis, Output, SessionId};
use granitelead_control_protocol::messages::{PeerMessage, Update};
use std::net::Ipv4Addr;

/// How often markers send each other their sessions where nothing has changed.
const SESSIONS_REFRESH_INTERVAL: Millis = 1_000;
/// This long after its start a marker has received the sessions of all others. Only then, or if it has read
/// the gatekeepers from its disk, does it send how many there are.
const MEMBERS_KNOWN_AFTER: Millis = 1_200;

impl Marker {
    /// Sends the other markers the gatekeepers attached here, and gatekeepers their number where it has
    /// changed.
    pub(super) fn update_members(&mut self, now: Millis, peers: &[Ipv4Addr], out: &mut Vec<Output>) {
        let here = self.sessions.names(now, &self.tally.incarnations());
        self.members.on_report(now, self.core.me().ip, here.clone(), true);
        if here != self.sent_attached || now >= self.sessions_refreshed_at + SESSIONS_REFRESH_INTERVAL {
            (self.sent_attached, self.sessions_refreshed_at) = (here.clone(), now);
            let (missed, ended) = (self.members.missing(now), self.members.ended(now));
            let message = PeerMessage::Sessions { zone: self.zone.clone(), names: here, missed, ended };
            out.extend(peers.iter().map(|ip| Output::SendToMarker(*ip, message.clone())));
        }
        self.counts_with = self.core.quota_group();
        let all_together = self.core.quota_group_is_complete(&self.counts_with);
        let (counted, peers_by_ip) = (&self.counts_with, &self.peers);
        let counts = self.members.update(now, all_together, |ip| {
            peers_by_ip.get(&ip).filter(|_| counted.contains(&ip)).map(|peer| peer.last_message_at)
        });
        let has_received_all = now >= self.started_at + MEMBERS_KNOWN_AFTER;
        self.knows_members |= has_received_all && self.members.any_counted();
        if self.knows_members {
            let (all, missed) = self.sent_member_counts;
            self.tally.set_quota_fraction(now, f64::from(all - missed.min(all)) / f64::from(all.max(1)));
        }
        if counts != self.sent_member_counts && self.knows_members {
            self.sent_member_counts = counts;
            self.sessions.send_all(&Update::Gatekeepers(counts.0, counts.1), out);
        }
        if let Some((ticket, names)) = has_received_all.then(|| self.members.write()).flatten() {
            out.push(Output::StoreGatekeepers(ticket, names));
        }
    }

    /// Handles the shutdown of a gatekeeper, whose share of each quota passes to the others.
    pub(super) fn on_gatekeeper_leaving(&mut self, now: Millis, session: SessionId, out: &mut Vec<Output>) {
        let Some(name) = self.sessions.name(session) else { return };
        self.tally.detach(session);
        self.members.on_end(now, &name, 0);
        for ip in self.core.known_markers() {
            out.push(Output::SendToMarker(ip, PeerMessage::GatekeeperLeft(name.clone())));
        }
    }
}
