//! The runtime of a marker: connects its state machine to sockets, disk and signals.

use crate::calls;
use crate::core::{self, Core};
use crate::state::{Call, Marker};
use crate::store::{self, Found, Job, Store};
use crate::types::{Millis, Output, Reply, SessionId};
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

/// The interval of ticks of the state machine.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// A peer that sends nothing for this long is taken as disconnected: it should have sent ten messages in that
/// time.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// The receive timeout of outgoing connections, on which nothing is received.
const NO_TIMEOUT: Duration = Duration::from_secs(1 << 20);
/// The most concurrent connections of servers and operators.
const CONNECTIONS_MAX: usize = 1_000;
/// How often the settings file is read.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);
/// The longest delay before a connection to another marker is retried, so that a marker that was cut off is
/// connected again soon after its links work.
const RECONNECT_DELAY_MAX: Duration = Duration::from_millis(500);
/// The shortest time that a marker keeps running after SIGTERM, so that others can take over its duties.
const SHUTDOWN_MIN: Duration = Duration::from_millis(400);
/// A marker keeps running until all that it stores is replicated elsewhere, but exits this long before the
/// end of the grace period.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(500);

/// Why a marker can't run.
#[derive(Debug, Snafu)]
pub enum Failure {
    /// An address can't be bound.
    #[snafu(display("{address}: {source}"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The data directory can't be used.
    #[snafu(display("{source}"))]
    DataDirectory {
        /// The cause.
        source: store::Fault,
    },
    /// A signal handler can't be installed.
    #[snafu(display("signals: {source}"))]
    Signals {
        /// The cause.
        source: std::io::Error,
    },
}

/// The state shared by all tasks of a marker's process.
struct Runtime {
    marker: RefCell<Marker>,
    started_at: Instant,
    control: SocketAddrV4,
    internal_port: u16,
    writes: mpsc::Sender<Job>,
    connections_to_markers: RefCell<BTreeMap<Ipv4Addr, Sender>>,
    sessions: RefCell<BTreeMap<SessionId, Sender>>,
    calls: RefCell<BTreeMap<u64, oneshot::Sender<Reply>>>,
    next_id: Cell<u64>,
    connections: Cell<usize>,
    is_shutting_down: Cell<bool>,
    /// The most bytes that may be buffered in all for peers that do not read. Above it the connection with
    /// the largest buffer is aborted.
    unsent_max: usize,
    sent: SentCounts,
}

/// The messages and bytes sent so far, by kind of message.
#[derive(Default)]
struct SentCounts {
    markers: RefCell<BTreeMap<&'static str, (u64, u64)>>,
    gatekeepers: RefCell<BTreeMap<&'static str, (u64, u64)>>,
}

/// Sends a message and counts it.
fn send_counted(sender: &Sender, message: &Message, counts: &RefCell<BTreeMap<&'static str, (u64, u64)>>) {
    let size = sender.send(message);
    if size > 0 {
        let mut counts = counts.borrow_mut();
        let (messages, bytes) = counts.entry(message.kind()).or_default();
        (*messages, *bytes) = (*messages + 1, *bytes + size as u64);
    }
}

/// Adds the counts of sent messages to a status.
fn with_counts(reply: Reply, sent: &SentCounts) -> Reply {
    let Reply::Json(text) = &reply else { return reply };
    let Ok(serde_json::Value::Object(mut status)) = serde_json::from_str(text) else { return reply };
    status.insert("said-to-markers".into(), serde_json::json!(*sent.markers.borrow()));
    status.insert("said-to-gatekeepers".into(), serde_json::json!(*sent.gatekeepers.borrow()));
    Reply::Json(serde_json::Value::Object(status).to_string())
}

impl Runtime {
    fn now(&self) -> Millis {
        self.started_at.elapsed().as_millis() as Millis
    }

    fn new_id(&self) -> u64 {
        self.next_id.set(self.next_id.get() + 1);
        self.next_id.get()
    }

