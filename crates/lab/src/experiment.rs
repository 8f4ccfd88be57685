//! Experiments as files: which fleet, what traffic, what goes wrong when, which variants to compare, with which seeds.
//! What a file says wrong is refused with its line and field.

use crate::model::server::Spec;
use granitelead_decisions::Micros;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use thiserror::Error;
use toml::Spanned;

/// The longest experiment, s of virtual time: loops are bounded.
const SECONDS_MAX: f64 = 3_600.0;
/// On processes, service is looked at for so long once it has to have settled, s.
pub const SERVES_S: f64 = 2.5;
/// Most connections of a flood at a gatekeeper.
const FLOOD_MAX: f64 = 500.0;
/// Most gatekeepers, most servers.
const FLEET_MAX: u32 = 10_000;
/// Most requests a second of all clients.
const RATE_MAX: f64 = 200_000.0;

/// Why an experiment is not taken.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// The file can't be read.
    #[error("{path}: {error}", path = .path.display())]
    Unread {
        /// Where it should be.
        path: PathBuf,
        /// Why not.
        error: std::io::Error,
    },
    /// It is not of the form of an experiment; the text names line and field.
    #[error("{path}: {error}", path = .path.display())]
    Form {
        /// The file.
        path: PathBuf,
        /// Line, field and reason.
        error: Box<toml::de::Error>,
    },
    /// Its parts don't fit together.
    #[error("{path}: line {line}: field `{field}`: {fault}", path = .path.display())]
    Field {
        /// The file.
        path: PathBuf,
        /// From 1.
        line: usize,
        /// Its path.
        field: String,
        /// What is wrong with it.
        fault: String,
    },
}

/// Why a number can't stand where it does.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum OutOfRange {
    /// It has to be above 0, and finite.
    #[error("{0} is not above 0")]
    NotPositive(f64),
    /// It has to be a part of a whole.
    #[error("{0} is not from 0 to 1")]
    NoShare(f64),
    /// It has to be a size of a fleet.
    #[error("{0} is not from 1 to {FLEET_MAX}")]
    NoCount(u32),
}

/// A number above 0.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(try_from = "f64")]
pub struct Positive(pub f64);

impl TryFrom<f64> for Positive {
    type Error = OutOfRange;

    fn try_from(n: f64) -> Result<Self, OutOfRange> {
        (n.is_finite() && n > 0.0).then_some(Positive(n)).ok_or(OutOfRange::NotPositive(n))
    }
}

impl Positive {
    /// A span given in seconds.
    pub fn micros(self) -> Micros {
        (self.0 * 1e6).round().max(1.0) as Micros
    }
}

/// A part of a whole, from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize)]
#[serde(try_from = "f64")]
pub struct Share(pub f64);

impl TryFrom<f64> for Share {
    type Error = OutOfRange;

    fn try_from(n: f64) -> Result<Self, OutOfRange> {
        (0.0..=1.0).contains(&n).then_some(Share(n)).ok_or(OutOfRange::NoShare(n))
    }
}

/// From 1 to as many as a fleet may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(try_from = "u32")]
pub struct Count(pub u32);

impl TryFrom<u32> for Count {
    type Error = OutOfRange;

    fn try_from(n: u32) -> Result<Self, OutOfRange> {
        (1..=FLEET_MAX).contains(&n).then_some(Count(n)).ok_or(OutOfRange::NoCount(n))
    }
}

/// An experiment.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// What it asks, in a sentence.
    pub ask: String,
    /// How long clients ask, s.
    pub seconds: Positive,
    /// Each is a run of its own.
    #[serde(default = "five_seeds")]
    pub seeds: Vec<u64>,
    /// Who is there.
    #[serde(default)]
    pub fleet: Fleet,
    /// Who asks.
    #[serde(default)]
    pub traffic: Traffic,
    /// The counter service; `false` for none.
    #[serde(default)]
    pub counter: Counter,
    /// What the platform allows gatekeepers.
    #[serde(default)]
    pub limits: Limits,
    /// What kinds of requests there are; those of the platform where none is named.
    #[serde(default = "platform_classes", rename = "class")]
    pub classes: Vec<Class>,
    /// What customers have bought; the platform's where none is named.
    #[serde(default = "platform_plans", rename = "plan")]
    pub plans: Vec<Plan>,
    /// What goes wrong.
    #[serde(default, rename = "fault", alias = "faults")]
    pub faults: Vec<Spanned<Fault>>,
    /// What is compared; the first is what the others are compared with.
    #[serde(default = "one_variant", rename = "variant")]
    pub variants: Vec<Variant>,
}

