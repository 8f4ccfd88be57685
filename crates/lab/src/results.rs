//! What a run has shown: counts, worth, latencies from when a request was due, by second, class, plan, zone and server.

use crate::experiment::{Experiment, Fault};
use crate::oracle::{Breach, Rule};
use granitelead_decisions::Micros;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The longest latency that is told apart, µs.
const LATENCY_MAX: u64 = 120_000_000;

/// How a request ended for its client, all its tries together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Answered within its aim.
    InTime,
    /// Answered later.
    Late,
    /// Refused, at its last try.
    Refused,
    /// Failed, or never answered.
    Failed,
}

/// Counts of requests by their ends, and their worth.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Row {
    /// What it is about.
    pub name: String,
    /// Requests that were due.
    pub asked: u64,
    /// Answered within their aim.
    pub in_time: u64,
    /// Answered later.
    pub late: u64,
    /// Refused in the end.
    pub refused: u64,
    /// Failed in the end.
    pub failed: u64,
    /// Worth that one gatekeeper that saw all would let in, and worth of it that was answered in time.
    pub offered: f64,
    /// See `offered`.
    pub served: f64,
}

impl Row {
    /// One of that name.
    pub fn of(name: impl Into<String>) -> Row {
        Row { name: name.into(), ..Row::default() }
    }

    /// The part of the worth that was served; 1 where there was none.
    pub fn share(&self) -> f64 {
        if self.offered > 0.0 {
            self.served / self.offered
        } else {
            1.0
        }
    }

    fn count(&mut self, end: End, offered: f64, served: f64) {
        self.asked += 1;
        *match end {
            End::InTime => &mut self.in_time,
            End::Late => &mut self.late,
            End::Refused => &mut self.refused,
            End::Failed => &mut self.failed,
        } += 1;
        self.offered += offered;
        self.served += served;
    }
}

/// A class with its latencies, ms.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Latencies {
    /// The class.
    pub name: String,
    /// Half of the answers are sooner.
    pub p50: f64,
    /// Nine in ten.
    pub p90: f64,
    /// 99 in 100.
    pub p99: f64,
    /// 999 in 1,000.
    pub p999: f64,
}

/// Something that happened, for the time axis.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Mark {
    /// From when, s.
    pub from: f64,
    /// Until when, s.
    pub until: f64,
    /// What.
    pub what: String,
}

impl Mark {
    /// Where a fault of an experiment stands.
    pub fn of(fault: &Fault) -> Mark {
        Mark { from: fault.at.0, until: fault.at.0 + fault.lasts.0, what: fault.kind.words() }
    }
}

/// A server's part.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct ServerRow {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Attempts that reached it.
    pub attempts: u64,
    /// Its requests in hand at the end of each second.
    pub inflight: Vec<u32>,
}

/// What a process was when; alive where nothing is said.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct ProcessRow {
    /// Its name.
    pub name: String,
    /// From when to when, s, and what.
    pub states: Vec<(f64, f64, String)>,
}

/// One run of one variant.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct Run {
    /// The experiment's name.
    pub experiment: String,
    /// What it asks.
    pub ask: String,
    /// The variant's name.
    pub variant: String,
    /// The seed.
    pub seed: u64,
    /// Everything together.
    pub all: Row,
    /// By second in which the request was due.
    pub seconds: Vec<Row>,
    /// By class.
    pub classes: Vec<Row>,
    /// By plan.
    pub plans: Vec<Row>,
    /// By the zone of the gatekeeper that got its first try.
    pub zones: Vec<Row>,
    /// By class.
    pub latencies: Vec<Latencies>,
    /// By server.
    pub servers: Vec<ServerRow>,
    /// What went wrong when.
    pub marks: Vec<Mark>,
    /// Tries of clients.
    pub tries: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Attempts beyond quotas.
    pub beyond: u64,
    /// Connections opened to servers, and those that failed.
    pub handshakes: u64,
    /// See `handshakes`.
    pub connects_failed: u64,
    /// Calls to the counter, and those of them that were not answered or turned away.
    pub counter_calls: u64,
    /// See `counter_calls`.
    pub counter_failed: u64,
    /// How often each rule was broken.
    pub broken: BTreeMap<Rule, u64>,
    /// The first breaches.
    pub breaches: Vec<Breach>,
    /// What could not be decided; on processes only.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub undecided: Vec<String>,
    /// Gatekeepers' processes; on processes only.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub processes: Vec<ProcessRow>,
}

