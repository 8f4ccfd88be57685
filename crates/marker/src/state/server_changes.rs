//! How changes of servers spread: to the gatekeepers with a session here, to the other markers, and to disk.

use super::Marker;
use crate::registry::Merged;
use crate::sessions::{FinishedWait, Waiter};
use crate::types::{Millis, Output, Reply};
use granitelead_common::error_kinds::ErrorKind;
use granitelead_control_protocol::messages::{Instance, InstanceState, PeerMessage, Update};
use std::net::Ipv4Addr;

impl Marker {
    /// Sends changes of servers to all gatekeepers and markers. A server that leaves is answered once all
    /// have acknowledged it and a majority of the core has it on disk, so that no restart forgets it. Its
    /// leaving is forwarded again with each of its calls, as earlier acknowledgements are not stored. Without a quorum the change is applied and forwarded but not
    /// acknowledged: the server then calls another marker, which may reach the others.
    pub(super) fn broadcast_change(
        &mut self,
        now: Millis,
        id: u64,
        leaves: Option<Instance>,
        changed: Vec<Instance>,
        reply: Reply,
        out: &mut Vec<Output>,
    ) {
        if !changed.is_empty() {
            self.send_servers(changed.clone(), out);
        }
        let ticket = if !self.in_quorum {
            out.push(Output::Answer(id, Reply::failure(ErrorKind::Uncertain, "this marker has no quorum")));
            0
        } else if leaves.is_some() {
            let (live, write) = (self.core.live_markers(), self.server_log.write(now, out));
            self.sessions.start_wait(now, Waiter::Call(id), &live, write)
        } else {
            out.push(Output::Answer(id, reply));
            0
        };
        let changes = match leaves {
            Some(leaves) if !changed.contains(&leaves) => changed.into_iter().chain([leaves]).collect(),
            _ => changed,
        };
        self.forward_to_markers(now, changes, ticket, None, out);
    }

    /// Forwards changes of servers to the other markers. Servers that are gone are recorded for markers that
    /// can't be reached now.
    pub(super) fn forward_to_markers(
        &mut self,
        now: Millis,
        changed: Vec<Instance>,
        ticket: u64,
        except: Option<Ipv4Addr>,
        out: &mut Vec<Output>,
    ) {
        if changed.is_empty() {
            return;
        }
        let ended: Vec<Instance> =
            changed.iter().filter(|i| i.state == InstanceState::Gone).cloned().collect();
        let ticket = if ticket == 0 && !ended.is_empty() { self.sessions.next_ticket() } else { ticket };
        for ip in self.core.known_markers().into_iter().filter(|ip| Some(*ip) != except) {
            self.repair.record_ends(now, ip, &ended, ticket);
            out.push(Output::SendToMarker(ip, PeerMessage::Servers(ticket, changed.clone())));
        }
    }

    /// Sends a marker the next batch of the changes that it missed.
    pub(super) fn send_missed_batch(&mut self, ip: Ipv4Addr, out: &mut Vec<Output>) {
        let ticket = self.sessions.next_ticket();
        let part = self.repair.next_batch(ip, ticket);
        if !part.is_empty() {
            out.push(Output::SendToMarker(ip, PeerMessage::Servers(ticket, part)));
        }
    }

    /// Merges servers sent by another process and sends the changes to gatekeepers. Returns the changes, and
    /// the servers that are gone without the sender knowing it.
    pub(super) fn merge_servers(
        &mut self,
        now: Millis,
        servers: Vec<Instance>,
        out: &mut Vec<Output>,
    ) -> (Vec<Instance>, Vec<Instance>) {
        let (mut changed, mut ended) = (Vec::new(), Vec::new());
        for server in servers {
            match self.registry.merge(now, server) {
                Merged::Changed(updates) => changed.extend(updates),
                Merged::Ended(end) => ended.push(end),
            }
        }
        if !changed.is_empty() {
            self.send_servers(changed.clone(), out);
        }
        (changed, ended)
    }

    /// Merges servers sent by another marker, and acknowledges once all gatekeepers with a session here have
    /// confirmed and the changes are on disk.
    pub(super) fn on_peer_servers(
        &mut self,
        now: Millis,
        from: Ipv4Addr,
        ticket: u64,
        servers: Vec<Instance>,
        out: &mut Vec<Output>,
    ) {
        let (mut changed, ended) = self.merge_servers(now, servers, out);
        // Servers that leave are forwarded once more: the sender may not reach all markers that are reachable
        // from here.
        changed.retain(|server| server.state != InstanceState::Ready);
        self.forward_to_markers(now, changed, 0, Some(from), out);
        if !ended.is_empty() {
            let ticket = self.sessions.next_ticket();
            self.repair.record_ends(now, from, &ended, ticket);
            out.push(Output::SendToMarker(from, PeerMessage::Servers(ticket, ended)));
        }
        if ticket > 0 {
            let write = self.server_log.write(now, out);
            self.sessions.start_wait(now, Waiter::Marker(from, ticket), &[], write);
        }
    }

    pub(super) fn send_servers(&mut self, changed: Vec<Instance>, out: &mut Vec<Output>) {
        self.server_log.record(&changed);
        self.sessions.send_all(&Update::Servers(changed), out);
    }

    /// Answers the server or the marker that waits until a change is known and stored.
    pub(super) fn finish_wait(&self, wait: FinishedWait, out: &mut Vec<Output>) {
        let FinishedWait { waiter, confirmed_by, is_durable } = wait;
        let id = match waiter {
            Waiter::Marker(ip, ticket) => {
                return out.push(Output::SendToMarker(ip, PeerMessage::Delivered(ticket)));
            }
            Waiter::Call(id) => id,
        };
        // A gatekeeper in sync has a session with a marker of any majority, or receives all servers when it
        // opens one. A quorum after a restart includes a marker of any majority.
        let is_stored = self.core.is_stored_by_majority(is_durable, |ip| confirmed_by.contains(&ip));
        let reply = if self.in_quorum && is_stored {
            Reply::done()
        } else {
            Reply::failure(
                ErrorKind::Uncertain,
                "a majority of markers has not confirmed that all gatekeepers have the change and that it is on disk",
            )
        };
        out.push(Output::Answer(id, reply));
    }
}
