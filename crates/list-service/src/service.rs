//! The service's heart: calls change the registry, changes go to the disk, and what is there goes to the
//! board.

use crate::board::{Board, Position, RING};
use crate::registry::{Noted, Record, Refusal, Registry};
use crate::store::Store;
use bytes::Bytes;
use granitelead_base::note;
use granitelead_decisions::ListScope;
use granitelead_list::follower::Listing;
use granitelead_list::forms::{HostList, Leased, OnLease, Register, Revision};
use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::{watch, Notify};
use tokio::task::JoinError;
use tokio::time::{timeout, Duration, Instant};

/// Changes that wait for the disk, at most.
const PENDING_MAX: usize = 1_024;
/// How long a caller waits for the disk.
const DISK_TIME: Duration = Duration::from_secs(5);
/// Pause after the disk has failed.
const DISK_PAUSE: Duration = Duration::from_secs(1);
/// How often leases are looked at.
const LOOK: Duration = Duration::from_millis(100);
/// A mirror that has heard nothing for so long says so.
const STALE: Duration = Duration::from_secs(5);

/// Why a call is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// By what the registry knows.
    By(Refusal),
    /// This process only mirrors another.
    ReadOnly,
    /// The disk takes nothing, or not in time.
    Disk,
    /// Servers are still registering anew.
    Settling,
    /// A mirror that has no list yet.
    NoList,
}

impl From<Refusal> for Denied {
    fn from(refusal: Refusal) -> Denied {
        Denied::By(refusal)
    }
}

/// What has been done since the start.
#[derive(Default)]
pub struct Counts {
    /// Calls that asked to be listed.
    pub registrations: Cell<u64>,
    /// Calls that renewed a lease.
    pub renewals: Cell<u64>,
    /// Calls for lists and watches.
    pub list_calls: Cell<u64>,
    /// Lists and watches that were refused for want of room.
    pub refused: Cell<u64>,
    /// Watches open now.
    pub watches: Rc<Cell<usize>>,
    /// Whole lists being written now.
    pub lists: Rc<Cell<usize>>,
}

/// Adds one to a count.
pub fn count(n: &Cell<u64>) {
    n.set(n.get() + 1);
}

/// Where the list comes from.
enum Source {
    /// The servers themselves.
    Leases(RefCell<Registry>),
    /// Another such service.
    Mirrored(Rc<Listing>),
}

/// Whether the folder has turned out to be an older copy.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Older {
    /// Nobody knows better.
    No,
    /// Somebody was told a later version, which was this one.
    Shown(u64),
    /// A new line of versions has begun because of that.
    Left,
}

/// All of it but the sockets.
pub struct Service {
    source: Source,
    board: RefCell<Board>,
    /// Changes that the disk does not have yet.
    pending: RefCell<Vec<Record>>,
    wakes: Notify,
    failing: Cell<bool>,
    told: watch::Sender<Position>,
    begun: Instant,
    /// Lists are told from so long after that on.
    settles: Cell<Duration>,
    /// How long servers get to register anew where the list was lost.
    settle: Duration,
    older: Cell<Older>,
    /// Versions between these were never told by this process: the one that it began with, and its first own one.
    unknown: (u64, u64),
    /// What has been done.
    pub counts: Counts,
    odd: Cell<u64>,
}

impl Service {
    /// The one that servers register in, which begins with a version and makes its own from `first` on. Lists are told
    /// once it has settled, at once where they were not `lost`.
    pub fn writer(
        registry: Registry,
        (at, first): (Position, u64),
        list: &[Record],
        settle: Duration,
        lost: bool,
    ) -> Rc<Service> {
        let board = Board::new(at, list.iter().map(|record| record.target.clone()), false, RING);
        let it = Service::new(Source::Leases(RefCell::new(registry)), board, settle, (at.rev, first));
        it.settles.set(if lost { settle } else { Duration::ZERO });
        it
    }

    /// One that tells what another tells.
    pub fn mirror(listing: Rc<Listing>) -> Rc<Service> {
        let board = Board::new(Position { epoch: 0, rev: 0 }, [], true, RING);
        Service::new(Source::Mirrored(listing), board, Duration::ZERO, (0, 0))
    }

    fn new(source: Source, board: Board, settle: Duration, unknown: (u64, u64)) -> Rc<Service> {
        let told = watch::Sender::new(board.at());
        Rc::new(Service {
            source,
            board: RefCell::new(board),
            pending: RefCell::default(),
            wakes: Notify::new(),
            failing: Cell::default(),
            told,
            begun: Instant::now(),
            settles: Cell::new(Duration::ZERO),
            settle,
            older: Cell::new(Older::No),
            unknown,
            counts: Counts::default(),
            odd: Cell::new(0),
        })
    }