/// A figure of a run, for comparing.
pub type Figure = (&'static str, fn(&Run) -> f64);

/// The figures by which variants are compared.
pub const FIGURES: [Figure; 8] = [
    ("served share", |run| run.all.share()),
    ("worst second", |run| run.worst_second()),
    ("refused share", |run| run.all.refused as f64 / run.all.asked.max(1) as f64),
    ("failed share", |run| run.all.failed as f64 / run.all.asked.max(1) as f64),
    ("attempts a try", |run| run.attempts as f64 / run.tries.max(1) as f64),
    ("handshakes an attempt", |run| run.handshakes as f64 / run.attempts.max(1) as f64),
    ("counter calls a try", |run| run.counter_calls as f64 / run.tries.max(1) as f64),
    ("p99, ms", |run| run.latencies.iter().map(|class| class.p99).fold(0.0, f64::max)),
];

impl Run {
    /// One in which nothing has happened yet.
    pub fn begin(name: &str, experiment: &Experiment, variant: &str, seed: u64) -> Run {
        Run {
            experiment: name.to_owned(),
            ask: experiment.ask.clone(),
            variant: variant.to_owned(),
            seed,
            all: Row::of("all"),
            classes: experiment.classes.iter().map(|class| Row::of(&class.name)).collect(),
            plans: experiment.plans.iter().map(|plan| Row::of(&plan.name)).collect(),
            zones: experiment.fleet.zones.iter().map(Row::of).collect(),
            ..Run::default()
        }
    }

    /// The lowest share of any second.
    pub fn worst_second(&self) -> f64 {
        self.seconds.iter().filter(|row| row.offered > 0.0).map(Row::share).fold(1.0, f64::min)
    }

    /// How often any rule was broken.
    pub fn broken_in_all(&self) -> u64 {
        self.broken.values().sum()
    }
}

/// Gathers what happens in a run.
pub struct Gatherer {
    start: Micros,
    run: Run,
    latencies: Vec<Histogram<u64>>,
}

/// A request that is over.
pub struct Over {
    /// When it was due.
    pub due: Micros,
    /// When it ended.
    pub ended: Micros,
    /// Its class's, plan's and zone's places.
    pub class: usize,
    /// See `class`.
    pub plan: usize,
    /// See `class`.
    pub zone: usize,
    /// How.
    pub end: End,
    /// Its worth, if it was inside its quota.
    pub offered: f64,
    /// Its worth, if it was answered in time and inside its quota.
    pub served: f64,
}

impl Gatherer {
    /// For a run that starts then, with these names of classes, plans and zones.
    pub fn new(start: Micros, seconds: usize, run: Run) -> Gatherer {
        let latencies = run.classes.iter().map(|_| {
            // From 1 µs to the longest, to three digits: fixed and proper bounds.
            Histogram::new_with_bounds(1, LATENCY_MAX, 3).expect("proper bounds")
        });
        let latencies = latencies.collect();
        let seconds = (0..seconds).map(|n| Row::of(n.to_string())).collect();
        Gatherer { start, run: Run { seconds, ..run }, latencies }
    }

    /// The counters that others bump.
    pub fn run(&mut self) -> &mut Run {
        &mut self.run
    }

    /// A request is over.
    pub fn over(&mut self, it: &Over) {
        let second = ((it.due - self.start) / 1_000_000) as usize;
        let run = &mut self.run;
        let rows = [
            Some(&mut run.all),
            run.seconds.get_mut(second),
            run.classes.get_mut(it.class),
            run.plans.get_mut(it.plan),
            run.zones.get_mut(it.zone),
        ];
        rows.into_iter().flatten().for_each(|row| row.count(it.end, it.offered, it.served));
        if matches!(it.end, End::InTime | End::Late) {
            if let Some(latencies) = self.latencies.get_mut(it.class) {
                latencies.saturating_record((it.ended - it.due).max(1));
            }
        }
    }

    /// All that was gathered.
    pub fn finish(mut self) -> Run {
        let of = |(row, it): (&Row, &Histogram<u64>)| {
            let ms = |q| it.value_at_quantile(q) as f64 / 1e3;
            let name = row.name.clone();
            Latencies { name, p50: ms(0.5), p90: ms(0.9), p99: ms(0.99), p999: ms(0.999) }
        };
        self.run.latencies = self.run.classes.iter().zip(&self.latencies).map(of).collect();
        self.run
    }
}
