//! What goes wrong: servers and gatekeepers that end, zones that are lost or cut off, services that fall silent, crowds.

use super::*;
use crate::experiment::{Fault, FaultKind};
use crate::results::Mark;
use rand::seq::SliceRandom;
use std::collections::BTreeSet;

/// How long a drained server still runs.
const DRAIN: Micros = 3_000_000;

/// What is wrong now.
#[derive(Default)]
pub(super) struct Wrong {
    /// Zones that are cut off from the others.
    pub cut: BTreeSet<usize>,
    pub cut_until: Micros,
    pub counter_down: u32,
    pub list_silent_until: Micros,
    /// Plans whose customers ask so many times as much.
    pub surges: Vec<(usize, f64)>,
    /// What customers that are seen once ask for, as a part of the usual.
    pub one_offs: f64,
    /// Which servers each fault is about.
    about: BTreeMap<usize, Vec<usize>>,
    gatekeepers: BTreeMap<usize, Vec<usize>>,
}

impl Wrong {
    /// How many times as much the customers of a plan ask.
    pub fn surge(&self, plan: usize) -> f64 {
        self.surges.iter().filter(|(of, _)| *of == plan).map(|(_, times)| times).product()
    }
}

impl World<'_> {
    fn fault(&self, number: usize) -> &Fault {
        self.experiment.faults[number].get_ref()
    }

    fn zone_of(&self, fault: &Fault) -> usize {
        let zones = &self.experiment.fleet.zones;
        fault.zone.as_ref().and_then(|zone| zones.iter().position(|known| known == zone)).unwrap_or_default()
    }

    /// Which plan's customers ask how many times as much.
    fn surge_of(&self, fault: &Fault) -> (usize, f64) {
        let plan = self.experiment.plans.iter().position(|plan| Some(&plan.name) == fault.plan.as_ref());
        (plan.unwrap_or_default(), fault.times.0)
    }

    /// Draws a share of the servers that run, rounded up.
    fn draws_servers(&mut self, share: f64) -> Vec<usize> {
        let runs = |server: &usize| {
            let machine = &self.machines[*server];
            machine.process.is_some() && !machine.draining && !machine.vanished
        };
        let mut all: Vec<usize> = (0..self.machines.len()).filter(runs).collect();
        all.shuffle(&mut self.chance);
        all.truncate((all.len() as f64 * share).ceil() as usize);
        all
    }

    pub(super) fn fault_begins(&mut self, number: usize) {
        let fault = self.fault(number).clone();
        let (share, lasts) = (fault.share.0, fault.lasts.micros());
        self.gatherer.run().marks.push(Mark::of(&fault));
        self.queue.push(self.now + lasts, Next::FaultEnds(number));
        let servers = match fault.kind {
            FaultKind::ZoneLost => {
                let zone = self.zone_of(&fault);
                (0..self.machines.len()).filter(|n| self.machines[*n].zone == zone).collect()
            }
            FaultKind::Release
            | FaultKind::Shrink
            | FaultKind::KillServers
            | FaultKind::Slow
            | FaultKind::Failing => self.draws_servers(share),
            _ => Vec::new(),
        };
        match fault.kind {
            FaultKind::Release | FaultKind::Shrink => {
                let step = lasts / servers.len().max(1) as u64;
                for (n, server) in servers.iter().copied().enumerate() {
                    let replaced = fault.kind == FaultKind::Release;
                    self.queue.push(self.now + step * n as u64, Next::Drains { server, replaced });
                }
            }
            FaultKind::KillServers => servers.iter().for_each(|server| self.dies(*server)),
            FaultKind::ZoneLost => {
                for server in &servers {
                    self.machines[*server].vanished = true;
                    let gone = self.info(*server, None, Availability::Gone);
                    self.changes(gone);
                }
            }
            FaultKind::Slow => servers.iter().for_each(|server| self.slows(*server, fault.times.0)),
            FaultKind::Failing => servers.iter().for_each(|server| self.machines[*server].failing = true),
            FaultKind::KillGatekeepers => {
                let mut all: Vec<usize> = (0..self.gates.len()).collect();
                all.shuffle(&mut self.chance);
                all.truncate((all.len() as f64 * share).ceil() as usize);
                all.iter().for_each(|gatekeeper| self.kills(*gatekeeper));
                self.wrong.gatekeepers.insert(number, all);
            }
            FaultKind::ZoneCut => {
                let zone = self.zone_of(&fault);
                self.wrong.cut.insert(zone);
                self.wrong.cut_until = self.wrong.cut_until.max(self.now + lasts);
            }
            FaultKind::CounterDown => self.wrong.counter_down += 1,
            FaultKind::ListSilent => {
                self.wrong.list_silent_until = self.wrong.list_silent_until.max(self.now + lasts);
            }
            FaultKind::PlanSurge => {
                let surge = self.surge_of(&fault);
                self.wrong.surges.push(surge);
            }
            FaultKind::OneOffs => self.wrong.one_offs += share,
            // Refused where the file was read.
            kind => debug_assert!(kind.needs_processes()),
        }
        self.wrong.about.insert(number, servers);
    }

    pub(super) fn fault_ends(&mut self, number: usize) {
        let fault = self.fault(number).clone();
        let servers = self.wrong.about.remove(&number).unwrap_or_default();
        match fault.kind {
            FaultKind::Release | FaultKind::Shrink | FaultKind::ListSilent => {}
            FaultKind::KillServers | FaultKind::ZoneLost => {
                servers.iter().for_each(|server| self.returns(*server));
            }
            FaultKind::Slow => servers.iter().for_each(|server| self.slows(*server, 1.0)),
            FaultKind::Failing => servers.iter().for_each(|server| self.machines[*server].failing = false),
            FaultKind::KillGatekeepers => {
                let killed = self.wrong.gatekeepers.remove(&number).unwrap_or_default();
                killed.into_iter().for_each(|gatekeeper| self.starts(gatekeeper));
            }
            FaultKind::ZoneCut => {
                let zone = self.zone_of(&fault);
                self.wrong.cut.remove(&zone);
            }
            FaultKind::CounterDown => {
                self.wrong.counter_down -= 1;
                let now = self.now;
                self.counter.iter_mut().for_each(|counter| counter.restart(now));
            }
            FaultKind::PlanSurge => {
                let surge = self.surge_of(&fault);
                if let Some(at) = self.wrong.surges.iter().position(|known| *known == surge) {
                    self.wrong.surges.remove(at);
                }
            }
            FaultKind::OneOffs => self.wrong.one_offs = (self.wrong.one_offs - fault.share.0).max(0.0),
            kind => debug_assert!(kind.needs_processes()),
        }
    }

    fn slows(&mut self, server: usize, times: f64) {
        self.works_up(server);
        self.machines[server].slow = times;
        if let Some(process) = self.machines[server].process.as_mut() {
            process.set_slow(self.now, times);
        }
        self.plans_step(server);
    }

    /// A server is told to drain; with a successor, which starts at once, or without.
    pub(super) fn drains(&mut self, server: usize, replaced: bool) {
        let machine = &mut self.machines[server];
        if machine.draining || machine.process.is_none() {
            return;
        }
        machine.draining = true;
        let zone = machine.zone;
        let info = self.info(server, None, Availability::Draining);
        self.changes(info);
        self.queue.push(self.now + DRAIN, Next::Stops(server));
        if replaced {
            let new = self.adds_machine(zone, Some(self.now));
            let info = self.info(new, Some(self.now), Availability::Ready);
            self.changes(info);
        }
    }

    /// A server's process is no more: what it had is reset, and discovery hears of it.
    pub(super) fn dies(&mut self, server: usize) {
        if self.machines[server].process.take().is_none() {
            return;
        }
        self.machines[server].life += 1;
        self.machines[server].step_at = Micros::MAX;
        let zone = self.machines[server].zone;
        let life = self.machines[server].life;
        let out: Vec<(u64, usize, usize)> = self
            .tries
            .iter()
            .flat_map(|(id, it)| it.attempts.iter().enumerate().map(move |(n, a)| (*id, n, it.gatekeeper, a)))
            .filter(|(_, _, _, a)| a.server == server && a.out && a.connected && a.life < life)
            .map(|(id, n, gatekeeper, _)| (id, n, gatekeeper))
            .collect();
        for (id, attempt, gatekeeper) in out {
            let from = self.gates[gatekeeper].zone;
            let back = self.way(from, zone);
            if !(self.machines[server].vanished || self.is_cut(from, zone)) {
                self.queue.push(self.now + back, Next::Ends { id, attempt, outcome: Outcome::Reset });
            }
        }
        let info = self.info(server, None, Availability::Gone);
        self.changes(info);
    }

    /// A server comes back, cold, as another process.
    fn returns(&mut self, server: usize) {
        let now = self.now;
        if self.machines[server].process.is_some() {
            // Its machine was cut off; what was open there is no more.
            self.machines[server].life += 1;
        }
        let spec = self.experiment.fleet.spec();
        let machine = &mut self.machines[server];
        (machine.vanished, machine.draining, machine.step_at) = (false, false, Micros::MAX);
        let mut process = ResaleServer::new(spec, Some(now), now);
        process.set_slow(now, machine.slow);
        machine.process = Some(process);
        let info = self.info(server, Some(now), Availability::Ready);
        self.changes(info);
    }

    /// A gatekeeper's process is killed: its clients' connections are reset, its attempts end with it.
    fn kills(&mut self, gatekeeper: usize) {
        let now = self.now;
        let gate = &mut self.gates[gatekeeper];
        if gate.decider.take().is_none() {
            return;
        }
        gate.life += 1;
        gate.noticed = now + self.experiment.fleet.notice_s.micros();
        let idle = std::mem::take(&mut gate.idle);
        idle.into_iter().for_each(|((server, life), open)| self.closes_connections(server, life, open.len()));
        self.oracle.killed(gatekeeper);
        let open: Vec<u64> =
            self.tries.iter().filter(|(_, it)| it.gatekeeper == gatekeeper).map(|(id, _)| *id).collect();
        for id in open {
            let Some(it) = self.tries.get_mut(&id) else { continue };
            it.ended = true;
            let out = it.attempts.iter_mut().filter(|sent| sent.out);
            let out: Vec<(usize, u32, u64, bool)> = out
                .map(|sent| {
                    sent.out = false;
                    (sent.server, sent.life, sent.job, sent.connected)
                })
                .collect();
            for (server, life, job, connected) in out {
                self.jobs.remove(&job);
                self.works_up(server);
                if let Some(process) = self.machines[server].process.as_mut() {
                    process.cancel(job);
                }
                self.closes_connections(server, life, usize::from(connected));
                self.plans_step(server);
            }
            let (answer, wait) = (Answer::Failed, 0);
            self.queue.push(now + CLIENT_WAY, Next::Answered { id, answer, wait });
        }
    }

    /// So many connections to that life of a server are no more.
    fn closes_connections(&mut self, server: usize, life: u32, n: usize) {
        let machine = &mut self.machines[server];
        if let Some(process) = machine.process.as_mut().filter(|_| machine.life == life) {
            process.connections -= process.connections.min(n);
        }
    }
}
