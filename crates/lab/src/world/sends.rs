//! Attempts on their way: connections, servers at work, answers, time-outs.

use super::*;
use crate::model::server::Taken;

/// An idle connection is closed after this.
const CONN_IDLE: Micros = 30_000_000;
/// A connection that does not come up is given up after this.
const CONNECT_TIMEOUT: Micros = 250_000;
/// Part of the requests that fail at a server that fails.
const FAILING: f64 = 0.8;
/// An error takes this part of the work.
const ERROR_WORK: f64 = 0.05;

impl World<'_> {
    pub(super) fn sends(
        &mut self,
        gatekeeper: usize,
        request: &RequestId,
        server: ServerId,
        timeout: Micros,
    ) {
        let (Ok(id), Some(to)) = (request.0.parse::<u64>(), self.by_id.get(&server).copied()) else { return };
        let told = self.gates[gatekeeper].told.get(&server);
        let told = told.map(|(_, info, at)| (info.availability, *at));
        self.oracle.sent(self.now, id, server.0, told);
        let Some(it) = self.tries.get_mut(&id) else { return };
        let (asked, attempt) = (it.asked, it.attempts.len());
        let first = it.attempts.is_empty();
        self.next += 1;
        let job = self.next;
        let life = self.machines[to].life;
        it.attempts.push(Attempt { server: to, life, sent: self.now, out: true, connected: false, job });
        self.jobs.insert(job, (id, attempt));
        self.gatherer.run().attempts += 1;
        if first {
            self.first_send(id, asked);
        }
        self.queue.push(self.now + timeout.max(1), Next::Ends { id, attempt, outcome: Outcome::Timeout });
        self.connects(gatekeeper, id, attempt, to);
    }

    /// The first attempt of a try takes its units from quota and ceiling.
    fn first_send(&mut self, id: u64, asked: u64) {
        let Some(request) = self.requests.get(&asked) else { return };
        let (what, customer) = (request.what, request.customer);
        let plan = &self.settings.plans[what.plan];
        let fresh = Store { level: plan.burst, at: self.now };
        let inside = self.sent_inside.entry(customer).or_insert(fresh).takes(self.now, plan, what.units);
        self.gatherer.run().beyond += u64::from(!inside);
        if let Some(it) = self.tries.get_mut(&id) {
            it.inside = inside;
        }
        if let Some(ceiling) = self.ceiling(what.plan) {
            self.oracle.spent(self.now, customer, what.guess, ceiling);
        }
    }

    /// Over an idle connection if there is one, else over a new one.
    fn connects(&mut self, gatekeeper: usize, id: u64, attempt: usize, to: usize) {
        let (from, zone) = (self.gates[gatekeeper].zone, self.machines[to].zone);
        let silent = self.machines[to].vanished || self.is_cut(from, zone);
        let way = self.way(from, zone);
        let key = (to, self.machines[to].life);
        let now = self.now;
        let idle = self.gates[gatekeeper].idle.entry(key).or_default();
        let before = idle.len();
        idle.retain(|since| *since + CONN_IDLE > now);
        let lapsed = before - idle.len();
        let kept = idle.pop().is_some();
        if let Some(process) = self.machines[to].process.as_mut() {
            process.connections -= lapsed.min(process.connections);
        }
        let fails = |after| (now + after, Next::Ends { id, attempt, outcome: Outcome::ConnectFailed });
        let has_process = self.machines[to].process.is_some();
        let next = match kept {
            // Nobody answers on it, and nobody says so.
            true if silent => None,
            true => Some((now + way, Next::Arrives { id, attempt })),
            false => {
                self.gatherer.run().handshakes += 1;
                let room = self.machines[to].process.as_ref().is_some_and(ResaleServer::has_connection);
                if silent || (has_process && !room) {
                    Some(fails(CONNECT_TIMEOUT))
                } else if !has_process {
                    Some(fails(2 * way))
                } else {
                    let process = self.machines[to].process.as_mut();
                    process.into_iter().for_each(|process| process.connections += 1);
                    let shaken = (self.experiment.fleet.handshake_ms.0 * 1e3) as Micros;
                    Some((now + 3 * way + shaken, Next::Arrives { id, attempt }))
                }
            }
        };
        let connected = !matches!(next, Some((_, Next::Ends { .. })));
        self.gatherer.run().connects_failed += u64::from(!connected);
        if let Some(it) = self.tries.get_mut(&id).and_then(|it| it.attempts.get_mut(attempt)) {
            it.connected = connected;
        }
        if let Some((at, next)) = next {
            self.queue.push(at, next);
        }
    }

    /// An attempt has come to its server whole, whether or not somebody still waits for it.
    pub(super) fn arrives(&mut self, id: u64, attempt: usize) {
        let Some(it) = self.tries.get(&id) else { return };
        let Some(sent) = it.attempts.get(attempt) else { return };
        let (to, life, job, out, asked) = (sent.server, sent.life, sent.job, sent.out, it.asked);
        let from = self.gates[it.gatekeeper].zone;
        // Called off before it was written whole.
        if !out {
            return;
        }
        let back = self.way(from, self.machines[to].zone);
        let reply = |outcome| Next::Ends { id, attempt, outcome };
        let machine = &mut self.machines[to];
        if machine.vanished {
            return;
        }
        if machine.life != life || machine.process.is_none() {
            return self.queue.push(self.now + back, reply(Outcome::Reset));
        }
        machine.row.attempts += 1;
        if machine.draining {
            return self.queue.push(self.now + back, reply(Outcome::Full));
        }
        let Some(request) = self.requests.get(&asked) else { return };
        let what = request.what;
        let class = &self.settings.classes[what.class];
        let (effect, key_window) = (class.effect, class.key_window);
        let keyed = effect == Effect::Deduplicated;
        // All servers drop each other's repeats: the first one's memory stands for them all.
        let repeat = keyed
            && self.machines[0]
                .process
                .as_mut()
                .is_some_and(|process| process.drops_repeat(self.now, asked, key_window));
        if repeat {
            return self.queue.push(self.now + back, reply(Outcome::Ok));
        }
        let failing = if self.machines[to].failing { FAILING } else { self.experiment.fleet.error_rate.0 };
        let fails = self.chance.random_bool(failing);
        let work = if fails { what.work * ERROR_WORK } else { what.work };
        self.works_up(to);
        let Some(process) = self.machines[to].process.as_mut() else { return };
        match process.take(self.now, job, work) {
            Taken::Yes if fails => {
                let at = self.now + back + work as Micros;
                process.cancel(job);
                self.queue.push(at, reply(Outcome::Error));
            }
            Taken::Yes => {
                if !keyed {
                    self.oracle.runs(self.now, asked, effect);
                }
                self.plans_step(to);
            }
            Taken::Full => self.queue.push(self.now + back, reply(Outcome::Full)),
            Taken::FallsOver => {
                self.oracle.fell(self.now, self.machines[to].id.0);
                self.dies(to);
            }
        }
    }

    /// Brings a server's work up to now, and sends what is finished on its way.
    pub(super) fn works_up(&mut self, server: usize) {
        let now = self.now;
        let done = self.machines[server].process.as_mut().map(|process| process.step(now));
        for job in done.into_iter().flatten() {
            let Some((id, attempt)) = self.jobs.remove(&job) else { continue };
            let Some(it) = self.tries.get(&id) else { continue };
            let (from, zone) = (self.gates[it.gatekeeper].zone, self.machines[server].zone);
            let back = self.way(from, zone);
            if !(self.machines[server].vanished || self.is_cut(from, zone)) {
                self.queue.push(self.now + back, Next::Ends { id, attempt, outcome: Outcome::Ok });
            }
        }
    }

    pub(super) fn works(&mut self, server: usize, life: u32) {
        if self.machines[server].life == life && self.machines[server].step_at <= self.now {
            self.machines[server].step_at = Micros::MAX;
            self.works_up(server);
            self.plans_step(server);
        }
    }

    /// The next look at a server, where it is sooner than the one that is planned.
    pub(super) fn plans_step(&mut self, server: usize) {
        let machine = &mut self.machines[server];
        let Some(at) = machine.process.as_ref().and_then(ResaleServer::next) else { return };
        let at = at.max(self.now + 1);
        if at < machine.step_at {
            machine.step_at = at;
            let life = machine.life;
            self.queue.push(at, Next::Works { server, life });
        }
    }

    /// An attempt ends at its gatekeeper, if it has not before.
    pub(super) fn ends(&mut self, id: u64, attempt: usize, outcome: Outcome) {
        let Some(it) = self.tries.get_mut(&id) else { return };
        let (gatekeeper, life, asked, ended) = (it.gatekeeper, it.life, it.asked, it.ended);
        let Some(sent) = it.attempts.get_mut(attempt).filter(|sent| sent.out) else { return };
        sent.out = false;
        let (to, to_life, at, connected, job) = (sent.server, sent.life, sent.sent, sent.connected, sent.job);
        let never_ran = matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent);
        let kept = matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Full);
        self.jobs.remove(&job);
        if self.machines[to].life == to_life && connected {
            if kept {
                let idle = self.gates[gatekeeper].idle.entry((to, to_life)).or_default();
                idle.push(self.now);
            } else {
                // The connection closes, and who worked for it stops.
                self.works_up(to);
                if let Some(process) = self.machines[to].process.as_mut() {
                    process.connections -= process.connections.min(1);
                    process.cancel(job);
                }
                self.plans_step(to);
            }
        }
        self.oracle.ended(id, attempt, never_ran);
        let alive = self.gates[gatekeeper].life == life;
        let serves = alive && outcome == Outcome::Ok && !ended;
        if serves {
            if let Some(it) = self.tries.get_mut(&id) {
                it.ended = true;
            }
            self.oracle.answered(self.now, id, Answer::Served);
            let answer = Next::Answered { id, answer: Answer::Served, wait: 0 };
            self.queue.push(self.now + CLIENT_WAY, answer);
        }
        let what = self.requests.get(&asked).map(|request| request.what);
        let done = AttemptDone {
            request: RequestId(id.to_string()),
            attempt,
            outcome,
            latency: self.now - at,
            closed: ended || serves,
            true_units: what.filter(|_| serves).map(|what| what.units),
        };
        self.hears(gatekeeper, life, Event::AttemptDone(done));
        self.forget(id);
    }

    /// A gatekeeper waits for an attempt no longer.
    pub(super) fn cancels(&mut self, request: &RequestId, attempt: usize) {
        let Ok(id) = request.0.parse::<u64>() else { return };
        self.queue.push(self.now, Next::Ends { id, attempt, outcome: Outcome::Cancelled });
    }
}
