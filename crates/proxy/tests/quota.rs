//! Random schedules of a tenant that exceeds its quota during partitions, kills and restarts: the admitted
//! requests must stay within the quota in every sliding window. The check uses only the times at which
//! requests were admitted.

mod common;

use common::{Simulation, RATE};
use granitelead_common::configuration::Tenant;
use granitelead_common::recent_use::WindowUsage;
use granitelead_proxy::tenants::Tenants;
use std::net::Ipv4Addr;

/// Requests that the rule permits in the window of five seconds.
const ALLOWED: usize = ((RATE * 5.0 + RATE) * 1.1 + 20.0) as usize;
const MARKERS: usize = 3;
const GATEKEEPERS: usize = 13;
/// The tenant's usual load as a fraction of its rate.
const USUAL_LOAD: f64 = 0.6;
/// When traffic begins, ms; faults occur until 26 s later.
const START: u64 = 5_000;
const END: u64 = START + 40_000;

/// An event at one moment of a schedule.
#[derive(Clone, Debug)]
enum Event {
    /// Changes the tenant's load by this multiple of its usual load.
    Load(f64),
    /// An action as in the cells of the timelines, on a marker or gatekeeper.
    NodeAction(usize, &'static str),
    /// Cuts one direction of a link.
    Cut(usize, usize),
    /// Restores all links of a node.
    Join(usize),
}

struct Schedule {
    rng: fastrand::Rng,
    events: Vec<(u64, Event)>,
}

impl Schedule {
    fn random(seed: u64) -> Vec<(u64, Event)> {
        let mut schedule = Schedule { rng: fastrand::Rng::with_seed(seed), events: Vec::new() };
        schedule.add_load();
        for _ in 0..schedule.rng.u32(2..=5) {
            schedule.add_fault();
        }
        schedule.events.sort_by_key(|(at, _)| *at);
        schedule.events
    }

    fn push(&mut self, from: u64, event: Event) {
        self.events.push((from, event));
    }

    fn add_load(&mut self) {
        for _ in 0..self.rng.u32(1..=3) {
            let at = START + self.rng.u64(500..24_000);
            let load_factor = [3.0, 8.0, 15.0][self.rng.usize(..3)];
            let span = self.rng.u64(4_000..14_000);
            self.push(at, Event::Load(load_factor));
            self.push(at + span, Event::Load(-load_factor));
        }
    }

    fn gatekeepers(&mut self, share: f64) -> Vec<usize> {
        let mut all: Vec<usize> = (MARKERS..MARKERS + GATEKEEPERS).collect();
        self.rng.shuffle(&mut all);
        all.truncate((share * GATEKEEPERS as f64).ceil() as usize);
        all
    }

    fn add_fault(&mut self) {
        let at = START + self.rng.u64(200..26_000);
        match self.rng.u32(..8) {
            0 | 1 => self.cut_machine(at),
            2 => self.cut_gatekeepers(at),
            3 => self.kill_gatekeepers(at),
            4 => self.kill_machine(at),
            5 => self.kill_core(at),
            6 => self.restart_one_by_one(at),
            _ => self.cut_marker(at),
        }
    }

    /// A core machine, with its marker and its gatekeeper, is partitioned from the others in both directions
    /// or in one.
    fn cut_machine(&mut self, at: u64) {
        let m = self.rng.usize(..MARKERS);
        let span = self.rng.u64(3_000..20_000);
        let (out, into) = [(true, true), (true, false), (false, true)][self.rng.usize(..3)];
        for other in (0..MARKERS).filter(|other| *other != m) {
            for (here, there) in [(m, other), (MARKERS + m, other), (m, MARKERS + other)] {
                if out {
                    self.push(at, Event::Cut(here, there));
                }
                if into {
                    self.push(at, Event::Cut(there, here));
                }
            }
        }
        self.push(at + span, Event::Join(m));
        self.push(at + span, Event::Join(MARKERS + m));
    }

    fn cut_gatekeepers(&mut self, at: u64) {
        let share = [0.1, 0.3, 0.6][self.rng.usize(..3)];
        let span = self.rng.u64(2_000..12_000);
        for g in self.gatekeepers(share) {
            self.push(at, Event::NodeAction(g, "cut"));
            self.push(at + span, Event::Join(g));
        }
    }

    fn kill_gatekeepers(&mut self, at: u64) {
        let share = [0.1, 0.3, 0.6, 1.0][self.rng.usize(..4)];
        let (how, down) = if self.rng.bool() { ("kill", 500) } else { ("power", self.rng.u64(1_000..5_000)) };
        for g in self.gatekeepers(share) {
            self.push(at, Event::NodeAction(g, how));
            self.push(at + down, Event::NodeAction(g, "up"));
        }
    }

