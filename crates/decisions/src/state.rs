//! Records that the decisions keep, and helpers without a choice in them.
use crate::api::*;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;

/// One customer's own and others' units in one slot, as the counter has them.
#[derive(Clone, Copy, Default, Serialize, Deserialize)]
pub struct Slot {
    pub(crate) mine: f64,
    pub(crate) others: f64,
    pub(crate) read: bool,
}

pub type Key = (usize, CustomerId);

/// What one customer has used, and may use: kept by each gatekeeper, whatever program it is of.
#[derive(Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Customer {
    #[serde(rename = "gateways")]
    pub(crate) gatekeepers: f64,
    /// Moves this customer's slots, so that not all customers start one at the same time.
    pub(crate) shift: Micros,
    pub(crate) slot: u64,
    pub(crate) cur: Slot,
    pub(crate) prev: Slot,
    #[serde(skip)]
    pub(crate) pending: f64,
    #[serde(skip)]
    pub(crate) pending_since: Micros,
    #[serde(skip)]
    pub(crate) flying: f64,
    pub(crate) known: bool,
    pub(crate) level: f64,
    pub(crate) at: Micros,
    pub(crate) read_at: Micros,
    pub(crate) predicted: f64,
    pub(crate) others_rate: f64,
    pub(crate) boxed_until: Micros,
    pub(crate) ceiling: f64,
    pub(crate) ceiling_at: Micros,
    /// Requests that are open at once.
    #[serde(skip)]
    pub open: f64,
    pub(crate) seen: Micros,
    /// Calls to the counter in flight, the requests whose decision waits for their answers, and the units of
    /// these that are in the counts already.
    #[serde(skip)]
    pub(crate) calls_out: u32,
    #[serde(skip)]
    pub(crate) waiting: Vec<RequestId>,
    #[serde(skip)]
    pub(crate) prepaid: f64,
}

impl Customer {
    /// Units that are left in the store, as far as known.
    pub fn left(&self) -> f64 {
        self.level
    }

    /// Takes no more than this to be left in the store.
    pub fn drain_to(&mut self, most: f64) {
        self.level = self.level.min(most);
    }

    /// Counts units that are used here, where nothing else counts them.
    pub fn take(&mut self, units: f64) {
        self.level -= units;
        self.cur.mine += units;
    }
}

/// What one class of requests met at one server.
#[derive(Clone, Default, Serialize, Deserialize)]
pub struct Health {
    pub answered: Micros,
    pub avoid_until: Micros,
    pub strikes: u32,
}

#[derive(Default)]
pub struct Server {
    pub info: ServerInfo,
    /// When it was last put back by hand.
    pub returned: Option<Micros>,
    pub inflight: f64,
    pub slow: f64,
    /// Samples behind the above, and the time of the last.
    pub samples: f64,
    pub at: Micros,
    pub health: Vec<Health>,
    pub credit: f64,
    pub credit_at: Micros,
    /// Whether it is one of those that this gatekeeper sends to by choice.
    pub near: bool,
}

impl Server {
    /// One of which nothing is known yet, among so many classes.
    pub fn new(info: ServerInfo, classes: usize) -> Server {
        Server { info, slow: 1.0, health: vec![Health::default(); classes], ..Server::default() }
    }

    /// Whether it gets nothing for now of most classes, as it failed them.
    pub fn is_avoided(&self, now: Micros) -> bool {
        let classes = self.health.len().saturating_sub(1);
        let avoided = self.health.iter().take(classes).filter(|h| now < h.avoid_until).count();
        avoided > 0 && avoided >= classes.min(2)
    }
}

