//! A request from its taking to its first send: its time, its patience, its admission.
use super::*;

/// Part of the room that must be free for what a soft plan sends beyond its quota.
const SPARE: f64 = 0.5;
/// Part of a class's deadline within which two tries' patience counts as the same, and how far one value must
/// be ahead of all others in the latest tries, and may get, to be taken as usual.
const USUAL: (f64, u32, u32) = (0.005, 8, 64);
/// Part of a class's typical latency that a request must have left of its aim to be worth sending.
const WORTH_SENDING: f64 = 0.5;

impl Gatekeeper {
    pub(super) fn on_request(&mut self, r: Request, out: &mut Vec<Action>) {
        if self.requests.contains_key(&r.id) {
            return;
        }
        let unknown = Class { aim: r.time_left / 2, deadline: r.time_left, ..Class::default() };
        let known = r.class.and_then(|c| self.set.classes.get(c.0).map(|class| (c.0, class.clone())));
        let (class_ix, class) = known.unwrap_or((self.set.classes.len(), unknown));
        // A plan nobody described allows nothing, nor does no time left; one that comes late would take
        // quota and room from those who can be served in time.
        let plan = r.plan.filter(|p| p.0 < self.set.plans.len() && r.time_left > self.margin());
        let Some(plan) = plan.filter(|_| !self.comes_late(class_ix, &class, r.time_left)) else {
            return out.push(Action::Refuse { request: r.id, retry_after: 0 });
        };
        let units = if r.units.is_finite() { r.units.max(0.0) } else { 1.0 };
        let key = self.enter(plan.0, r.customer, r.gatekeepers);
        let (id, arrived, patience) = (r.id, self.now, r.time_left);
        let (deadline, uploading) = (arrived + patience, !r.whole);
        let open = Open { key: key.clone(), class, class_ix, units, arrived, ..Open::default() };
        self.requests.insert(id.clone(), Open { patience, deadline, uploading, ..open });
        self.set_deadline(&id, patience, out);
        // A close decision waits for a fresh total, unless no call may go out now. Its units go along: one
        // call counts and asks; they are given back with a later call if it is turned away.
        if self.unsure(&key, units) {
            self.customers.entry(key.clone()).and_modify(|c| c.pending += units);
            let stands_for = self.push(&key, units, out);
            if let (Some(c), Some(r)) = (self.customers.get_mut(&key), self.requests.get_mut(&id)) {
                r.prepaid = units * stands_for;
                c.prepaid += r.prepaid;
                c.pending -= if stands_for > 0.0 { 0.0 } else { units };
                if c.calls_out > 0 {
                    return c.waiting.push(id);
                }
            }
        }
        self.admit(&id, out);
    }

    /// Answers are given this much before a client's time is over.
    pub(super) fn margin(&self) -> Micros {
        2 * self.set.resolution.max(1)
    }

    fn set_deadline(&mut self, id: &RequestId, left: Micros, out: &mut Vec<Action>) {
        self.timers.insert(self.next_timer, id.clone());
        let after = left.saturating_sub(self.margin());
        out.push(Action::SetTimer { token: TimerToken(self.next_timer), after });
        self.next_timer += 1;
    }

    /// A request's time, and that of its attempts, begins with its last byte.
    pub(super) fn on_whole(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(r) = self.requests.get_mut(id).filter(|r| r.uploading) else { return };
        (r.uploading, r.arrived, r.deadline) = (false, now, now + r.patience);
        r.attempts.iter_mut().filter(|a| a.out).for_each(|a| a.sent = now);
        let patience = r.patience;
        self.set_deadline(id, patience, out);
    }

    /// Whether a try comes when its request's aim is as good as over. Clients wait a usual time for each try
    /// but the last, for which they wait until they give up for good: that tells when the first one was.
    fn comes_late(&mut self, class_ix: usize, class: &Class, patience: Micros) -> bool {
        let Some((usual, ahead)) = self.usual.get_mut(class_ix) else { return false };
        if patience.abs_diff(*usual) as f64 <= USUAL.0 * class.deadline as f64 {
            *ahead = (*ahead + 1).min(USUAL.2);
            return false;
        }
        if *ahead == 0 {
            (*usual, *ahead) = (patience, 1);
            return false;
        }
        let known = *ahead >= USUAL.1;
        *ahead -= 1;
        let since_first = class.deadline.saturating_sub(patience) as f64;
        known && since_first + WORTH_SENDING * self.typical[class_ix] > class.aim as f64
    }

    /// Charges a request and sends it on, or turns it away when its customer is beyond the quota.
    pub(super) fn admit(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(id).filter(|r| !r.charged) else { return };
        let (key, units, prepaid, closed) = (r.key.clone(), r.units, r.prepaid, r.closed);
        self.customers.entry(key.clone()).and_modify(|c| c.prepaid -= prepaid);
        let beyond = if closed { Some(0) } else { self.beyond_quota(&key, units, prepaid) };
        // Soft plans earn more beyond the quota than that costs: exempt, where nobody inside it goes short.
        let spare = !closed && self.is_soft(&key) && self.held.is_empty() && self.out < SPARE * self.room();
        if let (Some(wait), false) = (beyond, spare) {
            self.charge(&key, 0.0, if prepaid > 0.0 { -units } else { 0.0 });
            return self.finish(id, Ending::TurnedAway(wait), out);
        }
        // What goes on beyond the quota takes nothing from it.
        let inside = if beyond.is_none() { units } else { 0.0 };
        self.requests.entry(id.clone()).and_modify(|r| (r.charged, r.beyond) = (true, beyond.is_some()));
        self.customers.entry(key.clone()).and_modify(|c| c.open += 1.0);
        self.charge(&key, inside, if prepaid > 0.0 { inside - units } else { inside });
        self.dispatch_or_hold(id, out);
    }
}
