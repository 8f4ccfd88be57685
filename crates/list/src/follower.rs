//! Watches on the list: one source at a time, for ever.

use crate::forms::{HostList, Refused, Revision, HOSTS, OVERLOADED, REVISION};
use crate::sources::{Heard, Odd, Sources};
use bytes::{Bytes, BytesMut};
use granitelead_base::wire::{Place, Wire, WireIo};
use granitelead_base::{note, Backoff};
use granitelead_decisions::ListScope;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{sleep_until, timeout, Duration, Instant};

/// Silence after which a watch is dead: an empty line is due every 2 s. What a dead one holds back counts as
/// told 6 s later, or 4 s after a reload, and the watch after it may be dead too.
const SILENT: Duration = Duration::from_millis(2_500);
/// Time to connect to an agent on this machine, and again for the head of its answer.
const CONNECT: Duration = Duration::from_secs(1);
/// Time for the head of an answer for each gatekeeper that may stand in line before: a call that is given up
/// is worked on all the same, and asked again after that.
const IN_LINE: Duration = Duration::from_millis(30);
/// The longest reason for a refusal that is read, bytes.
const REFUSAL_MAX: usize = 4 << 10;
/// The longest line; a list of thousands of servers is shorter.
pub const LINE_MAX: usize = 4 << 20;
/// The longest drawn wait before another source is asked about a list of hardly any server.
const DOUBT_WAIT: Duration = Duration::from_millis(250);
/// Time for its answer. A drain is owed within 1 s of the line that tells it.
const DOUBT_ANSWER: Duration = Duration::from_millis(300);
/// Another source is asked for its version after one to two times this, and for each gatekeeper that.
const COMPARE: (Duration, Duration) = (Duration::from_secs(20), Duration::from_millis(200));

