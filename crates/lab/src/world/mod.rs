//! The platform in virtual time: the real decisions of each gatekeeper against models of servers, clients, counter,
//! discovery and network. One seed, one outcome to the byte.
//!
//! What happens is an event in a queue; each kind of it has its file: [`clients`], [`sends`], [`lists`], [`faults`]. What
//! the models leave out is in `docs/lab.md`.

mod clients;
mod faults;
mod lists;
mod sends;

use crate::experiment::{Experiment, Variant};
use crate::model::counter::{Called, CounterService};
use crate::model::server::ResaleServer;
use crate::model::traffic::{effect, Asked, Traffic};
use crate::oracle::{Answer, Ceiling, Oracle};
use crate::queue::Queue;
use crate::results::{Gatherer, Run, ServerRow};
use granitelead_decisions::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

/// When a run begins, µs: far enough from 0 that nothing lies before it.
const START: Micros = 1_000_000_000;
/// One way between a client and a gatekeeper, µs.
const CLIENT_WAY: Micros = 500;
/// A client hears nothing any more so long after its time.
const ANSWER_SLACK: Micros = 60_000;
/// The most units of one request.
const MOST_UNITS: f64 = 4.0;
/// Slack of a ceiling, as a part of its burst.
const CEILING_SLACK: f64 = 0.1;
/// After the last request all is over after this at most.
const TAIL: Micros = 15_000_000;
/// Events of one run at most: it ends in any case.
const EVENTS_MAX: u64 = 2_000_000_000;

/// What decides for a gatekeeper: the real decisions, or a double in a test.
pub trait Decider {
    /// Takes in one event and appends what is to be done about it.
    fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>);
}

impl Decider for Gatekeeper {
    fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        Gatekeeper::handle(self, now, event, out);
    }
}

/// Makes the decisions of one gatekeeper, from its settings, a seed and the time.
pub type Make<'a> = &'a dyn Fn(Settings, u64, Micros) -> Box<dyn Decider>;

/// The real decisions.
pub fn real(settings: Settings, seed: u64, now: Micros) -> Box<dyn Decider> {
    Box::new(Gatekeeper::new(settings, seed, now))
}

/// What happens next.
enum Next {
    /// The next request is due.
    Arrival,
    /// A client comes with a try of what it asked.
    Comes(u64),
    /// A try reaches its gatekeeper.
    Reached(u64),
    /// A gatekeeper, in this life of it, hears something.
    Hears {
        gatekeeper: usize,
        life: u32,
        event: Event,
    },
    /// It is told of a change of the list.
    Told {
        gatekeeper: usize,
        life: u32,
        change: u64,
    },
    /// It is told the whole list.
    WholeList {
        gatekeeper: usize,
        life: u32,
    },
    /// An attempt reaches its server.
    Arrives {
        id: u64,
        attempt: usize,
    },
    /// A server may have finished something.
    Works {
        server: usize,
        life: u32,
    },
    /// An attempt ends at its gatekeeper.
    Ends {
        id: u64,
        attempt: usize,
        outcome: Outcome,
    },
    /// A client gets an answer.
    Answered {
        id: u64,
        answer: Answer,
        wait: Micros,
    },
    /// A client waits no longer.
    GivesUp(u64),
    FaultBegins(usize),
    FaultEnds(usize),
    /// A server drains, and then stops.
    Drains {
        server: usize,
        replaced: bool,
    },
    Stops(usize),
    /// Another second is over.
    Second,
}

/// A gatekeeper's machine.
struct Gate {
    decider: Option<Box<dyn Decider>>,
    life: u32,
    zone: usize,
    /// What it was told of each server, in which change and when.
    told: BTreeMap<ServerId, (u64, ServerInfo, Micros)>,
    /// Idle connections to servers, by server and its life: since when.
    idle: BTreeMap<(usize, u32), Vec<Micros>>,
    /// Until when the front still sends it clients though it is gone.
    noticed: Micros,
}

/// A server's machine.
struct Machine {
    id: ServerId,
    zone: usize,
    /// The process, while there is one.
    process: Option<ResaleServer>,
    life: u32,
    draining: bool,
    /// Cut off from everybody.
    vanished: bool,
    failing: bool,
    slow: f64,
    /// When its next step is due.
    step_at: Micros,
    row: ServerRow,
}

/// An attempt of a try.
struct Attempt {
    server: usize,
    /// The life of the server that it went to.
    life: u32,
    sent: Micros,
    out: bool,
    /// Whether it has a connection, and whether that is held up by nothing that answers.
    connected: bool,
    job: u64,
}

/// A try of a client at a gatekeeper.
struct Try {
    asked: u64,
    gatekeeper: usize,
    life: u32,
    until: Micros,
    attempts: Vec<Attempt>,
    /// Whether the gatekeeper has ended it, and whether its client has heard or left.
    ended: bool,
    over: bool,
    /// Whether it was within the quota when it was first sent.
    inside: bool,
}

