//! The list service without its HTTP API: requests change the registry, changes are written to disk, and
//! those on disk are published in the change feed.

use crate::change_feed::{ChangeFeed, Position, HISTORY_MAX};
use crate::registry::{Event, Record, Registry, RegistryError};
use crate::store::Store;
use bytes::Bytes;
use granitelead_base::log_throttled;
use granitelead_decisions::ListScope;
use granitelead_list::follower::ListStatus;
use granitelead_list::messages::{HostList, LeaseRequest, LeaseResponse, RegisterRequest, Revision};
use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::{watch, Notify};
use tokio::task::JoinError;
use tokio::time::{timeout, Duration, Instant};

/// Maximum number of changes that wait to be written to disk.
const PENDING_CHANGES_MAX: usize = 1_024;
/// Time that a request waits for its change to be written to disk.
const DISK_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause before a failed write is repeated.
const DISK_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of the checks for expired leases.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// A mirror that has had no contact with the origin of the list for this long reports its list as stale.
const STALE_AFTER: Duration = Duration::from_secs(5);

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServiceError {
    /// The registry refused it.
    Registry(RegistryError),
    /// This process is a mirror and accepts no changes.
    ReadOnly,
    /// The change could not be written to disk, or not in time.
    DiskUnavailable,
    /// The list is not served yet, as servers are still registering again.
    Settling,
    /// This mirror has not received a list yet.
    NoList,
}

impl From<RegistryError> for ServiceError {
    fn from(error: RegistryError) -> ServiceError {
        ServiceError::Registry(error)
    }
}

/// Counters since the start, and numbers of concurrent requests.
#[derive(Default)]
pub struct Counts {
    /// Registration requests.
    pub registrations: Cell<u64>,
    /// Renewal requests.
    pub renewals: Cell<u64>,
    /// Requests for lists and watches.
    pub list_calls: Cell<u64>,
    /// Lists and watches refused because a limit was reached.
    pub lists_refused: Cell<u64>,
    /// Watches that are open now.
    pub watches: Rc<Cell<usize>>,
    /// Full lists that are being written now.
    pub lists: Rc<Cell<usize>>,
}

/// Increments a counter.
pub fn increment(n: &Cell<u64>) {
    n.set(n.get() + 1);
}

/// Origin of the list.
enum Source {
    /// Servers register with this process.
    Leases(RefCell<Registry>),
    /// Another list service is mirrored.
    Mirrored(Rc<ListStatus>),
}

/// Whether the data directory has turned out to be an older copy.
#[derive(Clone, Copy, PartialEq, Eq)]
enum DataState {
    /// There is no sign of that.
    Current,
    /// A watcher has received this later version.
    Outdated(u64),
    /// A new epoch has been started because of that.
    Replaced,
}

/// State of the list service.
pub struct Service {
    source: Source,
    feed: RefCell<ChangeFeed>,
    /// Changes that are not on disk yet.
    pending: RefCell<Vec<Record>>,
    work_available: Notify,
    is_disk_failing: Cell<bool>,
    /// The newest published version.
    published: watch::Sender<Position>,
    started: Instant,
    /// Time after `started` from which on the list is served.
    serving_after: Cell<Duration>,
    /// Time that servers have to register again after the list was lost.
    settle_time: Duration,
    data_state: Cell<DataState>,
    /// The last saved version at the start and the first version that this process can publish; versions
    /// between them were never published by this process.
    unused_versions: (u64, u64),
    /// Counters for the figures.
    pub counts: Counts,
    /// Number of failures logged, see [`log_throttled`].
    event_count: Cell<u64>,
}

impl Service {
    /// The service that servers register with. It starts with the list `leases` at `position`, and its first
    /// own version is `first_rev` or later. If the list was lost, it is served after `settle_time`, else at
    /// once.
    pub fn writer(
        registry: Registry,
        (position, first_rev): (Position, u64),
        leases: &[Record],
        settle_time: Duration,
        was_list_lost: bool,
    ) -> Rc<Service> {
        let listed = leases.iter().map(|record| record.target.clone());
        let feed = ChangeFeed::new(position, listed, false, HISTORY_MAX);
        let source = Source::Leases(RefCell::new(registry));
        let service = Service::new(source, feed, settle_time, (position.rev, first_rev));
        service.serving_after.set(if was_list_lost { settle_time } else { Duration::ZERO });
        service
    }

