//! Handover of state between two processes of this gatekeeper, as in an upgrade.
use super::*;

/// Customers that are handed over, at most; the most recently seen come first.
const MAX_HANDED_OVER: usize = 20_000;

impl Gatekeeper {
    /// Hands over to a successor process. Requests that still arrive here may use half of each ceiling's
    /// bucket, which is not refilled, and no cold server.
    pub fn hand_over(&mut self, now: Micros) -> Handover {
        self.now = self.now.max(now);
        let mut keys: Vec<Key> = self.customers.keys().cloned().collect();
        keys.sort_by_key(|key| std::cmp::Reverse(self.customers[key].seen));
        let whole = keys.len() <= MAX_HANDED_OVER;
        let mut customers = Vec::new();
        for key in keys.into_iter().take(MAX_HANDED_OVER) {
            self.advance(&key);
            let Some(c) = self.customers.get_mut(&key) else { continue };
            c.ceiling = c.ceiling.min(c.ceiling / 2.0);
            // Units that this process has yet to push are others' use from the successor's point of view.
            let others = c.cur.others + (c.pending + c.in_flight).max(0.0);
            customers.push((key, Customer { cur: Slot { others, ..c.cur }, ..c.clone() }));
        }
        self.handed_over = true;
        Handover {
            now: self.now,
            // Customers not handed over start with a full bucket, unless some had to be left out.
            started: if whole { self.started } else { self.now },
            customers,
            servers: self.servers.values().map(|w| Record::new(w, self.credit(w), self.now)).collect(),
            latencies: self.latencies.clone(),
            timeouts: self.timeouts.clone(),
            load: (self.latency_ratio, self.unloaded_ratio, self.server_limit),
            answers: self.answers,
            call_interval: (self.call_interval, self.good_interval),
            warm_rate: self.warm_rate,
        }
    }

    /// Continues from the state of the previous process, as far as it fits the settings.
    pub fn take_over(&mut self, state: Handover) {
        if state.latencies.len() != self.latencies.len() || state.timeouts.len() != self.timeouts.len() {
            return;
        }
        self.now = self.now.max(state.now);
        (self.started, self.latencies, self.timeouts) = (state.started, state.latencies, state.timeouts);
        (self.latency_ratio, self.unloaded_ratio, self.server_limit) = state.load;
        (self.answers, self.warm_rate) = (state.answers, state.warm_rate);
        (self.call_interval, self.good_interval) = state.call_interval;
        let plans = self.settings.plans.len();
        self.customers.extend(state.customers.into_iter().filter(|(key, _)| key.0 < plans).take(TABLE_SIZE));
        let classes = self.latencies.len();
        for r in state.servers.into_iter().filter(|r| r.health.len() == classes) {
            if let Some(w) = self.servers.get_mut(&r.id).filter(|w| w.info.started == r.started) {
                r.restore(w);
            }
        }
    }

    /// The successor has failed: resumes as the gatekeeper. What was handed over counts as used.
    pub fn resume(&mut self, now: Micros) {
        self.now = self.now.max(now);
        let keys: Vec<Key> = self.customers.keys().cloned().collect();
        keys.iter().for_each(|key| self.advance(key));
        (self.handed_over, self.started) = (false, self.now);
        for w in self.servers.values_mut() {
            (w.credit, w.credit_at) = (0.0, self.now);
        }
    }
}
