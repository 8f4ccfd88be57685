//! Discovery: what is so, what is published, and what each gatekeeper has been told.

use super::*;

/// Gatekeepers hear of a change at times that lie so far apart at most.
const TOLD_SPREAD: Micros = 300_000;
/// A gatekeeper that starts gets the whole list after up to this.
const LIST_AT_START: Micros = 300_000;

impl World<'_> {
    pub(super) fn info(
        &self,
        server: usize,
        started: Option<Micros>,
        availability: Availability,
    ) -> ServerInfo {
        let machine = &self.machines[server];
        ServerInfo {
            id: machine.id,
            availability,
            zone: Zone(self.experiment.fleet.zones[machine.zone].clone()),
            cell: 0,
            size: 1.0,
            started,
            sort_key: hash(&machine.row.name),
        }
    }

    /// Something changed at a server: after a time of discovery's own each gatekeeper is told.
    pub(super) fn changes(&mut self, info: ServerInfo) {
        self.changes.push(info.clone());
        let change = self.changes.len() as u64;
        let (least, most) = self.experiment.fleet.list_s;
        let notice = self.chance.random_range(least.micros()..=most.micros());
        let published = (self.now + notice).max(self.wrong.list_silent_until);
        self.published.insert(info.id, (change, info));
        for gatekeeper in 0..self.gates.len() {
            let spread = self.chance.random_range(0..TOLD_SPREAD);
            let cut = self.is_cut(self.gates[gatekeeper].zone, 0);
            let from = if cut { published.max(self.wrong.cut_until) } else { published };
            let life = self.gates[gatekeeper].life;
            self.queue.push(from + spread, Next::Told { gatekeeper, life, change });
        }
    }

    pub(super) fn told(&mut self, gatekeeper: usize, life: u32, change: u64) {
        let gate = &mut self.gates[gatekeeper];
        if gate.life != life || gate.decider.is_none() {
            return;
        }
        let info = self.changes[change as usize - 1].clone();
        // What it knows already is newer.
        if gate.told.get(&info.id).is_some_and(|(known, ..)| *known >= change) {
            return;
        }
        gate.told.insert(info.id, (change, info.clone(), self.now));
        let list = ServerList { scope: ListScope::Delta, servers: vec![info] };
        self.hears(gatekeeper, life, Event::Servers(list));
    }

    pub(super) fn whole_list(&mut self, gatekeeper: usize, life: u32) {
        if self.gates[gatekeeper].life != life {
            return;
        }
        if self.now < self.wrong.list_silent_until {
            let at = self.wrong.list_silent_until;
            return self.queue.push(at, Next::WholeList { gatekeeper, life });
        }
        let now = self.now;
        let listed = self.published.values();
        let listed: Vec<ServerInfo> = listed
            .map(|(_, info)| info.clone())
            .filter(|info| info.availability != Availability::Gone)
            .collect();
        for (id, (change, info)) in &self.published {
            self.gates[gatekeeper].told.insert(*id, (*change, info.clone(), now));
        }
        let list = ServerList { scope: ListScope::Full, servers: listed };
        self.hears(gatekeeper, life, Event::Servers(list));
    }

    /// A gatekeeper's process begins: with the list as it last had it, and soon with the present one.
    pub(super) fn starts(&mut self, gatekeeper: usize) {
        let (seed, now) = (self.chance.random(), self.now);
        let gate = &mut self.gates[gatekeeper];
        if gate.decider.is_some() {
            return;
        }
        let zone = Zone(self.experiment.fleet.zones[gate.zone].clone());
        let settings = Settings { index: gatekeeper as u32, zone, ..self.settings.clone() };
        gate.decider = Some((self.make)(settings, seed, now));
        gate.life += 1;
        let (life, known) = (gate.life, gate.told.values());
        let servers: Vec<ServerInfo> = known
            .map(|(_, info, _)| info.clone())
            .filter(|info| info.availability != Availability::Gone)
            .collect();
        // Nobody has told this life of it anything but what it is given here.
        gate.told.values_mut().for_each(|(_, _, at)| *at = now);
        if now == START {
            return self.whole_list(gatekeeper, life);
        }
        let list = ServerList { scope: ListScope::Cached, servers };
        self.hears(gatekeeper, life, Event::Servers(list));
        let wait = self.chance.random_range(0..LIST_AT_START);
        self.queue.push(now + wait, Next::WholeList { gatekeeper, life });
    }
}
