//! State that the decisions keep, and helpers that make no decisions.

use crate::api::*;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// One customer's units in one slot, its own at this gatekeeper and those of others, as last counted.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub struct Slot {
    #[serde(rename = "mine")]
    pub(crate) own: f64,
    pub(crate) others: f64,
    pub(crate) read: bool,
}

/// The key of a customer's entry: the index of its plan, and its id.
pub type Key = (usize, CustomerId);

/// One customer's use and quota state; every program that takes part in a quota uses this record.
#[derive(Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Customer {
    #[serde(rename = "gateways")]
    pub(crate) gatekeepers: f64,
    /// Offset of this customer's slots, so that the slots of all customers do not start at the same time.
    pub(crate) shift: Micros,
    pub(crate) slot: u64,
    pub(crate) cur: Slot,
    pub(crate) prev: Slot,
    #[serde(skip)]
    pub(crate) pending: f64,
    #[serde(skip)]
    pub(crate) pending_since: Micros,
    #[serde(skip)]
    pub(crate) in_flight: f64,
    pub(crate) known: bool,
    pub(crate) level: f64,
    #[serde(rename = "at")]
    pub(crate) updated_at: Micros,
    pub(crate) read_at: Micros,
    pub(crate) predicted: f64,
    pub(crate) others_rate: f64,
    #[serde(rename = "boxed_until")]
    pub(crate) penalty_until: Micros,
    pub(crate) ceiling: f64,
    pub(crate) ceiling_at: Micros,
    /// Number of open requests.
    #[serde(skip)]
    pub open: f64,
    pub(crate) seen: Micros,
    /// Counter calls in flight, the requests whose decision waits for their answers, and the units of these
    /// requests that are counted already.
    #[serde(skip)]
    pub(crate) open_calls: u32,
    #[serde(skip)]
    pub(crate) waiting: Vec<RequestId>,
    #[serde(skip)]
    pub(crate) counted: f64,
}

impl Customer {
    /// Units left in the quota's bucket, as far as known.
    pub fn remaining(&self) -> f64 {
        self.level
    }

    /// Lowers the level of the quota's bucket to at most `most` units.
    pub fn cap_level(&mut self, most: f64) {
        self.level = self.level.min(most);
    }

    /// Refuses what the level of the quota's bucket doesn't cover until this time, as in the penalty period.
    pub fn enforce_level(&mut self, until: Micros) {
        self.penalty_until = self.penalty_until.max(until);
    }

    /// Charges units that are used here, for callers without a shared counter.
    pub fn charge(&mut self, units: f64) {
        self.level -= units;
        self.cur.own += units;
    }
}

/// The recent record of one class of requests at one server.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct Health {
    pub answered: Micros,
    pub avoid_until: Micros,
    #[serde(rename = "strikes")]
    pub failure_score: u32,
}

/// What this gatekeeper knows about one server.
#[derive(Default)]
pub struct Server {
    pub info: ServerInfo,
    /// When an operator last ended an exclusion of it.
    pub returned: Option<Micros>,
    pub inflight: f64,
    pub slowness: f64,
    /// Number of samples in `slowness`, and the time of the last.
    pub samples: f64,
    pub sampled_at: Micros,
    pub health: Vec<Health>,
    pub credit: f64,
    pub credit_at: Micros,
    /// Whether it is in this gatekeeper's subset.
    pub in_subset: bool,
}

impl Server {
    /// A server without any record yet, with `classes` classes.
    pub fn new(info: ServerInfo, classes: usize) -> Server {
        Server { info, slowness: 1.0, health: vec![Health::default(); classes], ..Server::default() }
    }

    /// Whether it is avoided for most classes, because they failed there.
    pub fn is_avoided(&self, now: Micros) -> bool {
        let classes = self.health.len().saturating_sub(1);
        let avoided = self.health.iter().take(classes).filter(|h| now < h.avoid_until).count();
        avoided > 0 && avoided >= classes.min(2)
    }
}

/// The state that a gatekeeper hands over to its next process. Serialized names do not change: a process of
/// another version may read them.
#[derive(Default, Serialize, Deserialize)]
pub struct Handover {
    /// The time of the handover, and when the gatekeeper started.
    pub(crate) now: Micros,
    pub(crate) started: Micros,
    pub(crate) customers: Vec<(Key, Customer)>,
    #[serde(rename = "workers")]
    pub(crate) servers: Vec<Record>,
    #[serde(rename = "typical")]
    pub(crate) latencies: Vec<f64>,
    #[serde(rename = "usual")]
    pub(crate) timeouts: Vec<(Micros, u32)>,
    /// Relative latency, now and unloaded, and the in-flight limit.
    #[serde(rename = "pressure")]
    pub(crate) load: (f64, f64, f64),
    pub(crate) answers: f64,
    /// Interval between counter calls, now and last known to work.
    #[serde(rename = "call_gap")]
    pub(crate) call_interval: (f64, f64),
    #[serde(rename = "carried")]
    pub(crate) warm_rate: f64,
}

