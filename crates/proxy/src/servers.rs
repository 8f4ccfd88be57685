//! The servers as one gatekeeper knows them, and the choice among them.
//!
//! What markers tell says which there are. What answers and failures say is this gatekeeper's own: how slow each is
//! compared with its service, what is under way there from here, and whether it failed.

use crate::Millis;
use granitelead_control_protocol::messages::{Instance, InstanceState};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// How much better a server of another zone must look: what others have under way there is seen least of all. More saves
/// further bytes where servers have six slots, and makes answers late where they have two (measured: 1.3 to 2.2).
const CROSS_ZONE: f64 = 1.5;
/// Servers drawn for each request, of which the best is taken: nearly the best of all, and not the same at all
/// gatekeepers.
const DRAWS: usize = 10;
/// Weight of a new answer in what is known of a server, and in what is known of its service.
const LEARN: (f64, f64) = (0.2, 0.03);
/// A server that fails is left alone for so long at first; doubled with each further failure, so often at most.
const AVOID: (Millis, u32) = (600, 4);
/// Most of what a server may have under way from here, in its slots, before others must take it.
const DEEPEST: f64 = 1.5;
/// A cold server is taken to be so much slower.
const COLD: f64 = 2.0;
/// One that is gone is remembered for so long, so that a marker that was away does not bring it back.
const REMEMBER: Millis = 30_000;
/// A server that is told to be silent is believed to live if it answered here so lately.
const ANSWERED: Millis = 3_000;

/// One life of a server.
#[derive(Debug)]
pub struct Server {
    /// What is told of it.
    pub told: Instance,
    /// Requests under way from here.
    pub under_way: u32,
    slow: f64,
    answered: Option<Millis>,
    failures: u32,
    avoid_until: Millis,
    cold_until: Millis,
    gone: Millis,
}

/// How a request ended at a server, as far as it tells something of the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// A good answer, after so long.
    Good(Millis),
    /// It turned the request away: it is full.
    Full,
    /// It is not the one that was meant, or it can't be connected to.
    Absent,
    /// It broke off, answered what is no answer, or failed.
    Failed,
    /// Nothing that tells of it.
    Nothing,
}

/// All servers, by service.
#[derive(Default)]
pub struct Servers {
    zone: String,
    by_id: BTreeMap<Rc<str>, Server>,
    services: BTreeMap<String, BTreeSet<Rc<str>>>,
    /// Mean time of good answers by service and kind of request, ms.
    typical: BTreeMap<String, BTreeMap<u32, f64>>,
    rng: fastrand::Rng,
}

/// Kinds of requests: those whose aims are within a factor of two, so that there are 64 at the most.
fn kind(aim: Millis) -> u32 {
    aim.max(1).ilog2()
}

impl Servers {
    /// Those that a gatekeeper of this zone knows: none yet.
    pub fn new(zone: &str, seed: u64) -> Servers {
        Servers { zone: zone.to_owned(), rng: fastrand::Rng::with_seed(seed), ..Servers::default() }
    }

    /// Takes in what a marker tells.
    pub fn take(&mut self, now: Millis, told: Vec<Instance>) {
        for word in told {
            let id: Rc<str> = word.id.as_str().into();
            let Some(server) = self.by_id.get_mut(&id) else {
                if word.state != InstanceState::Gone {
                    self.services.entry(word.service.clone()).or_default().insert(id.clone());
                    let cold_until = now + word.cold_ms;
                    let server = Server {
                        told: word,
                        under_way: 0,
                        slow: 1.0,
                        answered: None,
                        failures: 0,
                        avoid_until: 0,
                        cold_until,
                        gone: 0,
                    };
                    self.by_id.insert(id, server);
                }
                continue;
            };
            if (word.sequence, word.state) <= (server.told.sequence, server.told.state) {
                continue;
            }
            // Silence at a marker is less than an answer here; a server that says that it ends has ended.
            let silent = word.state == InstanceState::Gone && word.sequence != u64::MAX;
            if silent && server.answered.is_some_and(|at| now < at + ANSWERED) {
                continue;
            }
            server.told.update(word);
            server.gone = now;
        }
        let gone =
            |s: &Server| s.told.state == InstanceState::Gone && s.under_way == 0 && now >= s.gone + REMEMBER;
        self.by_id.retain(|id, server| {
            let keeps = !gone(server);
            if !keeps {
                if let Some(ids) = self.services.get_mut(&server.told.service) {
                    ids.remove(id);
                }
            }
            keeps
        });
    }

