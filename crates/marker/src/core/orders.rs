//! Calls of operators at one marker: which wait, and what each is answered once that is certain.

use super::{Core, CALL, CALLS_MAX, HEARD};
use crate::agreement::Act;
use crate::parts::{Millis, Output, Reply};
use plugboard::kinds::Kind;
use std::sync::Arc;
use trunk::words::{Between, Document};

pub(super) enum Asked {
    Replace(Arc<Document>),
    Read { nonce: u64 },
}

pub(super) struct Call {
    pub(super) id: u64,
    pub(super) asked: Asked,
    pub(super) until: Millis,
}

impl Call {
    /// Of a read that waits: the number of its check.
    pub(super) fn nonce(&self) -> Option<u64> {
        match self.asked {
            Asked::Read { nonce } => Some(nonce),
            Asked::Replace(_) => None,
        }
    }
}

impl Core {
    pub(super) fn on_safe(&mut self, document: Arc<Document>, out: &mut Vec<Output>) {
        let version = document.version;
        if self.agreement.leads().is_some() {
            for ip in self.live() {
                out.push(Output::Send(ip, Between::Sure(Document::clone(&document))));
            }
        }
        out.push(Output::Sure(document));
        self.answer(
            |asked| matches!(asked, Asked::Replace(d) if d.version <= version),
            out,
            |_| Reply::done(),
        );
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
        self.on_call(now, id, Asked::Replace(Arc::new(document)), out);
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
            return out.push(Output::Answer(id, Reply::fault(Kind::NoRoom, "too many calls wait")));
        }
        if self.leaving {
            return out.push(Output::Answer(id, Reply::fault(Kind::NotReady, "this marker leaves")));
        }
        self.calls.push(Call { id, asked, until: self.now + CALL });
        self.go_on(out);
    }

    /// Does for the calls that wait what can be done.
    pub(super) fn go_on(&mut self, out: &mut Vec<Output>) {
        self.calls.retain(|call| {
            let late = self.now >= call.until;
            if late {
                out.push(Output::Answer(call.id, Reply::fault(Kind::Uncertain, "not certain in time")));
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
        let sure = self.agreement.sure().map(|d| d.version);
        self.answer(
            |asked| matches!(asked, Asked::Replace(d) if sure.is_some_and(|sure| d.version <= sure)),
            out,
            |_| Reply::done(),
        );
        // The newest that waits goes first: whatever is below it is overtaken, and answered with it.
        let wanted = self.calls.iter().filter_map(|call| match &call.asked {
            Asked::Replace(document) => Some(document),
            Asked::Read { .. } => None,
        });
        if let Some(document) = wanted.max_by_key(|d| d.version).cloned() {
            self.holding_since = self.now;
            self.agree(out, |a, acts| a.hold(document, acts));
        }
    }

    /// Reads that wait are begun again in a new epoch.
    pub(super) fn ask_again(&mut self, acts: &mut Vec<Act>) {
        for call in &mut self.calls {
            if let Asked::Read { nonce } = &mut call.asked {
                self.nonce += 1;
                *nonce = self.nonce;
                self.agreement.check(self.nonce, acts);
            }
        }
    }
}