/// Why a watch, or a call about the list, has ended.
#[derive(Debug, Error)]
enum Ended {
    #[error("no connection in time")]
    ConnectsLate,
    #[error("{0}")]
    Connect(#[from] io::Error),
    #[error("no place")]
    NoPlace,
    #[error("no answer in time")]
    AnswersLate,
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    #[error("answered {0}")]
    Status(StatusCode),
    #[error("the watch fell silent")]
    Silent,
    #[error("a line: {0}")]
    Line(#[from] serde_json::Error),
    #[error("a line has no end")]
    EndlessLine,
    #[error("{0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error(transparent)]
    Odd(#[from] Odd),
}

/// How calls for the list are spaced.
pub struct Pace {
    backoff: Backoff,
    head: Duration,
    shared: bool,
    compare: Duration,
    rng: fastrand::Rng,
    /// What a shared pace goes by.
    fleet: (u32, Duration, u64),
}

impl Pace {
    /// For one of so many gatekeepers, each of which has to ask within this time; `seed` draws. The list
    /// comes from an agent of this gatekeeper's own, unless it turns out to be a service that all share.
    pub fn own(gatekeepers: u32, within: Duration, seed: u64) -> Pace {
        let pace = Pace::shared(gatekeepers, within, seed);
        Pace { backoff: Backoff::new(seed), head: CONNECT, shared: false, ..pace }
    }

    /// The same for one service that all share.
    pub fn shared(gatekeepers: u32, within: Duration, seed: u64) -> Pace {
        Pace {
            backoff: Backoff::shared(gatekeepers, within, seed),
            head: CONNECT.max((IN_LINE * gatekeepers).min(within / 2)),
            shared: true,
            compare: COMPARE.0.max(COMPARE.1 * gatekeepers),
            rng: fastrand::Rng::with_seed(!seed),
            fleet: (gatekeepers, within, seed),
        }
    }

    /// The list is known to be shared.
    fn share(&mut self) {
        if !self.shared {
            let (gatekeepers, within, seed) = self.fleet;
            *self = Pace { compare: self.compare, ..Pace::shared(gatekeepers, within, seed) };
        }
    }

    /// Another source is asked for its version after one to two times this, where it is given.
    pub fn comparing_after(self, least: Option<Duration>) -> Pace {
        Pace { compare: least.unwrap_or(self.compare), ..self }
    }

    fn next_compare(&mut self) -> Instant {
        Instant::now() + self.compare.mul_f64(1.0 + self.rng.f64())
    }
}

/// Where the list stands, for figures.
pub struct Listing {
    /// Its version.
    pub rev: Cell<u64>,
    /// Its epoch; 0 where it has none.
    pub epoch: Cell<u64>,
    /// The number of the source that is watched.
    pub source: Cell<usize>,
    heard: Cell<Instant>,
}

impl Listing {
    /// Nothing heard yet.
    pub fn new() -> Rc<Listing> {
        let (rev, epoch, source) = (Cell::new(0), Cell::new(0), Cell::new(0));
        Rc::new(Listing { rev, epoch, source, heard: Cell::new(Instant::now()) })
    }

    /// How long ago the list was known to be that of the writer.
    pub fn age(&self) -> Duration {
        self.heard.get().elapsed()
    }

    fn hear(&self, stale_ms: Option<u64>) {
        // A span that no clock can count back is as good as any long one.
        let since = Instant::now().checked_sub(Duration::from_millis(stale_ms.unwrap_or(0)));
        self.heard.set(since.unwrap_or(self.heard.get()));
    }
}

/// Follows the list through its sources.
pub struct Follower {
    sources: Sources,
    pace: Pace,
    listing: Rc<Listing>,
    odd: Cell<u64>,
}

impl Follower {
    /// Begins with the first source; `listing` is told where the list stands.
    pub fn new(sources: Sources, pace: Pace, listing: Rc<Listing>) -> Follower {
        listing.rev.set(sources.known().0);
        let mut follower = Follower { sources, pace, listing, odd: Cell::new(0) };
        follower.space();
        follower
    }

    /// Spaces calls as the sources need it.
    fn space(&mut self) {
        if self.sources.are_shared() {
            self.pace.share();
        }
    }

    /// Follows the list for ever, wherever its sources move; calls `take` with each list or change.
    pub async fn follow(
        mut self,
        mut places: watch::Receiver<Vec<SocketAddr>>,
        mut take: impl FnMut(&HostList, ListScope),
    ) {
        // Gatekeepers that are started together do not ask together.
        tokio::select! {
            () = self.pace.backoff.wait() => {}
            Ok(()) = places.changed() => self.move_to(&mut places),
        }
        loop {
            self.pace.backoff.reset();
            tokio::select! {
                () = self.go_round(&mut take) => {}
                Ok(()) = places.changed() => self.move_to(&mut places),
            }
        }
    }

    fn move_to(&mut self, places: &mut watch::Receiver<Vec<SocketAddr>>) {
        self.sources.move_to(places.borrow_and_update().clone());
        self.space();
    }

    async fn go_round(&mut self, take: &mut impl FnMut(&HostList, ListScope)) {
        loop {
            let before = self.sources.known();
            let (number, at) = self.sources.place();
            self.listing.source.set(number);
            if let Err(what) = self.watch_list(at, take).await {
                note(&self.odd, format_args!("discovery: {at}: {what}"));
            }
            self.sources.ended();
            self.space();
            if self.sources.known() != before {
                self.pace.backoff.reset();
            }
            self.pace.backoff.wait().await;
        }
    }

    /// One watch, until it ends, falls silent or talks nonsense. A change that could not be read is asked for
    /// again: the next watch starts after the last version that was taken in.
    async fn watch_list(
        &mut self,
        at: SocketAddr,
        take: &mut impl FnMut(&HostList, ListScope),
    ) -> Result<(), Ended> {
        let mut call = Call::connect(at).await?;
        let answer = call.get(&self.sources.begin(), self.pace.head).await?;
        match answer.status() {
            StatusCode::OK => {}
            StatusCode::CONFLICT => return Err(self.sources.ahead().into()),
            StatusCode::SERVICE_UNAVAILABLE => {
                let why =
                    Limited::new(answer.into_body(), REFUSAL_MAX).collect().await.map_err(Ended::Body)?;
                let why: Option<Refused> = serde_json::from_slice(&why.to_bytes()).ok();
                return match why.is_some_and(|why| why.error == OVERLOADED) {
                    true => self.ask_once(call, take).await,
                    false => Err(Ended::Status(StatusCode::SERVICE_UNAVAILABLE)),
                };
            }
            status => return Err(Ended::Status(status)),
        }
        let mut body = answer.into_body();
        let mut buffer = BytesMut::new();
        let mut compare = self.pace.next_compare();
        let silent = Cell::new(Instant::now() + SILENT);
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = sleep_until(silent.get()) => return Err(Ended::Silent),
                () = sleep_until(compare) => {
                    compare = self.pace.next_compare();
                    self.compare().await?;
                    continue;
                }
            };
            silent.set(Instant::now() + SILENT);
            let Some(frame) = frame else { return Ok(()) };
            let Ok(data) = frame?.into_data() else { continue };
            buffer.extend_from_slice(&data);
            while let Some(end) = buffer.iter().position(|b| *b == b'\n') {
                let line = buffer.split_to(end + 1);
                let mut stale_ms = None;
                if !line.trim_ascii().is_empty() {
                    let list: HostList = serde_json::from_slice(&line)?;
                    stale_ms = list.stale_ms;
                    self.hear(&list, take).await?;
                }
                self.listing.hear(stale_ms);
                self.sources.goes_on(std::time::Instant::now(), stale_ms)?;
            }
            if buffer.len() > LINE_MAX {
                return Err(Ended::EndlessLine);
            }
        }
    }

    /// The source has no room for a further watch: the list as it is now, so that nobody is left outside. A watch is tried
    /// again after the usual wait.
    async fn ask_once(
        &mut self,
        call: Call,
        take: &mut impl FnMut(&HostList, ListScope),
    ) -> Result<(), Ended> {
        let list: HostList = call.read(HOSTS, self.pace.head).await?;
        if (list.rev, list.epoch) != self.sources.known() {
            self.hear(&list, take).await?;
        }
        self.listing.hear(list.stale_ms);
        Ok(self.sources.goes_on(std::time::Instant::now(), list.stale_ms)?)
    }

    async fn hear(
        &mut self,
        list: &HostList,
        take: &mut impl FnMut(&HostList, ListScope),
    ) -> Result<(), Ended> {
        let scope = match self.sources.hear(list) {
            Heard::Take(scope) => scope,
            Heard::Suspect(scope) => {
                if self.is_refuted(list).await {
                    return Err(Odd::NearlyNone.into());
                }
                self.sources.accept(list);
                scope
            }
            Heard::Repeat if list.targets.is_empty() => return Ok(()),
            Heard::Repeat => {
                let (known, _) = self.sources.known();
                note(&self.odd, format_args!("discovery: version {} after {known}", list.rev));
                return Ok(());
            }
            Heard::Leave(odd) => return Err(odd.into()),
        };
        take(list, scope);
        let (rev, epoch) = self.sources.known();
        self.listing.rev.set(rev);
        self.listing.epoch.set(epoch.unwrap_or(0));
        Ok(())
    }

    /// Asks another source about a list of hardly any server.
    async fn is_refuted(&mut self, suspect: &HostList) -> bool {
        let Some(at) = self.sources.another(self.pace.rng.usize(..)) else { return false };
        tokio::time::sleep(DOUBT_WAIT.mul_f64(self.pace.rng.f64())).await;
        let asked = async { Call::connect(at).await?.read::<HostList>(HOSTS, DOUBT_ANSWER).await };
        match timeout(DOUBT_ANSWER, asked).await {
            Ok(Ok(other)) => self.sources.refutes(&other, suspect),
            _ => false,
        }
    }

    /// Asks another source whether the one that is watched has come to a stop.
    async fn compare(&mut self) -> Result<(), Ended> {
        if self.sources.known().1.is_none() {
            return Ok(());
        }
        let Some(at) = self.sources.another(self.pace.rng.usize(..)) else { return Ok(()) };
        let asked = async { Call::connect(at).await?.read::<Revision>(REVISION, DOUBT_ANSWER).await };
        // One that says nothing proves nothing.
        let Ok(Ok(other)) = timeout(DOUBT_ANSWER, asked).await else { return Ok(()) };
        Ok(self.sources.compare(std::time::Instant::now(), &other)?)
    }
}

/// A connection to a source, closed when dropped.
struct Call {
    wire: Rc<Wire>,
    sender: SendRequest<Empty<Bytes>>,
}

impl Drop for Call {
    fn drop(&mut self) {
        self.wire.close();
    }
}

impl Call {
    async fn connect(at: SocketAddr) -> Result<Call, Ended> {
        let stream = timeout(CONNECT, TcpStream::connect(at)).await;
        let stream = stream.map_err(|_| Ended::ConnectsLate)??;
        let place = Place::take(&Rc::default(), 1).ok_or(Ended::NoPlace)?;
        let wire = Wire::new(stream, place);
        let (sender, conn) =
            hyper::client::conn::http1::handshake(TokioIo::new(WireIo(wire.clone()))).await?;
        let task = tokio::task::spawn_local(async move { drop(conn.await) });
        wire.driven_by(task.abort_handle());
        Ok(Call { wire, sender })
    }