    /// All that are not gone, as others are to know them.
    pub fn all(&self) -> Vec<Instance> {
        self.by_id
            .values()
            .map(|s| &s.told)
            .filter(|told| told.state != InstanceState::Gone)
            .cloned()
            .collect()
    }

    /// How many are ready, by service.
    pub fn ready(&self, service: &str) -> usize {
        let ids = self.services.get(service).into_iter().flatten();
        ids.filter(|id| self.by_id.get(*id).is_some_and(|s| s.told.state == InstanceState::Ready)).count()
    }

    /// A server by its life.
    pub fn get(&self, id: &str) -> Option<&Server> {
        self.by_id.get(id)
    }

    /// What a request would have to wait for at a server, in parts of what is usual.
    fn expected(&self, server: &Server, now: Millis) -> f64 {
        let slots = f64::from(server.told.slots.max(1));
        let load = (f64::from(server.under_way) + 1.0) / slots;
        let zone = if server.told.zone == self.zone { 1.0 } else { CROSS_ZONE };
        let cold = if now < server.cold_until { COLD } else { 1.0 };
        server.slow * cold * zone * (0.5 + load)
    }

    /// The best server of a service for a request that was tried at some already, of a few that are drawn by their
    /// speed. `None` where all have as much as they may have.
    pub fn pick(&mut self, now: Millis, service: &str, tried: &[Rc<str>]) -> Option<Rc<str>> {
        let ids = self.services.get(service)?;
        let ready: Vec<(&Rc<str>, &Server)> = ids
            .iter()
            .filter_map(|id| self.by_id.get(id).map(|server| (id, server)))
            .filter(|(id, s)| s.told.state == InstanceState::Ready && !tried.contains(*id))
            .collect();
        let has_room = |s: &Server| f64::from(s.under_way) < f64::from(s.told.slots) * DEEPEST;
        let well: Vec<&(&Rc<str>, &Server)> = ready.iter().filter(|(_, s)| now >= s.avoid_until).collect();
        // If most of a service seems ill, it is not the servers.
        let all: Vec<&(&Rc<str>, &Server)> =
            if well.len() * 2 >= ready.len() { well } else { ready.iter().collect() };
        let fit: Vec<_> = all.into_iter().filter(|(_, s)| has_room(s)).collect();
        let weight = |s: &Server| {
            let zone = if s.told.zone == self.zone { 1.0 } else { 0.12 };
            zone * f64::from(s.told.slots) / s.slow.max(0.05)
        };
        let sum: f64 = fit.iter().map(|(_, s)| weight(s)).sum();
        let mut draw = || {
            let mut at = self.rng.f64() * sum;
            fit.iter()
                .find(|(_, s)| {
                    at -= weight(s);
                    at <= 0.0
                })
                .or(fit.last())
        };
        let drawn: Vec<_> = (0..DRAWS).filter_map(|_| draw()).collect();
        let wait = |one: &(&Rc<str>, &Server)| self.expected(one.1, now);
        let best = drawn.into_iter().min_by(|a, b| wait(a).total_cmp(&wait(b)))?;
        Some(best.0.clone())
    }

    /// A request is sent to a server.
    pub fn begin(&mut self, id: &str) {
        if let Some(server) = self.by_id.get_mut(id) {
            server.under_way += 1;
        }
    }

    /// A request with this aim has ended there.
    pub fn end(&mut self, now: Millis, id: &str, sign: Sign, aim: Millis) {
        if let Some(server) = self.by_id.get_mut(id) {
            server.under_way = server.under_way.saturating_sub(1);
        }
        self.observe(now, id, sign, aim);
    }

    /// Learns something of a server from a request with this aim, which may still be under way there. What is usual is
    /// known for each kind of request: a service that answers searches in a second and payments in a tenth of one would
    /// else look fast or slow by what it was asked for.
    pub fn observe(&mut self, now: Millis, id: &str, sign: Sign, aim: Millis) {
        let Some(server) = self.by_id.get_mut(id) else { return };
        match sign {
            Sign::Good(took) => {
                (server.answered, server.failures) = (Some(now), 0);
                let cold = if now < server.cold_until { COLD } else { 1.0 };
                let took = took.max(1) as f64 / cold;
                let kinds = self.typical.entry(server.told.service.clone()).or_default();
                let typical = kinds.entry(kind(aim)).or_insert(took);
                server.slow += ((took / *typical).clamp(0.1, 10.0) - server.slow) * LEARN.0;
                *typical += (took - *typical) * LEARN.1;
            }
            Sign::Full => server.avoid_until = server.avoid_until.max(now + AVOID.0 / 10),
            Sign::Absent | Sign::Failed => {
                let span = AVOID.0 << server.failures.min(AVOID.1);
                if sign == Sign::Absent || server.failures > 0 {
                    server.avoid_until = now + span;
                }
                server.failures += 1;
            }
            Sign::Nothing => {}
        }
    }

