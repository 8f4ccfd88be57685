//! Operators' calls at one marker: which calls wait, and how each is answered once its result is
//! certain.
//!
//! A change is identified by its version and content. It is confirmed once exactly this pair is
//! stored by all backups; a change whose version is free is replicated first. Where the version is
//! already assigned, even long ago, the primary first verifies, as for a read, that it still is
//! primary, and then confirms or refuses the change.

use super::{Core, PendingCall, Request, CALLS_MAX, CALL_TIMEOUT, HEARTBEAT_TIMEOUT};
use crate::agreement::{ChangeBatch, Effect};
use crate::parts::{Millis, Output, Reply};
use granitelead_common::error_kinds::ErrorKind;
use granitelead_control_protocol::ledger::VersionState;
use granitelead_control_protocol::messages::{Digest, Document, PeerMessage};
use std::collections::BTreeMap;
use std::sync::Arc;

impl Core {
    pub(super) fn on_committed(&mut self, document: Arc<Document>, out: &mut Vec<Output>) {
        if self.agreement.leadership().is_some() {
            for ip in self.live_markers() {
                out.push(Output::Send(ip, PeerMessage::Committed(Document::clone(&document))));
            }
        }
        out.push(Output::Sure(document.clone()));
        // Also answers where another marker is primary and reports the commit. It says nothing
        // about lower versions or about other contents.
        self.answer_matching(
            |request| matches!(request, Request::Replace { document: d, .. } if *d == document),
            out,
            |_| Reply::done(),
        );
    }

    /// Confirms the changes that were committed, matching both version and content.
    pub(super) fn on_versions_committed(&mut self, entries: &BTreeMap<u32, Digest>, out: &mut Vec<Output>) {
        let is_in = |document: &Document, digest: &Digest| entries.get(&document.version) == Some(digest);
        self.answer_matching(
            |request| matches!(request, Request::Replace { document, digest, .. } if is_in(document, digest)),
            out,
            |_| Reply::done(),
        );
    }

    /// Answers the call whose check succeeded: this marker was primary after the call had arrived.
    pub(super) fn on_check_passed(&mut self, nonce: u64, out: &mut Vec<Output>) {
        let Some(index) = self.calls.iter().position(|call| call.nonce() == Some(nonce)) else { return };
        let call = self.calls.remove(index);
        let reply = match &call.request {
            Request::Read { .. } => match self.agreement.committed() {
                Some(document) => Reply::document(document.clone()),
                None => Reply::fault(ErrorKind::Unknown, "no configuration has been set yet"),
            },
            Request::Replace { document, digest, .. } => self.reply_from_ledger(document.version, *digest),
        };
        out.push(Output::Answer(call.id, reply));
    }

    /// The answer to a change whose version was not free when its check began.
    fn reply_from_ledger(&mut self, version: u32, digest: Digest) -> Reply {
        match self.agreement.ledger().lookup(version) {
            VersionState::Content(held) if held == digest => Reply::done(),
            VersionState::Content(held) => {
                self.refused += 1;
                log::info!("refused content {digest} for version {version:08x}, which has content {held}");
                let what =
                    format!("version {version:08x} already has content {held}, and this content is {digest}");
                Reply::fault(ErrorKind::Conflict, what)
            }
            VersionState::Forgotten | VersionState::Free => forgotten_version(version),
        }
    }

    /// Answers all calls that match the predicate.
    pub(super) fn answer_matching(
        &mut self,
        matches: impl Fn(&Request) -> bool,
        out: &mut Vec<Output>,
        reply: impl Fn(&Request) -> Reply,
    ) {
        self.calls.retain(|call| {
            let answered = matches(&call.request);
            if answered {
                out.push(Output::Answer(call.id, reply(&call.request)));
            }
            !answered
        });
    }

