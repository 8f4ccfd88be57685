//! The schedule by which a gatekeeper that has been told to end does so, and what it still takes in.
//!
//! The platform kills the process when its grace period is over. Before that every request that was read must have its
//! answer, so a request is let in only if its answer will come in time: its deadline lies before the end, or it comes
//! early and its service is usually done well before the end. Everything else is refused at once, unexecuted.

use crate::Millis;

/// Time between the last answers and the end of the grace period: for them to be written, and delivered.
const ANSWER_MARGIN: Millis = 600;
/// The last part of the grace period, one in so many: a server that is still at work then is not held against this
/// process, before it is.
const LAST_PART: Millis = 6;
/// Time before the end of the grace period at which the process ends in any case.
const END_MARGIN: Millis = 300;
/// How long requests are let in by the usual time of their service alone. A server that is still at work on one of
/// them at the end of the grace period is not held against this process; the rule has 3 s from the signal.
const BY_USUAL_TIME: Millis = 2_500;
/// How often the usual time of an answer must fit into what is left.
const USUAL_TIMES: Millis = 2;
/// How long new connections are taken: until the platform has seen that this gatekeeper is not ready.
const ACCEPT: Millis = 2_600;

/// When each phase of the end comes, on the clock of the gatekeeper.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    begun: Millis,
    grace: Millis,
}

impl Drain {
    /// Begins now, with so much time until the platform kills the process.
    pub fn new(now: Millis, grace: Millis) -> Drain {
        Drain { begun: now, grace }
    }

    /// When no more connections are taken.
    pub fn accepts_until(&self) -> Millis {
        self.begun + ACCEPT.min(self.grace / 2)
    }

    /// When requests that have no answer yet are answered without waiting for their servers any longer.
    pub fn gives_up_at(&self) -> Millis {
        self.begun + self.grace - ANSWER_MARGIN.min(self.grace / LAST_PART)
    }

    /// When the process ends whatever is left.
    pub fn ends_at(&self) -> Millis {
        self.begun + self.grace - END_MARGIN.min(self.grace / LAST_PART / 2)
    }

    /// Until when a request may take that would have had until `deadline`, at a service that usually takes `usual`;
    /// `None` if it can't be expected to be answered before the process ends.
    pub fn deadline(&self, now: Millis, deadline: Millis, usual: Millis) -> Option<Millis> {
        let end = self.gives_up_at();
        let is_early = now < self.begun + BY_USUAL_TIME.min(self.grace / 2);
        let is_likely = is_early && now + usual * USUAL_TIMES <= end;
        (deadline <= end || is_likely).then_some(deadline.min(end))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use googletest::prelude::*;

    #[gtest]
    fn a_request_is_let_in_only_if_its_answer_comes_before_the_end() {
        let drain = Drain::new(10_000, 6_000);
        expect_that!(drain.gives_up_at(), eq(15_400));
        for (situation, now, deadline, usual, allowed) in [
            ("ends in time", 10_000, 15_400, 9_000, Some(15_400)),
            ("ends in time, late", 15_000, 15_400, 9_000, Some(15_400)),
            ("early, usually quick", 10_100, 25_000, 1_300, Some(15_400)),
            ("early, usually slow", 10_100, 25_000, 2_700, None),
            ("late, usually quick", 12_500, 25_000, 10, None),
            ("late, ends a little late", 12_500, 15_401, 10, None),
        ] {
            expect_that!(drain.deadline(now, deadline, usual), eq(allowed), "{situation}");
        }
    }

    #[gtest]
    fn no_server_at_work_is_left_before_the_last_sixth_of_the_grace_period() {
        for grace in [1, 600, 2_000, 3_000, 3_599, 6_000, 30_000] {
            let left = Drain::new(7, grace).gives_up_at() - 7;
            expect_that!(left * 6, ge(grace * 5), "{grace}");
        }
    }

    #[gtest]
    fn the_phases_come_in_order_however_short_the_grace_period_is() {
        for grace in [0, 1, 200, 500, 1_000, 6_000, 10_000, 600_000] {
            let drain = Drain::new(7, grace);
            expect_that!(drain.accepts_until(), le(drain.gives_up_at().max(7 + grace / 2)), "{grace}");
            expect_that!(drain.gives_up_at(), le(drain.ends_at()), "{grace}");
            expect_that!(drain.ends_at(), le(7 + grace), "{grace}");
        }
    }
}
