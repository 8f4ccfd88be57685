//! The state of one request: which servers it is sent to, and its single final answer.
//!
//! A request that may be executed only once is retried at another server only if it certainly wasn't
//! executed. Each request is answered exactly once, as soon as its outcome is known; 429 and 503 are only
//! returned for requests that weren't and won't be executed.

use crate::servers::Observation;
use crate::Millis;
use granitelead_common::configuration::RetrySafety;
use granitelead_common::error_kinds::ErrorKind;
use std::rc::Rc;

/// Minimum time before the deadline for another attempt, as a fraction of the usual latency.
const RETRY_TIME_FRACTION: f64 = 0.5;
/// Fraction of the target latency that a request may wait for a server with free capacity.
const QUEUE_FRACTION: f64 = 0.2;
/// Fraction of the remaining time after which a hedged request is sent to another server, if the request is
/// repeatable.
const HEDGE_FRACTION: f64 = 0.6;

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer from the intended server, with its status.
    Answer(u16),
    /// The server states that it didn't execute the request.
    Rejected,
    /// Another server is at the address; it didn't execute the request.
    Misdirected,
    /// Nothing was sent.
    NotSent,
    /// The request was sent, and no complete answer was received.
    Broken,
    /// The request was sent, and nothing was received in time.
    TimedOut,
}

/// The next step of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Next {
    /// Select a server for another attempt.
    Send,
    /// Forward the answer that was received.
    Forward,
    /// Answer with this error.
    End(ErrorKind),
}

/// One request, from its receipt to its answer.
#[derive(Clone, Debug)]
pub struct RequestState {
    /// Whether the request may be executed more than once.
    pub repeats: RetrySafety,
    /// When it was received.
    pub received_at: Millis,
    /// When it must be answered.
    pub deadline: Millis,
    /// The target latency, ms.
    pub target_latency: Millis,
    /// Maximum number of attempts.
    pub attempts: u32,
    /// The servers that were tried.
    pub tried: Vec<Rc<str>>,
    /// Whether any server may have executed it.
    pub may_have_executed: bool,
}

impl RequestState {
    /// Until when the request may wait for a server with free capacity.
    pub fn queue_until(&self) -> Millis {
        (self.received_at + (self.target_latency as f64 * QUEUE_FRACTION) as Millis).min(self.deadline)
    }

    /// What an attempt that took this long shows about its server.
    pub fn observation(outcome: &Outcome, took: Millis) -> Observation {
        match outcome {
            Outcome::Answer(200..=299) => Observation::Success(took),
            Outcome::Answer(500..) | Outcome::Broken | Outcome::TimedOut => Observation::Failed,
            Outcome::Answer(_) => Observation::Neutral,
            Outcome::Rejected => Observation::AtCapacity,
            Outcome::Misdirected | Outcome::NotSent => Observation::Unreachable,
        }
    }

    /// Determines the next step after an attempt ended. `usual` is the usual latency, ms; `budget` is called
    /// only if everything else permits another attempt.
    pub fn on_outcome(
        &mut self,
        now: Millis,
        outcome: &Outcome,
        usual: f64,
        budget: impl FnOnce() -> bool,
    ) -> Next {
        let may_have_executed = matches!(outcome, Outcome::Answer(_) | Outcome::Broken | Outcome::TimedOut);
        self.may_have_executed |= may_have_executed;
        let failed = match outcome {
            Outcome::Answer(status) => *status >= 500,
            _ => true,
        };
        if !failed {
            return Next::Forward;
        }
        let allowed = self.repeats == RetrySafety::Idempotent || !self.may_have_executed;
        if allowed && self.has_time_for_retry(now, usual) && self.has_attempts() && budget() {
            return Next::Send;
        }
        match outcome {
            Outcome::Answer(_) => Next::Forward,
            _ => Next::End(self.final_error(now)),
        }
    }

