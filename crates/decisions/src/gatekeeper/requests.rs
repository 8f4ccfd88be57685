//! Requests from arrival to first dispatch: deadline, late retries, admission.
use super::*;

/// Share of the concurrency limit below which soft plans may send over quota.
const SPARE_SHARE: f64 = 0.5;
/// Tolerance within which two client timeouts count as equal, as a share of the class's deadline; by how many
/// tries a value must be ahead of all others to be taken as usual; the most it may be ahead.
const CLIENT_TIMEOUT: (f64, u32, u32) = (0.005, 8, 64);
/// Share of a class's typical latency that must remain of the target latency for a request to be sent.
const MIN_TIME_LEFT: f64 = 0.5;

impl Gatekeeper {
    pub(super) fn on_request(&mut self, r: Request, out: &mut Vec<Action>) {
        if self.requests.contains_key(&r.id) {
            return;
        }
        let unknown = Class { aim: r.time_left / 2, deadline: r.time_left, ..Class::default() };
        let known = r.class.and_then(|c| self.settings.classes.get(c.0).map(|class| (c.0, class.clone())));
        let (class_index, class) = known.unwrap_or((self.settings.classes.len(), unknown));
        // An unknown plan allows nothing, nor does an expired request; a late one would take quota and
        // capacity from requests that can still be served in time.
        let plan = r.plan.filter(|p| p.0 < self.settings.plans.len() && r.time_left > self.margin());
        let Some(plan) = plan.filter(|_| !self.is_late_try(class_index, &class, r.time_left)) else {
            return out.push(Action::Refuse { request: r.id, retry_after: 0 });
        };
        let units = if r.units.is_finite() { r.units.max(0.0) } else { 1.0 };
        let key = self.customer_entry(plan.0, r.customer, r.gatekeepers);
        let (id, arrived, client_timeout) = (r.id, self.now, r.time_left);
        let (deadline, uploading) = (arrived + client_timeout, !r.body_received);
        let open = OpenRequest { key: key.clone(), class, class_index, units, arrived, ..Default::default() };
        self.requests.insert(id.clone(), OpenRequest { client_timeout, deadline, uploading, ..open });
        self.set_deadline(&id, client_timeout, out);
        // A close decision waits for a current total, unless no call is allowed now. One call adds the units
        // and reads the total; a later call gives them back if the request is refused.
        if self.needs_total(&key, units) {
            self.customers.entry(key.clone()).and_modify(|c| c.pending += units);
            let scale = self.push(&key, units, out);
            if let (Some(c), Some(r)) = (self.customers.get_mut(&key), self.requests.get_mut(&id)) {
                r.counted = units * scale;
                c.counted += r.counted;
                c.pending -= if scale > 0.0 { 0.0 } else { units };
                if c.open_calls > 0 {
                    return c.waiting.push(id);
                }
            }
        }
        self.admit(&id, out);
    }

    /// Answers are given this long before the client's timeout.
    pub(super) fn margin(&self) -> Micros {
        2 * self.settings.resolution.max(1)
    }

    fn set_deadline(&mut self, id: &RequestId, left: Micros, out: &mut Vec<Action>) {
        self.timers.insert(self.next_timer, id.clone());
        let after = left.saturating_sub(self.margin());
        out.push(Action::SetTimer { token: TimerToken(self.next_timer), after });
        self.next_timer += 1;
    }

    /// The time limit of a request and its attempts starts at the last byte of its body.
    pub(super) fn on_body_received(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(r) = self.requests.get_mut(id).filter(|r| r.uploading) else { return };
        (r.uploading, r.arrived, r.deadline) = (false, now, now + r.client_timeout);
        r.attempts.iter_mut().filter(|a| a.in_flight).for_each(|a| a.sent = now);
        let client_timeout = r.client_timeout;
        self.set_deadline(id, client_timeout, out);
    }

    /// Whether a try arrives too late for its request's target latency. Clients use one timeout for all tries
    /// but the last, which lasts until their overall deadline: that reveals when the first one was.
    fn is_late_try(&mut self, class_index: usize, class: &Class, client_timeout: Micros) -> bool {
        let Some((usual, ahead)) = self.timeouts.get_mut(class_index) else { return false };
        if client_timeout.abs_diff(*usual) as f64 <= CLIENT_TIMEOUT.0 * class.deadline as f64 {
            *ahead = (*ahead + 1).min(CLIENT_TIMEOUT.2);
            return false;
        }
        if *ahead == 0 {
            (*usual, *ahead) = (client_timeout, 1);
            return false;
        }
        let known = *ahead >= CLIENT_TIMEOUT.1;
        *ahead -= 1;
        let since_first = class.deadline.saturating_sub(client_timeout) as f64;
        known && since_first + MIN_TIME_LEFT * self.latencies[class_index] > class.aim as f64
    }

    /// Charges a request and dispatches it, or refuses it when its customer is over quota.
    pub(super) fn admit(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(id).filter(|r| !r.charged) else { return };
        let (key, units, counted, closed) = (r.key.clone(), r.units, r.counted, r.closed);
        self.customers.entry(key.clone()).and_modify(|c| c.counted -= counted);
        let refusal = if closed { Some(0) } else { self.quota_wait(&key, units, counted) };
        // Soft plans may exceed their quota where no request within quota has to wait for it.
        let spare = !closed
            && self.is_soft(&key)
            && self.queue.is_empty()
            && self.in_flight < SPARE_SHARE * self.concurrency_limit();
        if let (Some(wait), false) = (refusal, spare) {
            self.charge(&key, 0.0, if counted > 0.0 { -units } else { 0.0 });
            return self.finish(id, Completion::Refused(wait), out);
        }
        // Requests over quota take nothing from it.
        let inside = if refusal.is_none() { units } else { 0.0 };
        self.requests.entry(id.clone()).and_modify(|r| (r.charged, r.over_quota) = (true, refusal.is_some()));
        self.customers.entry(key.clone()).and_modify(|c| c.open += 1.0);
        self.charge(&key, inside, if counted > 0.0 { inside - units } else { inside });
        self.dispatch_or_queue(id, out);
    }
}
