//! Ceilings: hard rate limits, enforced without communication by an equal token bucket per gatekeeper.
use super::*;

/// Share of a ceiling's slack that is used; the rest absorbs rounding.
const SLACK_USED: f64 = 0.9;

/// Refills a customer's bucket up to `now`. After a handover it gets no refill: the successor has it.
pub(super) fn fill(c: &mut Customer, p: &Plan, now: Micros, handed_over: bool) {
    let depth = (p.ceiling_burst + p.ceiling_slack * SLACK_USED) / c.gatekeepers;
    let fill = if handed_over { 0.0 } else { p.ceiling_rate / c.gatekeepers * secs(now - c.ceiling_at) };
    (c.ceiling, c.ceiling_at) = ((c.ceiling + fill).min(depth), now);
}

/// Time until an empty bucket is full again, µs: 0 without a ceiling.
pub(super) fn time_to_fill(p: &Plan) -> f64 {
    let span = (p.ceiling_burst + p.ceiling_slack) / p.ceiling_rate.max(1e-9) * 1e6;
    f64::from(p.ceiling_rate > 0.0) * span
}

impl Gatekeeper {
    pub(super) fn ceiling_allows(&self, r: &OpenRequest) -> bool {
        let enough = |c: &Customer| c.ceiling >= r.units;
        self.plan(&r.key).ceiling_rate <= 0.0 || self.customers.get(&r.key).is_some_and(enough)
    }
}