    fn kill_machine(&mut self, at: u64) {
        let m = self.rng.usize(..MARKERS);
        let (how, down) = if self.rng.bool() { ("kill", 500) } else { ("power", 3_000) };
        for n in [m, MARKERS + m] {
            self.push(at, Event::NodeAction(n, how));
            self.push(at + down, Event::NodeAction(n, "up"));
        }
    }

    fn kill_core(&mut self, at: u64) {
        let (how, down) = if self.rng.bool() { ("kill", 500) } else { ("power", 3_000) };
        for m in (0..MARKERS).flat_map(|m| [m, MARKERS + m]) {
            self.push(at, Event::NodeAction(m, how));
            self.push(at + down, Event::NodeAction(m, "up"));
        }
    }

    fn restart_one_by_one(&mut self, at: u64) {
        let gap = self.rng.u64(300..1_000);
        for (n, g) in self.gatekeepers(1.0).into_iter().enumerate() {
            self.push(at + n as u64 * gap, Event::NodeAction(g, "end"));
            self.push(at + n as u64 * gap + 10, Event::NodeAction(g, "kill"));
            self.push(at + n as u64 * gap + 400, Event::NodeAction(g, "up"));
        }
    }

    /// One marker is cut off from the others; all gatekeepers reach both sides.
    fn cut_marker(&mut self, at: u64) {
        let alone = self.rng.usize(..MARKERS);
        let span = self.rng.u64(2_000..9_000);
        for other in (0..MARKERS).filter(|other| *other != alone) {
            self.push(at, Event::Cut(alone, other));
            self.push(at, Event::Cut(other, alone));
        }
        self.push(at + span, Event::Join(alone));
    }
}

fn is_up(simulation: &Simulation, n: usize) -> bool {
    match n.checked_sub(MARKERS) {
        None => simulation.markers[n].marker.is_some(),
        Some(g) => simulation.gatekeepers[g].gate.is_some(),
    }
}

/// Runs a schedule and returns the simulation at its end.
fn simulate(seed: u64, events: &[(u64, Event)]) -> Simulation {
    let mut simulation = Simulation::with_seed(MARKERS, GATEKEEPERS, seed);
    simulation.redial_max = 800;
    simulation.counts_bytes = false;
    simulation.needs_configuration = true;
    (0..MARKERS + GATEKEEPERS).for_each(|n| simulation.act(n, "up"));
    simulation.run(1_000);
    simulation.execute(&["put", "1"]);
    simulation.run(START);
    let usual = RATE * USUAL_LOAD / GATEKEEPERS as f64;
    let mut load_factor = 1.0;
    simulation.load = usual;
    for (at, event) in events {
        run(&mut simulation, *at);
        match event {
            Event::Load(more) => {
                load_factor += more;
                simulation.load = usual * f64::max(1.0, load_factor);
            }
            Event::NodeAction(n, what) => {
                if is_up(&simulation, *n) != (*what == "up") {
                    simulation.act(*n, what);
                }
            }
            Event::Cut(from, to) => simulation.cut(*from, *to),
            Event::Join(n) => simulation.act(*n, "join"),
        }
    }
    run(&mut simulation, END);
    simulation
}

/// Advances time. If only one seed is run, prints every half second what each gatekeeper admitted and its
/// quota state.
fn run(simulation: &mut Simulation, until: u64) {
    let prints = seeds().count() == 1;
    while prints && simulation.now < until {
        let (from, next) = (simulation.admitted.len(), (simulation.now / 500 + 1) * 500);
        simulation.run(next.min(until));
        let by = |g: usize| simulation.admitted_by[from..].iter().filter(|by| **by == g).count();
        let node = |g: usize| {
            let Some(gate) = simulation.gatekeepers[g].gate.as_ref() else { return "down".to_owned() };
            let (m, s) = (gate.tenants.membership(), gate.tenants.status("t"));
            let home = gate.control.attached_marker().map_or("-".into(), |ip| ip.octets()[3].to_string());
            let (level, touch) = (s.map_or(0.0, |s| s.level), if m.in_sync { "" } else { "!" });
            format!("{}{touch}{home}:{}-{}:{level:.0}", by(g), m.gatekeepers, m.missing)
        };
        let nodes: Vec<String> = (0..GATEKEEPERS).map(node).collect();
        println!("{:6} {:4} | {}", simulation.now, simulation.admitted.len() - from, nodes.join(" "));
    }
    simulation.run(until);
}

/// The seeds to run, from `GRANITELEAD_CASES`: a count, or a range as `from..to`.
fn seeds() -> std::ops::Range<u64> {
    let Ok(cases) = std::env::var("GRANITELEAD_CASES") else { return 0..300 };
    let (from, to) = cases.split_once("..").unwrap_or(("0", &cases));
    from.parse().unwrap()..to.parse().unwrap()
}

#[test]
fn a_quota_holds_in_every_window_under_random_partitions_kills_and_restarts() {
    let seeds = seeds();
    let mut failed = Vec::new();
    for seed in seeds.clone() {
        let events = Schedule::random(seed);
        let simulation = simulate(seed, &events);
        let max = simulation.max_in_window();
        if max > ALLOWED {
            failed.push((seed, max));
            if seeds.end - seeds.start == 1 {
                println!("{events:#?}");
            }
        }
    }
    assert!(failed.is_empty(), "{} of {seeds:?} over {ALLOWED}: {failed:?}", failed.len());
}

/// All gatekeepers are killed 0.6 s after the tenant has begun to exceed its quota, and restart together.
#[test]
fn a_quota_holds_where_all_gatekeepers_start_again_beside_a_hot_start() {
    let max = simulate(662, &Schedule::random(662)).max_in_window();
    assert!(max <= ALLOWED, "{max} are admitted, {ALLOWED} are permitted");
}

/// A tenant that exceeds its quota while processes restart: its limits, the gatekeepers, and what restarts.
#[derive(Clone, Copy, Debug)]
struct RestartCase {
    rate: f64,
    burst: f64,
    gatekeepers: usize,
    /// The tenant's load, as a multiple of its rate.
    load_factor: f64,
    restart: Restart,
    /// Whether the processes end so that their peers notice.
    is_noticed: bool,
    /// From the start of the load to the end of the processes, ms, and how long they are down.
    after: u64,
    down: u64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Restart {
    /// Nothing restarts; the tenant moves from one gatekeeper to the next.
    Nothing,
    OneGatekeeper,
    AllGatekeepers,
    OneMarker,
    /// All markers, and the gatekeepers on their machines.
    Core,
    All,
}

impl RestartCase {
    fn random(seed: u64) -> RestartCase {
        use Restart::{All, AllGatekeepers, Core, Nothing, OneGatekeeper, OneMarker};
        let mut rng = fastrand::Rng::with_seed(seed);
        let rate = [5.0, 10.0, 40.0, 100.0, 400.0][rng.usize(..5)];
        RestartCase {
            rate,
            burst: rate * [1.0, 2.0, 4.0, 8.0, 12.5, 16.0, 30.0][rng.usize(..7)],
            gatekeepers: [3, 7, 13][rng.usize(..3)],
            load_factor: [3.0, 8.0, 15.0][rng.usize(..3)],
            restart: [Nothing, OneGatekeeper, AllGatekeepers, OneMarker, Core, All][rng.usize(..6)],
            is_noticed: rng.bool(),
            after: rng.u64(200..8_000),
            down: rng.u64(200..1_000),
        }
    }

