//! The next process of this gatekeeper: what it is told, and what stays here.
use super::*;

/// Customers that a successor is told of, at most.
const HANDED_MAX: usize = 20_000;

impl Gatekeeper {
    /// Hands over to a successor, which is this gatekeeper from now on. What still comes here goes by what is
    /// kept: half of each ceiling's store, of which nothing fills anew, and no cold server.
    pub fn hand_over(&mut self, now: Micros) -> Handover {
        self.now = self.now.max(now);
        let mut keys: Vec<Key> = self.customers.keys().cloned().collect();
        keys.sort_by_key(|key| std::cmp::Reverse(self.customers[key].seen));
        let whole = keys.len() <= HANDED_MAX;
        let mut customers = Vec::new();
        for key in keys.into_iter().take(HANDED_MAX) {
            self.advance(&key);
            let Some(c) = self.customers.get_mut(&key) else { continue };
            c.ceiling = c.ceiling.min(c.ceiling / 2.0);
            // What the counter has yet to hear from here will be the others' to the successor.
            let others = c.cur.others + (c.pending + c.flying).max(0.0);
            customers.push((key, Customer { cur: Slot { others, ..c.cur }, ..c.clone() }));
        }
        self.retired = true;
        Handover {
            now: self.now,
            // Customers that it is not told of have a full store, unless some had to be left out.
            started: if whole { self.started } else { self.now },
            customers,
            servers: self.servers.values().map(|w| Record::of(w, self.credit(w), self.now)).collect(),
            typical: self.typical.clone(),
            usual: self.usual.clone(),
            pressure: (self.pressure, self.unpressed, self.limit),
            answers: self.answers,
            call_gap: (self.call_gap, self.call_gap_good),
            carried: self.carried,
        }
    }

    /// Goes on where the process before stopped, as far as what it says fits the settings.
    pub fn take_over(&mut self, told: Handover) {
        if told.typical.len() != self.typical.len() || told.usual.len() != self.usual.len() {
            return;
        }
        self.now = self.now.max(told.now);
        (self.started, self.typical, self.usual) = (told.started, told.typical, told.usual);
        (self.pressure, self.unpressed, self.limit) = told.pressure;
        (self.answers, self.carried) = (told.answers, told.carried);
        (self.call_gap, self.call_gap_good) = told.call_gap;
        let plans = self.set.plans.len();
        self.customers.extend(told.customers.into_iter().filter(|(key, _)| key.0 < plans).take(TABLE_MAX));
        let classes = self.typical.len();
        for r in told.servers.into_iter().filter(|r| r.health.len() == classes) {
            if let Some(w) = self.servers.get_mut(&r.id).filter(|w| w.info.started == r.started) {
                r.restore(w);
            }
        }
    }

    /// The successor is no more: this process is the gatekeeper again. What it handed over counts as spent.
    pub fn carry_on(&mut self, now: Micros) {
        self.now = self.now.max(now);
        let keys: Vec<Key> = self.customers.keys().cloned().collect();
        keys.iter().for_each(|key| self.advance(key));
        (self.retired, self.started) = (false, self.now);
        for w in self.servers.values_mut() {
            (w.credit, w.credit_at) = (0.0, self.now);
        }
    }
}
