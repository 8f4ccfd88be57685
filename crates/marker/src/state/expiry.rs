//! The duty of the reaper: ending servers whose heartbeats have stopped, once a majority confirms it.

use super::{Marker, ReapRequest};
use crate::types::{Millis, Output};
use granitelead_control_protocol::messages::{Duty, PeerMessage};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;

/// How often the reaper asks again for confirmation that servers have timed out.
const REAP_RETRY_INTERVAL: Millis = 600;

impl Marker {
    /// Starts removing servers whose heartbeats have stopped, if this marker holds the duty of the reaper.
    pub(super) fn reap(&mut self, now: Millis, out: &mut Vec<Output>) {
        let Some(number) = self.core.holds(Duty::Reaper).filter(|_| self.in_quorum) else {
            self.reap = None;
            return;
        };
        let waits = self.reap.as_ref().is_some_and(|reap| now < reap.at + REAP_RETRY_INTERVAL);
        let silent = if waits { Vec::new() } else { self.registry.timed_out(now) };
        if silent.is_empty() {
            return;
        }
        let ticket = self.sessions.next_ticket();
        for ip in self.core.known_markers() {
            out.push(Output::SendToMarker(ip, PeerMessage::ConfirmExpired(number, ticket, silent.clone())));
        }
        self.reap = Some(ReapRequest { ticket, at: now, silent, confirmed_by: BTreeSet::new() });
        self.on_reaped(now, self.core.me().ip, ticket, out);
    }

    /// Handles the confirmation of a marker that the servers have timed out there too. They are removed once
    /// a majority of the core has confirmed, so that a marker that was cut off, or misses the messages of one
    /// other, removes no server whose heartbeats the majority receives.
    pub(super) fn on_reaped(&mut self, now: Millis, from: Ipv4Addr, ticket: u64, out: &mut Vec<Output>) {
        let Some(reap) = self.reap.as_mut().filter(|reap| reap.ticket == ticket) else { return };
        reap.confirmed_by.insert(from);
        if !self.core.majority_of_core(|ip| reap.confirmed_by.contains(&ip)) {
            return;
        }
        let Some(ReapRequest { silent, .. }) = self.reap.take() else { return };
        let ended = self.registry.end_timed_out(now, silent);
        if !ended.is_empty() {
            self.send_servers(ended.clone(), out);
            self.forward_to_markers(now, ended, 0, None, out);
        }
    }
}
