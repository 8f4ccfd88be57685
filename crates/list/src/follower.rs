//! Follows the server list: keeps a watch open on one source at a time and switches to the next one when it
//! fails.

use crate::messages::{ErrorResponse, HostList, Revision, HOSTS_PATH, OVERLOADED, REVISION_PATH};
use crate::sources::{SourceError, Sources, UpdateDecision};
use bytes::{Bytes, BytesMut};
use granitelead_base::connection::{ConnectionHandle, ConnectionIo, Slot};
use granitelead_base::{log_throttled, Backoff};
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

/// Time without any data after which a watch is considered dead; an empty line is due every 2 s as a
/// heartbeat. An update withheld by a dead watch counts as delivered after 6 s, or 4 s after a reload, and
/// the next watch may be dead too.
const WATCH_IDLE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Timeout for connecting, and for the response head of a discovery agent on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time added to the timeout for a response head for each gatekeeper whose request may be queued before this
/// one. A request that times out is processed by the service all the same, and repeating it only adds load.
const RESPONSE_TIME_PER_GATEKEEPER: Duration = Duration::from_millis(30);
/// Maximum size of an error response, in bytes.
const ERROR_BODY_MAX: usize = 4 << 10;
/// Maximum length of a line, in bytes; a list of thousands of servers is shorter.
pub const LINE_MAX: usize = 4 << 20;
/// Maximum random delay before a nearly empty list is verified with another source.
const VERIFY_DELAY_MAX: Duration = Duration::from_millis(250);
/// Timeout for that request. A drain has to take effect within 1 s of the line that announces it.
const VERIFY_TIMEOUT: Duration = Duration::from_millis(300);
/// Minimum interval between comparisons with the version of another source, and the minimum per gatekeeper.
/// The interval is drawn between one and two times the larger one.
const COMPARE_INTERVAL: (Duration, Duration) = (Duration::from_secs(20), Duration::from_millis(200));