/// Gatekeepers, servers, and the way between them.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// How many gatekeepers.
    pub gatekeepers: Count,
    /// How many servers.
    pub servers: Count,
    /// Their zones, to which gatekeepers and servers are dealt in turn.
    pub zones: Vec<String>,
    /// Cores of a server.
    pub cores: Count,
    /// Requests that a server works on at once, for each core.
    pub slots_per_core: Positive,
    /// Requests that wait there, for each core.
    pub queue_per_core: Positive,
    /// What a server can do when it has just started, as a part of what it can do when warm.
    pub cold_from: Share,
    /// How long it takes to be warm, s.
    pub cold_s: Positive,
    /// A cold server sent more than so many times what it can do falls over ...
    pub fall_multiple: Positive,
    /// ... over so long, s.
    pub fall_s: Positive,
    /// Requests in hand for each core from which on a server gets less efficient ...
    pub thrash_at: Positive,
    /// ... and by how much of its work, for each further one.
    pub thrash: Share,
    /// Connections that a server holds, for each core.
    pub connections_per_core: Positive,
    /// Work of a server for a new connection, ms.
    pub handshake_ms: Positive,
    /// Part of the requests that fail at any server.
    pub error_rate: Share,
    /// One way within a zone, ms.
    pub same_ms: Positive,
    /// One way between two zones, ms.
    pub cross_ms: Positive,
    /// Part of each way by which it varies.
    pub jitter: Share,
    /// How long discovery takes to tell of a change, s: at least, and at most.
    pub list_s: (Positive, Positive),
    /// How long the front takes to notice that a gatekeeper is gone, s.
    pub notice_s: Positive,
    /// Whether gatekeepers may send each other datagrams; on processes only.
    pub peers: bool,
    /// Mirrors of the list service; on processes only.
    pub mirrors: u32,
    /// How long after the last fault all has to be as it should; on processes only, s.
    pub settles_s: Positive,
}

impl Default for Fleet {
    fn default() -> Self {
        Fleet {
            gatekeepers: Count(30),
            servers: Count(24),
            zones: vec!["a".into(), "b".into()],
            cores: Count(3),
            slots_per_core: Positive(4.0),
            queue_per_core: Positive(18.0),
            cold_from: Share(0.3),
            cold_s: Positive(12.0),
            fall_multiple: Positive(2.0),
            fall_s: Positive(1.5),
            thrash_at: Positive(5.0),
            thrash: Share(0.17),
            connections_per_core: Positive(600.0),
            handshake_ms: Positive(1.0),
            error_rate: Share(0.001),
            same_ms: Positive(0.25),
            cross_ms: Positive(1.0),
            jitter: Share(0.2),
            list_s: (Positive(1.0), Positive(4.0)),
            notice_s: Positive(2.0),
            peers: false,
            mirrors: 0,
            settles_s: Positive(8.0),
        }
    }
}

impl Fleet {
    /// What its servers are.
    pub fn spec(&self) -> Spec {
        let cores = f64::from(self.cores.0);
        Spec {
            cores,
            slots: (cores * self.slots_per_core.0).ceil() as usize,
            queue: (cores * self.queue_per_core.0).ceil() as usize,
            cold_from: self.cold_from.0,
            cold_for: self.cold_s.micros(),
            fall_multiple: self.fall_multiple.0,
            fall_after: self.fall_s.micros(),
            thrash_at: self.thrash_at.0,
            thrash: self.thrash.0,
            connections: (cores * self.connections_per_core.0).ceil() as usize,
        }
    }
}