    /// A mirror of another list service, whose status is in `status`.
    pub fn mirror(status: Rc<ListStatus>) -> Rc<Service> {
        let feed = ChangeFeed::new(Position { epoch: 0, rev: 0 }, [], true, HISTORY_MAX);
        Service::new(Source::Mirrored(status), feed, Duration::ZERO, (0, 0))
    }

    fn new(
        source: Source,
        feed: ChangeFeed,
        settle_time: Duration,
        unused_versions: (u64, u64),
    ) -> Rc<Service> {
        let published = watch::Sender::new(feed.position());
        Rc::new(Service {
            source,
            feed: RefCell::new(feed),
            pending: RefCell::default(),
            work_available: Notify::new(),
            is_disk_failing: Cell::default(),
            published,
            started: Instant::now(),
            serving_after: Cell::new(Duration::ZERO),
            settle_time,
            data_state: Cell::new(DataState::Current),
            unused_versions,
            counts: Counts::default(),
            event_count: Cell::new(0),
        })
    }

    fn now(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    fn registry(&self) -> Result<&RefCell<Registry>, ServiceError> {
        match &self.source {
            Source::Leases(registry) => Ok(registry),
            Source::Mirrored(_) => Err(ServiceError::ReadOnly),
        }
    }

    /// Registers a server.
    pub async fn register(&self, call: RegisterRequest) -> Result<LeaseResponse, ServiceError> {
        let registry = self.writable_registry()?;
        increment(&self.counts.registrations);
        let result = registry.borrow_mut().register(self.now(), unix_ms(), call)?;
        self.commit(result).await
    }

    /// Renews the lease of a server.
    pub fn renew(&self, call: &LeaseRequest) -> Result<LeaseResponse, ServiceError> {
        increment(&self.counts.renewals);
        Ok(self.registry()?.borrow_mut().renew(self.now(), call)?)
    }

    /// Marks a server as draining.
    pub async fn drain(&self, call: &LeaseRequest) -> Result<LeaseResponse, ServiceError> {
        let result = self.writable_registry()?.borrow_mut().drain(self.now(), call)?;
        self.commit(result).await
    }

    /// Removes a server.
    pub async fn deregister(&self, call: &LeaseRequest) -> Result<LeaseResponse, ServiceError> {
        let result = self.writable_registry()?.borrow_mut().deregister(call)?;
        self.commit(result).await
    }

    /// The registry, unless the disk fails or too many changes wait for it.
    fn writable_registry(&self) -> Result<&RefCell<Registry>, ServiceError> {
        let registry = self.registry()?;
        match self.is_disk_failing.get() || self.pending.borrow().len() >= PENDING_CHANGES_MAX {
            true => Err(ServiceError::DiskUnavailable),
            false => Ok(registry),
        }
    }

    /// Waits until the change that a response confirms is on disk.
    async fn commit(
        &self,
        (grant, record): (LeaseResponse, Option<Record>),
    ) -> Result<LeaseResponse, ServiceError> {
        self.enqueue(record);
        let mut published = self.published.subscribe();
        let on_disk = published.wait_for(|position| position.rev >= grant.rev);
        let is_on_disk = matches!(timeout(DISK_TIMEOUT, on_disk).await, Ok(Ok(_)));
        is_on_disk.then_some(grant).ok_or(ServiceError::DiskUnavailable)
    }

    fn enqueue(&self, records: impl IntoIterator<Item = Record>) {
        self.pending.borrow_mut().extend(records);
        self.work_available.notify_one();
    }

    /// Whether a watcher can continue from a position that it has received.
    pub fn can_continue_from(&self, position: Position) -> bool {
        let current = self.position();
        // A watcher with another epoch gets the full list.
        let is_unused = position.rev > self.unused_versions.0 && position.rev < self.unused_versions.1;
        position.epoch != current.epoch || position.rev <= current.rev && !is_unused
    }

    /// Handles a watcher that has received a version of this epoch that this process doesn't know: the data
    /// directory is an older copy, and later changes are lost. Servers get the time to register again, and
    /// then a new epoch is started. This happens only once in the lifetime of the process, so that clients
    /// can't cause it repeatedly with made-up versions.
    pub fn on_unknown_version(&self, position: Position) {
        let current = self.position();
        if self.data_state.get() == DataState::Current && self.registry().is_ok() {
            let ms = self.settle_time.as_millis();
            eprintln!(
                "granitelead-discovery: the data directory is an older copy: version {} was published \
                 before, this list is at {}; starting a new list, which is served in {ms} ms",
                position.rev, current.rev
            );
            self.serving_after.set(self.started.elapsed() + self.settle_time);
            self.data_state.set(DataState::Outdated(position.rev));
            self.work_available.notify_one();
        }
    }

    /// Writes to disk and retries until it succeeds; `failure` is the log message for each failed attempt.
    async fn write_until_done(
        &self,
        mut store: Store,
        failure: &str,
        write: impl Fn(&mut Store) -> std::io::Result<()> + Clone + Send + 'static,
    ) -> Result<Store, JoinError> {
        loop {
            let write = write.clone();
            let task = tokio::task::spawn_blocking(move || {
                let result = write(&mut store);
                (store, result)
            });
            let (returned_store, result) = task.await?;
            store = returned_store;
            self.is_disk_failing.set(result.is_err());
            let Err(e) = result else { return Ok(store) };
            log_throttled(&self.event_count, format_args!("{failure}: {e}"));
            tokio::time::sleep(DISK_RETRY_INTERVAL).await;
        }
    }

    /// Starts a new epoch with the servers that are listed, above version `published_rev`.
    async fn start_new_epoch(&self, mut store: Store, published_rev: u64) -> Result<Store, JoinError> {
        self.data_state.set(DataState::Replaced);
        let Ok(registry) = self.registry() else { return Ok(store) };
        let (now, previous_epoch) = (unix_ms(), self.position().epoch);
        let position = Position { epoch: now.max(previous_epoch + 1), rev: now.max(published_rev + 1) };
        // Changes from now on belong to the new epoch and stay pending until it is on disk.
        let lease = registry.borrow_mut().advance_counters(position.rev, now);
        let write = move |store: &mut Store| store.start_epoch(position.epoch, position.rev, lease);
        store = self.write_until_done(store, "can't start a new list", write).await?;
        let mut feed = self.feed.borrow_mut();
        let listed: Vec<_> = feed.listed().cloned().collect();
        *feed = ChangeFeed::new(position, listed, false, HISTORY_MAX);
        self.published.send_replace(position);
        Ok(store)
    }

    /// Writes pending changes to disk in batches and then publishes them, forever.
    pub async fn write_changes(self: Rc<Self>, mut store: Store) -> Result<(), JoinError> {
        loop {
            let batch = Arc::new(self.pending.take());
            if batch.is_empty() {
                match self.data_state.get() {
                    DataState::Outdated(rev) => store = self.start_new_epoch(store, rev).await?,
                    _ => self.work_available.notified().await,
                }
                continue;
            }
            let records = batch.clone();
            let write = move |store: &mut Store| store.append(&records);
            store = self.write_until_done(store, "can't write changes to disk", write).await?;
            let mut feed = self.feed.borrow_mut();
            for record in batch.iter() {
                feed.publish(record.rev, record.target.clone());
            }
            self.published.send_replace(feed.position());
        }
    }

    /// Checks for expired leases periodically, forever.
    pub async fn expire_leases(self: Rc<Self>) {
        let Ok(registry) = self.registry() else { return };
        loop {
            tokio::time::sleep(EXPIRY_CHECK_INTERVAL).await;
            let (records, event) = registry.borrow_mut().check_expiry(self.now());
            for record in &records {
                eprintln!("granitelead-discovery: the lease of {} has expired", record.target.uid);
            }
            if !records.is_empty() {
                self.enqueue(records);
            }
            match event {
                None => {}
                Some(Event::Paused(ms)) => {
                    eprintln!("granitelead-discovery: paused for {ms} ms; all leases are renewed");
                }
                Some(Event::Guarded(n, all)) => {
                    eprintln!("granitelead-discovery: {n} of {all} leases are overdue; suspending expiry");
                }
                Some(Event::GuardLifted) => {
                    eprintln!("granitelead-discovery: renewals have resumed; resuming expiry")
                }
                Some(Event::GuardExpired(n)) => {
                    eprintln!("granitelead-discovery: the guard period is over; {n} leases have expired");
                }
            }
        }
    }

    /// Publishes an update of the mirrored list.
    pub fn mirror_update(&self, list: &HostList, _: ListScope) {
        if list.epoch.is_none() {
            return log_throttled(
                &self.event_count,
                "the mirrored source is not a list service: its list has no epoch",
            );
        }
        let mut feed = self.feed.borrow_mut();
        feed.apply(list.clone());
        self.published.send_replace(feed.position());
    }

    /// Checks that the list can be served. After it was lost, servers first get the time to register again.
    pub fn check_serving(&self) -> Result<(), ServiceError> {
        let epoch = self.feed.borrow().position().epoch;
        match &self.source {
            Source::Leases(_) if self.started.elapsed() < self.serving_after.get() => {
                Err(ServiceError::Settling)
            }
            Source::Mirrored(_) if epoch == 0 => Err(ServiceError::NoList),
            _ => Ok(()),
        }
    }

    /// Time since a mirror last had contact with the origin of the list, if that makes it stale.
    fn stale_ms(&self) -> Option<u64> {
        match &self.source {
            Source::Leases(_) => None,
            Source::Mirrored(status) => Some(status.age()).filter(|age| *age >= STALE_AFTER),
        }
        .map(|age| age.as_millis() as u64)
    }

    /// The newest version.
    pub fn position(&self) -> Position {
        self.feed.borrow().position()
    }

    /// The newest version as a response.
    pub fn revision(&self) -> Revision {
        self.feed.borrow().revision(self.stale_ms().unwrap_or(0))
    }

    /// The full list as a JSON line.
    pub fn full_list(&self) -> Bytes {
        match self.stale_ms() {
            Some(ms) => self.feed.borrow().stale_full_list(ms),
            None => self.feed.borrow_mut().full_list(),
        }
    }

    /// The changes that a watcher at `position` has not received, see [`ChangeFeed::next_line`].
    pub fn next_line(&self, position: &mut Position) -> Option<Bytes> {
        self.feed.borrow_mut().next_line(position)
    }

    /// A heartbeat for a watch: an empty line, or an empty delta that states how stale the list is.
    pub fn heartbeat(&self) -> Bytes {
        match self.stale_ms() {
            Some(ms) => self.feed.borrow().stale_heartbeat(ms),
            None => Bytes::from_static(b"\n"),
        }
    }

    /// Subscribes to changes of the newest version.
    pub fn changes(&self) -> watch::Receiver<Position> {
        self.published.subscribe()
    }

    /// The metrics of the service, one per line.
    pub fn figures(&self, connections: usize) -> String {
        let feed = self.feed.borrow();
        let (position, listed) = (feed.position(), feed.listed().count());
        let draining = feed.listed().filter(|target| !target.is_up()).count();
        let (leases, expired, is_guarded) = match self.registry() {
            Ok(registry) => {
                let registry = registry.borrow();
                (registry.leases(), registry.expired_count(), registry.is_guarded())
            }
            Err(_) => (0, 0, false),
        };
        let figures = [
            ("rev", position.rev),
            ("epoch", position.epoch),
            ("listed", listed as u64),
            ("draining", draining as u64),
            ("leases", leases as u64),
            ("lapses", expired),
            ("guarded", u64::from(is_guarded)),
            ("settling", u64::from(self.check_serving() == Err(ServiceError::Settling))),
            ("stale_ms", self.stale_ms().unwrap_or(0)),
            ("disk_fails", u64::from(self.is_disk_failing.get())),
            ("pending", self.pending.borrow().len() as u64),
            ("registrations", self.counts.registrations.get()),
            ("renewals", self.counts.renewals.get()),
            ("watches", self.counts.watches.get() as u64),
            ("list_calls", self.counts.list_calls.get()),
            ("lists_refused", self.counts.lists_refused.get()),
            ("connections", connections as u64),
        ];
        let mut text = String::new();
        for (name, value) in figures {
            // Writing to a string can't fail.
            let _ = writeln!(text, "discovery_{name} {value}");
        }
        text
    }
}

/// Wall-clock time, Unix time in ms.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