    async fn get(&mut self, path: &str, time: Duration) -> Result<Response<Incoming>, Ended> {
        let request = Request::get(path).header(HOST, "discovery").body(Empty::new());
        let answer = self.sender.send_request(request?);
        Ok(timeout(time, answer).await.map_err(|_| Ended::AnswersLate)??)
    }

    async fn read<T: DeserializeOwned>(mut self, path: &str, time: Duration) -> Result<T, Ended> {
        let answer = self.get(path, time).await?;
        if answer.status() != StatusCode::OK {
            return Err(Ended::Status(answer.status()));
        }
        let body = Limited::new(answer.into_body(), LINE_MAX).collect().await.map_err(Ended::Body)?;
        Ok(serde_json::from_slice(&body.to_bytes())?)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_agent_of_its_own_is_asked_at_once_and_a_shared_service_in_time() {
        for seed in 0..300 {
            let within = Duration::from_secs(10);
            let mut own = Pace::own(300, within, seed);
            // What it tells counts as told whether it was asked or not.
            assert!(own.backoff.draw() <= Duration::from_millis(100));
            assert!(own.head <= Duration::from_secs(1));
            let mut shared = Pace::shared(300, within, seed);
            assert!(shared.backoff.draw() + shared.head <= within);
            own.share();
            assert_eq!(own.head, shared.head);
        }
    }

    #[test]
    fn several_sources_and_lists_with_an_epoch_are_shared() {
        let places = |n: u16| (1..=n).map(|port| SocketAddr::from(([127, 0, 0, 1], port))).collect();
        let of = |places, epoch| {
            let known = HostList { epoch, ..HostList::default() };
            let pace = Pace::own(300, Duration::from_secs(10), 7);
            Follower::new(Sources::new(places, &known), pace, Listing::new()).pace.shared
        };
        assert!(!of(places(1), None), "the platform's own agent");
        assert!(of(places(2), None));
        assert!(of(places(1), Some(9)));
    }
}
