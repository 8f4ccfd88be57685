//! The way to the other gatekeepers: their datagrams in, ours out, and who of them lives. Only where `membership` is
//! configured.

use crate::config::PeersConfig;
use crate::events::{Events, Own};
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

/// Datagrams sent in a second, at most: half of what the platform lets a gatekeeper take in.
const SENDS_MAX: u32 = 20;
/// Others that a new process asks who is there.
const FIRST: usize = 3;

/// The other gatekeepers.
pub struct Peers {
    socket: UdpSocket,
    places: Vec<SocketAddr>,
    members: RefCell<Membership>,
    begun: Instant,
    /// The present second, and what was sent in it.
    second: Cell<(u64, u32)>,
    sent: Cell<u64>,
    /// Not sent, as too much was sent in that second, or as the system refused it.
    unsent: Cell<u64>,
    taken: Cell<u64>,
    dropped: RefCell<BTreeMap<DropReason, u64>>,
    events: Events,
}

impl Peers {
    /// Opens the socket, and asks some others who is there.
    pub async fn start(config: &PeersConfig, seed: u64, events: Events) -> io::Result<Rc<Peers>> {
        let socket = UdpSocket::bind(config.listen).await?;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let me = MemberId { number: config.me, start: unix.as_millis() as u64 };
        let mut rng = fastrand::Rng::with_seed(seed);
        let of = config.places.len() as u16;
        let first: Vec<u16> = (0..FIRST).map(|_| rng.u16(0..of)).collect();
        let members = Membership::new(0, me, of, &config.fleet, seed, &first);
        Ok(Rc::new(Peers {
            socket,
            places: config.places.clone(),
            members: RefCell::new(members),
            begun: Instant::now(),
            second: Cell::default(),
            sent: Cell::default(),
            unsent: Cell::default(),
            taken: Cell::default(),
            dropped: RefCell::default(),
            events,
        }))
    }

    fn now(&self) -> u64 {
        self.begun.elapsed().as_micros() as u64
    }

    /// Hears, asks and answers for ever.
    pub async fn run(self: Rc<Self>) {
        let mut buffer = [0; DATAGRAM_MAX + 1];
        loop {
            self.flush().await;
            let due = self.begun + Duration::from_micros(self.members.borrow().next_timer());
            tokio::select! {
                came = self.socket.recv_from(&mut buffer) => match came {
                    Ok((n, source)) => self.takes(source, &buffer[..n]),
                    // Of a datagram sent before, to somebody who does not listen now.
                    Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
                },
                () = sleep_until(due) => {
                    let now = self.now();
                    self.members.borrow_mut().run_timers(now);
                }
            }
        }
    }

    fn takes(&self, source: SocketAddr, datagram: &[u8]) {
        self.taken.set(self.taken.get() + 1);
        let from = self.places.iter().position(|at| *at == source);
        let heard = match from {
            Some(from) => self.members.borrow_mut().receive(self.now(), from as u16, datagram),
            None => Err(DropReason::InvalidSender),
        };
        if let Err(why) = heard {
            *self.dropped.borrow_mut().entry(why).or_default() += 1;
        }
    }

    async fn flush(&self) {
        let (sends, changes) = {
            let mut members = self.members.borrow_mut();
            (members.take_outgoing(), members.take_changes())
        };
        for (gatekeeper, alive) in changes {
            self.events.says(&Own::Member { gatekeeper, alive });
        }
        for (to, datagram) in sends {
            let second = self.begun.elapsed().as_secs();
            let (at, n) = self.second.get();
            let n = if at == second { n + 1 } else { 1 };
            self.second.set((second, n));
            let place = self.places.get(usize::from(to)).filter(|_| n <= SENDS_MAX);
            let sent = match place {
                Some(place) => self.socket.send_to(&datagram, place).await.is_ok(),
                None => false,
            };
            let count = if sent { &self.sent } else { &self.unsent };
            count.set(count.get() + 1);
        }
    }

    /// This process ends: some others are told.
    pub async fn leaves(&self) {
        let now = self.now();
        self.members.borrow_mut().leave(now);
        self.flush().await;
    }

    /// Its figures.
    pub fn figures(&self) -> Vec<(String, u64)> {
        let members = self.members.borrow();
        let states = ["alive", "doubted", "dead", "unknown"].into_iter().zip(members.count_by_state());
        let mut figures: Vec<(String, u64)> =
            states.map(|(state, n)| (format!("members{{state=\"{state}\"}}"), n as u64)).collect();
        let counts = [("sent", self.sent.get()), ("unsent", self.unsent.get()), ("taken", self.taken.get())];
        let dropped = self.dropped.borrow();
        let drops = [
            ("damaged", DropReason::Corrupt),
            ("foreign", DropReason::OtherFleet),
            ("repeated", DropReason::Duplicate),
            ("stranger", DropReason::InvalidSender),
        ]
        .map(|(word, why)| (word, dropped.get(&why).copied().unwrap_or(0)));
        let all = counts.into_iter().chain(drops).chain([("senseless", members.rejected_count())]);
        figures.extend(all.map(|(word, n)| (format!("peer_datagrams{{what=\"{word}\"}}"), n)));
        figures
    }
}
