//! Choice of a server.
use super::*;

/// How much better a server of another zone must look.
const CROSS_ZONE: f64 = 1.1;
/// Random draws of a server before all are looked through.
const DRAWS: usize = 8;

impl Gatekeeper {
    /// The wait to expect at a server: its learned slowness times what we have there.
    fn expected(&self, w: &Server) -> f64 {
        let zone = if w.info.zone == self.set.zone { 1.0 } else { CROSS_ZONE };
        self.slow_of(w) * (w.inflight + 1.0) * zone
    }

    /// The better of two random servers that the request may go to, not yet tried if possible. All are looked
    /// through only where a few draws find none.
    pub(super) fn pick(&mut self, id: &RequestId) -> Option<ServerId> {
        let n = self.ready.len();
        if n == 0 {
            return None;
        }
        let near = self.near.max(1);
        let draws: [usize; DRAWS] = std::array::from_fn(|_| self.rng.usize(..near));
        let r = self.requests.get(id)?;
        let tried = |w: &&Server| r.attempts.iter().any(|a| a.server == w.info.id);
        let fit = |w: &&Server| {
            w.inflight < (self.limit / self.slow_of(w) / self.sharing()).max(1.0) && self.may_send(r, w)
        };
        let server = |i: usize| self.servers.get(&self.ready[i]);
        // What a cold server may be sent is little, and is used as soon as it has gathered.
        let cold = |w: &&Server| self.coldness(w, self.now) < 1.0;
        let good = |w: &&Server| !tried(w) && self.healthy(r, w) && fit(w);
        let mut ripe = (0..near).filter_map(|i| server((draws[0] + i) % near)).filter(cold);
        let better = |a: &&Server, b: &&Server| self.expected(a).total_cmp(&self.expected(b));
        let drawn = draws.iter().filter_map(|i| server(*i)).filter(good);
        if let Some(w) = ripe.find(good).or_else(|| drawn.take(2).min_by(better)) {
            return Some(w.info.id);
        }
        // At most half the fleet is avoided on our own evidence: past that the trouble is not theirs.
        let first = (0..near).map(|i| (draws[0] + i) % near);
        let all: Vec<&Server> = first.chain(near..n).filter_map(server).collect();
        let most = all.iter().filter(|w| !self.healthy(r, w)).count() * 2 > n;
        let fits = || all.iter().copied().filter(|w| (most || self.healthy(r, w)) && fit(w));
        let new = fits().filter(|w| !tried(w)).take(2).min_by(better);
        new.or_else(|| fits().next()).map(|w| w.info.id)
    }
}