impl Handover {
    /// Maps server ids to those of this process; servers without one are dropped.
    pub fn translate(&mut self, ids: &HashMap<ServerId, ServerId>) {
        self.servers.retain_mut(|record| match ids.get(&record.id) {
            Some(id) => {
                record.id = *id;
                true
            }
            None => false,
        });
    }
}

/// The handed-over state of one server.
#[derive(Serialize, Deserialize)]
pub(crate) struct Record {
    pub id: ServerId,
    pub started: Option<Micros>,
    pub returned: Option<Micros>,
    #[serde(rename = "slow")]
    pub slowness: f64,
    pub samples: f64,
    #[serde(rename = "at")]
    pub sampled_at: Micros,
    pub health: Vec<Health>,
    pub credit: f64,
    pub credit_at: Micros,
}

impl Record {
    /// The record of a server, with its present credit.
    pub fn new(w: &Server, credit: f64, now: Micros) -> Record {
        Record {
            id: w.info.id,
            started: w.info.started,
            returned: w.returned,
            slowness: w.slowness,
            samples: w.samples,
            sampled_at: w.sampled_at,
            health: w.health.clone(),
            credit,
            credit_at: now,
        }
    }

    /// Restores a server's state from the record.
    pub fn restore(self, w: &mut Server) {
        (w.slowness, w.samples, w.sampled_at, w.health) =
            (self.slowness, self.samples, self.sampled_at, self.health);
        (w.credit, w.credit_at, w.returned) = (self.credit, self.credit_at, self.returned);
    }
}

/// One attempt of a request at a server.
pub struct Attempt {
    pub server: ServerId,
    pub zone: Zone,
    pub cell: u64,
    pub sent: Micros,
    pub in_flight: bool,
    pub suspected: bool,
    /// False once the outcome proves that it was not executed.
    pub may_have_run: bool,
}

impl Attempt {
    /// A new attempt, sent now.
    pub fn new(to: &ServerInfo, now: Micros) -> Attempt {
        let (server, zone, cell) = (to.id, to.zone.clone(), to.cell);
        Attempt { server, zone, cell, sent: now, in_flight: true, suspected: false, may_have_run: true }
    }
}

/// A request that is not finished yet.
#[derive(Default)]
pub struct OpenRequest {
    pub key: Key,
    pub class: Class,
    pub class_index: usize,
    pub units: f64,
    pub arrived: Micros,
    /// The client's timeout, counted from the last byte of the body.
    pub client_timeout: Micros,
    pub deadline: Micros,
    /// Whether its body is still being received.
    pub uploading: bool,
    /// Whether its body was released, so that it cannot be sent again.
    pub body_released: bool,
    pub attempts: Vec<Attempt>,
    pub charged: bool,
    /// Whether it was admitted over quota; such a request takes nothing from the quota.
    pub over_quota: bool,
    /// Units already added to the counter before its decision.
    pub counted: f64,
    pub queued: bool,
    pub closed: bool,
    pub streaming: bool,
}

/// How a request is completed; a refusal carries the retry advice.
pub enum Completion {
    Refused(Micros),
    Failed,
    Answered,
}

/// A counter call in flight.
pub struct CounterCall {
    pub key: Key,
    pub slot: u64,
    pub amount: f64,
    pub units: f64,
    pub sent: Micros,
}

/// A span in seconds.
pub fn secs(span: Micros) -> f64 {
    span as f64 / 1e6
}

/// The counter's name for a customer and slot, the same at every gatekeeper. Long names are replaced by a
/// hash.
pub fn counter_name(key: &Key, slot: u64) -> CounterName {
    let name = &key.1 .0;
    if name.len() <= 40 {
        return CounterName(format!("{name}.{slot}"));
    }
    CounterName(format!("~{:016x}.{slot}", hash(&key.1 .0)))
}

/// 64-bit FNV-1a, the same at every gatekeeper.
pub fn hash(name: &str) -> u64 {
    let mix = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x100000001b3);
    name.bytes().fold(0xcbf29ce484222325, mix)
}
