//! The fleet of servers: listed, excluded by an operator, ready, and in this gatekeeper's subset.
use super::*;

/// The fractional part of the golden ratio.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;
/// Size of a gatekeeper's subset of servers, enlarged where fewer than this many gatekeepers would share a
/// server. With many gatekeepers, a subset gives each one more samples per server and fewer connections.
const SUBSET_SIZE: (usize, f64) = (8, 8.0);

impl Gatekeeper {
    pub(super) fn on_servers(&mut self, list: ServerList, out: &mut Vec<Action>) {
        if list.scope == ListScope::Failed {
            return out.extend(self.settings.subscribe.then_some(Action::Subscribe));
        }
        if list.scope != ListScope::Delta {
            for w in self.servers.values_mut() {
                w.info.availability = Availability::Gone;
            }
        }
        let classes = self.latencies.len();
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
        self.update_ready();
        self.dispatch_queued(out);
    }

    /// Updates the servers that may get new requests: listed as ready, and not excluded by an operator.
    pub(super) fn update_ready(&mut self) {
        let free = |w: &&Server| !self.excluded.contains_key(&w.info.id);
        let ready = self.servers.values().filter(|w| w.info.availability == Availability::Ready);
        let mut ready: Vec<_> = ready.filter(free).map(|w| (w.info.sort_key, w.info.id)).collect();
        ready.sort_unstable();
        // Golden-ratio steps spread any number of gatekeepers evenly, with neighbours far apart.
        let own = (f64::from(self.settings.index) * GOLDEN_RATIO).fract() * ready.len() as f64;
        ready.rotate_left(own as usize);
        self.ready = ready.into_iter().map(|(_, id)| id).collect();
        self.update_subset();
    }

    /// Updates the subset: the first ready servers, with a substitute for each one that is avoided.
    pub(super) fn update_subset(&mut self) {
        let enough = (SUBSET_SIZE.1 * self.ready.len() as f64 / self.instances()).ceil() as usize;
        let (mut wanted, mut subset) = (SUBSET_SIZE.0.max(enough), 0);
        for (i, id) in self.ready.iter().enumerate() {
            let Some(w) = self.servers.get_mut(id) else { continue };
            let taken = wanted > 0;
            if taken && !w.in_subset {
                // Many gatekeepers see a start at the same time; a random first credit desynchronizes them.
                (w.credit, w.credit_at) = (self.rng.f64(), self.now);
            }
            w.in_subset = taken;
            subset = if taken { i + 1 } else { subset };
            wanted -= usize::from(taken && !w.is_avoided(self.now));
        }
        self.subset_len = subset;
        let ready = self.ready.iter().filter_map(|id| self.servers.get(id));
        self.ready_capacity = ready.map(|w| self.warmth(w, self.now)).sum();
    }

    /// How many gatekeepers have one server in their subset.
    pub(super) fn sharing(&self) -> f64 {
        self.instances()
            * (self.subset_len as f64 / self.ready.len().max(1) as f64).max(1.0 / self.instances())
    }

    /// Ends an exclusion. The server counts as restarted: now, unless the list has reported when.
    pub(super) fn end_exclusion(&mut self, id: ServerId, out: &mut Vec<Action>) {
        let Some(since) = self.excluded.remove(&id) else { return };
        if let Some(w) = self.servers.remove(&id) {
            let returned = (w.info.started <= Some(since)).then_some(self.now);
            let (inflight, classes) = (w.inflight, self.latencies.len());
            self.servers.insert(id, Server { returned, inflight, ..Server::new(w.info, classes) });
        }
        self.update_ready();
        self.dispatch_queued(out);
    }

    /// How many listed servers get no requests for now, because they are excluded or failing.
    pub fn servers_avoided(&self, now: Micros) -> usize {
        let out =
            |w: &Server| self.excluded.contains_key(&w.info.id) && w.info.availability != Availability::Gone;
        let failing = |w: &Server| w.info.availability == Availability::Ready && w.is_avoided(now);
        let avoided = |w: &&Server| out(w) || failing(w);
        self.servers.values().filter(avoided).count()
    }
}
