//! What joins a marker's state machine to sockets, disk and signals.

use crate::calls;
use crate::core::{self, Core};
use crate::parts::{Millis, Output, Reply, SessionId};
use crate::state::{Call, Marker};
use crate::store::{self, Found, Job, Store};
use granitelead_base::Backoff;
use granitelead_common::settings::{self, Settings};
use granitelead_control_protocol::connection::{self, Sender};
use granitelead_control_protocol::messages::Message;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::Request;
use hyper_util::rt::{TokioIo, TokioTimer};
use snafu::{ResultExt, Snafu};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::mpsc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::oneshot;
use tokio::task::spawn_local;

/// How often the state machine looks at the time.
const TICK: Duration = Duration::from_millis(25);
/// A peer that says nothing for so long is gone: it would have said something ten times.
const SILENCE: Duration = Duration::from_secs(2);
/// A line that only goes out hears nothing.
const NEVER: Duration = Duration::from_secs(1 << 20);
/// Connections of servers and operators at once.
const CONNECTIONS_MAX: usize = 1_000;
/// How often the settings file is looked at.
const SETTINGS: Duration = Duration::from_secs(2);
/// Longest wait before another marker is dialled again: one that was cut off is back soon after its links are.
const REDIAL: Duration = Duration::from_millis(500);
/// How long a marker that was told to end goes on at least, so that whoever takes over has done so.
const LEAVE: Duration = Duration::from_millis(400);
/// It goes on until all that it holds is held elsewhere, but ends this long before the grace period does.
const LEAVE_BEFORE: Duration = Duration::from_millis(500);

/// Why a marker ends.
#[derive(Debug, Snafu)]
pub enum Failure {
    /// An address can't be listened at.
    #[snafu(display("{address}: {source}"))]
    Listen {
        /// Which.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// The folder can't be used.
    #[snafu(display("{source}"))]
    Folder {
        /// Why.
        source: store::Fault,
    },
    /// A signal can't be waited for.
    #[snafu(display("signals: {source}"))]
    Signals {
        /// Why.
        source: std::io::Error,
    },
}

/// One marker in its process.
struct Exchange {
    marker: RefCell<Marker>,
    begun: Instant,
    control: SocketAddrV4,
    internal_port: u16,
    writes: mpsc::Sender<Job>,
    lines: RefCell<BTreeMap<Ipv4Addr, Sender>>,
    sessions: RefCell<BTreeMap<SessionId, Sender>>,
    calls: RefCell<BTreeMap<u64, oneshot::Sender<Reply>>>,
    next: Cell<u64>,
    connections: Cell<usize>,
    leaving: Cell<bool>,
    /// Bytes that may wait in all for peers that do not read; with more the one that holds most is given up.
    unsent_max: usize,
    said: Said,
}

/// What was said so far: messages and bytes, by kind.
#[derive(Default)]
struct Said {
    markers: RefCell<BTreeMap<&'static str, (u64, u64)>>,
    gatekeepers: RefCell<BTreeMap<&'static str, (u64, u64)>>,
}

/// Says a word and counts it.
fn say(line: &Sender, word: &Message, counts: &RefCell<BTreeMap<&'static str, (u64, u64)>>) {
    let size = line.send(word);
    if size > 0 {
        let mut counts = counts.borrow_mut();
        let (messages, bytes) = counts.entry(word.kind()).or_default();
        (*messages, *bytes) = (*messages + 1, *bytes + size as u64);
    }
}

/// The status with what was said so far.
fn with_counts(reply: Reply, said: &Said) -> Reply {
    let Reply::Json(text) = &reply else { return reply };
    let Ok(serde_json::Value::Object(mut status)) = serde_json::from_str(text) else { return reply };
    status.insert("said-to-markers".into(), serde_json::json!(*said.markers.borrow()));
    status.insert("said-to-gatekeepers".into(), serde_json::json!(*said.gatekeepers.borrow()));
    Reply::Json(serde_json::Value::Object(status).to_string())
}

impl Exchange {
    fn now(&self) -> Millis {
        self.begun.elapsed().as_millis() as Millis
    }