/// Who asks, and how often.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    /// What is asked inside the quotas, as a part of what all servers can do when warm.
    pub load: Positive,
    /// Part of its rate that a usual customer asks for.
    pub calm_use: Positive,
    /// Part of the customers that ask for far more than their quota, and how many times their rate.
    pub heavy: (Share, Positive),
    /// Gatekeepers that a customer's requests come through: at least and at most, as parts of all.
    pub spread: (Share, Share),
    /// The most gatekeepers of one customer.
    pub spread_max: Count,
    /// Tries after the first, at most.
    pub retries: u32,
    /// The wait before each, s.
    pub backoff_s: Positive,
    /// Part of a class's deadline that a client waits for one try.
    pub try_share: Share,
    /// Part of the clients that come back when they are told to, and not before.
    pub honours: Share,
}

impl Default for Traffic {
    fn default() -> Self {
        Traffic {
            load: Positive(0.65),
            calm_use: Positive(0.35),
            heavy: (Share(0.08), Positive(3.0)),
            spread: (Share(0.5), Share(1.0)),
            spread_max: Count(8),
            retries: 2,
            backoff_s: Positive(0.3),
            try_share: Share(0.8),
            honours: Share(0.6),
        }
    }
}

/// The counter service.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Counter {
    /// Whether there is one.
    pub there: bool,
    /// Calls a second that it can do, in all.
    pub per_s: Positive,
    /// Parts by name, each with its own line.
    pub parts: Count,
    /// A call is given up after this, ms.
    pub timeout_ms: Positive,
    /// Calls are turned away where they would wait for longer, in time-outs.
    pub queue: Positive,
}

impl Default for Counter {
    fn default() -> Self {
        Counter {
            there: true,
            per_s: Positive(2_000.0),
            parts: Count(2),
            timeout_ms: Positive(30.0),
            queue: Positive(1.5),
        }
    }
}

/// What the platform allows gatekeepers.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Attempts of one request.
    pub max_attempts: Count,
    /// Whether two of them may be out together.
    pub second_copies: bool,
    /// Whether they may be called off.
    pub cancel: bool,
    /// The longest retry advice that clients follow, s.
    pub max_retry_after_s: Positive,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { max_attempts: Count(5), second_copies: true, cancel: true, max_retry_after_s: Positive(2.0) }
    }
}

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// As often as one likes.
    Idempotent,
    /// Servers drop repeats for a time.
    Deduplicated,
    /// Once.
    AtMostOnce,
}

/// A kind of requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its part of all requests.
    pub share: Share,
    /// Mean work, ms of one core.
    pub work_ms: Positive,
    /// Standard deviation of the work, in means.
    pub cv: Positive,
    /// Answered within this it earns its worth, s.
    pub aim_s: Positive,
    /// Clients give up after this, s.
    pub deadline_s: Positive,
    /// What an answer in time earns for each unit.
    pub worth: Positive,
    /// How often it may run.
    pub effect: Effect,
    /// How long servers drop repeats, s.
    #[serde(default = "four_seconds")]
    pub key_s: Positive,
}

/// What customers have bought.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Its part of what is asked inside the quotas.
    pub share: Share,
    /// Units a second of one customer.
    pub rate: Positive,
    /// What may be used at once, in s of the rate.
    pub burst_s: Positive,
    /// Times the rate and the burst that must never be passed; none where it is absent.
    pub ceiling: Option<Positive>,
    /// Part of its worth that a request beyond the quota earns.
    #[serde(default)]
    pub over_earns: f64,
    /// Part of its worth that one costs.
    #[serde(default)]
    pub over_cost: f64,
}

/// Something that goes wrong for a time.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What it is.
    pub kind: FaultKind,
    /// When it begins, s.
    pub at: Positive,
    /// How long it lasts, s.
    #[serde(default = "five_seconds")]
    pub lasts: Positive,
    /// How much of the fleet, or of the usual traffic, it is about.
    #[serde(default = "a_fifth")]
    pub share: Share,
    /// How many times slower, or how many times the usual traffic.
    #[serde(default = "three")]
    pub times: Positive,
    /// Which zone.
    pub zone: Option<String>,
    /// Which plan.
    pub plan: Option<String>,
    /// Of a `link`: which parties; the share is of them.
    pub of: Option<Parties>,
    /// Of a `link`: the others; everybody where it is absent.
    pub to: Option<Parties>,
    /// Of a `link`: what happens on the way between them.
    pub how: Option<How>,
    /// Of a delay: the mean, ms, of which each message gets half to one and a half.
    pub ms: Option<Positive>,
    /// Of lost and doubled datagrams: which part; half where it is absent.
    pub part: Option<Share>,
    /// Of a narrow link: bytes a second.
    pub bytes_per_s: Option<Positive>,
    /// With which folder a killed process starts again; its own where it is absent.
    pub folder: Option<Folder>,
}

