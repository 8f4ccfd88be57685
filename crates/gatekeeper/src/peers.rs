//! Membership of the gatekeepers: exchanges datagrams with the others and reports which of them are alive.
//! Only used if `membership` is configured.

use crate::config::PeersConfig;
use crate::events::{Events, StateChange};
use granitelead_base::ACCEPT_PAUSE;
use granitelead_members::envelope::{DropReason, DATAGRAM_MAX};
use granitelead_members::{MemberId, Membership};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::net::UdpSocket;
use tokio::time::{sleep_until, Duration, Instant};

/// The most datagrams sent per second: half of what the platform lets a gatekeeper receive.
const SENDS_PER_SECOND_MAX: u32 = 20;
/// The number of other gatekeepers that a new process asks for the membership.
const INITIAL_CONTACTS: usize = 3;

/// The other gatekeepers.
pub struct Peers {
    socket: UdpSocket,
    addresses: Vec<SocketAddr>,
    members: RefCell<Membership>,
    started: Instant,
    /// The current second, and the number of datagrams sent in it.
    second: Cell<(u64, u32)>,
    sent: Cell<u64>,
    /// Datagrams not sent because of the limit per second or a send error.
    unsent: Cell<u64>,
    received: Cell<u64>,
    dropped: RefCell<BTreeMap<DropReason, u64>>,
    events: Events,
}

impl Peers {
    /// Opens the socket, and sets up the first requests for the membership.
    pub async fn start(config: &PeersConfig, seed: u64, events: Events) -> io::Result<Rc<Peers>> {
        let socket = UdpSocket::bind(config.listen).await?;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let me = MemberId { number: config.me, start: unix.as_millis() as u64 };
        let mut rng = fastrand::Rng::with_seed(seed);
        let gatekeepers = config.addresses.len() as u16;
        let initial: Vec<u16> = (0..INITIAL_CONTACTS).map(|_| rng.u16(0..gatekeepers)).collect();
        let members = Membership::new(0, me, gatekeepers, &config.fleet, seed, &initial);
        Ok(Rc::new(Peers {
            socket,
            addresses: config.addresses.clone(),
            members: RefCell::new(members),
            started: Instant::now(),
            second: Cell::default(),
            sent: Cell::default(),
            unsent: Cell::default(),
            received: Cell::default(),
            dropped: RefCell::default(),
            events,
        }))
    }

    fn now(&self) -> u64 {
        self.started.elapsed().as_micros() as u64
    }

    /// Receives and sends datagrams for ever.
    pub async fn run(self: Rc<Self>) {
        let mut buffer = [0; DATAGRAM_MAX + 1];
        loop {
            self.flush().await;
            let due = self.started + Duration::from_micros(self.members.borrow().next_timer());
            tokio::select! {
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((n, source)) => self.on_datagram(source, &buffer[..n]),
                    // The error of an earlier datagram, to a gatekeeper that is not listening.
                    Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
                },
                () = sleep_until(due) => {
                    let now = self.now();
                    self.members.borrow_mut().run_timers(now);
                }
            }
        }
    }

    fn on_datagram(&self, source: SocketAddr, datagram: &[u8]) {
        self.received.set(self.received.get() + 1);
        let from = self.addresses.iter().position(|at| *at == source);
        let accepted = match from {
            Some(from) => self.members.borrow_mut().receive(self.now(), from as u16, datagram),
            None => Err(DropReason::InvalidSender),
        };
        if let Err(reason) = accepted {
            *self.dropped.borrow_mut().entry(reason).or_default() += 1;
        }
    }

    async fn flush(&self) {
        let (sends, changes) = {
            let mut members = self.members.borrow_mut();
            (members.take_outgoing(), members.take_changes())
        };
        for (gatekeeper, alive) in changes {
            self.events.emit(&StateChange::Member { gatekeeper, alive });
        }
        for (to, datagram) in sends {
            let second = self.started.elapsed().as_secs();
            let (at, n) = self.second.get();
            let n = if at == second { n + 1 } else { 1 };
            self.second.set((second, n));
            let address = self.addresses.get(usize::from(to)).filter(|_| n <= SENDS_PER_SECOND_MAX);
            let sent = match address {
                Some(address) => self.socket.send_to(&datagram, address).await.is_ok(),
                None => false,
            };
            let count = if sent { &self.sent } else { &self.unsent };
            count.set(count.get() + 1);
        }
    }

    /// Notifies some of the others that this process is ending.
    pub async fn announce_leave(&self) {
        let now = self.now();
        self.members.borrow_mut().leave(now);
        self.flush().await;
    }

    /// The membership metrics.
    pub fn metrics(&self) -> Vec<(String, u64)> {
        let members = self.members.borrow();
        let states = ["alive", "doubted", "dead", "unknown"].into_iter().zip(members.count_by_state());
        let mut metrics: Vec<(String, u64)> =
            states.map(|(state, n)| (format!("members{{state=\"{state}\"}}"), n as u64)).collect();
        let counts =
            [("sent", self.sent.get()), ("unsent", self.unsent.get()), ("taken", self.received.get())];
        let dropped = self.dropped.borrow();
        let drops = [
            ("damaged", DropReason::Corrupt),
            ("foreign", DropReason::OtherFleet),
            ("repeated", DropReason::Duplicate),
            ("stranger", DropReason::InvalidSender),
        ]
        .map(|(label, reason)| (label, dropped.get(&reason).copied().unwrap_or(0)));
        let all = counts.into_iter().chain(drops).chain([("senseless", members.rejected_count())]);
        metrics.extend(all.map(|(label, n)| (format!("peer_datagrams{{what=\"{label}\"}}"), n)));
        metrics
    }
}