/// A request, all its tries together.
struct Wanted {
    what: Asked,
    due: Micros,
    deadline: Micros,
    /// Its gatekeepers: the first and how many; its customer's number, for those seen once one of their own.
    customer: usize,
    tries: u32,
    /// Worth that was offered with it.
    offered: f64,
    /// The zone that its first try came to.
    zone: Option<usize>,
    honours: bool,
}

/// A quota's true store, as one that saw all would keep it.
#[derive(Clone, Copy)]
struct Store {
    level: f64,
    at: Micros,
}

impl Store {
    /// Takes units if they are there.
    fn takes(&mut self, now: Micros, plan: &Plan, units: f64) -> bool {
        self.level = (self.level + plan.rate * (now - self.at) as f64 / 1e6).min(plan.burst);
        self.at = now;
        let fits = self.level >= units;
        self.level -= if fits { units } else { 0.0 };
        fits
    }
}

/// Everything together.
struct World<'a> {
    experiment: &'a Experiment,
    make: Make<'a>,
    settings: Settings,
    now: Micros,
    end: Micros,
    queue: Queue<Next>,
    gates: Vec<Gate>,
    machines: Vec<Machine>,
    by_id: BTreeMap<ServerId, usize>,
    /// Changes of the list, each with what it told; and what discovery tells to those that ask for all.
    changes: Vec<ServerInfo>,
    published: BTreeMap<ServerId, (u64, ServerInfo)>,
    counter: Option<CounterService>,
    traffic: Traffic,
    strangers: BTreeMap<usize, crate::model::traffic::Customer>,
    next_stranger: usize,
    requests: BTreeMap<u64, Wanted>,
    tries: BTreeMap<u64, Try>,
    jobs: BTreeMap<u64, (u64, usize)>,
    next: u64,
    /// True stores of customers: of what was asked first, and of what was sent on.
    asked_inside: BTreeMap<usize, Store>,
    sent_inside: BTreeMap<usize, Store>,
    oracle: Oracle,
    gatherer: Gatherer,
    /// Draws of their own for arrivals, which are so the same in each variant, clients, network and faults.
    arrivals: ChaCha8Rng,
    clients: ChaCha8Rng,
    sets: ChaCha8Rng,
    network: ChaCha8Rng,
    chance: ChaCha8Rng,
    /// What is wrong now.
    wrong: faults::Wrong,
}

/// Plays one variant with one seed.
pub fn play(name: &str, experiment: &Experiment, variant: &Variant, seed: u64, make: Make) -> Run {
    let mut experiment = experiment.clone();
    experiment.limits = variant.limits.clone().unwrap_or(experiment.limits);
    experiment.counter = variant.counter.clone().unwrap_or(experiment.counter);
    experiment.fleet.gatekeepers = variant.gatekeepers.unwrap_or(experiment.fleet.gatekeepers);
    let run = Run::begin(name, &experiment, &variant.name, seed);
    World::new(&experiment, seed, make, run).run()
}

/// What a gatekeeper is told at its start; `me` and `zone` are its own.
pub(crate) fn settings(experiment: &Experiment) -> Settings {
    let fleet = &experiment.fleet;
    let class = |class: &crate::experiment::Class| Class {
        aim: class.aim_s.micros(),
        deadline: class.deadline_s.micros(),
        effect: effect(class.effect),
        group: DedupGroup::All,
        key_window: class.key_s.micros(),
    };
    let plan = |plan: &crate::experiment::Plan| {
        let (rate, burst) = (plan.rate.0, (plan.rate.0 * plan.burst_s.0).max(MOST_UNITS));
        let times = plan.ceiling.map_or(0.0, |ceiling| ceiling.0);
        Plan {
            rate,
            burst,
            open: 0.0,
            ceiling_rate: rate * times,
            ceiling_burst: burst * times,
            ceiling_slack: if times > 0.0 { (CEILING_SLACK * burst * times).max(MOST_UNITS) } else { 0.0 },
            over_quota_value: plan.over_earns,
            over_quota_cost: plan.over_cost,
        }
    };
    Settings {
        instances: fleet.gatekeepers.0,
        index: 0,
        resolution: 1_000,
        zone: Zone::default(),
        counter: experiment.counter.there,
        counter_timeout: (experiment.counter.timeout_ms.0 * 1e3) as Micros,
        max_request_units: MOST_UNITS,
        estimated_units: true,
        subscribe: false,
        classes: experiment.classes.iter().map(class).collect(),
        plans: experiment.plans.iter().map(plan).collect(),
        limits: Limits {
            max_attempts: experiment.limits.max_attempts.0 as usize,
            hedging: experiment.limits.second_copies,
            cancel: experiment.limits.cancel,
            max_retry_after: experiment.limits.max_retry_after_s.micros(),
        },
        rules: ColdStartRules {
            cold_from: fleet.cold_from.0,
            cold_for: fleet.cold_s.micros(),
            fall_multiple: fleet.fall_multiple.0,
            fall_after: fleet.fall_s.micros(),
        },
    }
}