/// Sets of parties.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Parties {
    /// The front, through which all clients come.
    Clients,
    /// All gatekeepers.
    Gatekeepers,
    /// All servers.
    Servers,
    /// The counter.
    Counter,
    /// The list service and its mirrors.
    Lists,
}

/// What happens on the ways between two sets of parties, whoever connects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum How {
    /// Nothing passes, and nobody is told.
    Cut,
    /// Nothing passes from those the fault is of to the others.
    CutOut,
    /// Nothing passes from the others to those the fault is of.
    CutBack,
    /// New connections are ended at once; those there are stay.
    Refuse,
    /// All connections are reset when it begins, and new ones stand.
    Reset,
    /// Each message takes longer.
    Delay,
    /// The next message each way stops in its middle.
    Stall,
    /// So many bytes a second pass.
    Narrow,
    /// A part of the datagrams is lost.
    Lose,
    /// A part of the datagrams comes twice.
    Double,
    /// Datagrams take up to so much longer, each its own time, and overtake each other.
    Mix,
}

/// A folder to start with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Folder {
    /// As the process left it.
    Kept,
    /// With nothing in it.
    Empty,
    /// As it was when the run began.
    Older,
}

/// On what an experiment is played.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// The decisions alone.
    VirtualTime,
    /// Real processes on loopback.
    Processes,
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// A share of the servers is replaced, evenly over the time: drained, stopped, others started cold.
    Release,
    /// A share of the servers ends without a drain; the rest of the fleet is not replaced.
    Shrink,
    /// Processes of a share of the servers die; they start again, cold, when the time is over.
    KillServers,
    /// A share of the gatekeepers is killed at once; they start again when the time is over.
    KillGatekeepers,
    /// All servers of a zone vanish without a word, and return cold.
    ZoneLost,
    /// A zone and the others don't reach each other.
    ZoneCut,
    /// A share of the servers is so many times slower.
    Slow,
    /// Of a share of the servers, most requests fail at once.
    Failing,
    /// The counter says nothing, and comes back empty.
    CounterDown,
    /// Discovery tells nothing until the time is over.
    ListSilent,
    /// Customers of a plan ask so many times as much.
    PlanSurge,
    /// Customers that are seen once ask for a share of the usual traffic on top.
    OneOffs,
    /// A share of the gatekeepers is asked to stop (SIGTERM); they start again when the time is over.
    StopGatekeepers,
    /// A share of the gatekeepers is paused, and goes on when the time is over.
    PauseGatekeepers,
    /// A share of the gatekeepers runs `1 / times` of the time.
    SlowGatekeepers,
    /// A share of the gatekeepers is told, by file and SIGHUP, to follow the mirrors in place of the list service; back at
    /// the end.
    Reload,
    /// A share of the clients leaves before its answer is there.
    ClientsLeave,
    /// So many connections to each gatekeeper that send nothing, garbage, or half a request: `times` of them.
    Flood,
    /// A share of the gatekeepers is killed 1 s after each of its starts.
    CrashLoop,
    /// A share of the gatekeepers is killed and finds its port taken until the time is over.
    PortTaken,
    /// The list service's writer is killed; it starts again when the time is over.
    KillList,
    /// The list service's writer is paused.
    PauseList,
    /// Something happens on the ways between parties.
    Link,
    /// Gatekeepers in as many groups as `times` says, two that don't hear each other, or three of which the middle hears
    /// both.
    Split,
    /// The machine that plays all this stands still.
    RigStalls,
    /// The laboratory itself fails: nothing may be left.
    RigPanics,
}

impl FaultKind {
    /// Whether there have to be processes for it.
    pub fn needs_processes(self) -> bool {
        use FaultKind::*;
        matches!(
            self,
            StopGatekeepers
                | Reload
                | ClientsLeave
                | Flood
                | PauseGatekeepers
                | SlowGatekeepers
                | CrashLoop
                | PortTaken
                | KillList
                | PauseList
                | Link
                | Split
                | RigStalls
                | RigPanics
        )
    }

