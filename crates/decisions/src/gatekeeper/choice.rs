//! Server selection: the better of two random choices, with priority for cold servers that have credit.
use super::*;

/// Factor on the expected wait at a server in another zone.
const CROSS_ZONE: f64 = 1.1;
/// Servers drawn at random before all are scanned.
const DRAWS: usize = 8;

impl Gatekeeper {
    /// Expected wait at a server: its learned slowness times our attempts in flight there.
    fn expected_wait(&self, w: &Server) -> f64 {
        let zone = if w.info.zone == self.settings.zone { 1.0 } else { CROSS_ZONE };
        self.slowness_of(w) * (w.inflight + 1.0) * zone
    }

    /// The better of two random eligible servers, preferably untried; scans all if a few draws find none.
    pub(super) fn select_server(&mut self, id: &RequestId) -> Option<ServerId> {
        let n = self.ready.len();
        if n == 0 {
            return None;
        }
        let subset = self.subset_len.max(1);
        let draws: [usize; DRAWS] = std::array::from_fn(|_| self.rng.usize(..subset));
        let r = self.requests.get(id)?;
        let tried = |w: &&Server| r.attempts.iter().any(|a| a.server == w.info.id);
        let eligible = |w: &&Server| {
            w.inflight < (self.server_limit / self.slowness_of(w) / self.sharing()).max(1.0)
                && self.may_send(r, w)
        };
        let server = |i: usize| self.servers.get(&self.ready[i]);
        // A cold server has little credit, which is used as soon as it has accumulated.
        let cold = |w: &&Server| self.warmth(w, self.now) < 1.0;
        let good = |w: &&Server| !tried(w) && self.is_healthy(r, w) && eligible(w);
        let mut cold_first = (0..subset).filter_map(|i| server((draws[0] + i) % subset)).filter(cold);
        let better = |a: &&Server, b: &&Server| self.expected_wait(a).total_cmp(&self.expected_wait(b));
        let drawn = draws.iter().filter_map(|i| server(*i)).filter(good);
        if let Some(w) = cold_first.find(good).or_else(|| drawn.take(2).min_by(better)) {
            return Some(w.info.id);
        }
        // At most half the servers are avoided on local evidence: beyond that the cause is not the servers.
        let first = (0..subset).map(|i| (draws[0] + i) % subset);
        let all: Vec<&Server> = first.chain(subset..n).filter_map(server).collect();
        let unhealthy = all.iter().filter(|w| !self.is_healthy(r, w)).count() * 2 > n;
        let fits = || all.iter().copied().filter(|w| (unhealthy || self.is_healthy(r, w)) && eligible(w));
        let new = fits().filter(|w| !tried(w)).take(2).min_by(better);
        new.or_else(|| fits().next()).map(|w| w.info.id)
    }
}
