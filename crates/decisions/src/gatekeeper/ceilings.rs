//! Ceilings, which all gatekeepers together never pass: each keeps an even part, spent as it sends.
use super::*;

/// Part of a ceiling's slack that is used; the rest covers rounding.
const SLACK_USED: f64 = 0.9;

/// Fills a customer's part up to the present. Once a successor has the other half, nothing comes to it.
pub(super) fn fill(c: &mut Customer, p: &Plan, now: Micros, retired: bool) {
    let depth = (p.ceiling_burst + p.ceiling_slack * SLACK_USED) / c.gatekeepers;
    let fill = if retired { 0.0 } else { p.ceiling_rate / c.gatekeepers * secs(now - c.ceiling_at) };
    (c.ceiling, c.ceiling_at) = ((c.ceiling + fill).min(depth), now);
}

/// How long a part takes to be full again, µs: 0 without a ceiling.
pub(super) fn time_to_fill(p: &Plan) -> f64 {
    let span = (p.ceiling_burst + p.ceiling_slack) / p.ceiling_rate.max(1e-9) * 1e6;
    f64::from(p.ceiling_rate > 0.0) * span
}

impl Gatekeeper {
    /// Whether a request's first attempt keeps below its customer's ceiling.
    pub(super) fn ceiling_allows(&self, r: &Open) -> bool {
        let enough = |c: &Customer| c.ceiling >= r.units;
        self.plan(&r.key).ceiling_rate <= 0.0 || self.customers.get(&r.key).is_some_and(enough)
    }
}