    /// As a file has it, in words.
    pub fn words(self) -> String {
        let name = serde_json::to_value(self).ok();
        name.as_ref().and_then(|name| name.as_str()).unwrap_or_default().replace('_', " ")
    }
}

/// What is compared: the limits of the platform as the experiment has them, but for these.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Its name.
    pub name: String,
    /// Instead of the experiment's.
    #[serde(default)]
    pub limits: Option<Limits>,
    /// Instead of the experiment's.
    #[serde(default)]
    pub counter: Option<Counter>,
    /// Instead of the experiment's.
    #[serde(default)]
    pub gatekeepers: Option<Count>,
}

fn five_seeds() -> Vec<u64> {
    (1..=5).collect()
}

fn five_seconds() -> Positive {
    Positive(5.0)
}

fn four_seconds() -> Positive {
    Positive(4.0)
}

fn three() -> Positive {
    Positive(3.0)
}

fn a_fifth() -> Share {
    Share(0.2)
}

fn one_variant() -> Vec<Variant> {
    vec![Variant { name: "as it is".into(), limits: None, counter: None, gatekeepers: None }]
}

fn platform_classes() -> Vec<Class> {
    let class = |name: &str, share, work_ms, aim_s, deadline_s, worth, effect| Class {
        name: name.into(),
        share: Share(share),
        work_ms: Positive(work_ms),
        cv: Positive(0.8),
        aim_s: Positive(aim_s),
        deadline_s: Positive(deadline_s),
        worth: Positive(worth),
        effect,
        key_s: four_seconds(),
    };
    vec![
        class("check", 0.68, 340.0, 2.5, 10.0, 3.0, Effect::Idempotent),
        class("transfer", 0.32, 205.0, 2.0, 6.0, 2.0, Effect::Deduplicated),
    ]
}

fn platform_plans() -> Vec<Plan> {
    let plan = |name: &str, share, rate, burst_s, ceiling: Option<f64>, over_earns, over_cost| Plan {
        name: name.into(),
        share: Share(share),
        rate: Positive(rate),
        burst_s: Positive(burst_s),
        ceiling: ceiling.map(Positive),
        over_earns,
        over_cost,
    };
    vec![
        plan("basis", 0.33, 1.6, 4.3, None, 0.0, 0.5),
        plan("plus", 0.36, 4.7, 4.6, Some(1.9), 0.0, 0.6),
        plan("groot", 0.31, 19.0, 1.8, None, 0.2, 0.0),
    ]
}

