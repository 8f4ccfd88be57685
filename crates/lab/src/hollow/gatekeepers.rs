//! Hollow gatekeepers: the sessions of `granitelead-proxy`, held by its own state machine over the system's own lines, and nothing
//! else. What a gatekeeper keeps of what it is told (configuration, servers) is kept once for all of one thread.

use super::configuration::tenant;
use super::seen::Seen;
use granitelead_base::Backoff;
use granitelead_control_protocol::connection::{self, Sender};
use granitelead_control_protocol::messages::{Document, Message, Revision, ToGatekeeper, ToMarker, Update};
use granitelead_proxy::control::{Change, Control};
use granitelead_proxy::servers::Servers;
use granitelead_proxy::sessions::{PING_INTERVAL, PING_INTERVAL_OTHER, REPORT_INTERVAL, SESSION_TIMEOUT};
use granitelead_proxy::Millis;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;
use tokio::task::spawn_local;

/// What all gatekeepers of one thread share.
pub struct Shared {
    seen: Arc<Seen>,
    begun: Instant,
    port: u16,
    /// What each would hold by itself: fed by the first one.
    servers: RefCell<Servers>,
    /// The newest configuration that was read and found good.
    read: RefCell<Option<Rc<Document>>>,
    tenants: usize,
    requests: f64,
}

impl Shared {
    /// Of a thread; markers talk at `port`, and each gatekeeper lets in so many `requests` a second.
    pub fn new(seen: Arc<Seen>, begun: Instant, port: u16, tenants: usize, requests: f64) -> Shared {
        Shared {
            seen,
            begun,
            port,
            servers: RefCell::new(Servers::new("", 1)),
            read: RefCell::default(),
            tenants,
            requests,
        }
    }

    fn now(&self) -> Millis {
        self.begun.elapsed().as_millis() as Millis
    }
}

/// One hollow gatekeeper.
struct Gatekeeper {
    shared: Rc<Shared>,
    control: RefCell<Control>,
    standing: RefCell<BTreeMap<Ipv4Addr, Sender>>,
    busy: RefCell<BTreeSet<Ipv4Addr>>,
    backoff: RefCell<Backoff>,
    document: RefCell<Option<Rc<Document>>>,
    whole: Cell<bool>,
    ready: Cell<bool>,
    feeds: bool,
    joined: Instant,
}

/// Runs one until its thread ends. `feeds` says that what it is told of servers is kept for all.
pub async fn run(shared: Rc<Shared>, name: String, zone: String, seeds: Vec<Ipv4Addr>, feeds: bool) {
    let control = Control::new(&name, &zone, seeds, fastrand::u64(..));
    let gatekeeper = Rc::new(Gatekeeper {
        shared,
        control: RefCell::new(control),
        standing: RefCell::default(),
        busy: RefCell::default(),
        backoff: RefCell::new(Backoff::new(fastrand::u64(..))),
        document: RefCell::default(),
        whole: Cell::new(false),
        ready: Cell::new(false),
        feeds,
        joined: Instant::now(),
    });
    let mut due = 0.0;
    loop {
        gatekeeper.look();
        due += gatekeeper.shared.requests * REPORT_INTERVAL.as_secs_f64();
        while due >= 1.0 {
            due -= 1.0;
            let drawn = tenant(fastrand::usize(..gatekeeper.shared.tenants));
            gatekeeper.control.borrow_mut().count_admitted(&drawn);
        }
        let mut say = gatekeeper.control.borrow_mut().on_tick(gatekeeper.shared.now());
        gatekeeper.take_due(&mut say);
        say.extend(gatekeeper.control.borrow_mut().usage_report(gatekeeper.shared.now()));
        gatekeeper.say(say);
        tokio::time::sleep(REPORT_INTERVAL).await;
    }
}

impl Gatekeeper {
    fn say(&self, words: impl IntoIterator<Item = (Ipv4Addr, ToMarker)>) {
        let standing = self.standing.borrow();
        for (ip, word) in words {
            if let Some(line) = standing.get(&ip) {
                let word = Message::ToMarker(word);
                self.shared.seen.said(word.kind(), line.send(&word));
            }
        }
    }

    fn look(self: &Rc<Self>) {
        if let Some(ip) = self.control.borrow().surplus() {
            self.standing.borrow().get(&ip).iter().for_each(|line| line.close());
        }
        let wanted = self.control.borrow_mut().next_marker(&self.busy.borrow());
        if let Some(ip) = wanted {
            self.busy.borrow_mut().insert(ip);
            spawn_local(self.clone().hold(ip));
        }
    }