/// Why a watch or a request to a source has failed.
#[derive(Debug, Error)]
enum WatchError {
    #[error("timeout while connecting")]
    ConnectTimeout,
    #[error("{0}")]
    Connect(#[from] io::Error),
    #[error("no connection slot available")]
    NoSlot,
    #[error("timeout while waiting for the response")]
    ResponseTimeout,
    #[error("{0}")]
    Http(#[from] hyper::Error),
    #[error("{0}")]
    Request(#[from] hyper::http::Error),
    #[error("unexpected status {0}")]
    Status(StatusCode),
    #[error("the watch received no data for {WATCH_IDLE_TIMEOUT:?}")]
    IdleTimeout,
    #[error("invalid response: {0}")]
    InvalidLine(#[from] serde_json::Error),
    #[error("a line is longer than {LINE_MAX} bytes")]
    LineTooLong,
    #[error("{0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
    #[error(transparent)]
    Source(#[from] SourceError),
}

/// Timeouts and intervals of the requests for the list.
pub struct RequestTiming {
    backoff: Backoff,
    /// Timeout for a response head.
    response_timeout: Duration,
    is_shared: bool,
    compare_interval: Duration,
    rng: fastrand::Rng,
    /// Parameters for a shared service: number of gatekeepers, time in which each has to be served, and seed.
    shared_parameters: (u32, Duration, u64),
}

impl RequestTiming {
    /// For a discovery agent that serves only this gatekeeper. Changes to
    /// [`RequestTiming::for_shared_service`] when the source turns out to be a service that all `gatekeepers`
    /// share, each of which has to make its request within `within`. `seed` seeds the jitter.
    pub fn for_local_agent(gatekeepers: u32, within: Duration, seed: u64) -> RequestTiming {
        let timing = RequestTiming::for_shared_service(gatekeepers, within, seed);
        RequestTiming {
            backoff: Backoff::new(seed),
            response_timeout: CONNECT_TIMEOUT,
            is_shared: false,
            ..timing
        }
    }

    /// For a service that all `gatekeepers` share, see [`RequestTiming::for_local_agent`].
    pub fn for_shared_service(gatekeepers: u32, within: Duration, seed: u64) -> RequestTiming {
        RequestTiming {
            backoff: Backoff::shared(gatekeepers, within, seed),
            response_timeout: CONNECT_TIMEOUT
                .max((RESPONSE_TIME_PER_GATEKEEPER * gatekeepers).min(within / 2)),
            is_shared: true,
            compare_interval: COMPARE_INTERVAL.0.max(COMPARE_INTERVAL.1 * gatekeepers),
            rng: fastrand::Rng::with_seed(!seed),
            shared_parameters: (gatekeepers, within, seed),
        }
    }

    /// Switches to the values for a shared service.
    fn switch_to_shared(&mut self) {
        if !self.is_shared {
            let (gatekeepers, within, seed) = self.shared_parameters;
            *self = RequestTiming {
                compare_interval: self.compare_interval,
                ..RequestTiming::for_shared_service(gatekeepers, within, seed)
            };
        }
    }

    /// Sets the minimum interval between comparisons with another source, if `interval` is given; the actual
    /// interval is drawn between one and two times this.
    pub fn with_compare_interval(self, interval: Option<Duration>) -> RequestTiming {
        RequestTiming { compare_interval: interval.unwrap_or(self.compare_interval), ..self }
    }

    fn draw_next_compare(&mut self) -> Instant {
        Instant::now() + self.compare_interval.mul_f64(1.0 + self.rng.f64())
    }
}

/// Status of the followed list, for metrics.
pub struct ListStatus {
    /// Version of the list.
    pub rev: Cell<u64>,
    /// Epoch of the list; 0 if it has none.
    pub epoch: Cell<u64>,
    /// Index of the source that is watched.
    pub source: Cell<usize>,
    last_current: Cell<Instant>,
}

impl ListStatus {
    /// Status before any list has been received.
    pub fn new() -> Rc<ListStatus> {
        let (rev, epoch, source) = (Cell::new(0), Cell::new(0), Cell::new(0));
        Rc::new(ListStatus { rev, epoch, source, last_current: Cell::new(Instant::now()) })
    }

    /// Time since the list was last known to match that of its origin.
    pub fn age(&self) -> Duration {
        self.last_current.get().elapsed()
    }

    fn record_contact(&self, stale_ms: Option<u64>) {
        // A time too far back for the clock leaves the last known one in place.
        let last_current = Instant::now().checked_sub(Duration::from_millis(stale_ms.unwrap_or(0)));
        self.last_current.set(last_current.unwrap_or(self.last_current.get()));
    }
}

/// Follows the list through a sequence of sources.
pub struct Follower {
    sources: Sources,
    timing: RequestTiming,
    status: Rc<ListStatus>,
    /// Number of failures logged, see [`log_throttled`].
    event_count: Cell<u64>,
}

impl Follower {
    /// Starts with the first source and reports the status of the list in `status`.
    pub fn new(sources: Sources, timing: RequestTiming, status: Rc<ListStatus>) -> Follower {
        status.rev.set(sources.known().0);
        let mut follower = Follower { sources, timing, status, event_count: Cell::new(0) };
        follower.adapt_timing();
        follower
    }

    /// Adapts the timeouts and intervals to the kind of source.
    fn adapt_timing(&mut self) {
        if self.sources.are_shared() {
            self.timing.switch_to_shared();
        }
    }

    /// Follows the list forever and calls `apply` with each full list or delta. `addresses` holds the
    /// addresses of the sources, which may change at any time.
    pub async fn follow(
        mut self,
        mut addresses: watch::Receiver<Vec<SocketAddr>>,
        mut apply: impl FnMut(&HostList, ListScope),
    ) {
        // The random wait spreads the first requests of gatekeepers that are started at the same time.
        tokio::select! {
            () = self.timing.backoff.wait() => {}
            Ok(()) = addresses.changed() => self.replace_sources(&mut addresses),
        }
        loop {
            self.timing.backoff.reset();
            tokio::select! {
                () = self.cycle_through_sources(&mut apply) => {}
                Ok(()) = addresses.changed() => self.replace_sources(&mut addresses),
            }
        }
    }

    fn replace_sources(&mut self, addresses: &mut watch::Receiver<Vec<SocketAddr>>) {
        self.sources.replace(addresses.borrow_and_update().clone());
        self.adapt_timing();
    }

    async fn cycle_through_sources(&mut self, apply: &mut impl FnMut(&HostList, ListScope)) {
        loop {
            let before = self.sources.known();
            let (index, address) = self.sources.current();
            self.status.source.set(index);
            if let Err(error) = self.watch_list(address, apply).await {
                log_throttled(&self.event_count, format_args!("discovery: {address}: {error}"));
            }
            self.sources.advance();
            self.adapt_timing();
            if self.sources.known() != before {
                self.timing.backoff.reset();
            }
            self.timing.backoff.wait().await;
        }
    }

    /// Runs one watch until it ends, times out or sends invalid data. An update that could not be read is
    /// requested again: the next watch starts after the last version that was applied.
    async fn watch_list(
        &mut self,
        address: SocketAddr,
        apply: &mut impl FnMut(&HostList, ListScope),
    ) -> Result<(), WatchError> {
        let mut connection = SourceConnection::connect(address).await?;
        let response = connection.get(&self.sources.start_watch(), self.timing.response_timeout).await?;
        match response.status() {
            StatusCode::OK => {}
            StatusCode::CONFLICT => return Err(self.sources.on_version_ahead().into()),
            StatusCode::SERVICE_UNAVAILABLE => {
                let body = Limited::new(response.into_body(), ERROR_BODY_MAX)
                    .collect()
                    .await
                    .map_err(WatchError::Body)?;
                let refusal: Option<ErrorResponse> = serde_json::from_slice(&body.to_bytes()).ok();
                return match refusal.is_some_and(|refusal| refusal.error == OVERLOADED) {
                    true => self.read_once(connection, apply).await,
                    false => Err(WatchError::Status(StatusCode::SERVICE_UNAVAILABLE)),
                };
            }
            status => return Err(WatchError::Status(status)),
        }
        let mut body = response.into_body();
        let mut buffer = BytesMut::new();
        let mut next_compare = self.timing.draw_next_compare();
        let idle_deadline = Cell::new(Instant::now() + WATCH_IDLE_TIMEOUT);
        loop {
            let frame = tokio::select! {
                frame = body.frame() => frame,
                () = sleep_until(idle_deadline.get()) => return Err(WatchError::IdleTimeout),
                () = sleep_until(next_compare) => {
                    next_compare = self.timing.draw_next_compare();
                    self.compare().await?;
                    continue;
                }
            };
            idle_deadline.set(Instant::now() + WATCH_IDLE_TIMEOUT);
            let Some(frame) = frame else { return Ok(()) };
            let Ok(data) = frame?.into_data() else { continue };
            buffer.extend_from_slice(&data);
            while let Some(end) = buffer.iter().position(|b| *b == b'\n') {
                let line = buffer.split_to(end + 1);
                let mut stale_ms = None;
                if !line.trim_ascii().is_empty() {
                    let list: HostList = serde_json::from_slice(&line)?;
                    stale_ms = list.stale_ms;
                    self.handle_update(&list, apply).await?;
                }
                self.status.record_contact(stale_ms);
                self.sources.check_source(std::time::Instant::now(), stale_ms)?;
            }
            if buffer.len() > LINE_MAX {
                return Err(WatchError::LineTooLong);
            }
        }
    }

    /// Reads the list once when the source has reached its limit of watches, so that every gatekeeper gets
    /// the current list. A watch is tried again after the usual wait.
    async fn read_once(
        &mut self,
        connection: SourceConnection,
        apply: &mut impl FnMut(&HostList, ListScope),
    ) -> Result<(), WatchError> {
        let list: HostList = connection.read(HOSTS_PATH, self.timing.response_timeout).await?;
        if (list.rev, list.epoch) != self.sources.known() {
            self.handle_update(&list, apply).await?;
        }
        self.status.record_contact(list.stale_ms);
        Ok(self.sources.check_source(std::time::Instant::now(), list.stale_ms)?)
    }

    async fn handle_update(
        &mut self,
        list: &HostList,
        apply: &mut impl FnMut(&HostList, ListScope),
    ) -> Result<(), WatchError> {
        let scope = match self.sources.evaluate(list) {
            UpdateDecision::Apply(scope) => scope,
            UpdateDecision::Verify(scope) => {
                if self.is_refuted_by_other(list).await {
                    return Err(SourceError::NearlyEmpty.into());
                }
                self.sources.accept(list);
                scope
            }
            UpdateDecision::Duplicate if list.targets.is_empty() => return Ok(()),
            UpdateDecision::Duplicate => {
                let (known, _) = self.sources.known();
                log_throttled(
                    &self.event_count,
                    format_args!("discovery: ignored version {}, current version is {known}", list.rev),
                );
                return Ok(());
            }
            UpdateDecision::Reject(error) => return Err(error.into()),
        };
        apply(list, scope);
        let (rev, epoch) = self.sources.known();
        self.status.rev.set(rev);
        self.status.epoch.set(epoch.unwrap_or(0));
        Ok(())
    }

    /// Verifies a nearly empty list with another source; returns whether that one shows it to be wrong.
    async fn is_refuted_by_other(&mut self, suspect: &HostList) -> bool {
        let Some(address) = self.sources.pick_other(self.timing.rng.usize(..)) else { return false };
        tokio::time::sleep(VERIFY_DELAY_MAX.mul_f64(self.timing.rng.f64())).await;
        let request = async {
            SourceConnection::connect(address).await?.read::<HostList>(HOSTS_PATH, VERIFY_TIMEOUT).await
        };
        match timeout(VERIFY_TIMEOUT, request).await {
            Ok(Ok(other)) => self.sources.refutes(&other, suspect),
            _ => false,
        }
    }

    /// Compares the version with that of another source, to detect that the watched one no longer makes
    /// progress.
    async fn compare(&mut self) -> Result<(), WatchError> {
        if self.sources.known().1.is_none() {
            return Ok(());
        }
        let Some(address) = self.sources.pick_other(self.timing.rng.usize(..)) else { return Ok(()) };
        let request = async {
            SourceConnection::connect(address).await?.read::<Revision>(REVISION_PATH, VERIFY_TIMEOUT).await
        };
        // A failed request says nothing about the watched source.
        let Ok(Ok(other)) = timeout(VERIFY_TIMEOUT, request).await else { return Ok(()) };
        Ok(self.sources.compare(std::time::Instant::now(), &other)?)
    }
}

/// A connection to a source, closed when dropped.
struct SourceConnection {
    wire: Rc<ConnectionHandle>,
    sender: SendRequest<Empty<Bytes>>,
}

impl Drop for SourceConnection {
    fn drop(&mut self) {
        self.wire.close();
    }
}

impl SourceConnection {
    async fn connect(address: SocketAddr) -> Result<SourceConnection, WatchError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| WatchError::ConnectTimeout)??;
        let slot = Slot::acquire(&Rc::default(), 1).ok_or(WatchError::NoSlot)?;
        let wire = ConnectionHandle::new(stream, slot);
        let (sender, conn) =
            hyper::client::conn::http1::handshake(TokioIo::new(ConnectionIo(wire.clone()))).await?;
        let task = tokio::task::spawn_local(async move { drop(conn.await) });
        wire.set_driver(task.abort_handle());
        Ok(SourceConnection { wire, sender })
    }

    async fn get(&mut self, path: &str, time: Duration) -> Result<Response<Incoming>, WatchError> {
        let request = Request::get(path).header(HOST, "discovery").body(Empty::new());
        let response = self.sender.send_request(request?);
        Ok(timeout(time, response).await.map_err(|_| WatchError::ResponseTimeout)??)
    }

    async fn read<T: DeserializeOwned>(mut self, path: &str, time: Duration) -> Result<T, WatchError> {
        let response = self.get(path, time).await?;
        if response.status() != StatusCode::OK {
            return Err(WatchError::Status(response.status()));
        }
        let body = Limited::new(response.into_body(), LINE_MAX).collect().await.map_err(WatchError::Body)?;
        Ok(serde_json::from_slice(&body.to_bytes())?)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_local_agent_is_contacted_at_once_and_a_shared_service_within_the_limit() {
        for seed in 0..300 {
            let within = Duration::from_secs(10);
            let mut own = RequestTiming::for_local_agent(300, within, seed);
            // An update of a local agent counts as delivered whether or not it was requested.
            assert!(own.backoff.next_wait() <= Duration::from_millis(100));
            assert!(own.response_timeout <= Duration::from_secs(1));
            let mut shared = RequestTiming::for_shared_service(300, within, seed);
            assert!(shared.backoff.next_wait() + shared.response_timeout <= within);
            own.switch_to_shared();
            assert_eq!(own.response_timeout, shared.response_timeout);
        }
    }

    #[test]
    fn several_sources_and_lists_with_an_epoch_are_shared() {
        let addresses = |n: u16| (1..=n).map(|port| SocketAddr::from(([127, 0, 0, 1], port))).collect();
        let is_shared = |addresses, epoch| {
            let known = HostList { epoch, ..HostList::default() };
            let timing = RequestTiming::for_local_agent(300, Duration::from_secs(10), 7);
            Follower::new(Sources::new(addresses, &known), timing, ListStatus::new()).timing.is_shared
        };
        assert!(!is_shared(addresses(1), None), "the platform's own agent");
        assert!(is_shared(addresses(2), None));
        assert!(is_shared(addresses(1), Some(9)));
    }
}