impl Experiment {
    /// Reads a file, whole and checked.
    pub fn read(path: &Path, mode: Mode) -> Result<Experiment, ExperimentError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| ExperimentError::Unread { path: path.to_owned(), error })?;
        Experiment::parse(&text, path, mode)
    }

    /// Reads the text of a file of that name.
    pub fn parse(text: &str, path: &Path, mode: Mode) -> Result<Experiment, ExperimentError> {
        let read: Experiment = toml::from_str(text)
            .map_err(|error| ExperimentError::Form { path: path.to_owned(), error: Box::new(error) })?;
        read.check(text).and_then(|()| read.check_mode(mode)).map_err(|(at, field, fault)| {
            ExperimentError::Field {
                path: path.to_owned(),
                line: text[..at.min(text.len())].lines().count().max(1),
                field,
                fault,
            }
        })?;
        Ok(read)
    }

    /// What can't be played in that way.
    fn check_mode(&self, mode: Mode) -> Result<(), (usize, String, String)> {
        for fault in &self.faults {
            let (span, fault) = (fault.span().start + 1, fault.get_ref());
            let bad = |field: &str, what: String| Err((span, format!("fault.{field}"), what));
            if mode == Mode::VirtualTime && fault.kind.needs_processes() {
                return bad("kind", format!("`{}` needs processes", fault.kind.words()));
            }
            let over = fault.at.0 + fault.lasts.0 + self.fleet.settles_s.0 + SERVES_S;
            if mode == Mode::Processes && over > self.seconds.0 {
                let left = "of the run for all to be as it should";
                return bad(
                    "lasts",
                    format!("until {over} s there is not enough {left} (`fleet.settles_s`)"),
                );
            }
        }
        Ok(())
    }

    /// What doesn't fit together: where it stands in the text, which field, and why.
    fn check(&self, text: &str) -> Result<(), (usize, String, String)> {
        let at = |word: &str| text.find(word).map_or(0, |at| at + 1);
        let bad = |word: &str, fault: String| Err((at(word), word.to_owned(), fault));
        if self.seconds.0 > SECONDS_MAX {
            return bad("seconds", format!("{} is more than {SECONDS_MAX}", self.seconds.0));
        }
        if self.seeds.is_empty() {
            return bad("seeds", "there are none".into());
        }
        let zones: BTreeSet<&str> = self.fleet.zones.iter().map(String::as_str).collect();
        if zones.len() < self.fleet.zones.len() || zones.is_empty() || zones.contains("") {
            return bad("zones", "each has to have a name of its own, and there has to be one".into());
        }
        for (field, shares) in [
            ("class", self.classes.iter().map(|c| (&c.name, c.share.0)).collect::<Vec<_>>()),
            ("plan", self.plans.iter().map(|p| (&p.name, p.share.0)).collect()),
        ] {
            let names: BTreeSet<&str> = shares.iter().map(|(name, _)| name.as_str()).collect();
            if names.len() < shares.len() {
                return bad(field, "two of the same name".into());
            }
            let sum: f64 = shares.iter().map(|(_, share)| share).sum();
            if (sum - 1.0).abs() > 0.01 {
                return bad(field, format!("the shares make {sum:.3}, not 1"));
            }
        }
        if let Some(class) = self.classes.iter().find(|class| class.aim_s.0 > class.deadline_s.0) {
            return bad("aim_s", format!("`{}` is given up before its aim", class.name));
        }
        if self.fleet.list_s.0 .0 > self.fleet.list_s.1 .0 {
            return bad("list_s", "the least is more than the most".into());
        }
        if self.rate() > RATE_MAX {
            return bad("load", format!("{:.0} requests a second are more than {RATE_MAX}", self.rate()));
        }
        for fault in &self.faults {
            let (span, fault) = (fault.span().start + 1, fault.get_ref());
            let bad = |field: &str, what: String| Err((span, format!("fault.{field}"), what));
            if fault.at.0 >= self.seconds.0 {
                return bad("at", format!("{} s is after the end", fault.at.0));
            }
            if fault.kind == FaultKind::Reload && self.fleet.mirrors == 0 {
                return bad("kind", "there are no mirrors to follow (`fleet.mirrors`)".into());
            }
            if fault.kind == FaultKind::Split && ![2.0, 3.0].contains(&fault.times.0) {
                return bad("times", "there are two groups or three".into());
            }
            if fault.kind == FaultKind::Flood && fault.times.0 > FLOOD_MAX {
                return bad("times", format!("more than {FLOOD_MAX} connections"));
            }
            let zonal = matches!(fault.kind, FaultKind::ZoneLost | FaultKind::ZoneCut);
            match &fault.zone {
                Some(zone) if !zones.contains(zone.as_str()) => {
                    return bad("zone", format!("`{zone}` is not in the fleet"));
                }
                None if zonal => return bad("zone", "missing".into()),
                _ => {}
            }
            let surge = fault.kind == FaultKind::PlanSurge;
            match &fault.plan {
                Some(plan) if !self.plans.iter().any(|known| known.name == *plan) => {
                    return bad("plan", format!("`{plan}` is not among the plans"));
                }
                None if surge => return bad("plan", "missing".into()),
                _ => {}
            }
            let link = fault.kind == FaultKind::Link;
            for (field, there, needed) in [
                ("of", fault.of.is_some(), link),
                ("how", fault.how.is_some(), link),
                ("ms", fault.ms.is_some(), matches!(fault.how, Some(How::Delay | How::Mix))),
                ("bytes_per_s", fault.bytes_per_s.is_some(), fault.how == Some(How::Narrow)),
            ] {
                match (there, needed) {
                    (false, true) => return bad(field, "missing".into()),
                    (true, false) => return bad(field, "means nothing here".into()),
                    _ => {}
                }
            }
            if fault.part.is_some() && !matches!(fault.how, Some(How::Lose | How::Double)) {
                return bad("part", "means nothing here".into());
            }
            if fault.to.is_some() && !link {
                return bad("to", "means nothing here".into());
            }
            let killed = matches!(fault.kind, FaultKind::KillGatekeepers | FaultKind::KillList);
            if fault.folder.is_some() && !killed {
                return bad("folder", "means nothing here".into());
            }
        }
        Ok(())
    }

    /// What all servers can do when warm, s of work a second.
    pub fn capacity(&self) -> f64 {
        f64::from(self.fleet.servers.0) * f64::from(self.fleet.cores.0)
    }

    /// Mean work of a request, s of one core.
    pub fn mean_work(&self) -> f64 {
        self.classes.iter().map(|class| class.share.0 * class.work_ms.0 / 1e3).sum()
    }

    /// Requests a second inside the quotas.
    pub fn rate(&self) -> f64 {
        self.traffic.load.0 * self.capacity() / self.mean_work()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn fault_of(text: &str, mode: Mode) -> String {
        Experiment::parse(text, Path::new("x.toml"), mode).expect_err("it is refused").to_string()
    }

    #[test]
    fn the_least_file_is_an_experiment_on_the_platform() {
        let least =
            Experiment::parse("ask = 'What?'\nseconds = 10\n", Path::new("x.toml"), Mode::VirtualTime)
                .unwrap();
        assert_eq!((least.seeds.len(), least.classes.len(), least.plans.len()), (5, 2, 3));
        assert!((least.rate() - 0.65 * 72.0 / 0.2968).abs() < 1.0, "{}", least.rate());
    }

    #[test]
    fn what_is_wrong_is_refused_with_line_and_field() {
        let begin = "ask = 'What?'\nseconds = 10\n";
        for (more, line, field) in [
            ("sedes = [1]\n", "line 3", "sedes"),
            ("seeds = []\n", "line 3", "seeds"),
            ("[fleet]\nservers = 0\n", "line 4", "servers"),
            ("[fleet]\nserver = 3\n", "line 4", "server"),
            ("[fleet]\nzones = ['a', 'a']\n", "line 4", "zones"),
            ("[fleet]\nlist_s = [4, 1]\n", "line 4", "list_s"),
            ("[traffic]\nload = -1\n", "line 4", "load"),
            ("[traffic]\nload = nan\n", "line 4", "load"),
            ("[traffic]\nload = 90000\n", "line 4", "load"),
            ("[[fault]]\nkind = 'earthquake'\nat = 1\n", "line 4", "kind"),
            ("[[fault]]\nkind = 'zone_cut'\nat = 1\n", "line 3", "fault.zone"),
            ("[[fault]]\nkind = 'zone_cut'\nat = 1\nzone = 'z'\n", "line 3", "fault.zone"),
            ("[[fault]]\nkind = 'plan_surge'\nat = 1\nplan = 'gold'\n", "line 3", "fault.plan"),
            ("[[fault]]\nkind = 'slow'\nat = 99\n", "line 3", "fault.at"),
            ("[[fault]]\nkind = 'slow'\nat = 1\nshare = 1.5\n", "line 6", "share"),
            ("[[fault]]\nkind = 'link'\nat = 1\nhow = 'cut'\n", "line 3", "fault.of"),
            ("[[fault]]\nkind = 'link'\nat = 1\nof = 'servers'\n", "line 3", "fault.how"),
            ("[[fault]]\nkind = 'link'\nat = 1\nof = 'servers'\nhow = 'delay'\n", "line 3", "fault.ms"),
            ("[[fault]]\nkind = 'slow'\nat = 1\nhow = 'cut'\n", "line 3", "fault.how"),
            ("[[fault]]\nkind = 'slow'\nat = 1\nfolder = 'empty'\n", "line 3", "fault.folder"),
            ("[[fault]]\nkind = 'pause_list'\nat = 1\n", "line 3", "fault.kind"),
        ] {
            let told = fault_of(&format!("{begin}{more}"), Mode::VirtualTime);
            assert!(told.contains(line) && told.contains(field), "{more}: {told}");
        }
        assert!(fault_of("ask = 'What?'\n", Mode::VirtualTime).contains("seconds"));
        let late = format!("{begin}[[fault]]\nkind = 'pause_list'\nat = 1\nlasts = 5\n");
        assert!(fault_of(&late, Mode::Processes).contains("fault.lasts"));
    }
}