    async fn hold(self: Rc<Self>, ip: Ipv4Addr) {
        let stream = match connection::connect(SocketAddr::from((ip, self.shared.port))).await {
            Ok(stream) => stream,
            Err(ended) => {
                log::info!("{ip}: {ended}");
                let wait = self.backoff.borrow_mut().next_wait();
                tokio::time::sleep(wait).await;
                self.busy.borrow_mut().remove(&ip);
                return;
            }
        };
        self.backoff.borrow_mut().reset();
        let sender = Sender::default();
        let servers = if self.whole.get() { self.shared.servers.borrow().all() } else { Vec::new() };
        let has = self.revision();
        let hello = self.control.borrow_mut().open(self.shared.now(), ip, has, servers);
        self.standing.borrow_mut().insert(ip, sender.clone());
        self.busy.borrow_mut().remove(&ip);
        self.say([(ip, hello)]);
        let (gatekeeper, stands) = (self.clone(), Rc::new(Cell::new(false)));
        let told = stands.clone();
        let carried = connection::run(stream, sender.clone(), SESSION_TIMEOUT, move |word| {
            if matches!(word, Message::ToGatekeeper(ToGatekeeper::Update(_, Update::Synchronized(_))))
                && !told.replace(true)
            {
                gatekeeper.shared.seen.session(true);
            }
            gatekeeper.take(ip, word);
        });
        let pings = async {
            let (mut said, mut counted) = (Instant::now(), 0);
            loop {
                tokio::time::sleep(PING_INTERVAL).await;
                let home = self.control.borrow().attached_marker() == Some(ip);
                if home || said.elapsed() >= PING_INTERVAL_OTHER {
                    said = Instant::now();
                    self.say([(ip, ToMarker::Ping)]);
                }
                let (_, into) = sender.transferred();
                self.shared.seen.came(into - counted);
                counted = into;
            }
        };
        tokio::select! {
            ended = carried => log::info!("session with {ip}: {ended}"),
            () = pings => {}
        }
        if stands.get() {
            self.shared.seen.session(false);
        }
        self.standing.borrow_mut().remove(&ip);
        let say = self.control.borrow_mut().close(ip);
        self.say(say);
    }

    fn take(&self, ip: Ipv4Addr, word: Message) {
        let Message::ToGatekeeper(word) = word else { return };
        let (change, mut say) = self.control.borrow_mut().on_message(self.shared.now(), ip, word);
        say.extend(change.map(|change| self.change(ip, change)).into_iter().flatten());
        self.take_due(&mut say);
        self.say(say);
    }

    /// Takes in what markers told before it was to be taken, as the gatekeeper proper does.
    fn take_due(&self, say: &mut Vec<(Ipv4Addr, ToMarker)>) {
        loop {
            let Some((ip, change)) = self.control.borrow_mut().next_deferred() else { break };
            say.extend(self.change(ip, change));
        }
        if self.whole.get() && self.document.borrow().is_some() && !self.ready.replace(true) {
            self.shared.seen.joined(self.joined.elapsed());
        }
    }

    /// What tells the configuration in force from all others.
    fn revision(&self) -> Option<Revision> {
        self.document.borrow().as_deref().map(Document::revision)
    }

    /// What a marker told changes. Gives what to say to markers.
    fn change(&self, ip: Ipv4Addr, change: Change) -> Vec<(Ipv4Addr, ToMarker)> {
        let told = match change {
            Change::Configuration(document) => Rc::new(document),
            Change::Difference(difference) => {
                if let Some(has) = self.revision().filter(|has| has.version >= difference.to.version) {
                    return vec![(ip, ToMarker::InForce(has))];
                }
                let held = self.document.borrow().clone();
                match held.map(|held| difference.apply(&held)) {
                    Some(Ok(document)) => Rc::new(document),
                    _ => return vec![(ip, ToMarker::RequestFull(self.revision()))],
                }
            }
            Change::Servers(told) => {
                if self.feeds {
                    self.shared.servers.borrow_mut().update(self.shared.now(), told);
                }
                return Vec::new();
            }
            Change::InitialSyncComplete => {
                self.whole.set(true);
                return Vec::new();
            }
            Change::Gatekeepers(..) | Change::RecentUse(_) | Change::OthersUse(_) => return Vec::new(),
        };
        if let Some(has) = self.revision().filter(|has| has.version >= told.version) {
            return vec![(ip, ToMarker::InForce(has))];
        }
        self.read(told)
    }

    /// Has a configuration in force. All are told the same bytes: they are read, and held, once a thread.
    fn read(&self, told: Rc<Document>) -> Vec<(Ipv4Addr, ToMarker)> {
        let held = self.shared.read.borrow().clone().filter(|read| *read == told);
        let document = match held {
            Some(held) => held,
            None => {
                if let Err(faults) = granitelead_common::configuration::parse(&told.bytes) {
                    log::error!("a configuration that can't be used: {faults}");
                    return Vec::new();
                }
                let mut read = self.shared.read.borrow_mut();
                if read.as_ref().is_none_or(|read| read.version < told.version) {
                    *read = Some(told.clone());
                }
                told
            }
        };
        let (version, has) = (document.version, ToMarker::InForce(document.revision()));
        *self.document.borrow_mut() = Some(document);
        self.shared.seen.in_force(version);
        self.control.borrow().broadcast(&has)
    }
}
