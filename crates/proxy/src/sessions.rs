//! Sessions with markers: opened as far as they are wanted, held while both sides speak.

use crate::shared_state::SharedState;
use granitelead_base::Backoff;
use granitelead_control_protocol::connection::{self, Sender};
use granitelead_control_protocol::messages::{Message, ToGatekeeper, ToMarker};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;

/// How often what was let in is reported, and sessions are looked after.
pub const BATCH: Duration = Duration::from_millis(50);
/// How often a session says that it stands.
pub const PING: Duration = Duration::from_millis(150);
/// The same for one that is not the home.
pub const PING_OTHER: Duration = Duration::from_millis(550);
/// A marker that says nothing for so long is gone: it would have answered three times.
pub const SILENCE: Duration = Duration::from_millis(1_800);

/// How long the end of the process waits for its last word to be sent, and how often it looks.
const LEAVE_MAX: Duration = Duration::from_millis(100);
/// See [`LEAVE_MAX`].
const LEAVE_TICK: Duration = Duration::from_millis(5);

/// A gatekeeper's sessions with markers.
pub struct Sessions {
    shared: Rc<SharedState>,
    port: u16,
    open: RefCell<BTreeMap<Ipv4Addr, Sender>>,
    connecting: RefCell<BTreeSet<Ipv4Addr>>,
    backoff: RefCell<Backoff>,
}

impl Sessions {
    /// None yet; markers listen at this port.
    pub fn new(shared: Rc<SharedState>, port: u16) -> Rc<Sessions> {
        Rc::new(Sessions {
            shared,
            port,
            open: RefCell::default(),
            connecting: RefCell::default(),
            backoff: RefCell::new(Backoff::new(fastrand::u64(..))),
        })
    }

    /// Keeps sessions open and reports what was let in, for ever.
    pub async fn run(self: Rc<Self>) {
        loop {
            self.look();
            let (was_ready, batch, is_ready) = {
                let gate = &mut *self.shared.gate.borrow_mut();
                (gate.is_ready(), gate.on_batch(self.shared.now()), gate.is_ready())
            };
            self.say(batch);
            if is_ready && !was_ready {
                self.shared.marker_updates.notify_waiters();
            }
            tokio::time::sleep(BATCH).await;
        }
    }

    /// Says to all markers that the process ends, and completes once that is sent, or soon after.
    pub async fn leave(&self) {
        let lines: Vec<Sender> = self.open.borrow().values().cloned().collect();
        for line in &lines {
            line.send(&Message::ToMarker(ToMarker::Leave));
        }
        let begun = Instant::now();
        while lines.iter().any(|line| line.unsent() > 0) && begun.elapsed() < LEAVE_MAX {
            tokio::time::sleep(LEAVE_TICK).await;
        }
    }

    fn say(&self, words: impl IntoIterator<Item = (Ipv4Addr, ToMarker)>) {
        let open = self.open.borrow();
        for (ip, word) in words {
            if let Some(line) = open.get(&ip) {
                line.send(&Message::ToMarker(word));
            }
        }
    }

    /// Looks for further sessions as far as they are wanted.
    fn look(self: &Rc<Self>) {
        let wanted = {
            let connecting = self.connecting.borrow();
            self.shared.gate.borrow_mut().control.wanted(&connecting)
        };
        if let Some(ip) = self.shared.gate.borrow().control.surplus() {
            self.open.borrow().get(&ip).iter().for_each(|line| line.close());
        }
        if let Some(ip) = wanted {
            self.connecting.borrow_mut().insert(ip);
            spawn_local(self.clone().hold(ip));
        }
    }

    /// Opens a session and holds it until it ends.
    async fn hold(self: Rc<Self>, ip: Ipv4Addr) {
        let dialled = connection::connect(SocketAddr::from((ip, self.port))).await;
        let stream = match dialled {
            Ok(stream) => stream,
            Err(ended) => {
                log::info!("{ip}: {ended}");
                // Drawn, so that gatekeepers that lost a marker together do not come back together.
                let wait = self.backoff.borrow_mut().next_wait();
                tokio::time::sleep(wait).await;
                self.connecting.borrow_mut().remove(&ip);
                return;
            }
        };
        self.backoff.borrow_mut().reset();
        let sender = Sender::default();
        let hello = {
            let gate = &mut *self.shared.gate.borrow_mut();
            let (has, servers) = (gate.revision(), gate.servers.all());
            gate.control.open(self.shared.now(), ip, has, servers)
        };
        self.open.borrow_mut().insert(ip, sender.clone());
        self.connecting.borrow_mut().remove(&ip);
        sender.send(&Message::ToMarker(hello));
        let sessions = self.clone();
        let carried = connection::run(stream, sender.clone(), SILENCE, move |word| sessions.take(ip, word));
        let pings = async {
            let mut said = Instant::now();
            loop {
                tokio::time::sleep(PING).await;
                let home = self.shared.gate.borrow().control.home() == Some(ip);
                if home || said.elapsed() >= PING_OTHER {
                    said = Instant::now();
                    sender.send(&Message::ToMarker(ToMarker::Ping));
                }
            }
        };
        let ended = tokio::select! {
            ended = carried => ended,
            () = pings => connection::Disconnect::Closed,
        };
        log::info!("session with {ip}: {ended}");
        self.open.borrow_mut().remove(&ip);
        let say = self.shared.gate.borrow_mut().control.close(ip);
        self.say(say);
    }

    fn take(&self, ip: Ipv4Addr, word: Message) {
        let Message::ToGatekeeper(word) = word else { return };
        let now = self.shared.now();
        let news = word != ToGatekeeper::Pong;
        let say = self.shared.gate.borrow_mut().on_down(now, ip, word);
        if news {
            self.shared.capacity_freed.notify_waiters();
            self.shared.marker_updates.notify_waiters();
        }
        self.say(say);
    }
}