    fn number(&self) -> u64 {
        self.next.set(self.next.get() + 1);
        self.next.get()
    }

    /// Gives up the line that holds most where too much waits in all.
    fn bound_unsent(&self) {
        let (sessions, lines) = (self.sessions.borrow(), self.lines.borrow());
        let all = || sessions.values().chain(lines.values());
        if all().map(Sender::unsent).sum::<usize>() > self.unsent_max {
            if let Some(most) = all().max_by_key(|line| line.unsent()) {
                log::warn!("{} bytes wait for a peer that does not read: its line is ended", most.unsent());
                most.abort();
            }
        }
    }

    /// Has the state machine take something in, and does what it returns.
    fn step(self: &Rc<Self>, take: impl FnOnce(&mut Marker, Millis, &mut Vec<Output>)) {
        let mut out = Vec::new();
        take(&mut self.marker.borrow_mut(), self.now(), &mut out);
        for output in out {
            match output {
                Output::Send(ip, word) => {
                    let me = self.marker.borrow().me();
                    if let Some(line) = self.lines.borrow().get(&ip) {
                        say(line, &Message::Peer(me, word), &self.said.markers);
                    }
                }
                Output::Tell(id, word) => {
                    if let Some(session) = self.sessions.borrow().get(&id) {
                        say(session, &Message::ToGatekeeper(word), &self.said.gatekeepers);
                    }
                }
                Output::Write(ticket, keeping) => {
                    // The writer ends with the process only.
                    let _ = self.writes.send(Job::Keep(ticket, keeping));
                }
                Output::End(id) => {
                    if let Some(session) = self.sessions.borrow().get(&id) {
                        session.close();
                    }
                }
                Output::Servers(servers) => {
                    let _ = self.writes.send(Job::Servers(servers));
                }
                Output::Gatekeepers(names) => {
                    let _ = self.writes.send(Job::Gatekeepers(names));
                }
                Output::Answer(id, reply) => {
                    if let Some(call) = self.calls.borrow_mut().remove(&id) {
                        // Whoever called may have gone.
                        let _ = call.send(reply);
                    }
                }
                Output::Sure(_) => {}
            }
        }
        let known = self.marker.borrow().known();
        let missing: Vec<Ipv4Addr> = {
            let lines = self.lines.borrow();
            known.into_iter().filter(|ip| !lines.contains_key(ip)).collect()
        };
        for ip in missing {
            self.lines.borrow_mut().insert(ip, Sender::default());
            spawn_local(hold_line(self.clone(), ip));
        }
    }
}

/// Holds a connection to another marker as long as that is known.
async fn hold_line(exchange: Rc<Exchange>, ip: Ipv4Addr) {
    let mut backoff = Backoff::new(fastrand::u64(..));
    let to = SocketAddr::from((ip, exchange.internal_port));
    while exchange.marker.borrow().known().contains(&ip) {
        let stream = match connection::connect(to).await {
            Ok(stream) => stream,
            Err(ended) => {
                log::info!("{ip}: {ended}");
                tokio::time::sleep(backoff.next_wait().min(REDIAL)).await;
                continue;
            }
        };
        backoff.reset();
        let sender = Sender::default();
        exchange.lines.borrow_mut().insert(ip, sender.clone());
        exchange.step(|marker, now, out| marker.on_line(now, ip, true, out));
        let ended = connection::run(stream, sender, NEVER, |_| {}).await;
        log::info!("{ip}: {ended}");
        exchange.step(|marker, now, out| marker.on_line(now, ip, false, out));
        tokio::time::sleep(backoff.next_wait().min(REDIAL)).await;
    }
    exchange.lines.borrow_mut().remove(&ip);
}

/// What another process says on a connection that it opened.
async fn take_in(exchange: Rc<Exchange>, stream: TcpStream) {
    let id = exchange.number();
    let sender = Sender::default();
    let taken = exchange.clone();
    let back = sender.clone();
    let ended = connection::run(stream, sender.clone(), SILENCE, move |word| match word {
        Message::Peer(from, word) => taken.step(|marker, now, out| marker.on_word(now, from, word, out)),
        Message::ToMarker(word) => {
            taken.sessions.borrow_mut().entry(id).or_insert_with(|| back.clone());
            taken.step(|marker, now, out| marker.on_up(now, id, word, out));
        }
        Message::ToGatekeeper(_) => back.close(),
    })
    .await;
    if exchange.sessions.borrow_mut().remove(&id).is_some() {
        log::info!("session {id}: {ended}");
        // Its kernel closes the connections of a process that is killed; a reset may come from the network.
        let ended = matches!(ended, connection::Disconnect::Closed);
        exchange.step(|marker, now, out| marker.on_closed(now, id, ended, out));
    }
}

async fn answer(
    exchange: Rc<Exchange>,
    request: Request<Incoming>,
) -> Result<hyper::Response<http_body_util::Full<bytes::Bytes>>, Infallible> {
    let path = request.uri().path().to_owned();
    let reply = match calls::read(request).await {
        Err(reply) => reply,
        Ok(call) => {
            let asks = call == Call::Status;
            let (send, answer) = oneshot::channel();
            let id = exchange.number();
            exchange.calls.borrow_mut().insert(id, send);
            exchange.step(|marker, now, out| marker.on_call(now, id, call, out));
            let reply = answer.await;
            let reply = reply.unwrap_or_else(|_| {
                Reply::fault(granitelead_common::error_kinds::ErrorKind::Internal, "no answer")
            });
            if asks {
                with_counts(reply, &exchange.said)
            } else {
                reply
            }
        }
    };
    Ok(calls::write(reply, &path, exchange.control, exchange.leaving.get()))
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Failure> {
    TcpListener::bind(address).await.context(ListenSnafu { address })
}

async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(e) => {
                log::info!("accept: {e}");
                tokio::time::sleep(granitelead_base::ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn take_control(exchange: Rc<Exchange>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        if exchange.connections.get() >= CONNECTIONS_MAX {
            continue;
        }
        exchange.connections.set(exchange.connections.get() + 1);
        let exchange = exchange.clone();
        spawn_local(async move {
            let taken = exchange.clone();
            let service = service_fn(move |request| answer(taken.clone(), request));
            let served = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(Duration::from_secs(15))
                .max_buf_size(64 << 10)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(e) = served {
                log::info!("control: {e}");
            }
            exchange.connections.set(exchange.connections.get() - 1);
        });
    }
}

/// Opens the folder; while the disk refuses it is tried again.
async fn open(settings: &Settings) -> Result<Found, Failure> {
    let Some(folder) = &settings.data_directory else {
        let store = Store::in_memory().context(FolderSnafu)?;
        return Ok(Found { store, kept: None, servers: Vec::new(), gatekeepers: Vec::new(), forgot: false });
    };
    let mut backoff = Backoff::new(fastrand::u64(..));
    loop {
        match Store::find(std::path::Path::new(folder)) {
            Err(fault) if fault.may_pass() => {
                log::error!("not opened: {fault}");
                backoff.wait().await;
            }
            found => return found.context(FolderSnafu),
        }
    }
}

/// Runs a marker until it is told to end.
///
/// # Errors
///
/// Why it can't go on.
pub async fn serve(settings: Settings, control: SocketAddrV4) -> Result<(), Failure> {
    let seeds = ips(&settings);
    let Found { mut store, kept, servers, gatekeepers, forgot } = open(&settings).await?;
    let first_start = settings.first_start && !forgot;
    let keeping = match kept {
        Some(kept) if kept.node.ip == settings.ip => kept,
        _ => {
            let initial = core::initial_state(settings.ip, &seeds, first_start, fastrand::u64(..));
            store.write(&initial).context(FolderSnafu)?;
            initial
        }
    };
    let (writes, to_write) = mpsc::channel();
    let (written, mut is_written) = tokio::sync::mpsc::unbounded_channel();
    std::thread::spawn(move || {
        store::run(store, &to_write, |ticket| {
            // The process may be ending.
            let _ = written.send(ticket);
        })
    });

    let inner = listen(SocketAddr::from((settings.ip, settings.internal_port))).await?;
    let outer = listen(control.into()).await?;
    let core = Core::new(keeping, &seeds, settings.machine_losses, fastrand::u64(..), 0)
        .with_placement(&settings.zone, settings.data_directory.is_some());
    let beat = settings.heartbeat_interval.as_millis() as Millis;
    let window = settings.bounds.quota_window.as_millis() as Millis;
    let marker = Marker::new(core, settings.zone.clone(), beat, servers).remembering(gatekeepers, window);
    let exchange = Rc::new(Exchange {
        marker: RefCell::new(marker),
        begun: Instant::now(),
        control,
        internal_port: settings.internal_port,
        writes,
        lines: RefCell::default(),
        sessions: RefCell::default(),
        calls: RefCell::default(),
        next: Cell::new(0),
        connections: Cell::new(0),
        leaving: Cell::new(false),
        unsent_max: settings.memory_mb as usize * (1 << 20) / 4,
        said: Said::default(),
    });
    let taken = exchange.clone();
    spawn_local(async move {
        loop {
            let stream = accept(&inner).await;
            spawn_local(take_in(taken.clone(), stream));
        }
    });
    spawn_local(take_control(exchange.clone(), outer));
    let taken = exchange.clone();
    spawn_local(async move {
        while let Some(ticket) = is_written.recv().await {
            taken.step(|marker, now, out| marker.on_written(now, ticket, out));
        }
    });
    let taken = exchange.clone();
    spawn_local(async move {
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            taken.step(|marker, now, out| marker.on_tick(now, out));
            taken.bound_unsent();
        }
    });
    let (mut term, mut hup) = (
        signal(SignalKind::terminate()).context(SignalsSnafu)?,
        signal(SignalKind::hangup()).context(SignalsSnafu)?,
    );
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = hup.recv() => {}
            () = tokio::time::sleep(SETTINGS) => {}
        }
        match settings::load() {
            Ok(settings) => exchange.marker.borrow_mut().reseed(&ips(&settings)),
            Err(faults) => log::warn!("settings, which stay as they were: {faults}"),
        }
    }
    end_in_order(&exchange, settings.bounds.grace).await;
    Ok(())
}

/// Hands over, and goes on until what this marker holds is held elsewhere and all calls that have come are answered, or
/// the grace period is nearly over.
async fn end_in_order(exchange: &Rc<Exchange>, grace: Duration) {
    let begun = Instant::now();
    let last = grace.saturating_sub(LEAVE_BEFORE).max(LEAVE);
    exchange.leaving.set(true);
    exchange.step(|marker, now, out| marker.on_leave(now, out));
    tokio::time::sleep(LEAVE).await;
    let may_end = || exchange.marker.borrow().may_end() && exchange.calls.borrow().is_empty();
    while !may_end() && begun.elapsed() < last {
        tokio::time::sleep(TICK).await;
    }
    // For answers that have just been given to be written.
    tokio::time::sleep(TICK).await;
    if let Some(version) = exchange.marker.borrow().held_alone() {
        log::error!("ends with version {version:08x} in its folder, which nobody who stays is known to hold");
    }
}

fn ips(settings: &Settings) -> Vec<Ipv4Addr> {
    settings.seeds.iter().map(|seed| *seed.ip()).collect()
}
