//! The servers known to one gatekeeper, and load balancing among them.
//!
//! Markers report which servers exist. Latency relative to the service, requests in flight and failures are
//! observed locally by this gatekeeper.

use crate::Millis;
use granitelead_control_protocol::messages::{Instance, InstanceState};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Penalty factor for servers in another zone, where the load from other gatekeepers is the least visible.
/// Measured from 1.3 to 2.2: a higher factor saves further cross-zone traffic where servers have six slots,
/// but delays answers where they have two.
const CROSS_ZONE_FACTOR: f64 = 1.5;
/// Candidates drawn per request, of which the best is taken. The choice is close to the best of all servers,
/// but differs between gatekeepers.
const CANDIDATES: usize = 10;
/// Weights of a new sample in the moving averages of a server's relative latency and of its service's
/// latency.
const LEARNING_RATES: (f64, f64) = (0.2, 0.03);
/// How long a failing server is avoided at first, and how many times further failures can double this.
const AVOIDANCE: (Millis, u32) = (600, 4);
/// Maximum requests in flight to a server from this gatekeeper, as a multiple of its slots.
const IN_FLIGHT_MAX: f64 = 1.5;
/// Factor by which a cold server is expected to be slower.
const COLD_FACTOR: f64 = 2.0;
/// How long a server that is gone is remembered, so that a marker with outdated state doesn't bring it back.
const GONE_RETENTION: Millis = 30_000;
/// A server that a marker reports as silent is still considered alive if it answered here within this time.
const ANSWER_VALIDITY: Millis = 3_000;

/// One incarnation of a server.
#[derive(Debug)]
pub struct Server {
    /// Its latest reported state.
    pub instance: Instance,
    /// Requests in flight from this gatekeeper.
    pub in_flight: u32,
    relative_latency: f64,
    answered_at: Option<Millis>,
    failures: u32,
    avoid_until: Millis,
    cold_until: Millis,
    gone_at: Millis,
    /// The end that a marker reported for missing heartbeats, while answers received here outweigh it.
    suspended_end: Option<Instance>,
}

impl Server {
    /// Whether it answered here so recently that it is alive whatever a marker misses.
    fn has_just_answered(&self, now: Millis) -> bool {
        self.answered_at.is_some_and(|at| now < at + ANSWER_VALIDITY)
    }
}

/// What the end of a request shows about its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A successful answer, after this many ms.
    Success(Millis),
    /// The server turned the request away because it is at capacity.
    AtCapacity,
    /// Another server is at the address, or the connection failed.
    Unreachable,
    /// The server broke the connection, sent an invalid answer, or reported a failure.
    Failed,
    /// Nothing about the server.
    Neutral,
}

/// All servers, by service.
#[derive(Default)]
pub struct Servers {
    zone: String,
    by_id: BTreeMap<Rc<str>, Server>,
    services: BTreeMap<String, BTreeSet<Rc<str>>>,
    /// Mean latency of successful answers by service and latency class, ms.
    typical: BTreeMap<String, BTreeMap<u32, f64>>,
    rng: fastrand::Rng,
}

/// Latency classes of requests: target latencies within a factor of two share one, so there are at most 64.
fn latency_class(aim: Millis) -> u32 {
    aim.max(1).ilog2()
}

impl Servers {
    /// Creates an empty set of servers for a gatekeeper in the given zone.
    pub fn new(zone: &str, seed: u64) -> Servers {
        Servers { zone: zone.to_owned(), rng: fastrand::Rng::with_seed(seed), ..Servers::default() }
    }

