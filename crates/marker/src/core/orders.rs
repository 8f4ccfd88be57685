//! Calls of operators at one marker: which wait, and what each is answered once that is certain.
//!
//! An order is its number and its content. It is confirmed once just these are held by all who have to; one whose number
//! is free is held first. Where the number stands for something already, also one that was confirmed long ago, the
//! primary makes certain, as for a read, that it still is primary before it confirms or refuses.

use super::{Asked, Call, Core, CALL, CALLS_MAX, HEARD};
use crate::agreement::{Act, Orders};
use crate::parts::{Millis, Output, Reply};
use granitelead_common::error_kinds::ErrorKind;
use granitelead_control_protocol::ledger::VersionState;
use granitelead_control_protocol::messages::{Digest, Document, PeerMessage};
use std::collections::BTreeMap;
use std::sync::Arc;

impl Core {
    pub(super) fn on_safe(&mut self, document: Arc<Document>, out: &mut Vec<Output>) {
        if self.agreement.leads().is_some() {
            for ip in self.live() {
                out.push(Output::Send(ip, PeerMessage::Committed(Document::clone(&document))));
            }
        }
        out.push(Output::Sure(document.clone()));
        // Also where another marker is primary and says so. Of a lower number nothing follows, nor of another content.
        self.answer(
            |asked| matches!(asked, Asked::Replace { document: d, .. } if *d == document),
            out,
            |_| Reply::done(),
        );
    }

    /// Confirms the orders that have become safe, each by its number and its content.
    pub(super) fn on_entered(&mut self, entries: &BTreeMap<u32, Digest>, out: &mut Vec<Output>) {
        let is_in = |document: &Document, digest: &Digest| entries.get(&document.version) == Some(digest);
        self.answer(
            |asked| matches!(asked, Asked::Replace { document, digest, .. } if is_in(document, digest)),
            out,
            |_| Reply::done(),
        );
    }

    /// What was checked under this number is certain: this marker was primary after the call had come.
    pub(super) fn on_certain(&mut self, nonce: u64, out: &mut Vec<Output>) {
        let Some(place) = self.calls.iter().position(|call| call.nonce() == Some(nonce)) else { return };
        let call = self.calls.remove(place);
        let reply = match &call.asked {
            Asked::Read { .. } => match self.agreement.sure() {
                Some(document) => Reply::document(document.clone()),
                None => Reply::fault(ErrorKind::Unknown, "there is no configuration yet"),
            },
            Asked::Replace { document, digest, .. } => self.by_ledger(document.version, *digest),
        };
        out.push(Output::Answer(call.id, reply));
    }

    /// What an order is answered whose number was not free when its check began.
    fn by_ledger(&mut self, version: u32, digest: Digest) -> Reply {
        match self.agreement.ledger().lookup(version) {
            VersionState::Content(held) if held == digest => Reply::done(),
            VersionState::Content(held) => {
                self.refused += 1;
                log::info!("{version:08x} stands for {held}, and {digest} is refused");
                let what = format!("version {version:08x} stands for content {held}, and this is {digest}");
                Reply::fault(ErrorKind::Conflict, what)
            }
            VersionState::Forgotten | VersionState::Free => forgotten(version),
        }
    }

    /// Answers the calls that are meant, where an answer to one is certain.
    pub(super) fn answer(
        &mut self,
        meant: impl Fn(&Asked) -> bool,
        out: &mut Vec<Output>,
        reply: impl Fn(&Asked) -> Reply,
    ) {
        self.calls.retain(|call| {
            let ends = meant(&call.asked);
            if ends {
                out.push(Output::Answer(call.id, reply(&call.asked)));
            }
            !ends
        });
    }

    /// A valid configuration comes from an operator.
    pub fn on_replace(&mut self, now: Millis, id: u64, document: Document, out: &mut Vec<Output>) {
        let digest = Digest::of(&document.bytes);
        self.on_call(now, id, Asked::Replace { document: Arc::new(document), digest, nonce: None }, out);
    }

    /// An operator asks for the newest configuration.
    pub fn on_read(&mut self, now: Millis, id: u64, out: &mut Vec<Output>) {
        self.nonce += 1;
        let nonce = self.nonce;
        self.on_call(now, id, Asked::Read { nonce }, out);
        self.agree(out, |a, acts| a.check(nonce, acts));
    }

    pub(super) fn on_call(&mut self, now: Millis, id: u64, asked: Asked, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        if self.calls.len() >= CALLS_MAX {
            return out.push(Output::Answer(id, Reply::fault(ErrorKind::Overloaded, "too many calls wait")));
        }
        if self.standing.is_leaving && self.agreement.leads().is_none() {
            return out.push(Output::Answer(id, Reply::fault(ErrorKind::NotReady, "this marker leaves")));
        }
        self.calls.push(Call { id, asked, until: self.now + CALL });
        self.go_on(out);
    }

    /// Does for the calls that wait what can be done.
    pub(super) fn go_on(&mut self, out: &mut Vec<Output>) {
        self.calls.retain(|call| {
            let late = self.now >= call.until;
            if late {
                out.push(Output::Answer(call.id, Reply::fault(ErrorKind::Uncertain, "not certain in time")));
            }
            !late
        });
        if self.agreement.leads().is_none() {
            if let Some((ip, _)) = self.primary.filter(|(_, at)| self.now < *at + HEARD) {
                self.answer(|_| true, out, |_| Reply::elsewhere(ip));
            }
            return;
        }
        if self.agreement.is_holding() {
            return;
        }
        // All whose numbers are free go at once: the newest is in force, what is below it is overtaken. Of two contents
        // under one number the first goes, and the other waits for what becomes of it.
        let (mut orders, mut checks, mut lost) = (Orders::default(), Vec::new(), Vec::new());
        for call in &mut self.calls {
            let Asked::Replace { document, digest, nonce: nonce @ None } = &mut call.asked else { continue };
            match self.agreement.ledger().lookup(document.version) {
                VersionState::Free => orders.add(document, *digest),
                VersionState::Content(_) => {
                    self.nonce += 1;
                    *nonce = Some(self.nonce);
                    checks.push(self.nonce);
                }
                VersionState::Forgotten => lost.push((call.id, document.version)),
            }
        }
        for (id, version) in lost {
            self.calls.retain(|call| call.id != id);
            out.push(Output::Answer(id, forgotten(version)));
        }
        for nonce in checks {
            self.agree(out, |a, acts| a.check(nonce, acts));
        }
        if !orders.is_empty() {
            self.holding_since = self.now;
            self.agree(out, |a, acts| a.hold(orders, acts));
        }
    }

    /// Calls that wait for a check begin it again in a new epoch.
    pub(super) fn ask_again(&mut self, acts: &mut Vec<Act>) {
        for call in &mut self.calls {
            let nonce = match &mut call.asked {
                Asked::Read { nonce } | Asked::Replace { nonce: Some(nonce), .. } => nonce,
                Asked::Replace { nonce: None, .. } => continue,
            };
            self.nonce += 1;
            *nonce = self.nonce;
            self.agreement.check(self.nonce, acts);
        }
    }
}

/// No clear answer: whether the number stands for this content is not known any more.
fn forgotten(version: u32) -> Reply {
    Reply::fault(ErrorKind::Uncertain, format!("version {version:08x} is below those that are remembered"))
}