    /// Aborts the connection with the most unsent bytes if all together exceed the limit.
    fn limit_unsent(&self) {
        let (sessions, connections_to_markers) =
            (self.sessions.borrow(), self.connections_to_markers.borrow());
        let all = || sessions.values().chain(connections_to_markers.values());
        if all().map(Sender::unsent).sum::<usize>() > self.unsent_max {
            if let Some(largest) = all().max_by_key(|sender| sender.unsent()) {
                log::warn!(
                    "{} bytes unsent to a peer that does not read: connection aborted",
                    largest.unsent()
                );
                largest.abort();
            }
        }
    }

    /// Passes an input to the state machine and performs the outputs that it returns.
    fn step(self: &Rc<Self>, handle: impl FnOnce(&mut Marker, Millis, &mut Vec<Output>)) {
        let mut out = Vec::new();
        handle(&mut self.marker.borrow_mut(), self.now(), &mut out);
        for output in out {
            match output {
                Output::SendToMarker(ip, message) => {
                    let me = self.marker.borrow().me();
                    if let Some(sender) = self.connections_to_markers.borrow().get(&ip) {
                        send_counted(sender, &Message::Peer(me, message), &self.sent.markers);
                    }
                }
                Output::SendToGatekeeper(id, message) => {
                    if let Some(session) = self.sessions.borrow().get(&id) {
                        send_counted(session, &Message::ToGatekeeper(message), &self.sent.gatekeepers);
                    }
                }
                Output::Persist(ticket, state) => {
                    // Can't fail: the writer thread runs as long as the process.
                    let _ = self.writes.send(Job::State(ticket, state));
                }
                Output::CloseSession(id) => {
                    if let Some(session) = self.sessions.borrow().get(&id) {
                        session.close();
                    }
                }
                Output::StoreServers(write) => {
                    let _ = self.writes.send(Job::Servers(write));
                }
                Output::StoreGatekeepers(ticket, names) => {
                    let _ = self.writes.send(Job::Gatekeepers(ticket, names));
                }
                Output::Answer(id, reply) => {
                    if let Some(call) = self.calls.borrow_mut().remove(&id) {
                        // The caller may have disconnected.
                        let _ = call.send(reply);
                    }
                }
                Output::Committed(_) => {}
            }
        }
        let known_markers = self.marker.borrow().known_markers();
        let missing: Vec<Ipv4Addr> = {
            let connections_to_markers = self.connections_to_markers.borrow();
            known_markers.into_iter().filter(|ip| !connections_to_markers.contains_key(ip)).collect()
        };
        for ip in missing {
            self.connections_to_markers.borrow_mut().insert(ip, Sender::default());
            spawn_local(maintain_connection(self.clone(), ip));
        }
    }
}

/// Keeps a connection to another marker open as long as the marker is known.
async fn maintain_connection(runtime: Rc<Runtime>, ip: Ipv4Addr) {
    let mut backoff = Backoff::new(fastrand::u64(..));
    let to = SocketAddr::from((ip, runtime.internal_port));
    while runtime.marker.borrow().known_markers().contains(&ip) {
        let stream = match connection::connect(to).await {
            Ok(stream) => stream,
            Err(ended) => {
                log::info!("{ip}: {ended}");
                tokio::time::sleep(backoff.next_wait().min(RECONNECT_DELAY_MAX)).await;
                continue;
            }
        };
        backoff.reset();
        let sender = Sender::default();
        runtime.connections_to_markers.borrow_mut().insert(ip, sender.clone());
        runtime.step(|marker, now, out| marker.on_connection_change(now, ip, true, out));
        let ended = connection::run(stream, sender, NO_TIMEOUT, |_| {}).await;
        log::info!("{ip}: {ended}");
        runtime.step(|marker, now, out| marker.on_connection_change(now, ip, false, out));
        tokio::time::sleep(backoff.next_wait().min(RECONNECT_DELAY_MAX)).await;
    }
    runtime.connections_to_markers.borrow_mut().remove(&ip);
}