    /// Applies the updates that a marker sent.
    pub fn update(&mut self, now: Millis, updates: Vec<Instance>) {
        for update in updates {
            let id: Rc<str> = update.id.as_str().into();
            let Some(server) = self.by_id.get_mut(&id) else {
                if update.state != InstanceState::Gone {
                    self.services.entry(update.service.clone()).or_default().insert(id.clone());
                    let cold_until = now + update.cold_ms;
                    let server = Server {
                        instance: update,
                        in_flight: 0,
                        relative_latency: 1.0,
                        answered_at: None,
                        failures: 0,
                        avoid_until: 0,
                        cold_until,
                        gone_at: 0,
                        suspended_end: None,
                    };
                    self.by_id.insert(id, server);
                }
                continue;
            };
            if (update.sequence, update.state) <= (server.instance.sequence, server.instance.state) {
                continue;
            }
            // An answer received here outweighs missed heartbeats at a marker; a server that deregistered has
            // ended.
            let silent = update.state == InstanceState::Gone && update.sequence != u64::MAX;
            if silent && server.has_just_answered(now) {
                server.suspended_end = Some(update);
                continue;
            }
            server.instance.update(update);
            (server.gone_at, server.suspended_end) = (now, None);
        }
        self.forget_ended(now);
    }

    /// Ends the servers whose end was reported and that have stopped answering since.
    pub fn on_tick(&mut self, now: Millis) {
        for server in self.by_id.values_mut().filter(|server| !server.has_just_answered(now)) {
            if let Some(end) = server.suspended_end.take() {
                server.instance.update(end);
                server.gone_at = now;
            }
        }
    }

    /// Removes the servers that have been gone for long.
    fn forget_ended(&mut self, now: Millis) {
        let is_forgotten = |s: &Server| {
            s.instance.state == InstanceState::Gone && s.in_flight == 0 && now >= s.gone_at + GONE_RETENTION
        };
        self.by_id.retain(|id, server| {
            let keeps = !is_forgotten(server);
            if !keeps {
                if let Some(ids) = self.services.get_mut(&server.instance.service) {
                    ids.remove(id);
                }
            }
            keeps
        });
    }

    /// All servers that aren't gone, to be sent to markers.
    pub fn all(&self) -> Vec<Instance> {
        self.by_id
            .values()
            .map(|s| &s.instance)
            .filter(|instance| instance.state != InstanceState::Gone)
            .cloned()
            .collect()
    }

    /// The number of ready servers of a service.
    pub fn ready(&self, service: &str) -> usize {
        let ids = self.services.get(service).into_iter().flatten();
        ids.filter(|id| self.by_id.get(*id).is_some_and(|s| s.instance.state == InstanceState::Ready)).count()
    }

    /// The server with this incarnation id.
    pub fn get(&self, id: &str) -> Option<&Server> {
        self.by_id.get(id)
    }

    /// The expected latency of a request at a server, relative to its service.
    fn expected_latency(&self, server: &Server, now: Millis) -> f64 {
        let slots = f64::from(server.instance.slots.max(1));
        let load = (f64::from(server.in_flight) + 1.0) / slots;
        let zone = if server.instance.zone == self.zone { 1.0 } else { CROSS_ZONE_FACTOR };
        let cold = if now < server.cold_until { COLD_FACTOR } else { 1.0 };
        server.relative_latency * cold * zone * (0.5 + load)
    }