    /// Handles a validated configuration from an operator.
    pub fn on_replace(&mut self, now: Millis, id: u64, document: Document, out: &mut Vec<Output>) {
        let digest = Digest::of(&document.bytes);
        self.on_call(now, id, Request::Replace { document: Arc::new(document), digest, nonce: None }, out);
    }

    /// Handles a read of the newest configuration by an operator.
    pub fn on_read(&mut self, now: Millis, id: u64, out: &mut Vec<Output>) {
        self.last_nonce += 1;
        let nonce = self.last_nonce;
        self.on_call(now, id, Request::Read { nonce }, out);
        self.step_agreement(out, |a, effects| a.check(nonce, effects));
    }

    pub(super) fn on_call(&mut self, now: Millis, id: u64, request: Request, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        if self.calls.len() >= CALLS_MAX {
            return out
                .push(Output::Answer(id, Reply::fault(ErrorKind::Overloaded, "too many calls are waiting")));
        }
        if self.standing.is_leaving && self.agreement.leadership().is_none() {
            return out
                .push(Output::Answer(id, Reply::fault(ErrorKind::NotReady, "this marker is shutting down")));
        }
        self.calls.push(PendingCall { id, request, deadline: self.now + CALL_TIMEOUT });
        self.process_calls(out);
    }

    /// Advances the waiting calls: expires, redirects, checks or replicates them.
    pub(super) fn process_calls(&mut self, out: &mut Vec<Output>) {
        self.calls.retain(|call| {
            let expired = self.now >= call.deadline;
            if expired {
                out.push(Output::Answer(
                    call.id,
                    Reply::fault(ErrorKind::Uncertain, "the result could not be confirmed in time"),
                ));
            }
            !expired
        });
        if self.agreement.leadership().is_none() {
            if let Some((ip, _)) = self.primary.filter(|(_, at)| self.now < *at + HEARTBEAT_TIMEOUT) {
                self.answer_matching(|_| true, out, |_| Reply::elsewhere(ip));
            }
            return;
        }
        if self.agreement.is_replicating() {
            return;
        }
        // All changes with free versions are replicated together: the newest takes effect and
        // supersedes the others. Of two contents under one version the first is replicated, and the
        // other waits for its outcome.
        let (mut changes, mut checks, mut forgotten) = (ChangeBatch::default(), Vec::new(), Vec::new());
        for call in &mut self.calls {
            let Request::Replace { document, digest, nonce: nonce @ None } = &mut call.request else {
                continue;
            };
            match self.agreement.ledger().lookup(document.version) {
                VersionState::Free => changes.add(document, *digest),
                VersionState::Content(_) => {
                    self.last_nonce += 1;
                    *nonce = Some(self.last_nonce);
                    checks.push(self.last_nonce);
                }
                VersionState::Forgotten => forgotten.push((call.id, document.version)),
            }
        }
        for (id, version) in forgotten {
            self.calls.retain(|call| call.id != id);
            out.push(Output::Answer(id, forgotten_version(version)));
        }
        for nonce in checks {
            self.step_agreement(out, |a, effects| a.check(nonce, effects));
        }
        if !changes.is_empty() {
            self.replicating_since = self.now;
            self.step_agreement(out, |a, effects| a.replicate(changes, effects));
        }
    }

    /// Restarts the checks of waiting calls in a new epoch.
    pub(super) fn restart_checks(&mut self, effects: &mut Vec<Effect>) {
        for call in &mut self.calls {
            let nonce = match &mut call.request {
                Request::Read { nonce } | Request::Replace { nonce: Some(nonce), .. } => nonce,
                Request::Replace { nonce: None, .. } => continue,
            };
            self.last_nonce += 1;
            *nonce = self.last_nonce;
            self.agreement.check(self.last_nonce, effects);
        }
    }
}

/// An uncertain answer: the ledger no longer knows which content the version holds.
fn forgotten_version(version: u32) -> Reply {
    Reply::fault(
        ErrorKind::Uncertain,
        format!("version {version:08x} is too old: its content is no longer recorded"),
    )
}
