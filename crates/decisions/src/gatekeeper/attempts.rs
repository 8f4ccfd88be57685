//! Attempts: dispatch to a server, handling of outcomes, retries and hedged requests.
use super::*;

/// Share of the target latency after which a hedged attempt may be sent, where hedging is allowed.
const HEDGE_SHARE: f64 = 0.75;
/// Typical latencies without any answer after which a server with attempts in flight counts as silent.
const SILENCE: f64 = 4.0;

impl Gatekeeper {
    /// Sends a request to the best eligible server. The only function that emits `Action::Send`.
    pub(super) fn dispatch(&mut self, id: &RequestId, out: &mut Vec<Action>) -> bool {
        let Some(key) = self.requests.get(id).map(|r| r.key.clone()) else { return false };
        // Concurrency limit: a limit below one attempt is enforced by pausing between sends.
        let limit = self.concurrency_limit();
        if self.in_flight >= limit.max(1.0) || (limit < 1.0 && self.now < self.paused_until) {
            return false;
        }
        self.advance(&key);
        let Some(server) = self.select_server(id) else { return false };
        let Some(w) = self.servers.get(&server) else { return false };
        let (credit, warm) = (self.credit(w), self.warmth(w, self.now) >= 1.0);
        let Some(r) = self.requests.get_mut(id) else { return false };
        let Some(w) = self.servers.get_mut(&server) else { return false };
        if r.attempts.is_empty() {
            self.retry_budget = (self.retry_budget + RETRY_BUDGET.0).min(RETRY_BUDGET.1);
            self.customers.entry(r.key.clone()).and_modify(|c| c.ceiling -= r.units);
        }
        self.send_interval += ((self.now - self.last_send_at) as f64 - self.send_interval) * SMOOTHING.0;
        (self.last_send_at, self.in_flight) = (self.now, self.in_flight + 1.0);
        w.inflight += 1.0;
        (w.credit, w.credit_at) = (credit - 1.0, self.now);
        self.warm_sends += f64::from(warm);
        r.queued = false;
        let timeout = if r.uploading { r.client_timeout } else { r.deadline - self.now };
        r.attempts.push(Attempt::new(&w.info, self.now));
        out.push(Action::Send { request: id.clone(), server, timeout });
        true
    }

    pub(super) fn on_attempt_done(&mut self, done: AttemptDone, out: &mut Vec<Action>) {
        let (id, outcome) = (&done.request, done.outcome);
        let Some(r) = self.requests.get_mut(id) else { return };
        let Some(a) = r.attempts.get_mut(done.attempt).filter(|a| a.in_flight) else { return };
        a.in_flight = false;
        a.may_have_run = !matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent);
        let (server, sent) = (a.server, a.sent);
        let (class_index, key, units, target) = (r.class_index, r.key.clone(), r.units, r.class.aim);
        let true_units = done.true_units.filter(|n| n.is_finite() && !r.over_quota);
        self.learn(server, class_index, target, outcome, sent);
        if let (Some(n), Outcome::Ok) = (true_units, outcome) {
            self.advance(&key);
            self.charge(&key, n - units, n - units);
        }
        let Some(r) = self.requests.get_mut(id) else { return };
        if done.closed || r.closed || (outcome == Outcome::Ok && !r.streaming) {
            self.finish(id, Completion::Answered, out);
        } else if !r.attempts.iter().any(|a| a.in_flight) {
            self.retry(id, out);
        }
        self.dispatch_queued(out);
    }

    /// Retries where the retry budget and the time left allow it; otherwise finishes the request.
    fn retry(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(id) else { return };
        let ran = r.attempts.iter().any(|a| a.may_have_run);
        let not_repeatable = r.streaming || r.body_released || (ran && r.class.effect == Effect::AtMostOnce);
        let allowed =
            r.attempts.len() < self.settings.limits.max_attempts && self.now < r.arrived + r.class.aim;
        if !not_repeatable && allowed && self.retry_budget >= 1.0 {
            self.retry_budget -= 1.0;
            self.dispatch_or_queue(id, out);
        } else {
            self.finish(id, Completion::Refused(0), out);
        }
    }

    /// Hedges requests whose attempt is lost or overdue; without hedging, cancels a lost attempt for a retry.
    pub(super) fn hedge_or_cancel(&mut self, out: &mut Vec<Action>) {
        let open = self.requests.iter().filter(|(_, r)| !(r.closed || r.uploading));
        let ids: Vec<RequestId> = open.map(|(id, _)| id.clone()).collect();
        for id in ids {
            let Some(r) = self.requests.get_mut(&id) else { continue };
            let class_index = r.class_index;
            let mut running = r.attempts.iter_mut().enumerate().filter(|(_, a)| a.in_flight);
            let (Some((n, a)), None) = (running.next(), running.next()) else { continue };
            let age = (self.now - a.sent) as f64;
            // Lost: no answer in several typical latencies, nor to any other of its class at that server.
            let health = self.servers.get(&a.server).map(|w| (w.health[class_index].answered, w.slowness));
            let (answered, slowness) = health.unwrap_or((0, 1.0));
            let lost =
                age > SILENCE * slowness.clamp(1.0, 2.0) * self.latencies[class_index] && answered <= a.sent;
            let (first, server) = (lost && !a.suspected, a.server);
            a.suspected |= lost;
            let not_repeatable = r.streaming || r.body_released || r.class.effect == Effect::AtMostOnce;
            let (late, overdue) =
                (self.now > r.arrived + r.class.aim, age > HEDGE_SHARE * r.class.aim as f64);
            if first {
                self.record_failure(server, class_index);
            }
            if not_repeatable || late || self.retry_budget < 1.0 || !(lost || overdue) {
                continue;
            }
            if self.settings.limits.hedging {
                if self.dispatch(&id, out) {
                    self.retry_budget -= 1.0;
                }
            } else if lost && self.settings.limits.cancel {
                out.push(Action::Cancel { request: id, attempt: n });
            }
        }
    }
}
