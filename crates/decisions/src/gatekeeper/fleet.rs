//! The fleet of servers: who is listed, left out by hand, ready, and near to this gatekeeper.
use super::*;

/// The golden section.
const GOLDEN: f64 = 0.618_033_988_749_894_9;
/// Servers that a gatekeeper sends to by choice where they are shared by that many gatekeepers each, and the
/// fewest gatekeepers that share one: of many gatekeepers, each knows a few servers well and keeps few
/// connections.
const NEAR: (usize, f64) = (8, 8.0);

impl Gatekeeper {
    pub(super) fn on_servers(&mut self, list: ServerList, out: &mut Vec<Action>) {
        if list.scope == ListScope::Failed {
            return out.extend(self.set.subscribe.then_some(Action::Subscribe));
        }
        if list.scope != ListScope::Delta {
            for w in self.servers.values_mut() {
                w.info.availability = Availability::Gone;
            }
        }
        let classes = self.typical.len();
        for info in list.servers {
            match self.servers.get(&info.id).map(|w| (w.info.started == info.started, w.inflight)) {
                Some((true, _)) => drop(self.servers.entry(info.id).and_modify(|w| w.info = info)),
                known => {
                    let inflight = known.map_or(0.0, |(_, inflight)| inflight);
                    self.servers.insert(info.id, Server { inflight, ..Server::new(info, classes) });
                }
            }
        }
        self.servers.retain(|_, w| w.info.availability != Availability::Gone || w.inflight > 0.0);
        self.find_ready();
        self.release_held(out);
    }

    /// Those that may get something new: listed so, and not left out by hand.
    pub(super) fn find_ready(&mut self) {
        let free = |w: &&Server| !self.left_out.contains_key(&w.info.id);
        let ready = self.servers.values().filter(|w| w.info.availability == Availability::Ready);
        let mut ready: Vec<_> = ready.filter(free).map(|w| (w.info.place, w.info.id)).collect();
        ready.sort_unstable();
        // Steps of the golden section spread any number of gatekeepers evenly, and neighbours far apart.
        let own = (f64::from(self.set.me) * GOLDEN).fract() * ready.len() as f64;
        ready.rotate_left(own as usize);
        self.ready = ready.into_iter().map(|(_, id)| id).collect();
        self.find_near();
    }

    /// Those that this gatekeeper sends to by choice: the first, and the next for those that are avoided.
    pub(super) fn find_near(&mut self) {
        let enough = (NEAR.1 * self.ready.len() as f64 / self.instances()).ceil() as usize;
        let (mut wanted, mut near) = (NEAR.0.max(enough), 0);
        for (i, id) in self.ready.iter().enumerate() {
            let Some(w) = self.servers.get_mut(id) else { continue };
            let taken = wanted > 0;
            if taken && !w.near {
                // Many gatekeepers hear of a start together; a random first credit keeps them out of step.
                (w.credit, w.credit_at) = (self.rng.f64(), self.now);
            }
            w.near = taken;
            near = if taken { i + 1 } else { near };
            wanted -= usize::from(taken && !w.is_avoided(self.now));
        }
        self.near = near;
        let ready = self.ready.iter().filter_map(|id| self.servers.get(id));
        self.strength = ready.map(|w| self.coldness(w, self.now)).sum();
    }

    /// How many gatekeepers send to one server by choice.
    pub(super) fn sharing(&self) -> f64 {
        self.instances() * (self.near as f64 / self.ready.len().max(1) as f64).max(1.0 / self.instances())
    }

    /// A server that was left out has been restarted meanwhile: now, unless the list has told when.
    pub(super) fn put_back(&mut self, id: ServerId, out: &mut Vec<Action>) {
        let Some(since) = self.left_out.remove(&id) else { return };
        if let Some(w) = self.servers.remove(&id) {
            let returned = (w.info.started <= Some(since)).then_some(self.now);
            let (inflight, classes) = (w.inflight, self.typical.len());
            self.servers.insert(id, Server { returned, inflight, ..Server::new(w.info, classes) });
        }
        self.find_ready();
        self.release_held(out);
    }

    /// How many listed servers get nothing for now, though they would take it.
    pub fn servers_avoided(&self, now: Micros) -> usize {
        let out =
            |w: &Server| self.left_out.contains_key(&w.info.id) && w.info.availability != Availability::Gone;
        let ill = |w: &Server| w.info.availability == Availability::Ready && w.is_avoided(now);
        let avoided = |w: &&Server| out(w) || ill(w);
        self.servers.values().filter(avoided).count()
    }
}