    /// When a server to which the request is sent now is overdue, so that a hedged request may be sent to
    /// another; `None` if no other attempt is permitted.
    pub fn overdue_at(&self, now: Millis) -> Option<Millis> {
        let left = self.deadline.saturating_sub(now);
        let hedge_delay = (left as f64 * HEDGE_FRACTION) as Millis;
        (self.may_hedge() && hedge_delay > 0).then_some(now + hedge_delay)
    }

    /// Whether to send a hedged request to another server while the overdue one continues; the first answer
    /// is forwarded. `usual` and `budget` are as in [`RequestState::on_outcome`].
    pub fn should_hedge(&self, now: Millis, usual: f64, budget: impl FnOnce() -> bool) -> bool {
        self.may_hedge() && self.has_time_for_retry(now, usual) && budget()
    }

    fn may_hedge(&self) -> bool {
        self.repeats == RetrySafety::Idempotent && self.has_attempts()
    }

    fn has_attempts(&self) -> bool {
        (self.tried.len() as u32) < self.attempts
    }

    fn has_time_for_retry(&self, now: Millis, usual: f64) -> bool {
        now as f64 + RETRY_TIME_FRACTION * usual < self.deadline as f64
    }

    /// The error to answer with if no server's answer is forwarded.
    pub fn final_error(&self, now: Millis) -> ErrorKind {
        match (self.may_have_executed, now >= self.deadline) {
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
        RequestState {
            repeats,
            received_at: 0,
            deadline: 600,
            target_latency: 250,
            attempts: 2,
            tried,
            may_have_executed: false,
        }
    }

    #[gtest]
    fn a_non_repeatable_request_is_retried_only_if_it_certainly_was_not_executed() {
        for (outcome, once, safe) in [
            (Outcome::Answer(200), Next::Forward, Next::Forward),
            (Outcome::Answer(404), Next::Forward, Next::Forward),
            (Outcome::Answer(500), Next::Forward, Next::Send),
            (Outcome::Rejected, Next::Send, Next::Send),
            (Outcome::Misdirected, Next::Send, Next::Send),
            (Outcome::NotSent, Next::Send, Next::Send),
            (Outcome::Broken, Next::End(ErrorKind::Upstream), Next::Send),
            (Outcome::TimedOut, Next::End(ErrorKind::Upstream), Next::Send),
        ] {
            let next = request(RetrySafety::AtMostOnce).on_outcome(100, &outcome, 50.0, || true);
            expect_that!(next, eq(&once), "{outcome:?}");
            let next = request(RetrySafety::Idempotent).on_outcome(100, &outcome, 50.0, || true);
            expect_that!(next, eq(&safe), "{outcome:?}");
        }
    }

    #[gtest]
    fn retries_are_bounded_by_attempts_time_and_budget_and_503_is_only_for_unexecuted_requests() {
        let mut all_tried = request(RetrySafety::Idempotent);
        all_tried.tried.push("b".into());
        expect_that!(
            all_tried.on_outcome(100, &Outcome::Rejected, 50.0, || true),
            eq(&Next::End(ErrorKind::Overloaded))
        );
        expect_that!(
            all_tried.on_outcome(100, &Outcome::Broken, 50.0, || true),
            eq(&Next::End(ErrorKind::Upstream))
        );
        expect_that!(
            all_tried.on_outcome(100, &Outcome::Rejected, 50.0, || true),
            eq(&Next::End(ErrorKind::Upstream))
        );
        let mut late = request(RetrySafety::Idempotent);
        expect_that!(
            late.on_outcome(590, &Outcome::NotSent, 50.0, || true),
            eq(&Next::End(ErrorKind::Overloaded))
        );
        expect_that!(
            late.on_outcome(600, &Outcome::TimedOut, 50.0, || true),
            eq(&Next::End(ErrorKind::Deadline))
        );
        let mut without_budget = request(RetrySafety::Idempotent);
        expect_that!(
            without_budget.on_outcome(100, &Outcome::Rejected, 50.0, || false),
            eq(&Next::End(ErrorKind::Overloaded))
        );
    }
}