/// Handles the messages on a connection that another process opened.
async fn receive_messages(runtime: Rc<Runtime>, stream: TcpStream) {
    let id = runtime.new_id();
    let sender = Sender::default();
    let shared = runtime.clone();
    let reply_sender = sender.clone();
    let ended = connection::run(stream, sender.clone(), RECEIVE_TIMEOUT, move |message| match message {
        Message::Peer(from, message) => {
            shared.step(|marker, now, out| marker.on_peer_message(now, from, message, out))
        }
        Message::ToMarker(message) => {
            shared.sessions.borrow_mut().entry(id).or_insert_with(|| reply_sender.clone());
            shared.step(|marker, now, out| marker.on_gatekeeper_message(now, id, message, out));
        }
        Message::ToGatekeeper(_) => reply_sender.close(),
    })
    .await;
    if runtime.sessions.borrow_mut().remove(&id).is_some() {
        log::info!("session {id}: {ended}");
        // The kernel closes the connections of a killed process. A reset may come from the network instead.
        let ended = matches!(ended, connection::Disconnect::Closed);
        runtime.step(|marker, now, out| marker.on_closed(now, id, ended, out));
    }
}

async fn answer(
    runtime: Rc<Runtime>,
    request: Request<Incoming>,
) -> Result<hyper::Response<http_body_util::Full<bytes::Bytes>>, Infallible> {
    let path = request.uri().path().to_owned();
    let reply = match calls::parse_request(request).await {
        Err(reply) => reply,
        Ok(call) => {
            let is_status = call == Call::Status;
            let (send, answer) = oneshot::channel();
            let id = runtime.new_id();
            runtime.calls.borrow_mut().insert(id, send);
            runtime.step(|marker, now, out| marker.on_call(now, id, call, out));
            let reply = answer.await;
            let reply = reply.unwrap_or_else(|_| {
                Reply::failure(granitelead_common::error_kinds::ErrorKind::Internal, "no answer")
            });
            if is_status {
                with_counts(reply, &runtime.sent)
            } else {
                reply
            }
        }
    };
    Ok(calls::encode_reply(reply, &path, runtime.control, runtime.is_shutting_down.get()))
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

async fn serve_control(runtime: Rc<Runtime>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        if runtime.connections.get() >= CONNECTIONS_MAX {
            continue;
        }
        runtime.connections.set(runtime.connections.get() + 1);
        let runtime = runtime.clone();
        spawn_local(async move {
            let shared = runtime.clone();
            let service = service_fn(move |request| answer(shared.clone(), request));
            let served = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(Duration::from_secs(15))
                .max_buf_size(64 << 10)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(e) = served {
                log::info!("control: {e}");
            }
            runtime.connections.set(runtime.connections.get() - 1);
        });
    }
}

/// Opens the store, with retries while the disk returns errors that may pass.
async fn open(settings: &Settings) -> Result<Found, Failure> {
    let Some(directory) = &settings.data_directory else {
        let store = Store::in_memory().context(DataDirectorySnafu)?;
        return Ok(Found {
            store,
            state: None,
            servers: Vec::new(),
            gatekeepers: Vec::new(),
            was_damaged: false,
        });
    };
    let mut backoff = Backoff::new(fastrand::u64(..));
    loop {
        match Store::find(std::path::Path::new(directory)) {
            Err(fault) if fault.may_pass() => {
                log::error!("can't open the store, retrying: {fault}");
                backoff.wait().await;
            }
            found => return found.context(DataDirectorySnafu),
        }
    }
}