impl<'a> World<'a> {
    fn new(experiment: &'a Experiment, seed: u64, make: Make<'a>, run: Run) -> World<'a> {
        let stream = |number| {
            let mut rng = ChaCha8Rng::seed_from_u64(seed);
            rng.set_stream(number);
            rng
        };
        let fleet = &experiment.fleet;
        let gatekeepers = fleet.gatekeepers.0 as usize;
        let zones = fleet.zones.len();
        let mut arrivals = stream(1);
        let mut sets = stream(5);
        let traffic = Traffic::draw(experiment, gatekeepers, &mut arrivals, &mut sets);
        let seconds = experiment.seconds.micros();
        let counter = experiment.counter.there.then(|| {
            let timeout = experiment.counter.timeout_ms.0 * 1e3;
            let longest = (timeout * experiment.counter.queue.0) as Micros;
            CounterService::new(experiment.counter.per_s.0, experiment.counter.parts.0 as usize, longest)
        });
        let mut world = World {
            settings: settings(experiment),
            now: START,
            end: START + seconds,
            queue: Queue::new(),
            gates: Vec::new(),
            machines: Vec::new(),
            by_id: BTreeMap::new(),
            changes: Vec::new(),
            published: BTreeMap::new(),
            counter,
            traffic,
            strangers: BTreeMap::new(),
            next_stranger: usize::MAX,
            requests: BTreeMap::new(),
            tries: BTreeMap::new(),
            jobs: BTreeMap::new(),
            next: 0,
            asked_inside: BTreeMap::new(),
            sent_inside: BTreeMap::new(),
            oracle: Oracle::new(START, experiment.limits.second_copies),
            gatherer: Gatherer::new(START, (seconds / 1_000_000) as usize + 1, run),
            arrivals,
            clients: stream(2),
            sets,
            network: stream(3),
            chance: stream(4),
            wrong: faults::Wrong::default(),
            experiment,
            make,
        };
        for n in 0..fleet.servers.0 as usize {
            world.adds_machine(n % zones, None);
        }
        for n in 0..gatekeepers {
            world.gates.push(Gate {
                decider: None,
                life: 0,
                zone: n % zones,
                told: BTreeMap::new(),
                idle: BTreeMap::new(),
                noticed: 0,
            });
        }
        world
    }

    /// A new server, there since then; long ago where that is none.
    fn adds_machine(&mut self, zone: usize, started: Option<Micros>) -> usize {
        let number = self.machines.len();
        let id = ServerId(number as u64 + 1);
        let process = Some(ResaleServer::new(self.experiment.fleet.spec(), started, self.now));
        let name = format!("s-{}", id.0);
        let row = ServerRow { name, zone: self.experiment.fleet.zones[zone].clone(), ..ServerRow::default() };
        self.machines.push(Machine {
            id,
            zone,
            process,
            life: 0,
            draining: false,
            vanished: false,
            failing: false,
            slow: 1.0,
            step_at: Micros::MAX,
            row,
        });
        self.by_id.insert(id, number);
        let info = self.info(number, started, Availability::Ready);
        if started.is_none() {
            self.published.insert(id, (0, info));
        }
        number
    }

    fn run(mut self) -> Run {
        (0..self.gates.len()).for_each(|gatekeeper| self.starts(gatekeeper));
        self.queue.push(START, Next::Arrival);
        self.queue.push(START + 1_000_000, Next::Second);
        for number in 0..self.experiment.faults.len() {
            let at = START + self.experiment.faults[number].get_ref().at.micros();
            self.queue.push(at, Next::FaultBegins(number));
        }
        let last = self.end + TAIL;
        for _ in 0..EVENTS_MAX {
            let Some((at, next)) = self.queue.pop() else { break };
            if at > last || (at > self.end && self.requests.is_empty()) {
                break;
            }
            self.now = at;
            self.happens(next);
        }
        self.closes()
    }

    fn happens(&mut self, next: Next) {
        match next {
            Next::Arrival => self.arrival(),
            Next::Comes(asked) => self.comes(asked),
            Next::Reached(id) => self.reached(id),
            Next::Hears { gatekeeper, life, event } => self.hears(gatekeeper, life, event),
            Next::Told { gatekeeper, life, change } => self.told(gatekeeper, life, change),
            Next::WholeList { gatekeeper, life } => self.whole_list(gatekeeper, life),
            Next::Arrives { id, attempt } => self.arrives(id, attempt),
            Next::Works { server, life } => self.works(server, life),
            Next::Ends { id, attempt, outcome } => self.ends(id, attempt, outcome),
            Next::Answered { id, answer, wait } => self.answered(id, answer, wait),
            Next::GivesUp(id) => self.gives_up(id),
            Next::FaultBegins(number) => self.fault_begins(number),
            Next::FaultEnds(number) => self.fault_ends(number),
            Next::Drains { server, replaced } => self.drains(server, replaced),
            Next::Stops(server) => self.dies(server),
            Next::Second => {
                for machine in &mut self.machines {
                    let inflight = machine.process.as_ref().map_or(0, ResaleServer::inflight);
                    machine.row.inflight.push(inflight as u32);
                }
                if self.now < self.end {
                    self.queue.push(self.now + 1_000_000, Next::Second);
                }
            }
        }
    }

    /// A gatekeeper hears something, in that life of it, and acts.
    fn hears(&mut self, gatekeeper: usize, life: u32, event: Event) {
        let gate = &mut self.gates[gatekeeper];
        let Some(decider) = gate.decider.as_mut().filter(|_| gate.life == life) else { return };
        let mut actions = Vec::new();
        decider.handle(self.now, event, &mut actions);
        actions.into_iter().for_each(|action| self.acts(gatekeeper, life, action));
    }

    fn acts(&mut self, gatekeeper: usize, life: u32, action: Action) {
        match action {
            Action::Send { request, server, timeout } => self.sends(gatekeeper, &request, server, timeout),
            Action::Cancel { request, attempt } => self.cancels(&request, attempt),
            Action::Refuse { request, retry_after } => {
                self.final_answer(&request, Answer::Refused, retry_after)
            }
            Action::Fail(request) => self.final_answer(&request, Answer::Failed, 0),
            Action::SetTimer { token, after } => {
                let event = Event::Timer(token);
                self.queue.push(self.now + after.max(1), Next::Hears { gatekeeper, life, event });
            }
            Action::Count { name, amount, keep } => self.counts(gatekeeper, life, name, amount, keep),
            Action::Subscribe => {}
        }
    }

    /// A call to the counter, which stands in the first zone.
    fn counts(&mut self, gatekeeper: usize, life: u32, name: CounterName, amount: f64, keep: Micros) {
        self.gatherer.run().counter_calls += 1;
        let zone = self.gates[gatekeeper].zone;
        let (there, back) = (self.way(zone, 0), self.way(zone, 0));
        let silent = self.wrong.counter_down > 0 || self.is_cut(zone, 0);
        let (at, called) = match self.counter.as_mut().filter(|_| !silent) {
            Some(counter) => counter.call(self.now + there, &name.0, amount, keep),
            None => (Micros::MAX / 2, Called::Busy),
        };
        let (at, outcome) = match called {
            _ if at + back > self.now + self.settings.counter_timeout => {
                (self.now + self.settings.counter_timeout, CounterOutcome::Timeout)
            }
            Called::Total(total) => (at + back, CounterOutcome::Total(total)),
            Called::Busy => (at + back, CounterOutcome::Refused),
        };
        self.gatherer.run().counter_failed += u64::from(!matches!(outcome, CounterOutcome::Total(_)));
        self.queue.push(at, Next::Hears { gatekeeper, life, event: Event::Counter { name, outcome } });
    }

    /// One way between two zones, µs.
    fn way(&mut self, from: usize, to: usize) -> Micros {
        let fleet = &self.experiment.fleet;
        let mean = if from == to { fleet.same_ms } else { fleet.cross_ms }.0 * 1e3;
        let off = fleet.jitter.0;
        (mean * self.network.random_range(1.0 - off..=1.0 + off)).max(1.0) as Micros
    }

    fn is_cut(&self, a: usize, b: usize) -> bool {
        a != b && (self.wrong.cut.contains(&a) || self.wrong.cut.contains(&b))
    }

    fn closes(mut self) -> Run {
        let open: Vec<u64> = self.requests.keys().copied().collect();
        for asked in open {
            self.is_over(asked, crate::results::End::Failed, None);
        }
        self.oracle.end(self.now);
        let run = self.gatherer.run();
        run.servers = self.machines.iter().map(|machine| machine.row.clone()).collect();
        run.broken = self.oracle.counts().clone();
        run.breaches = self.oracle.breaches().to_vec();
        self.gatherer.finish()
    }

    fn ceiling(&self, plan: usize) -> Option<Ceiling> {
        let plan = &self.settings.plans[plan];
        (plan.ceiling_rate > 0.0).then_some(Ceiling {
            rate: plan.ceiling_rate,
            burst: plan.ceiling_burst,
            slack: plan.ceiling_slack + plan.ceiling_rate * 0.15,
        })
    }
}
