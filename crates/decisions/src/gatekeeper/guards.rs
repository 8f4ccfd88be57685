//! Checks that each send must pass: deadline, effect on repeats, draining, cold servers, ceilings.
use super::*;

/// Safety margin at the end of a deduplication window, µs.
const KEY_MARGIN: Micros = 50_000;

impl Gatekeeper {
    pub(super) fn may_send(&self, r: &OpenRequest, w: &Server) -> bool {
        let again = !r.attempts.is_empty();
        let tries_left = r.attempts.len() < self.settings.limits.max_attempts && !(again && r.body_released);
        let over = r.closed || r.streaming || (self.now >= r.deadline && !r.uploading);
        let second = r.attempts.iter().any(|a| a.in_flight) && !self.settings.limits.hedging;
        let listed = w.info.availability == Availability::Ready && !self.excluded.contains_key(&w.info.id);
        if over || !tries_left || second || !listed {
            return false;
        }
        if self.warmth(w, self.now) < 1.0 && (self.handed_over || self.credit(w) < 1.0) {
            return false;
        }
        let mut ran = r.attempts.iter().filter(|a| a.may_have_run).peekable();
        let effect_ok = match (r.class.effect, ran.peek()) {
            (_, None) | (Effect::Idempotent, _) => true,
            (Effect::AtMostOnce, Some(_)) => false,
            (Effect::Deduplicated, Some(first)) => {
                self.now + KEY_MARGIN < first.sent + r.class.key_window
                    && ran.all(|a| match r.class.group {
                        DedupGroup::All => true,
                        DedupGroup::Zone => a.zone == w.info.zone,
                        DedupGroup::Cell => a.zone == w.info.zone && a.cell == w.info.cell,
                    })
            }
        };
        effect_ok && (again || self.ceiling_allows(r))
    }
}
