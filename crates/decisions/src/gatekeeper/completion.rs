//! Completion: exactly one final answer for each request.
use super::*;

impl Gatekeeper {
    /// The only function that completes a request. A refusal promises that a retry is harmless, so it becomes
    /// a failure wherever an attempt may have had its effect.
    pub(super) fn finish(&mut self, id: &RequestId, completion: Completion, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(id) else { return };
        let was_open = !r.closed;
        r.closed = true;
        let ran = r.attempts.iter().any(|a| a.may_have_run);
        let harmless = match r.class.effect {
            Effect::Idempotent => true,
            Effect::Deduplicated => !ran || r.class.group == DedupGroup::All,
            Effect::AtMostOnce => !ran,
        };
        let (charged, never_sent) = (r.charged, r.attempts.is_empty());
        let (key, units) = (r.key.clone(), if r.over_quota { 0.0 } else { r.units });
        if was_open {
            match completion {
                Completion::Answered => {}
                Completion::Refused(wait) if harmless => {
                    out.push(Action::Refuse { request: id.clone(), retry_after: wait })
                }
                Completion::Refused(_) | Completion::Failed => out.push(Action::Fail(id.clone())),
            }
            if self.settings.limits.cancel && !r.streaming {
                for (n, _) in r.attempts.iter().enumerate().filter(|(_, a)| a.in_flight) {
                    out.push(Action::Cancel { request: id.clone(), attempt: n });
                }
            }
        }
        if !r.attempts.iter().any(|a| a.in_flight) {
            self.requests.remove(id);
        }
        if was_open && charged {
            self.customers.entry(key.clone()).and_modify(|c| c.open -= 1.0);
            if never_sent {
                // Quotas count only requests that were sent to a server.
                self.charge(&key, -units, -units);
            }
        }
    }
}
