//! Clients: they come when they come, wait for as long as they please, and try again.

use super::*;
use crate::experiment::Effect as Kind;
use crate::results::{End, Over};

/// A connection to a gatekeeper that is no more is refused within this.
const REFUSED_WITHIN: Micros = 1_000;

impl World<'_> {
    /// A request is due; so is the next one, some time later.
    pub(super) fn arrival(&mut self) {
        if self.now >= self.end {
            return;
        }
        let usual = self.traffic.rates();
        let surged = usual.iter().enumerate().map(|(plan, rate)| rate * self.wrong.surge(plan));
        let rates: Vec<f64> = surged.collect();
        let one_offs = usual.iter().sum::<f64>() * self.wrong.one_offs;
        let rate = rates.iter().sum::<f64>() + one_offs;
        let gap = Traffic::gap(rate, &mut self.arrivals);
        self.queue.push(self.now + gap, Next::Arrival);
        let what = self.traffic.next(&rates, one_offs, &mut self.arrivals);
        let customer = what.customer.unwrap_or_else(|| {
            self.next_stranger -= 1;
            let stranger = self.traffic.stranger(what.plan, &mut self.sets);
            self.strangers.insert(self.next_stranger, stranger);
            self.next_stranger
        });
        let honours = self.arrivals.random_bool(self.experiment.traffic.honours.0);
        let plan = &self.settings.plans[what.plan];
        let fresh = Store { level: plan.burst, at: self.now };
        let inside = self.asked_inside.entry(customer).or_insert(fresh).takes(self.now, plan, what.units);
        let class = &self.experiment.classes[what.class];
        let worth = class.worth.0 * what.units;
        let offered = if inside { worth } else { plan.over_quota_value * worth };
        let (due, deadline) = (self.now, self.now + class.deadline_s.micros());
        self.next += 1;
        let asked = self.next;
        self.requests
            .insert(asked, Wanted { what, due, deadline, customer, tries: 0, offered, zone: None, honours });
        self.comes(asked);
    }

    /// A client comes with a try, through one of its customer's gatekeepers.
    pub(super) fn comes(&mut self, asked: u64) {
        let Some(request) = self.requests.get_mut(&asked) else { return };
        let customer = match self.strangers.get(&request.customer) {
            Some(stranger) => stranger,
            None => self.traffic.customer(request.customer),
        };
        request.tries += 1;
        let class = &self.experiment.classes[request.what.class];
        let last = request.tries > self.experiment.traffic.retries;
        let left = request.deadline.saturating_sub(self.now);
        let patience = (class.deadline_s.micros() as f64 * self.experiment.traffic.try_share.0) as Micros;
        let until = self.now + if last { left } else { patience.max(1).min(left) };
        // The front passes over those of which it knows that they are gone.
        let n = self.gates.len();
        let drawn = customer.draws(&mut self.clients);
        let row = (0..customer.spread).map(|step| (customer.first + (drawn + step) % customer.spread) % n);
        let up = |gate: &usize| self.gates[*gate].decider.is_some() || self.now < self.gates[*gate].noticed;
        let first = (customer.first + drawn) % n;
        let gatekeeper = row.into_iter().find(up).unwrap_or(first);
        let gate = &self.gates[gatekeeper];
        request.zone.get_or_insert(gate.zone);
        self.gatherer.run().tries += 1;
        self.next += 1;
        let id = self.next;
        let (life, attempts) = (gate.life, Vec::new());
        let it = Try { asked, gatekeeper, life, until, attempts, ended: false, over: false, inside: false };
        self.tries.insert(id, it);
        if self.gates[gatekeeper].decider.is_none() {
            let (answer, wait) = (Answer::Failed, 0);
            return self.queue.push(self.now + REFUSED_WITHIN, Next::Answered { id, answer, wait });
        }
        self.queue.push(self.now + CLIENT_WAY, Next::Reached(id));
        self.queue.push(until + ANSWER_SLACK, Next::GivesUp(id));
    }

    /// A try has come to its gatekeeper whole.
    pub(super) fn reached(&mut self, id: u64) {
        let Some(it) = self.tries.get(&id) else { return };
        let (gatekeeper, life, until, asked) = (it.gatekeeper, it.life, it.until, it.asked);
        if self.gates[gatekeeper].life != life || self.gates[gatekeeper].decider.is_none() {
            let (answer, wait) = (Answer::Failed, 0);
            return self.queue.push(self.now + CLIENT_WAY, Next::Answered { id, answer, wait });
        }
        let Some(request) = self.requests.get(&asked) else { return };
        let (what, customer) = (request.what, request.customer);
        let spread = self
            .strangers
            .get(&customer)
            .map_or_else(|| self.traffic.customer(customer).spread, |stranger| stranger.spread);
        let class = &self.settings.classes[what.class];
        self.oracle.taken(id, gatekeeper, until, class.effect, class.key_window);
        let event = Event::Request(Request {
            id: RequestId(id.to_string()),
            customer: CustomerId(format!("{customer:x}")),
            class: Some(ClassId(what.class)),
            plan: Some(PlanId(what.plan)),
            units: what.guess,
            gatekeepers: spread as u32,
            time_left: until.saturating_sub(self.now + CLIENT_WAY),
            body_received: true,
        });
        self.hears(gatekeeper, life, event);
    }

    /// A gatekeeper's own final answer.
    pub(super) fn final_answer(&mut self, request: &RequestId, answer: Answer, wait: Micros) {
        let Ok(id) = request.0.parse::<u64>() else { return };
        self.oracle.answered(self.now, id, answer);
        let Some(it) = self.tries.get_mut(&id) else { return };
        it.ended = true;
        self.queue.push(self.now + CLIENT_WAY, Next::Answered { id, answer, wait });
    }

    /// A client hears how its try ended.
    pub(super) fn answered(&mut self, id: u64, answer: Answer, wait: Micros) {
        let Some(it) = self.tries.get_mut(&id).filter(|it| !it.over) else { return };
        it.over = true;
        let (asked, inside) = (it.asked, it.inside);
        self.forget(id);
        match answer {
            Answer::Served => self.is_over(asked, End::InTime, Some(inside)),
            Answer::Refused | Answer::Failed => self.tries_again(asked, answer, wait),
        }
    }

    /// A client has waited for as long as it would.
    pub(super) fn gives_up(&mut self, id: u64) {
        let Some(it) = self.tries.get_mut(&id).filter(|it| !it.over) else { return };
        (it.over, it.ended) = (true, true);
        let (asked, gatekeeper, life) = (it.asked, it.gatekeeper, it.life);
        self.oracle.left(self.now, id);
        self.hears(gatekeeper, life, Event::ClientGone(RequestId(id.to_string())));
        self.forget(id);
        self.tries_again(asked, Answer::Failed, 0);
    }

    fn tries_again(&mut self, asked: u64, answer: Answer, wait: Micros) {
        let Some(request) = self.requests.get(&asked) else { return };
        let traffic = &self.experiment.traffic;
        let class = &self.experiment.classes[request.what.class];
        let harmless = match (class.effect, answer) {
            (_, Answer::Refused) | (Kind::Idempotent, _) => true,
            (Kind::Deduplicated, _) => self.now < request.due + class.key_s.micros(),
            (Kind::AtMostOnce, _) => false,
        };
        let pause = traffic.backoff_s.micros() as f64 * self.clients.random_range(0.5..1.5);
        let told = if request.honours { wait } else { 0 };
        let at = self.now + told.max(pause as Micros);
        if harmless && request.tries <= traffic.retries && at < request.deadline {
            return self.queue.push(at, Next::Comes(asked));
        }
        let end = if answer == Answer::Refused { End::Refused } else { End::Failed };
        self.is_over(asked, end, None);
    }

    /// A request is over; for one that was served, whether inside its quota.
    pub(super) fn is_over(&mut self, asked: u64, end: End, inside: Option<bool>) {
        let Some(request) = self.requests.remove(&asked) else { return };
        self.strangers.remove(&request.customer);
        let class = &self.experiment.classes[request.what.class];
        let late = end == End::InTime && self.now > request.due + class.aim_s.micros();
        let end = if late { End::Late } else { end };
        let worth = class.worth.0 * request.what.units;
        let earns = match inside {
            Some(true) => worth,
            Some(false) => self.settings.plans[request.what.plan].over_quota_value * worth,
            None => 0.0,
        };
        self.gatherer.over(&Over {
            due: request.due,
            ended: self.now,
            class: request.what.class,
            plan: request.what.plan,
            zone: request.zone.unwrap_or_default(),
            end,
            offered: request.offered,
            // Nobody earns more with a request than it was worth when it was due.
            served: if end == End::InTime { earns.min(request.offered) } else { 0.0 },
        });
    }

    /// A try of which nothing is out, and that is over for its client, is no more.
    pub(super) fn forget(&mut self, id: u64) {
        let done = |it: &Try| it.over && it.ended && it.attempts.iter().all(|attempt| !attempt.out);
        if self.tries.get(&id).is_some_and(done) {
            self.tries.remove(&id);
        }
    }
}
