//! What joins a gatekeeper's state machines to sockets and signals.

use crate::ahead::Ahead;
use crate::clients::{Clients, Seat, Watched};
use crate::control::Control;
use crate::dials::Dials;
use crate::front::Front;
use crate::gate::Gate;
use granitelead_base::{set_user_timeout, Backoff, ACCEPT_PAUSE};
use hyper::http::request::Parts;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::TokioIo;
use plugboard::settings::{self, Settings};
use snafu::{ResultExt, Snafu};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::signal::unix::{signal, SignalKind};
use tokio::task::spawn_local;
use trunk::line::{self, Sender};
use trunk::words::{Down, Up, Word};

/// How often what was let in is told, and sessions are looked after.
pub const BATCH: Duration = Duration::from_millis(50);
/// How often a session says that it stands.
pub const PING: Duration = Duration::from_millis(150);
/// The same for one that is not the home.
pub const PING_OTHER: Duration = Duration::from_millis(550);
/// A marker that says nothing for so long is gone: it would have answered three times.
pub const SILENCE: Duration = Duration::from_millis(1_800);
/// How often idle connections and the settings file are looked at.
const SWEEP: Duration = Duration::from_secs(1);
/// How long new connections are taken after SIGTERM: until the platform has seen that this gatekeeper is not ready.
const TAKE_STILL: Duration = Duration::from_millis(2_600);
/// Time before SIGKILL that is left unused.
const SPARE: Duration = Duration::from_millis(300);
/// Descriptors that are kept for what is not a client's connection or a server's.
const DESCRIPTORS: u64 = 300;
/// How long a client may leave sent bytes without acknowledging them.
const UNACKNOWLEDGED: Duration = Duration::from_secs(5);
/// Least room for heads that the HTTP library takes, bytes.
const HEAD_LEAST: usize = 8_192;

/// Why a gatekeeper ends.
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
    /// A signal can't be waited for.
    #[snafu(display("signals: {source}"))]
    Signals {
        /// Why.
        source: std::io::Error,
    },
}

/// The lines of a gatekeeper's sessions.
struct Lines {
    front: Rc<Front>,
    port: u16,
    standing: RefCell<BTreeMap<Ipv4Addr, Sender>>,
    busy: RefCell<BTreeSet<Ipv4Addr>>,
    backoff: RefCell<Backoff>,
}

impl Lines {
    fn say(&self, words: impl IntoIterator<Item = (Ipv4Addr, Up)>) {
        let standing = self.standing.borrow();
        for (ip, word) in words {
            if let Some(line) = standing.get(&ip) {
                line.send(&Word::Up(word));
            }
        }
    }

    /// Looks for further sessions as far as they are wanted.
    fn look(self: &Rc<Self>) {
        let wanted = {
            let busy = self.busy.borrow();
            self.front.gate.borrow_mut().control.wanted(&busy)
        };
        if let Some(ip) = self.front.gate.borrow().control.surplus() {
            self.standing.borrow().get(&ip).iter().for_each(|line| line.close());
        }
        if let Some(ip) = wanted {
            self.busy.borrow_mut().insert(ip);
            spawn_local(self.clone().hold(ip));
        }
    }

    /// Opens a session and holds it until it ends.
    async fn hold(self: Rc<Self>, ip: Ipv4Addr) {
        let dialled = line::dial(SocketAddr::from((ip, self.port))).await;
        let stream = match dialled {
            Ok(stream) => stream,
            Err(ended) => {
                log::info!("{ip}: {ended}");
                // Drawn, so that gatekeepers that lost a marker together do not come back together.
                let wait = self.backoff.borrow_mut().draw();
                tokio::time::sleep(wait).await;
                self.busy.borrow_mut().remove(&ip);
                return;
            }
        };
        self.backoff.borrow_mut().reset();
        let sender = Sender::default();
        let hello = {
            let gate = &mut *self.front.gate.borrow_mut();
            let (has, servers) = (gate.revision(), gate.servers.all());
            gate.control.open(self.front.now(), ip, has, servers)
        };
        self.standing.borrow_mut().insert(ip, sender.clone());
        self.busy.borrow_mut().remove(&ip);
        sender.send(&Word::Up(hello));
        let lines = self.clone();
        let carried = line::carry(stream, sender.clone(), SILENCE, move |word| lines.take(ip, word));
        let pings = async {
            let mut said = Instant::now();
            loop {
                tokio::time::sleep(PING).await;
                let home = self.front.gate.borrow().control.home() == Some(ip);
                if home || said.elapsed() >= PING_OTHER {
                    said = Instant::now();
                    sender.send(&Word::Up(Up::Ping));
                }
            }
        };
        let ended = tokio::select! {
            ended = carried => ended,
            () = pings => line::Ended::Closed,
        };
        log::info!("session with {ip}: {ended}");
        self.standing.borrow_mut().remove(&ip);
        let say = self.front.gate.borrow_mut().control.close(ip);
        self.say(say);
    }

    fn take(&self, ip: Ipv4Addr, word: Word) {
        let Word::Down(word) = word else { return };
        let now = self.front.now();
        let news = word != Down::Pong;
        let say = self.front.gate.borrow_mut().on_down(now, ip, word);
        if news {
            self.front.room.notify_waiters();
            self.front.news.notify_waiters();
        }
        self.say(say);
    }
}

async fn listen(address: SocketAddrV4) -> Result<TcpListener, Failure> {
    let address = SocketAddr::from(address);
    TcpListener::bind(address).await.context(ListenSnafu { address })
}