    /// Selects a server of a service for a request, other than those that were tried: the best of a few
    /// candidates drawn with weights by speed. `None` if all servers are at their limit.
    pub fn pick(&mut self, now: Millis, service: &str, tried: &[Rc<str>]) -> Option<Rc<str>> {
        let ids = self.services.get(service)?;
        let ready: Vec<(&Rc<str>, &Server)> = ids
            .iter()
            .filter_map(|id| self.by_id.get(id).map(|server| (id, server)))
            .filter(|(id, s)| s.instance.state == InstanceState::Ready && !tried.contains(*id))
            .collect();
        let has_capacity = |s: &Server| f64::from(s.in_flight) < f64::from(s.instance.slots) * IN_FLIGHT_MAX;
        let healthy: Vec<&(&Rc<str>, &Server)> = ready.iter().filter(|(_, s)| now >= s.avoid_until).collect();
        // If more than half of a service's servers seem to fail, the cause is probably elsewhere: failures
        // are ignored.
        let candidates: Vec<&(&Rc<str>, &Server)> =
            if healthy.len() * 2 >= ready.len() { healthy } else { ready.iter().collect() };
        let available: Vec<_> = candidates.into_iter().filter(|(_, s)| has_capacity(s)).collect();
        let weight = |s: &Server| {
            let zone = if s.instance.zone == self.zone { 1.0 } else { 0.12 };
            zone * f64::from(s.instance.slots) / s.relative_latency.max(0.05)
        };
        let sum: f64 = available.iter().map(|(_, s)| weight(s)).sum();
        let mut draw = || {
            let mut at = self.rng.f64() * sum;
            available
                .iter()
                .find(|(_, s)| {
                    at -= weight(s);
                    at <= 0.0
                })
                .or(available.last())
        };
        let drawn: Vec<_> = (0..CANDIDATES).filter_map(|_| draw()).collect();
        let latency = |candidate: &(&Rc<str>, &Server)| self.expected_latency(candidate.1, now);
        let best = drawn.into_iter().min_by(|a, b| latency(a).total_cmp(&latency(b)))?;
        Some(best.0.clone())
    }

    /// Records that a request is sent to a server.
    pub fn begin(&mut self, id: &str) {
        if let Some(server) = self.by_id.get_mut(id) {
            server.in_flight += 1;
        }
    }

    /// Records that a request with this target latency has ended at a server.
    pub fn end(&mut self, now: Millis, id: &str, observation: Observation, aim: Millis) {
        if let Some(server) = self.by_id.get_mut(id) {
            server.in_flight = server.in_flight.saturating_sub(1);
        }
        self.observe(now, id, observation, aim);
    }

    /// Updates the statistics of a server from a request with this target latency, which may still be in
    /// flight. Mean latencies are kept per latency class: otherwise the servers of a service that answers
    /// searches in 1 s and payments in 0.1 s would look fast or slow depending on the requests they got.
    pub fn observe(&mut self, now: Millis, id: &str, observation: Observation, aim: Millis) {
        let Some(server) = self.by_id.get_mut(id) else { return };
        match observation {
            Observation::Success(took) => {
                (server.answered_at, server.failures) = (Some(now), 0);
                let cold = if now < server.cold_until { COLD_FACTOR } else { 1.0 };
                let took = took.max(1) as f64 / cold;
                let classes = self.typical.entry(server.instance.service.clone()).or_default();
                let typical = classes.entry(latency_class(aim)).or_insert(took);
                server.relative_latency +=
                    ((took / *typical).clamp(0.1, 10.0) - server.relative_latency) * LEARNING_RATES.0;
                *typical += (took - *typical) * LEARNING_RATES.1;
            }
            Observation::AtCapacity => server.avoid_until = server.avoid_until.max(now + AVOIDANCE.0 / 10),
            Observation::Unreachable | Observation::Failed => {
                let span = AVOIDANCE.0 << server.failures.min(AVOIDANCE.1);
                if observation == Observation::Unreachable || server.failures > 0 {
                    server.avoid_until = now + span;
                }
                server.failures += 1;
            }
            Observation::Neutral => {}
        }
    }

