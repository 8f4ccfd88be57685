//! Connections to markers: opens as many sessions as needed and keeps them alive with pings.

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

/// Interval of reports of admitted requests and of checks whether sessions are needed.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(50);
/// Ping interval of the session with the attached marker.
pub const PING_INTERVAL: Duration = Duration::from_millis(150);
/// Ping interval of the other sessions.
pub const PING_INTERVAL_OTHER: Duration = Duration::from_millis(550);
/// A session on which nothing was received for this long is closed: three pings would have been answered.
pub const SESSION_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Maximum time that shutdown waits for its last messages to be sent.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval of the checks during [`LEAVE_TIMEOUT`].
const LEAVE_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// The connections of a gatekeeper to markers.
pub struct Sessions {
    shared: Rc<SharedState>,
    port: u16,
    senders: RefCell<BTreeMap<Ipv4Addr, Sender>>,
    connecting: RefCell<BTreeSet<Ipv4Addr>>,
    backoff: RefCell<Backoff>,
}

impl Sessions {
    /// Creates the state without connections; markers listen at `port`.
    pub fn new(shared: Rc<SharedState>, port: u16) -> Rc<Sessions> {
        Rc::new(Sessions {
            shared,
            port,
            senders: RefCell::default(),
            connecting: RefCell::default(),
            backoff: RefCell::new(Backoff::new(fastrand::u64(..))),
        })
    }

    /// Maintains the sessions and reports admitted requests; never completes.
    pub async fn run(self: Rc<Self>) {
        loop {
            self.adjust_sessions();
            let (was_ready, messages, is_ready) = {
                let gate = &mut *self.shared.gate.borrow_mut();
                (gate.is_ready(), gate.on_tick(self.shared.now()), gate.is_ready())
            };
            self.send(messages);
            if is_ready && !was_ready {
                self.shared.marker_updates.notify_waiters();
            }
            tokio::time::sleep(REPORT_INTERVAL).await;
        }
    }

    /// Tells all markers that the process ends; completes once this is sent, or after a short timeout.
    pub async fn announce_shutdown(&self) {
        let senders: Vec<Sender> = self.senders.borrow().values().cloned().collect();
        for sender in &senders {
            sender.send(&Message::ToMarker(ToMarker::Leave));
        }
        let started_at = Instant::now();
        while senders.iter().any(|sender| sender.unsent() > 0) && started_at.elapsed() < LEAVE_TIMEOUT {
            tokio::time::sleep(LEAVE_CHECK_INTERVAL).await;
        }
    }

    fn send(&self, messages: impl IntoIterator<Item = (Ipv4Addr, ToMarker)>) {
        let senders = self.senders.borrow();
        for (ip, message) in messages {
            if let Some(sender) = senders.get(&ip) {
                sender.send(&Message::ToMarker(message));
            }
        }
    }

    /// Closes a surplus session and opens one if more are needed.
    fn adjust_sessions(self: &Rc<Self>) {
        let wanted = {
            let connecting = self.connecting.borrow();
            self.shared.gate.borrow_mut().control.next_marker(&connecting)
        };
        if let Some(ip) = self.shared.gate.borrow().control.surplus() {
            self.senders.borrow().get(&ip).iter().for_each(|sender| sender.close());
        }
        if let Some(ip) = wanted {
            self.connecting.borrow_mut().insert(ip);
            spawn_local(self.clone().run_session(ip));
        }
    }

    /// Connects to a marker and serves the session until it ends.
    async fn run_session(self: Rc<Self>, ip: Ipv4Addr) {
        let connected = connection::connect(SocketAddr::from((ip, self.port))).await;
        let stream = match connected {
            Ok(stream) => stream,
            Err(ended) => {
                log::info!("can't connect to marker {ip}: {ended}");
                // Random backoff, so that gatekeepers that lost a marker together don't reconnect together.
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
        self.senders.borrow_mut().insert(ip, sender.clone());
        self.connecting.borrow_mut().remove(&ip);
        sender.send(&Message::ToMarker(hello));
        let sessions = self.clone();
        let transport = connection::run(stream, sender.clone(), SESSION_TIMEOUT, move |message| {
            sessions.on_message(ip, message)
        });
        let pings = async {
            let mut pinged_at = Instant::now();
            loop {
                tokio::time::sleep(PING_INTERVAL).await;
                let is_attached = self.shared.gate.borrow().control.attached_marker() == Some(ip);
                if is_attached || pinged_at.elapsed() >= PING_INTERVAL_OTHER {
                    pinged_at = Instant::now();
                    sender.send(&Message::ToMarker(ToMarker::Ping));
                }
            }
        };
        let ended = tokio::select! {
            ended = transport => ended,
            () = pings => connection::Disconnect::Closed,
        };
        log::info!("session with marker {ip} ended: {ended}");
        self.senders.borrow_mut().remove(&ip);
        let messages = self.shared.gate.borrow_mut().control.close(ip);
        self.send(messages);
    }

    fn on_message(&self, ip: Ipv4Addr, message: Message) {
        let Message::ToGatekeeper(message) = message else { return };
        let now = self.shared.now();
        let is_update = message != ToGatekeeper::Pong;
        let messages = self.shared.gate.borrow_mut().on_message(now, ip, message);
        if is_update {
            self.shared.capacity_freed.notify_waiters();
            self.shared.marker_updates.notify_waiters();
        }
        self.send(messages);
    }
}
