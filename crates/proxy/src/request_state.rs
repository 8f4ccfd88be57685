//! The state of one request: to which servers it goes, and what its one final answer is.
//!
//! A request that may run once goes on to another server only where it is certain that it has not run. Each ends once,
//! at once, and 429 and 503 are only said of what has not run and never will.

use crate::servers::Sign;
use crate::Millis;
use granitelead_common::configuration::RetrySafety;
use granitelead_common::error_kinds::ErrorKind;
use std::rc::Rc;

/// Time that must be left of a request's for another try to be worth it, in parts of a usual answer.
const WORTH: f64 = 0.5;
/// Part of the aim that a request may wait for a server.
const HOLD: f64 = 0.2;
/// Part of the time that is left in which a repeatable request's server must have answered, before another is asked
/// beside it.
const PATIENCE: f64 = 0.6;

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer of the server that was meant, to this request; with its status.
    Answer(u16),
    /// The server says that it did not run the request.
    TurnedAway,
    /// Another server is at the address; it did not run the request.
    Misdirected,
    /// Nothing was sent.
    NotSent,
    /// It was sent, and no whole answer to it came.
    Broken,
    /// It was sent, and nothing came in the time it had.
    Silent,
}

/// What is done next.
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    /// Look for a server.
    Send,
    /// Pass on the answer that has come.
    Pass,
    /// Answer so.
    End(ErrorKind),
}

/// One request from its reading to its answer.
#[derive(Clone, Debug)]
pub struct RequestState {
    /// Whether it may run more than once.
    pub repeats: RetrySafety,
    /// When it was read.
    pub begun: Millis,
    /// When its time is over.
    pub deadline: Millis,
    /// An answer by then has its full worth.
    pub aim: Millis,
    /// To how many servers it may go.
    pub attempts: u32,
    /// Those where it was.
    pub tried: Vec<Rc<str>>,
    /// Whether it may have run anywhere.
    pub may_have_run: bool,
}

impl RequestState {
    /// Until when it may wait for a server to have room.
    pub fn hold_until(&self) -> Millis {
        (self.begun + (self.aim as f64 * HOLD) as Millis).min(self.deadline)
    }

    /// What an attempt tells of its server, after so long.
    pub fn sign(outcome: &Outcome, took: Millis) -> Sign {
        match outcome {
            Outcome::Answer(200..=299) => Sign::Good(took),
            Outcome::Answer(500..) | Outcome::Broken | Outcome::Silent => Sign::Failed,
            Outcome::Answer(_) => Sign::Nothing,
            Outcome::TurnedAway => Sign::Full,
            Outcome::Misdirected | Outcome::NotSent => Sign::Absent,
        }
    }

    /// What follows from the end of an attempt. `usual` is a usual answer's time, ms; `budget` is asked for another
    /// try only where everything else allows one.
    pub fn on_outcome(
        &mut self,
        now: Millis,
        outcome: &Outcome,
        usual: f64,
        budget: impl FnOnce() -> bool,
    ) -> Next {
        let ran = matches!(outcome, Outcome::Answer(_) | Outcome::Broken | Outcome::Silent);
        self.may_have_run |= ran;
        let failed = match outcome {
            Outcome::Answer(status) => *status >= 500,
            _ => true,
        };
        if !failed {
            return Next::Pass;
        }
        let allowed = self.repeats == RetrySafety::Idempotent || !self.may_have_run;
        if allowed && self.is_worth_a_try(now, usual) && self.has_attempts() && budget() {
            return Next::Send;
        }
        match outcome {
            Outcome::Answer(_) => Next::Pass,
            _ => Next::End(self.ending(now)),
        }
    }

    /// When a server that is sent the request now is overdue, so that another may be asked beside it: never, where no
    /// other may have it.
    pub fn overdue_at(&self, now: Millis) -> Option<Millis> {
        let left = self.deadline.saturating_sub(now);
        let patience = (left as f64 * PATIENCE) as Millis;
        (self.may_hedge() && patience > 0).then_some(now + patience)
    }