    /// Mean latency of a service's successful answers to requests with this target latency, ms, if known.
    pub fn typical_latency(&self, service: &str, aim: Millis) -> Option<f64> {
        self.typical.get(service)?.get(&latency_class(aim)).copied()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use googletest::prelude::*;

    fn instance(id: &str, zone: &str, sequence: u64, state: InstanceState) -> Instance {
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
        servers
            .update(0, zones.iter().map(|(id, zone)| instance(id, zone, 1, InstanceState::Ready)).collect());
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
    fn servers_of_the_own_zone_are_preferred_while_they_have_capacity() {
        let mut servers = servers(&[("near", "a"), ("far", "b")]);
        expect_that!(picks(&mut servers, 0)[&Rc::from("near")], ge(190));
        (0..3).for_each(|_| servers.begin("near"));
        expect_that!(picks(&mut servers, 0), eq(&BTreeMap::from([(Rc::from("far"), 200)])));
        (0..3).for_each(|_| servers.begin("far"));
        expect_that!(servers.pick(0, "s", &[]), none());
    }

    #[gtest]
    fn slow_failing_draining_and_already_tried_servers_are_avoided() {
        let mut servers = servers(&[("x", "a"), ("y", "a"), ("z", "a")]);
        for _ in 0..30 {
            for (id, took) in [("x", 50), ("y", 50), ("z", 400)] {
                servers.begin(id);
                servers.end(1_000, id, Observation::Success(took), 250);
            }
        }
        expect_that!(picks(&mut servers, 1_000).get("z"), none());
        servers.end(1_000, "x", Observation::Unreachable, 250);
        expect_that!(picks(&mut servers, 1_000), eq(&BTreeMap::from([(Rc::from("y"), 200)])));
        expect_that!(servers.pick(1_000, "s", &["y".into()]).as_deref(), some(eq("z")));
        servers.update(1_000, vec![instance("y", "a", 2, InstanceState::Draining)]);
        expect_that!(servers.ready("s"), eq(2));
        expect_that!(picks(&mut servers, 1_000), eq(&BTreeMap::from([(Rc::from("z"), 200)])));
    }

    #[gtest]
    fn a_server_that_answers_here_is_kept_when_a_marker_misses_its_heartbeats() {
        let mut servers = servers(&[("x", "a")]);
        servers.begin("x");
        servers.end(1_000, "x", Observation::Success(10), 250);
        servers.update(2_000, vec![instance("x", "a", 1, InstanceState::Gone)]);
        expect_that!(servers.ready("s"), eq(1));
        servers.update(2_000, vec![instance("x", "a", u64::MAX, InstanceState::Gone)]);
        expect_that!(servers.ready("s"), eq(0));
        expect_true!(servers.all().is_empty());
    }

    /// Guards against a server that is sent requests for as long as the process lives, because its end was
    /// reported within the moments after its last answer and is never reported again.
    #[gtest]
    fn a_reported_end_takes_effect_once_the_server_has_stopped_answering() {
        let mut servers = servers(&[("x", "a"), ("y", "a")]);
        for id in ["x", "y"] {
            servers.begin(id);
            servers.end(1_000, id, Observation::Success(10), 250);
        }
        let ends = ["x", "y"].map(|id| instance(id, "a", 1, InstanceState::Gone));
        servers.update(2_000, ends.to_vec());
        // A heartbeat of one arrives at a marker after all.
        servers.update(2_500, vec![instance("y", "a", 2, InstanceState::Ready)]);
        servers.on_tick(3_999);
        expect_that!(servers.ready("s"), eq(2));
        servers.on_tick(4_000);
        expect_that!(servers.ready("s"), eq(1));
        expect_that!(servers.get("y").unwrap().instance.state, eq(InstanceState::Ready));
    }

    #[gtest]
    fn a_server_is_not_rated_slow_for_slow_kinds_of_requests() {
        let mut servers = servers(&[("x", "a"), ("y", "a")]);
        for _ in 0..60 {
            // Both servers are equally fast; one gets all slow requests.
            for (id, took, aim) in [("x", 900, 2_500), ("y", 150, 500)] {
                servers.begin(id);
                servers.end(1_000, id, Observation::Success(took), aim);
            }
        }
        expect_that!(picks(&mut servers, 1_000)[&Rc::from("x")], all!(ge(60), le(140)));
        expect_that!(servers.typical_latency("s", 2_500), some(near(900.0, 1.0)));
        expect_that!(servers.typical_latency("s", 500), some(near(150.0, 1.0)));
    }
}
