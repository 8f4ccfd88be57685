//! The shutdown schedule of a gatekeeper, and which requests it still admits.
//!
//! The platform kills the process at the end of its grace period. Every request that was received must be
//! answered before, so a request is admitted only if its answer is expected in time: its deadline is before
//! the end, or it arrives early and its service usually answers well before the end. All others are refused
//! at once, without execution.

use crate::Millis;

/// Time between the last answers and the end of the grace period, for them to be written and delivered.
const ANSWER_MARGIN: Millis = 600;
/// The final part of the grace period, as a divisor. Abandoning a server that is still working is considered
/// this process's fault before this part, but not within it.
const FINAL_PART: Millis = 6;
/// Time before the end of the grace period at which the process ends in any case.
const END_MARGIN: Millis = 300;
/// How long requests are admitted based on the usual latency of their service alone. A server that is still
/// working on such a request at the end of the grace period isn't considered this process's fault; the rule
/// permits this for 3 s from the signal.
const EARLY_PHASE: Millis = 2_500;
/// How many times the usual latency must fit into the remaining time.
const USUAL_LATENCIES: Millis = 2;
/// How long new connections are accepted: until the platform has noticed that this gatekeeper isn't ready.
const ACCEPT_PHASE: Millis = 2_600;

/// The times of the shutdown phases, on the gatekeeper's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    begun: Millis,
    grace: Millis,
}

impl Drain {
    /// Starts the schedule now; the platform kills the process after `grace` ms.
    pub fn new(now: Millis, grace: Millis) -> Drain {
        Drain { begun: now, grace }
    }

    /// When the gatekeeper stops accepting connections.
    pub fn accepts_until(&self) -> Millis {
        self.begun + ACCEPT_PHASE.min(self.grace / 2)
    }

    /// When pending requests are answered without waiting for their servers any longer.
    pub fn gives_up_at(&self) -> Millis {
        self.begun + self.grace - ANSWER_MARGIN.min(self.grace / FINAL_PART)
    }

    /// When the process ends regardless of pending work.
    pub fn ends_at(&self) -> Millis {
        self.begun + self.grace - END_MARGIN.min(self.grace / FINAL_PART / 2)
    }

    /// The deadline during shutdown of a request that would have had `deadline`, at a service whose usual
    /// latency is `usual`; `None` if it isn't expected to be answered before the process ends.
    pub fn deadline(&self, now: Millis, deadline: Millis, usual: Millis) -> Option<Millis> {
        let end = self.gives_up_at();
        let is_early = now < self.begun + EARLY_PHASE.min(self.grace / 2);
        let is_likely = is_early && now + usual * USUAL_LATENCIES <= end;
        (deadline <= end || is_likely).then_some(deadline.min(end))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use googletest::prelude::*;

    #[gtest]
    fn a_request_is_admitted_only_if_its_answer_is_expected_before_the_end() {
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
    fn no_working_server_is_abandoned_before_the_last_sixth_of_the_grace_period() {
        for grace in [1, 600, 2_000, 3_000, 3_599, 6_000, 30_000] {
            let left = Drain::new(7, grace).gives_up_at() - 7;
            expect_that!(left * 6, ge(grace * 5), "{grace}");
        }
    }

    #[gtest]
    fn the_phases_are_in_order_for_any_grace_period() {
        for grace in [0, 1, 200, 500, 1_000, 6_000, 10_000, 600_000] {
            let drain = Drain::new(7, grace);
            expect_that!(drain.accepts_until(), le(drain.gives_up_at().max(7 + grace / 2)), "{grace}");
            expect_that!(drain.gives_up_at(), le(drain.ends_at()), "{grace}");
            expect_that!(drain.ends_at(), le(7 + grace), "{grace}");
        }
    }
}