/// Serves one client's connection until it ends.
pub async fn serve_client(front: Rc<Front>, seat: Seat, stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    set_user_timeout(&stream, UNACKNOWLEDGED, &Cell::new(1));
    let head = front.gate.borrow().configuration.as_ref().map_or(HEAD_LEAST, |c| c.limits.head);
    let (watch, taken) = (seat.watch.clone(), front.clone());
    let service = service_fn(move |request: hyper::Request<hyper::body::Incoming>| {
        let (front, busy) = (taken.clone(), watch.begin());
        let (parts, body) = request.into_parts();
        let early = watch.early(&parts);
        async move {
            let early = match early {
                Some(early) => early.await,
                None => None,
            };
            let response = match early {
                Some(response) => response,
                None => front.answer(&parts, Some(body)).await,
            };
            drop(busy);
            Ok::<_, Infallible>(response)
        }
    });
    let taken = front.clone();
    let begin = Box::new(move |parts: &Parts| {
        let (front, parts) = (taken.clone(), parts.clone());
        let may = front.may_repeat(&parts);
        may.then(|| spawn_local(async move { front.answer(&parts, None).await }))
    });
    let stream = Watched { stream, watch: seat.watch.clone(), ahead: Ahead::default(), begin };
    let connection = hyper::server::conn::http1::Builder::new()
        .max_buf_size(head.max(HEAD_LEAST))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut ending = false;
    loop {
        tokio::select! {
            // A client that breaks off is its own affair.
            _ = connection.as_mut() => return,
            () = seat.watch.ends.notified(), if !ending => {
                ending = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    }
}

async fn take_clients(front: Rc<Front>, clients: Rc<Clients>, listener: TcpListener, most: usize) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Some(seat) = clients.seat(most) {
                    spawn_local(serve_client(front.clone(), seat, stream));
                }
            }
            Err(e) => {
                log::info!("accept: {e}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Tells the platform whether clients may come.
async fn tell_readiness(front: Rc<Front>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let front = front.clone();
        spawn_local(async move {
            let service = service_fn(move |request: hyper::Request<hyper::body::Incoming>| {
                let ready = front.gate.borrow().is_ready();
                let status = match (request.uri().path(), ready) {
                    ("/readiness", true) => StatusCode::OK,
                    ("/readiness", false) => StatusCode::SERVICE_UNAVAILABLE,
                    _ => StatusCode::NOT_FOUND,
                };
                let mut response = Response::new(http_body_util::Empty::<bytes::Bytes>::new());
                *response.status_mut() = status;
                async { Ok::<_, Infallible>(response) }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .max_buf_size(HEAD_LEAST)
                .serve_connection(TokioIo::new(stream), service);
            let _ = tokio::time::timeout(Duration::from_secs(30), connection).await;
        });
    }
}

/// Runs a gatekeeper until it is told to end.
///
/// # Errors
///
/// Why it can't go on.
pub async fn serve(
    settings: Settings,
    front_at: SocketAddrV4,
    readiness: SocketAddrV4,
) -> Result<(), Failure> {
    let seeds = |settings: &Settings| settings.seeds.iter().map(|seed| *seed.ip()).collect();
    let control = Control::new(&settings.name, &settings.zone, seeds(&settings), fastrand::u64(..));
    let gate = Gate::new(control, &settings.zone, &settings.bounds, fastrand::u64(..));
    let connections = settings.descriptors.saturating_sub(DESCRIPTORS).max(64) as usize / 2;
    let held_max = settings.memory_mb as usize * (1 << 20) / 4;
    let front = Rc::new(Front::new(gate, Dials::new(connections), held_max));
    let clients = Rc::new(Clients::default());
    let (listener, ready_at) = (listen(front_at).await?, listen(readiness).await?);
    let taking = spawn_local(take_clients(front.clone(), clients.clone(), listener, connections));
    spawn_local(tell_readiness(front.clone(), ready_at));
    let lines = Rc::new(Lines {
        front: front.clone(),
        port: settings.internal_port,
        standing: RefCell::default(),
        busy: RefCell::default(),
        backoff: RefCell::new(Backoff::new(fastrand::u64(..))),
    });
    let looking = lines.clone();
    spawn_local(async move {
        loop {
            looking.look();
            let (before, batch, after) = {
                let gate = &mut *looking.front.gate.borrow_mut();
                (gate.is_ready(), gate.on_batch(looking.front.now()), gate.is_ready())
            };
            looking.say(batch);
            if after && !before {
                looking.front.news.notify_waiters();
            }
            tokio::time::sleep(BATCH).await;
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
            () = tokio::time::sleep(SWEEP) => {}
        }
        match settings::load() {
            Ok(settings) => front.gate.borrow_mut().control.reseed(seeds(&settings)),
            Err(faults) => log::warn!("settings, which stay as they were: {faults}"),
        }
        let limits = front.gate.borrow().configuration.as_ref().map(|c| c.limits.clone()).unwrap_or_default();
        clients.sweep(limits.head_time, limits.idle_time);
        front.dials.sweep(|_| true);
    }
    front.gate.borrow_mut().leaving = true;
    let told = Instant::now();
    let end = settings.bounds.grace.saturating_sub(SPARE);
    clients.end_all();
    let mut took = true;
    while told.elapsed() < end {
        tokio::time::sleep(Duration::from_millis(50)).await;
        if took && told.elapsed() >= TAKE_STILL.min(end / 2) {
            taking.abort();
            took = false;
        }
        clients.end_all();
        if !took && front.open.get() == 0 && clients.count() == 0 {
            break;
        }
    }
    Ok(())
}