    /// Whether another server is asked beside one that is overdue, which goes on working: whichever answers first is
    /// passed on. `usual` and `budget` are as in [`RequestState::on_outcome`].
    pub fn hedges(&self, now: Millis, usual: f64, budget: impl FnOnce() -> bool) -> bool {
        self.may_hedge() && self.is_worth_a_try(now, usual) && budget()
    }

    fn may_hedge(&self) -> bool {
        self.repeats == RetrySafety::Idempotent && self.has_attempts()
    }

    fn has_attempts(&self) -> bool {
        (self.tried.len() as u32) < self.attempts
    }

    fn is_worth_a_try(&self, now: Millis, usual: f64) -> bool {
        now as f64 + WORTH * usual < self.deadline as f64
    }

    /// The final answer where no server's is passed on.
    pub fn ending(&self, now: Millis) -> ErrorKind {
        match (self.may_have_run, now >= self.deadline) {
            (false, _) => ErrorKind::Overloaded,
            (true, false) => ErrorKind::Upstream,
            (true, true) => ErrorKind::Deadline,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use googletest::prelude::*;

    fn request(repeats: RetrySafety) -> RequestState {
        let tried = vec!["a".into()];
        RequestState { repeats, begun: 0, deadline: 600, aim: 250, attempts: 2, tried, may_have_run: false }
    }

    #[gtest]
    fn what_may_run_once_goes_on_only_where_it_certainly_did_not_run() {
        for (outcome, once, safe) in [
            (Outcome::Answer(200), Next::Pass, Next::Pass),
            (Outcome::Answer(404), Next::Pass, Next::Pass),
            (Outcome::Answer(500), Next::Pass, Next::Send),
            (Outcome::TurnedAway, Next::Send, Next::Send),
            (Outcome::Misdirected, Next::Send, Next::Send),
            (Outcome::NotSent, Next::Send, Next::Send),
            (Outcome::Broken, Next::End(ErrorKind::Upstream), Next::Send),
            (Outcome::Silent, Next::End(ErrorKind::Upstream), Next::Send),
        ] {
            let next = request(RetrySafety::AtMostOnce).on_outcome(100, &outcome, 50.0, || true);
            expect_that!(next, eq(&once), "{outcome:?}");
            let next = request(RetrySafety::Idempotent).on_outcome(100, &outcome, 50.0, || true);
            expect_that!(next, eq(&safe), "{outcome:?}");
        }
    }

    #[gtest]
    fn attempts_time_and_budget_bound_further_tries_and_only_what_did_not_run_is_promised_so() {
        let mut all_tried = request(RetrySafety::Idempotent);
        all_tried.tried.push("b".into());
        expect_that!(
            all_tried.on_outcome(100, &Outcome::TurnedAway, 50.0, || true),
            eq(&Next::End(ErrorKind::Overloaded))
        );
        expect_that!(
            all_tried.on_outcome(100, &Outcome::Broken, 50.0, || true),
            eq(&Next::End(ErrorKind::Upstream))
        );
        expect_that!(
            all_tried.on_outcome(100, &Outcome::TurnedAway, 50.0, || true),
            eq(&Next::End(ErrorKind::Upstream))
        );
        let mut late = request(RetrySafety::Idempotent);
        expect_that!(
            late.on_outcome(590, &Outcome::NotSent, 50.0, || true),
            eq(&Next::End(ErrorKind::Overloaded))
        );
        expect_that!(
            late.on_outcome(600, &Outcome::Silent, 50.0, || true),
            eq(&Next::End(ErrorKind::Deadline))
        );
        let mut poor = request(RetrySafety::Idempotent);
        expect_that!(
            poor.on_outcome(100, &Outcome::TurnedAway, 50.0, || false),
            eq(&Next::End(ErrorKind::Overloaded))
        );
    }
}