    /// Requests that the rule permits in the window of five seconds.
    fn allowed(&self) -> usize {
        ((self.rate * 5.0 + self.burst) * 1.1 + 20.0) as usize
    }

    /// The processes that restart: markers, then gatekeepers.
    fn restarting(&self) -> Vec<usize> {
        let all = MARKERS + self.gatekeepers;
        match self.restart {
            Restart::Nothing => Vec::new(),
            Restart::OneGatekeeper => vec![MARKERS],
            Restart::AllGatekeepers => (MARKERS..all).collect(),
            Restart::OneMarker => vec![0],
            Restart::Core => (0..2 * MARKERS).collect(),
            Restart::All => (0..all).collect(),
        }
    }

    /// Plays the case. `usual` is the load before the tenant exceeds its quota, as a multiple of its rate.
    fn play(&self, seed: u64, usual: f64) -> Simulation {
        let mut simulation = Simulation::with_seed(MARKERS, self.gatekeepers, seed);
        (simulation.counts_bytes, simulation.needs_configuration) = (false, true);
        (simulation.rate, simulation.burst) = (self.rate, self.burst);
        (0..MARKERS + self.gatekeepers).for_each(|n| simulation.act(n, "up"));
        simulation.run(1_000);
        simulation.execute(&["put", "1"]);
        simulation.load = usual * self.rate / self.gatekeepers as f64;
        simulation.run(START);
        simulation.load = self.load_factor * self.rate / self.gatekeepers as f64;
        let end = START + self.after;
        if self.restart == Restart::Nothing {
            simulation.load *= self.gatekeepers as f64;
            for g in 0..self.gatekeepers {
                simulation.load_only = Some(g);
                let until = simulation.now + self.after.min(2_000);
                simulation.run(until);
            }
        }
        simulation.run(end.max(simulation.now));
        let way = if self.is_noticed { "kill" } else { "power" };
        self.restarting().into_iter().for_each(|n| simulation.act(n, way));
        let until = simulation.now + self.down;
        simulation.run(until);
        self.restarting().into_iter().for_each(|n| simulation.act(n, "up"));
        let until = simulation.now + 8_000;
        simulation.run(until);
        simulation
    }
}

/// Guards against a burst that is granted once more after a restart, or at each gatekeeper that a tenant moves to.
#[test]
fn a_burst_is_granted_once_whatever_restarts() {
    let seeds = seeds();
    let mut failed = Vec::new();
    for seed in seeds.clone() {
        let case = RestartCase::random(seed);
        let simulation = case.play(seed, 0.0);
        let max = simulation.max_in_window();
        if seeds.end - seeds.start == 1 {
            println!("{case:?}: {max} of {}", case.allowed());
            for at in (START..simulation.now).step_by(250) {
                let count = |g: usize| {
                    let by = simulation.admitted.iter().zip(&simulation.admitted_by);
                    by.filter(|(now, by)| (at..at + 250).contains(*now) && **by == g).count()
                };
                println!("{at:6} {:?}", (0..case.gatekeepers).map(count).collect::<Vec<_>>());
            }
        }
        if max > case.allowed() {
            failed.push(format!("seed {seed}: {max} of {}, {case:?}", case.allowed()));
        }
    }
    assert!(failed.is_empty(), "{} of {seeds:?} over the limit:\n{}", failed.len(), failed.join("\n"));
}

/// A single gatekeeper that is in sync.
fn single_gatekeeper() -> Tenants {
    let mut tenants = Tenants::new(5, 5_000);
    tenants.set_gatekeepers(0, 1, 0);
    tenants.replace_recent_use(0, &WindowUsage { span: 5_000, granted: vec![250_000; 20], used: Vec::new() });
    tenants.set_in_sync(0, true);
    tenants
}

/// Sends evenly spaced requests at `a_second` per second; returns how many were refused.
fn send_requests(tenants: &mut Tenants, from: u64, until: u64, rate: f64, a_second: u64) -> usize {
    let tenant = Tenant { name: "t".into(), priority: None, rate, burst: rate };
    let mut refused = 0;
    for now in from..until {
        if now % 50 == 0 {
            tenants.add_others_use(now, &[]);
        }
        if now % (1_000 / a_second) == 0 {
            refused += usize::from(tenants.rate_limit(now, &tenant).is_some());
        }
    }
    refused
}

#[test]
fn usage_under_a_previous_limit_does_not_count_against_a_lower_limit() {
    let mut tenants = single_gatekeeper();
    assert_eq!(send_requests(&mut tenants, 0, 8_000, 200.0, 125), 0);
    let refused = send_requests(&mut tenants, 8_000, 12_000, 100.0, 50);
    assert!(refused <= 2, "{refused} of 200 are refused at half of the new limit");
    let refused = send_requests(&mut tenants, 18_000, 28_000, 100.0, 200);
    assert!((900..1_100).contains(&refused), "{refused} of 2,000 at twice the limit");
}

#[test]
fn a_restarted_process_starts_from_the_recent_usage() {
    let known = |used: u32| WindowUsage {
        span: 5_000,
        granted: vec![250_000; 20],
        used: vec![("t".into(), vec![used; 20])],
    };
    for (used, least, most) in [(25, 0, 20), (10, 45, 60)] {
        let mut tenants = single_gatekeeper();
        tenants.replace_recent_use(100, &known(used));
        let tenant = Tenant { name: "t".into(), priority: None, rate: RATE, burst: RATE };
        let admitted = (0..500).filter(|_| tenants.rate_limit(100, &tenant).is_none()).count();
        assert!((least..=most).contains(&admitted), "{admitted} admitted after {} in the window", used * 20);
    }
}

#[test]
fn the_metrics_show_the_state_that_decides_on_the_next_request() {
    let mut simulation = Simulation::with_seed(1, 2, 3);
    (0..3).for_each(|n| simulation.act(n, "up"));
    simulation.run(1_000);
    simulation.execute(&["put", "1"]);
    simulation.load = 10.0;
    simulation.run(6_000);
    let gate = simulation.gatekeepers[0].gate.as_ref().unwrap();
    let text = granitelead_proxy::metrics::text(gate);
    let home = Ipv4Addr::new(10, 0, 0, 1);
    for line in [
        "quota_gatekeepers 2".to_owned(),
        "quota_gatekeepers_missed 0".to_owned(),
        format!("quota_in_touch{{home=\"{home}\"}} 1"),
        "ready 1".to_owned(),
        "quota_refused{tenant=\"t\"} 0".to_owned(),
    ] {
        assert!(text.lines().any(|found| found == line), "{line} in {text}");
    }
}