    /// Mean time of a good answer of a service to requests with this aim, ms, where one is known.
    pub fn typical(&self, service: &str, aim: Millis) -> Option<f64> {
        self.typical.get(service)?.get(&kind(aim)).copied()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use googletest::prelude::*;

    fn told(id: &str, zone: &str, sequence: u64, state: InstanceState) -> Instance {
        Instance {
            id: id.into(),
            service: "s".into(),
            address: "10.0.0.1:80".into(),
            zone: zone.into(),
            version: String::new(),
            slots: 2,
            state,
            sequence,
            cold_ms: 0,
        }
    }

    fn servers(zones: &[(&str, &str)]) -> Servers {
        let mut servers = Servers::new("a", 1);
        servers.take(0, zones.iter().map(|(id, zone)| told(id, zone, 1, InstanceState::Ready)).collect());
        servers
    }

    fn picks(servers: &mut Servers, now: Millis) -> BTreeMap<Rc<str>, usize> {
        let mut picked = BTreeMap::new();
        for _ in 0..200 {
            let id = servers.pick(now, "s", &[]).unwrap();
            *picked.entry(id).or_default() += 1;
        }
        picked
    }

    #[gtest]
    fn the_own_zone_is_used_while_it_has_room_and_then_the_others() {
        let mut servers = servers(&[("near", "a"), ("far", "b")]);
        expect_that!(picks(&mut servers, 0)[&Rc::from("near")], ge(190));
        (0..3).for_each(|_| servers.begin("near"));
        expect_that!(picks(&mut servers, 0), eq(&BTreeMap::from([(Rc::from("far"), 200)])));
        (0..3).for_each(|_| servers.begin("far"));
        expect_that!(servers.pick(0, "s", &[]), none());
    }

    #[gtest]
    fn slow_failing_leaving_and_tried_servers_are_left_alone() {
        let mut servers = servers(&[("x", "a"), ("y", "a"), ("z", "a")]);
        for _ in 0..30 {
            for (id, took) in [("x", 50), ("y", 50), ("z", 400)] {
                servers.begin(id);
                servers.end(1_000, id, Sign::Good(took), 250);
            }
        }
        expect_that!(picks(&mut servers, 1_000).get("z"), none());
        servers.end(1_000, "x", Sign::Absent, 250);
        expect_that!(picks(&mut servers, 1_000), eq(&BTreeMap::from([(Rc::from("y"), 200)])));
        expect_that!(servers.pick(1_000, "s", &["y".into()]).as_deref(), some(eq("z")));
        servers.take(1_000, vec![told("y", "a", 2, InstanceState::Draining)]);
        expect_that!(servers.ready("s"), eq(2));
        expect_that!(picks(&mut servers, 1_000), eq(&BTreeMap::from([(Rc::from("z"), 200)])));
    }

    #[gtest]
    fn a_server_that_answers_here_is_not_gone_because_a_marker_misses_its_beats() {
        let mut servers = servers(&[("x", "a")]);
        servers.begin("x");
        servers.end(1_000, "x", Sign::Good(10), 250);
        servers.take(2_000, vec![told("x", "a", 1, InstanceState::Gone)]);
        expect_that!(servers.ready("s"), eq(1));
        servers.take(2_000, vec![told("x", "a", u64::MAX, InstanceState::Gone)]);
        expect_that!(servers.ready("s"), eq(0));
        expect_true!(servers.all().is_empty());
    }

    #[gtest]
    fn a_server_is_not_slow_because_it_is_asked_for_what_takes_long() {
        let mut servers = servers(&[("x", "a"), ("y", "a")]);
        for _ in 0..60 {
            // Both work as fast; one has all the long ones.
            for (id, took, aim) in [("x", 900, 2_500), ("y", 150, 500)] {
                servers.begin(id);
                servers.end(1_000, id, Sign::Good(took), aim);
            }
        }
        expect_that!(picks(&mut servers, 1_000)[&Rc::from("x")], all!(ge(60), le(140)));
        expect_that!(servers.typical("s", 2_500), some(near(900.0, 1.0)));
        expect_that!(servers.typical("s", 500), some(near(150.0, 1.0)));
    }
}