/// What a gatekeeper's next process has to know, to go on where the last one stopped. Names on the wire stay
/// as they were: a process of another version may read them.
#[derive(Default, Serialize, Deserialize)]
pub struct Handover {
    /// The clock, and when the gatekeeper started.
    pub(crate) now: Micros,
    pub(crate) started: Micros,
    pub(crate) customers: Vec<(Key, Customer)>,
    #[serde(rename = "workers")]
    pub(crate) servers: Vec<Record>,
    pub(crate) typical: Vec<f64>,
    pub(crate) usual: Vec<(Micros, u32)>,
    /// Pressure, now and unloaded, and the in-flight limit.
    pub(crate) pressure: (f64, f64, f64),
    pub(crate) answers: f64,
    /// The pace of calls, now and last known to work.
    pub(crate) call_gap: (f64, f64),
    pub(crate) carried: f64,
}

impl Handover {
    /// Gives the servers the ids that they have here; those without one are left out.
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

/// What is known of a server.
#[derive(Serialize, Deserialize)]
pub(crate) struct Record {
    pub id: ServerId,
    pub started: Option<Micros>,
    pub returned: Option<Micros>,
    pub slow: f64,
    pub samples: f64,
    pub at: Micros,
    pub health: Vec<Health>,
    pub credit: f64,
    pub credit_at: Micros,
}

impl Record {
    /// What there is to tell, with the credit that it has now.
    pub fn of(w: &Server, credit: f64, now: Micros) -> Record {
        Record {
            id: w.info.id,
            started: w.info.started,
            returned: w.returned,
            slow: w.slow,
            samples: w.samples,
            at: w.at,
            health: w.health.clone(),
            credit,
            credit_at: now,
        }
    }

    /// Makes a server what was told of it.
    pub fn restore(self, w: &mut Server) {
        (w.slow, w.samples, w.at, w.health) = (self.slow, self.samples, self.at, self.health);
        (w.credit, w.credit_at, w.returned) = (self.credit, self.credit_at, self.returned);
    }
}

pub struct Attempt {
    pub server: ServerId,
    pub zone: Zone,
    pub cell: u64,
    pub sent: Micros,
    pub out: bool,
    pub suspected: bool,
    /// False once the outcome proves that it never ran.
    pub may_have_run: bool,
}

impl Attempt {
    /// One that is sent now.
    pub fn begun(to: &ServerInfo, now: Micros) -> Attempt {
        let (server, zone, cell) = (to.id, to.zone.clone(), to.cell);
        Attempt { server, zone, cell, sent: now, out: true, suspected: false, may_have_run: true }
    }
}

#[derive(Default)]
pub struct Open {
    pub key: Key,
    pub class: Class,
    pub class_ix: usize,
    pub units: f64,
    pub arrived: Micros,
    /// Time left when its last byte had come.
    pub patience: Micros,
    pub deadline: Micros,
    /// Its last byte has not come yet.
    pub uploading: bool,
    /// It can't be sent again.
    pub spent: bool,
    pub attempts: Vec<Attempt>,
    pub charged: bool,
    /// Let in beyond the quota, of which it takes nothing.
    pub beyond: bool,
    /// What the counter has been told of it before its decision.
    pub prepaid: f64,
    pub held: bool,
    pub closed: bool,
    pub streaming: bool,
}

pub enum Ending {
    TurnedAway(Micros),
    Failed,
    Answered,
}

pub struct Call {
    pub key: Key,
    pub slot: u64,
    pub amount: f64,
    pub units: f64,
    pub sent: Micros,
}

pub fn secs(span: Micros) -> f64 {
    span as f64 / 1e6
}

/// The same name at every gatekeeper: customer and slot. Long names are cut and told apart by a hash.
pub fn counter_name(key: &Key, slot: u64) -> CounterName {
    let name = &key.1 .0;
    if name.len() <= 40 {
        return CounterName(format!("{name}.{slot}"));
    }
    CounterName(format!("~{:016x}.{slot}", hash(&key.1 .0)))
}

/// FNV, the same at every gatekeeper.
pub fn hash(name: &str) -> u64 {
    let mix = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x100000001b3);
    name.bytes().fold(0xcbf29ce484222325, mix)
}