/// Runs a marker until SIGTERM.
///
/// # Errors
///
/// An address can't be bound, the data directory can't be used, or a signal handler can't be installed.
pub async fn serve(settings: Settings, control: SocketAddrV4) -> Result<(), Failure> {
    let seeds = seed_ips(&settings);
    let Found { mut store, state, servers, gatekeepers, was_damaged } = open(&settings).await?;
    let first_start = settings.first_start && !was_damaged;
    let state = match state {
        Some(state) if state.node.ip == settings.ip => state,
        _ => {
            let initial = core::initial_state(settings.ip, &seeds, first_start, fastrand::u64(..));
            store.write(&initial).context(DataDirectorySnafu)?;
            initial
        }
    };
    let (writes, jobs) = mpsc::channel();
    let (written, mut is_written) = tokio::sync::mpsc::unbounded_channel();
    std::thread::spawn(move || {
        store::run(store, &jobs, |write| {
            // The receiver is gone when the process is exiting.
            let _ = written.send(write);
        })
    });

    let internal_listener = listen(SocketAddr::from((settings.ip, settings.internal_port))).await?;
    let control_listener = listen(control.into()).await?;
    let core = Core::new(state, &seeds, settings.machine_losses, fastrand::u64(..), 0)
        .with_placement(&settings.zone, settings.data_directory.is_some());
    let heartbeat_interval = settings.heartbeat_interval.as_millis() as Millis;
    let window = settings.bounds.quota_window.as_millis() as Millis;
    let marker = Marker::new(core, settings.zone.clone(), heartbeat_interval, servers)
        .with_stored_gatekeepers(gatekeepers, window);
    let runtime = Rc::new(Runtime {
        marker: RefCell::new(marker),
        started_at: Instant::now(),
        control,
        internal_port: settings.internal_port,
        writes,
        connections_to_markers: RefCell::default(),
        sessions: RefCell::default(),
        calls: RefCell::default(),
        next_id: Cell::new(0),
        connections: Cell::new(0),
        is_shutting_down: Cell::new(false),
        unsent_max: settings.memory_mb as usize * (1 << 20) / 4,
        sent: SentCounts::default(),
    });
    let shared = runtime.clone();
    spawn_local(async move {
        loop {
            let stream = accept(&internal_listener).await;
            spawn_local(receive_messages(shared.clone(), stream));
        }
    });
    spawn_local(serve_control(runtime.clone(), control_listener));
    let shared = runtime.clone();
    spawn_local(async move {
        while let Some(written) = is_written.recv().await {
            shared.step(|marker, now, out| marker.on_written(now, written, out));
        }
    });
    let shared = runtime.clone();
    spawn_local(async move {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            shared.step(|marker, now, out| marker.on_tick(now, out));
            shared.limit_unsent();
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
            () = tokio::time::sleep(SETTINGS_INTERVAL) => {}
        }
        match settings::load() {
            Ok(settings) => runtime.marker.borrow_mut().set_seeds(&seed_ips(&settings)),
            Err(faults) => log::warn!("invalid settings, the earlier ones stay in use: {faults}"),
        }
    }
    shut_down(&runtime, settings.bounds.grace).await;
    Ok(())
}

/// Hands over the duties, and waits until all that this marker stores is replicated elsewhere and all calls
/// are answered, or the grace period is nearly over.
async fn shut_down(runtime: &Rc<Runtime>, grace: Duration) {
    let started_at = Instant::now();
    let longest = grace.saturating_sub(SHUTDOWN_MARGIN).max(SHUTDOWN_MIN);
    runtime.is_shutting_down.set(true);
    runtime.step(|marker, now, out| marker.on_leave(now, out));
    tokio::time::sleep(SHUTDOWN_MIN).await;
    let may_end = || runtime.marker.borrow().may_end() && runtime.calls.borrow().is_empty();
    while !may_end() && started_at.elapsed() < longest {
        tokio::time::sleep(TICK_INTERVAL).await;
    }
    // Lets the last responses be written.
    tokio::time::sleep(TICK_INTERVAL).await;
    if let Some(version) = runtime.marker.borrow().sole_copy_version() {
        log::error!(
            "exits with version {version:08x} in its data directory, \
             which no remaining marker is known to store"
        );
    }
}

fn seed_ips(settings: &Settings) -> Vec<Ipv4Addr> {
    settings.seeds.iter().map(|seed| *seed.ip()).collect()
}