    fn now(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    fn registry(&self) -> Result<&RefCell<Registry>, Denied> {
        match &self.source {
            Source::Leases(registry) => Ok(registry),
            Source::Mirrored(_) => Err(Denied::ReadOnly),
        }
    }

    /// A server asks to be listed.
    pub async fn register(&self, call: Register) -> Result<Leased, Denied> {
        let registry = self.open_registry()?;
        count(&self.counts.registrations);
        let done = registry.borrow_mut().register(self.now(), unix_ms(), call)?;
        self.keep(done).await
    }

    /// A server lives.
    pub fn renew(&self, call: &OnLease) -> Result<Leased, Denied> {
        count(&self.counts.renewals);
        Ok(self.registry()?.borrow_mut().renew(self.now(), call)?)
    }

    /// A server wants nothing new.
    pub async fn drain(&self, call: &OnLease) -> Result<Leased, Denied> {
        let done = self.open_registry()?.borrow_mut().drain(self.now(), call)?;
        self.keep(done).await
    }

    /// A server leaves.
    pub async fn deregister(&self, call: &OnLease) -> Result<Leased, Denied> {
        let done = self.open_registry()?.borrow_mut().deregister(call)?;
        self.keep(done).await
    }

    /// The registry, for a change that the disk can take.
    fn open_registry(&self) -> Result<&RefCell<Registry>, Denied> {
        let registry = self.registry()?;
        match self.failing.get() || self.pending.borrow().len() >= PENDING_MAX {
            true => Err(Denied::Disk),
            false => Ok(registry),
        }
    }

    /// Waits until what a caller is told is on the disk.
    async fn keep(&self, (told, record): (Leased, Option<Record>)) -> Result<Leased, Denied> {
        self.pend(record);
        let mut at = self.told.subscribe();
        let kept = matches!(timeout(DISK_TIME, at.wait_for(|at| at.rev >= told.rev)).await, Ok(Ok(_)));
        kept.then_some(told).ok_or(Denied::Disk)
    }

    fn pend(&self, records: impl IntoIterator<Item = Record>) {
        self.pending.borrow_mut().extend(records);
        self.wakes.notify_one();
    }

    /// Whether a version that somebody was told can be gone on from.
    pub fn knows(&self, it: Position) -> bool {
        let at = self.at();
        // Another epoch gets the whole list.
        let never_told = it.rev > self.unknown.0 && it.rev < self.unknown.1;
        it.epoch != at.epoch || it.rev <= at.rev && !never_told
    }

    /// Somebody was told a version of this line that this process doesn't know: the folder was an older copy, and what
    /// came after it is lost. Servers get the time to register anew, and then another line of versions begins, once in a
    /// life of the process, so that whoever makes such a version up gains nothing by doing it again.
    pub fn was_told(&self, it: Position) {
        let at = self.at();
        if self.older.get() == Older::No && self.registry().is_ok() {
            let ms = self.settle.as_millis();
            eprintln!(
                "granitelead-discovery: an older copy: version {} was told, this list is at {}; a new one begins, \
                 told in {ms} ms",
                it.rev, at.rev
            );
            self.settles.set(self.begun.elapsed() + self.settle);
            self.older.set(Older::Shown(it.rev));
            self.wakes.notify_one();
        }
    }

    /// Writes to the disk, again and again until it takes it; `what` is said of each failure.
    async fn writes(
        &self,
        mut store: Store,
        what: &str,
        write: impl Fn(&mut Store) -> std::io::Result<()> + Clone + Send + 'static,
    ) -> Result<Store, JoinError> {
        loop {
            let write = write.clone();
            let wrote = tokio::task::spawn_blocking(move || {
                let wrote = write(&mut store);
                (store, wrote)
            });
            let (back, wrote) = wrote.await?;
            store = back;
            self.failing.set(wrote.is_err());
            let Err(e) = wrote else { return Ok(store) };
            note(&self.odd, format_args!("{what}: {e}"));
            tokio::time::sleep(DISK_PAUSE).await;
        }
    }

    /// Another line of versions begins, with the servers that are listed.
    async fn begin_anew(&self, mut store: Store, told: u64) -> Result<Store, JoinError> {
        self.older.set(Older::Left);
        let Ok(registry) = self.registry() else { return Ok(store) };
        let (now, before) = (unix_ms(), self.at().epoch);
        let at = Position { epoch: now.max(before + 1), rev: now.max(told + 1) };
        // What changes from here on is of the new line, and waits until it has begun.
        let lease = registry.borrow_mut().go_on_from(at.rev, now);
        let write = move |store: &mut Store| store.begin_anew(at.epoch, at.rev, lease);
        store = self.writes(store, "no new list begins", write).await?;
        let mut board = self.board.borrow_mut();
        let listed: Vec<_> = board.listed().cloned().collect();
        *board = Board::new(at, listed, false, RING);
        self.told.send_replace(at);
        Ok(store)
    }

    /// Brings changes to the disk and then to the board, for ever: all that wait at once.
    pub async fn keep_changes(self: Rc<Self>, mut store: Store) -> Result<(), JoinError> {
        loop {
            let batch = Arc::new(self.pending.take());
            if batch.is_empty() {
                match self.older.get() {
                    Older::Shown(told) => store = self.begin_anew(store, told).await?,
                    _ => self.wakes.notified().await,
                }
                continue;
            }
            let records = batch.clone();
            let write = move |store: &mut Store| store.append(&records);
            store = self.writes(store, "not kept, and not told", write).await?;
            let mut board = self.board.borrow_mut();
            for record in batch.iter() {
                board.publish(record.rev, record.target.clone());
            }
            self.told.send_replace(board.at());
        }
    }

    /// Looks after the leases, for ever.
    pub async fn look_after_leases(self: Rc<Self>) {
        let Ok(registry) = self.registry() else { return };
        loop {
            tokio::time::sleep(LOOK).await;
            let (records, noted) = registry.borrow_mut().look(self.now());
            for record in &records {
                eprintln!("granitelead-discovery: {} has lapsed", record.target.uid);
            }
            if !records.is_empty() {
                self.pend(records);
            }
            match noted {
                None => {}
                Some(Noted::Paused(ms)) => {
                    eprintln!(
                        "granitelead-discovery: stood still for {ms} ms; all leases have their time again"
                    );
                }
                Some(Noted::Guarded(n, all)) => {
                    eprintln!(
                        "granitelead-discovery: guarded: {n} of {all} leases overdue; the servers stay listed"
                    );
                }
                Some(Noted::SeesAgain) => {
                    eprintln!("granitelead-discovery: no more guarded: renewals come again")
                }
                Some(Noted::GaveUp(n)) => {
                    eprintln!(
                        "granitelead-discovery: no more guarded: {n} servers silent for too long are gone"
                    );
                }
            }
        }
    }

    /// A mirror hears of the list it mirrors.
    pub fn hear(&self, list: &HostList, _: ListScope) {
        if list.epoch.is_none() {
            return note(&self.odd, "what is mirrored has no epoch; it is no such service");
        }
        let mut board = self.board.borrow_mut();
        board.follow(list.clone());
        self.told.send_replace(board.at());
    }

    /// Whether lists are told: not before servers have had the time to register anew.
    pub fn tells(&self) -> Result<(), Denied> {
        let epoch = self.board.borrow().at().epoch;
        match &self.source {
            Source::Leases(_) if self.begun.elapsed() < self.settles.get() => Err(Denied::Settling),
            Source::Mirrored(_) if epoch == 0 => Err(Denied::NoList),
            _ => Ok(()),
        }
    }

    /// For how long a mirror has heard nothing, if for long.
    fn stale_ms(&self) -> Option<u64> {
        match &self.source {
            Source::Leases(_) => None,
            Source::Mirrored(listing) => Some(listing.age()).filter(|age| *age >= STALE),
        }
        .map(|age| age.as_millis() as u64)
    }

    /// The newest version.
    pub fn at(&self) -> Position {
        self.board.borrow().at()
    }

    /// The version, for those that compare.
    pub fn revision(&self) -> Revision {
        self.board.borrow().revision(self.stale_ms().unwrap_or(0))
    }

    /// The whole list.
    pub fn whole(&self) -> Bytes {
        match self.stale_ms() {
            Some(ms) => self.board.borrow().stale_whole(ms),
            None => self.board.borrow_mut().whole(),
        }
    }

    /// What a watcher has yet to be told.
    pub fn next(&self, told: &mut Position) -> Option<Bytes> {
        self.board.borrow_mut().next(told)
    }

    /// A sign of life: an empty line, or how stale the list is.
    pub fn beat(&self) -> Bytes {
        match self.stale_ms() {
            Some(ms) => self.board.borrow().stale(ms),
            None => Bytes::from_static(b"\n"),
        }
    }

    /// Tells when the list changes.
    pub fn changes(&self) -> watch::Receiver<Position> {
        self.told.subscribe()
    }

    /// The figures, a line each.
    pub fn figures(&self, connections: usize) -> String {
        let board = self.board.borrow();
        let (at, listed) = (board.at(), board.listed().count());
        let draining = board.listed().filter(|target| !target.is_up()).count();
        let (leases, lapses, guarded) = match self.registry() {
            Ok(registry) => {
                let registry = registry.borrow();
                (registry.leases(), registry.lapsed_in_all(), registry.is_guarded())
            }
            Err(_) => (0, 0, false),
        };
        let figures = [
            ("rev", at.rev),
            ("epoch", at.epoch),
            ("listed", listed as u64),
            ("draining", draining as u64),
            ("leases", leases as u64),
            ("lapses", lapses),
            ("guarded", u64::from(guarded)),
            ("settling", u64::from(self.tells() == Err(Denied::Settling))),
            ("stale_ms", self.stale_ms().unwrap_or(0)),
            ("disk_fails", u64::from(self.failing.get())),
            ("pending", self.pending.borrow().len() as u64),
            ("registrations", self.counts.registrations.get()),
            ("renewals", self.counts.renewals.get()),
            ("watches", self.counts.watches.get() as u64),
            ("list_calls", self.counts.list_calls.get()),
            ("lists_refused", self.counts.refused.get()),
            ("connections", connections as u64),
        ];
        let mut text = String::new();
        for (name, value) in figures {
            // Writing to a text cannot fail.
            let _ = writeln!(text, "discovery_{name} {value}");
        }
        text
    }
}

/// The time of day.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
