//! Admission, eviction and time limits of client connections: capacity is shared fairly among the networks
//! and addresses that clients connect from. No I/O; the time is passed in.

use crate::timeouts;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};
use std::time::{Duration, Instant};

/// A source dominates another if it has at least this many times the connections that the other would have
/// with one more.
const DOMINANCE_FACTOR: usize = 2;

/// The network of an address (IPv4: /24, IPv6: /64). A client with one address of a network is assumed to be
/// able to use all of them.
pub fn network_of(address: IpAddr) -> IpAddr {
    match address.to_canonical() {
        IpAddr::V4(at) => IpAddr::V4(Ipv4Addr::from_bits(at.to_bits() & !0xff)),
        IpAddr::V6(at) => IpAddr::V6(Ipv6Addr::from_bits(at.to_bits() >> 64 << 64)),
    }
}

/// Limits on client connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Active connections in all, without those that wait for capacity.
    pub all: usize,
    /// New connections that wait for capacity.
    pub waiting: usize,
    /// Active connections of one source address.
    pub per_source: usize,
    /// Request heads being read at the same time.
    pub heads: usize,
    /// The maximum age of a connection, if there is any.
    pub max_age: Option<Duration>,
}

/// Why the gatekeeper closes a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// Evicted in favour of another connection.
    Evicted,
    /// The first request did not arrive in time.
    FirstRequestTimeout,
    /// The head of a later request did not arrive in time.
    HeadTimeout,
    /// Too many request heads were being read.
    TooManyHeads,
    /// Idle for too long.
    IdleTimeout,
    /// The client did not read its response.
    ResponseStalled,
    /// Reached the maximum age.
    MaxAge,
    /// No capacity, and the queue of waiting connections is full.
    QueueFull,
}

impl CloseReason {
    /// All reasons, with their names in the metrics.
    const ALL: [(CloseReason, &'static str); 8] = [
        (CloseReason::Evicted, "room"),
        (CloseReason::FirstRequestTimeout, "first"),
        (CloseReason::HeadTimeout, "head"),
        (CloseReason::TooManyHeads, "heads"),
        (CloseReason::IdleTimeout, "idle"),
        (CloseReason::ResponseStalled, "answer"),
        (CloseReason::MaxAge, "age"),
        (CloseReason::QueueFull, "crowd"),
    ];

    /// Whether a request or response in progress may finish first.
    pub fn is_gentle(self) -> bool {
        matches!(self, CloseReason::Evicted | CloseReason::IdleTimeout | CloseReason::MaxAge)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Waiting for capacity.
    Waiting,
    /// Active, but no byte has been received yet.
    New,
    /// Sending a request head that began at this time.
    Head(Instant),
    /// Between two requests since this time.
    Idle(Instant),
    /// Sending a body, waiting for a response or receiving one.
    Busy,
}

struct Connection {
    source: IpAddr,
    connected_at: Instant,
    state: State,
    /// Sequence number of when the connection was opened or last became idle.
    sequence: u64,
    /// Whether a valid request has been received, and whether one was answered.
    request_received: bool,
    answered: bool,
    /// When the client last read some of the response, while there is one.
    response_progress: Option<Instant>,
    /// When the connection reaches its maximum age.
    expires: Option<Instant>,
    /// Whether the gatekeeper is closing the connection.
    closing: bool,
}

impl Connection {
    /// The eviction priority, lowest first; `None` if the connection can't be evicted. New connections
    /// without a byte come first, then idle connections, then heads past [`timeouts::HEAD_EVICTION_AGE`].
    /// `below_share` says that the waiting source has less than its fair share; then any stalled head can be
    /// evicted too.
    fn eviction_priority(&self, now: Instant, below_share: bool) -> Option<u8> {
        match self.state {
            _ if self.closing => None,
            State::Waiting | State::Busy => None,
            State::New => self.is_stalled(now).then_some(0),
            State::Idle(_) => Some(1),
            State::Head(since) if now - since >= timeouts::HEAD_EVICTION_AGE => Some(2),
            State::Head(_) => {
                (below_share && self.is_stalled(now)).then_some(if self.request_received { 4 } else { 3 })
            }
        }
    }

    /// Whether the connection is active and its head is incomplete for longer than a head takes that is sent
    /// at once.
    fn is_stalled(&self, now: Instant) -> bool {
        match self.state {
            State::New => now - self.connected_at >= timeouts::STALL_GRACE,
            State::Head(since) => now - since >= timeouts::STALL_GRACE,
            State::Waiting | State::Idle(_) | State::Busy => false,
        }
    }

    /// Whether the connection can be evicted now or later, unless it completes a request head.
    fn may_become_evictable(&self) -> bool {
        !self.closing && matches!(self.state, State::New | State::Head(_) | State::Idle(_))
    }

    fn exceeded_limit(&self, now: Instant) -> Option<CloseReason> {
        let expired = |since: Instant, time| now.saturating_duration_since(since) >= time;
        match self.state {
            _ if !self.request_received && expired(self.connected_at, timeouts::FIRST_REQUEST_TIMEOUT) => {
                Some(CloseReason::FirstRequestTimeout)
            }
            State::Head(since) if expired(since, timeouts::FIRST_REQUEST_TIMEOUT) => {
                Some(CloseReason::HeadTimeout)
            }
            State::Idle(since) if expired(since, timeouts::CLIENT_IDLE_TIMEOUT) => {
                Some(CloseReason::IdleTimeout)
            }
            State::Idle(_) if self.expires.is_some_and(|at| now >= at) => Some(CloseReason::MaxAge),
            State::Busy
                if self
                    .response_progress
                    .is_some_and(|last_progress| expired(last_progress, timeouts::STREAM_STALL_TIMEOUT)) =>
            {
                Some(CloseReason::ResponseStalled)
            }
            _ => None,
        }
    }
}

/// Connection counts of an address or a network.
#[derive(Clone, Copy, Default)]
struct Source {
    /// Connections that have been admitted.
    active: usize,
    waiting: usize,
    heads: usize,
    /// Active connections that are being closed.
    closing: usize,
    /// Waiting connections in whose favour another connection is being closed.
    reserved: usize,
}

impl Source {
    fn remaining(&self) -> usize {
        self.active - self.closing
    }

    /// The active connections once the closings and admissions in progress are complete.
    fn share(&self) -> usize {
        self.remaining() + self.reserved.min(self.waiting)
    }
}

/// The result of admission control for a new connection.
#[derive(Debug, PartialEq, Eq)]
pub enum Admission {
    /// The connection is active.
    Admitted,
    /// The connection waits; [`ConnectionManager::on_closed`] returns it once it is admitted.
    Waiting,
    /// The queue is full, and the connection with this number is closed instead. It belongs to the source
    /// with most connections among those that wait: the oldest that has sent nothing, else the newest.
    Rejected(u64),
}

/// All client connections, by number.
pub struct ConnectionManager {
    limits: Limits,
    connections: BTreeMap<u64, Connection>,
    sources: BTreeMap<IpAddr, Source>,
    /// The same counts by [`network_of`].
    networks: BTreeMap<IpAddr, Source>,
    /// Until when new connections are accepted although the queue of waiting connections is full.
    accepts_until: Option<Instant>,
    sequence: u64,
    closed: BTreeMap<CloseReason, u64>,
    rng: fastrand::Rng,
}

impl ConnectionManager {
    /// A manager without connections; `seed` seeds the jitter of the maximum age.
    pub fn new(limits: Limits, seed: u64) -> ConnectionManager {
        ConnectionManager {
            limits,
            connections: BTreeMap::new(),
            sources: BTreeMap::new(),
            networks: BTreeMap::new(),
            accepts_until: None,
            sequence: 0,
            closed: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// The number of active connections.
    pub fn active(&self) -> usize {
        self.sources.values().map(|source| source.active).sum()
    }

    /// The number of connections, active or waiting.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    fn waiting(&self) -> usize {
        self.sources.values().map(|source| source.waiting).sum()
    }

    fn closing(&self) -> usize {
        self.sources.values().map(|source| source.closing).sum()
    }

    fn source(&self, of: IpAddr) -> Source {
        self.sources.get(&of).copied().unwrap_or_default()
    }

    fn network(&self, of: IpAddr) -> Source {
        self.networks.get(&network_of(of)).copied().unwrap_or_default()
    }

    /// Changes the counts of an address and of its network.
    fn count(&mut self, of: IpAddr, change: impl Fn(&mut Source)) {
        change(self.sources.entry(of).or_default());
        change(self.networks.entry(network_of(of)).or_default());
    }

    /// The counts of `source` for a comparison with `other`: those of its address if both are of one network,
    /// else those of its whole network.
    fn seen_from(&self, other: IpAddr, source: IpAddr) -> Source {
        match network_of(other) == network_of(source) {
            true => self.source(source),
            false => self.network(source),
        }
    }

    /// Whether a source has so many more connections than another that the other is below its fair share.
    fn dominates(&self, source: IpAddr, than: IpAddr) -> bool {
        self.seen_from(than, source).share() >= DOMINANCE_FACTOR * (self.seen_from(source, than).share() + 1)
    }

    /// Whether to accept another connection. With a full queue, only if one source has by far the most
    /// connections, so that others must get past it, or if most active connections are stalled. Otherwise new
    /// connections stay in the listen backlog, as those of a source whose requests are being served should.
    pub fn should_accept(&self, now: Instant) -> bool {
        let waiting = self.waiting();
        if waiting < self.limits.waiting {
            return true;
        }
        let sources = if self.networks.len() > 1 { &self.networks } else { &self.sources };
        let mut totals: Vec<_> = sources.values().map(|source| source.active + source.waiting).collect();
        totals.sort_unstable_by(|a, b| b.cmp(a));
        let one_dominates = matches!(totals[..], [most, next, ..] if most >= DOMINANCE_FACTOR * next);
        let may_accept = one_dominates || self.accepts_until.is_some_and(|until| now < until);
        // Waiting connections for which another one is being closed leave the queue shortly.
        may_accept && waiting == self.limits.waiting && self.closing() < waiting
    }

    /// Registers a new connection; returns its number and what becomes of it. `silent` says of a waiting
    /// connection, and of this one, whether it has sent nothing.
    pub fn on_connect(
        &mut self,
        now: Instant,
        from: IpAddr,
        silent: impl Fn(u64) -> bool,
    ) -> (u64, Admission) {
        self.sequence += 1;
        let number = self.sequence;
        let expires = self.limits.max_age.map(|age| now + age.mul_f64(0.8 + 0.4 * self.rng.f64()));
        let has_capacity =
            self.active() < self.limits.all && self.source(from).active < self.limits.per_source;
        let state = if has_capacity { State::New } else { State::Waiting };
        let conn = Connection {
            source: from,
            connected_at: now,
            state,
            sequence: number,
            request_received: false,
            answered: false,
            response_progress: None,
            expires,
            closing: false,
        };
        self.connections.insert(number, conn);
        if has_capacity {
            self.count(from, |source| source.active += 1);
            return (number, Admission::Admitted);
        }
        self.count(from, |source| source.waiting += 1);
        if self.waiting() <= self.limits.waiting {
            return (number, Admission::Waiting);
        }
        let total = |source: Source| source.active + source.waiting;
        let largest = self.sources.iter().filter(|(_, source)| source.waiting > 0);
        let largest = largest.max_by_key(|(at, source)| (total(self.network(**at)), total(**source)));
        let largest = largest.map(|(at, _)| *at);
        let of_largest = |conn: &Connection| conn.state == State::Waiting && Some(conn.source) == largest;
        let all: Vec<u64> =
            self.connections.iter().filter(|(_, c)| of_largest(c)).map(|(number, _)| *number).collect();
        let rejected = all.iter().find(|number| silent(**number)).or(all.last()).copied().unwrap_or(number);
        self.mark_closing(rejected, CloseReason::QueueFull);
        (number, Admission::Rejected(rejected))
    }

    /// Returns the connections to close in favour of waiting ones: for each of these the cheapest to lose, of
    /// the source with most connections that has an evictable one and no fewer connections than the waiting
    /// one's. To be called for each new connection, and every [`timeouts::EVICTION_INTERVAL`] while any
    /// waits.
    pub fn evict_for_waiting(&mut self, now: Instant) -> Vec<u64> {
        let stalled = self.connections.values().filter(|conn| conn.is_stalled(now)).count();
        if 2 * stalled >= self.limits.all {
            // In a flood the connections that replace the evicted ones stall too, which takes a while to
            // show.
            self.accepts_until = Some(now + timeouts::FIRST_REQUEST_TIMEOUT);
        }
        std::iter::from_fn(|| self.evict_one(now)).map(|(_, victim)| victim).collect()
    }

    /// Evicts one connection; returns the source in whose favour, and the connection's number.
    fn evict_one(&mut self, now: Instant) -> Option<(IpAddr, u64)> {
        let (wanting, victim) = self.victim(now).filter(|_| self.closing() < self.waiting())?;
        self.mark_closing(victim, CloseReason::Evicted);
        self.count(wanting, |source| source.reserved += 1);
        Some((wanting, victim))
    }

    /// A source with a waiting connection for which one can be evicted, and that one's number.
    fn victim(&self, now: Instant) -> Option<(IpAddr, u64)> {
        let mut wanting: Vec<_> =
            self.sources.iter().filter(|(_, source)| source.waiting > source.reserved).collect();
        wanting.sort_by_key(|(at, source)| (self.network(**at).share(), source.share()));
        wanting.into_iter().find_map(|(from, _)| Some((*from, self.victim_for(now, *from)?)))
    }

    fn victim_for(&self, now: Instant, from: IpAddr) -> Option<u64> {
        let full = self.source(from).share() >= self.limits.per_source;
        // While a dominating source has evictable connections, now or shortly, other sources lose none.
        let dominating = |conn: &Connection| conn.may_become_evictable() && self.dominates(conn.source, from);
        if !full && self.connections.values().any(dominating) {
            return self.cheapest_victim(now, |conn| dominating(conn).then_some(true));
        }
        let candidate = |at| self.seen_from(from, at).share() >= self.seen_from(at, from).share().max(1);
        self.cheapest_victim(now, |conn| {
            (conn.source == from || (!full && candidate(conn.source))).then_some(false)
        })
    }

    /// The cheapest connection to evict, of the source with most connections. `candidate` returns `None` for
    /// connections that are no candidates, else whether the waiting source is below its fair share.
    fn cheapest_victim(&self, now: Instant, candidate: impl Fn(&Connection) -> Option<bool>) -> Option<u64> {
        let all = self.connections.iter();
        let candidates = all.filter_map(|(number, conn)| {
            Some((conn.eviction_priority(now, candidate(conn)?)?, number, conn))
        });
        let first = candidates.min_by_key(|(order, _, conn)| {
            let shares = (self.network(conn.source).share(), self.source(conn.source).share());
            (std::cmp::Reverse(shares), *order, conn.sequence)
        });
        first.map(|(_, number, _)| *number)
    }

    /// Evicts a connection when the process is out of file descriptors; returns its number, if there is an
    /// evictable one.
    pub fn evict_for_descriptors(&mut self, now: Instant) -> Option<u64> {
        let victim = self.cheapest_victim(now, |_| Some(false))?;
        self.mark_closing(victim, CloseReason::Evicted);
        Some(victim)
    }

    /// Changes the limit of active connections; returns those to close, the longest idle first.
    pub fn set_capacity(&mut self, all: usize) -> Vec<u64> {
        self.limits.all = all;
        let remaining: usize = self.sources.values().map(Source::remaining).sum();
        let mut idle = self.idle(false);
        idle.retain(|number| self.connections.get(number).is_some_and(|conn| !conn.closing));
        idle.sort_by_key(|number| self.connections.get(number).map(|conn| conn.sequence));
        idle.truncate(remaining.saturating_sub(all));
        idle.iter().for_each(|number| self.mark_closing(*number, CloseReason::Evicted));
        idle
    }

    fn mark_closing(&mut self, number: u64, reason: CloseReason) {
        let Some(conn) = self.connections.get_mut(&number).filter(|conn| !conn.closing) else { return };
        conn.closing = true;
        *self.closed.entry(reason).or_default() += 1;
        let (source, active) = (conn.source, conn.state != State::Waiting);
        self.count(source, |source| source.closing += usize::from(active));
    }

    /// Removes a connection that either side closed; returns the waiting connections that are admitted now.
    pub fn on_closed(&mut self, number: u64) -> Vec<u64> {
        if let Some(conn) = self.connections.remove(&number) {
            self.count(conn.source, |source| {
                match conn.state {
                    State::Waiting => {
                        source.waiting -= 1;
                        source.reserved = source.reserved.min(source.waiting);
                    }
                    State::Head(_) => {
                        source.active -= 1;
                        source.heads -= 1;
                    }
                    _ => source.active -= 1,
                }
                source.closing -= usize::from(conn.closing && conn.state != State::Waiting);
            });
            for (all, at) in [(&mut self.sources, conn.source), (&mut self.networks, network_of(conn.source))]
            {
                if all.get(&at).is_some_and(|source| source.active + source.waiting == 0) {
                    all.remove(&at);
                }
            }
        }
        std::iter::from_fn(|| self.admit_next()).collect()
    }

    /// Admits the oldest waiting connection of the source with fewest active ones.
    fn admit_next(&mut self) -> Option<u64> {
        if self.active() >= self.limits.all {
            return None;
        }
        let admissible = |conn: &Connection| {
            conn.state == State::Waiting
                && !conn.closing
                && self.source(conn.source).active < self.limits.per_source
        };
        let waiting = self.connections.iter().filter(|(_, conn)| admissible(conn));
        let (number, _) = waiting.min_by_key(|(number, conn)| {
            (self.network(conn.source).active, self.source(conn.source).active, **number)
        })?;
        let number = *number;
        let conn = self.connections.get_mut(&number)?;
        conn.state = State::New;
        let source = conn.source;
        self.count(source, |source| {
            (source.waiting, source.active) = (source.waiting - 1, source.active + 1);
            source.reserved = source.reserved.saturating_sub(1);
        });
        Some(number)
    }

    fn set_state(&mut self, number: u64, state: State) {
        let Some(conn) = self.connections.get_mut(&number) else { return };
        let (source, before) = (conn.source, std::mem::replace(&mut conn.state, state));
        self.count(source, |source| {
            source.heads += usize::from(matches!(state, State::Head(_)));
            source.heads -= usize::from(matches!(before, State::Head(_)));
        });
    }

    /// Part of a request head was received; returns the connection to close if too many heads are being read.
    pub fn on_head_bytes(&mut self, number: u64, now: Instant) -> Option<u64> {
        let is_first =
            self.connections.get(&number).is_some_and(|c| matches!(c.state, State::New | State::Idle(_)));
        if !is_first {
            return None;
        }
        self.set_state(number, State::Head(now));
        let heads: usize = self.sources.values().map(|source| source.heads).sum();
        if heads <= self.limits.heads {
            return None;
        }
        let head_start = |conn: &Connection| match conn.state {
            State::Head(since) if !conn.closing => Some(since),
            _ => None,
        };
        let all =
            self.connections.iter().filter_map(|(number, conn)| Some((head_start(conn)?, number, conn)));
        let oldest = all.min_by_key(|(since, _, conn)| {
            let heads = (self.network(conn.source).heads, self.source(conn.source).heads);
            (std::cmp::Reverse(heads), *since, conn.sequence)
        });
        let oldest = oldest.map(|(_, number, _)| *number)?;
        self.mark_closing(oldest, CloseReason::TooManyHeads);
        Some(oldest)
    }

    /// The request head is complete.
    pub fn on_head_complete(&mut self, number: u64) {
        self.set_state(number, State::Busy);
    }

    /// A valid request was received, or its body has begun; returns whether it is the connection's first.
    pub fn on_request(&mut self, number: u64) -> bool {
        let conn = self.connections.get_mut(&number);
        conn.is_some_and(|conn| !std::mem::replace(&mut conn.request_received, true))
    }

    /// The response can be sent from now on.
    pub fn on_response_start(&mut self, number: u64, now: Instant) {
        if let Some(conn) = self.connections.get_mut(&number) {
            conn.response_progress = Some(now);
        }
    }

    /// The client has read some data; has an effect only while there is a response.
    pub fn on_response_progress(&mut self, number: u64, now: Instant) {
        if let Some(last_progress) =
            self.connections.get_mut(&number).and_then(|conn| conn.response_progress.as_mut())
        {
            *last_progress = now;
        }
    }

    /// The response has been written.
    pub fn on_response_complete(&mut self, number: u64, now: Instant) {
        self.sequence += 1;
        self.set_state(number, State::Idle(now));
        if let Some(conn) = self.connections.get_mut(&number) {
            (conn.response_progress, conn.answered, conn.sequence) = (None, true, self.sequence);
        }
    }

    /// Whether the connection has reached its maximum age, so that it ends with its next response.
    pub fn is_past_max_age(&self, number: u64, now: Instant) -> bool {
        self.connections.get(&number).and_then(|conn| conn.expires).is_some_and(|at| now >= at)
    }

    /// Whether a request was received on the connection and no later head is being read.
    pub fn is_between_requests(&self, number: u64) -> bool {
        self.connections
            .get(&number)
            .is_some_and(|conn| conn.request_received && !matches!(conn.state, State::Head(_)))
    }

    /// The connections without a request in progress; `answered_only` leaves out those that never got a
    /// response.
    pub fn idle(&self, answered_only: bool) -> Vec<u64> {
        let inactive = |conn: &Connection| !matches!(conn.state, State::Waiting | State::Busy);
        let idle =
            self.connections.iter().filter(|(_, conn)| inactive(conn) && (conn.answered || !answered_only));
        idle.map(|(number, _)| *number).collect()
    }

    /// The connections that have exceeded a time limit, with the reason. To be called every
    /// [`timeouts::CHECK_INTERVAL`].
    pub fn close_expired(&mut self, now: Instant) -> Vec<(u64, CloseReason)> {
        let expired = self.connections.iter().filter(|(_, conn)| !conn.closing);
        let expired: Vec<_> =
            expired.filter_map(|(number, conn)| Some((*number, conn.exceeded_limit(now)?))).collect();
        expired.iter().for_each(|(number, reason)| self.mark_closing(*number, *reason));
        expired
    }

    /// The metrics: connections by state, closed connections by reason, the number of source addresses and
    /// the most active connections of one.
    pub fn metrics(&self) -> Vec<(String, u64)> {
        let mut states = BTreeMap::from([("busy", 0), ("head", 0), ("idle", 0), ("new", 0), ("waiting", 0)]);
        for conn in self.connections.values() {
            let name = match conn.state {
                State::Waiting => "waiting",
                State::New => "new",
                State::Head(_) => "head",
                State::Idle(_) => "idle",
                State::Busy => "busy",
            };
            *states.entry(name).or_default() += 1;
        }
        let states = states.into_iter().map(|(name, n)| (format!("clients{{state=\"{name}\"}}"), n));
        let closed = CloseReason::ALL.iter().map(|(reason, name)| {
            let n = self.closed.get(reason).copied().unwrap_or(0);
            (format!("clients_closed{{reason=\"{name}\"}}"), n)
        });
        let most = self.sources.values().map(|source| source.active).max().unwrap_or(0);
        let sources = [
            ("client_sources".to_owned(), self.sources.len() as u64),
            ("client_source_most".to_owned(), most as u64),
        ];
        states.chain(closed).chain(sources).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const WAITING: usize = 16;

    fn limits(all: usize) -> Limits {
        Limits { all, waiting: WAITING, per_source: all, heads: all, max_age: None }
    }

    fn at(n: u8) -> IpAddr {
        IpAddr::from([127, 0, 0, n])
    }

    const NONE: [u64; 0] = [];

    /// Opens a connection.
    fn connect(manager: &mut ConnectionManager, now: Instant, from: u8) -> u64 {
        manager.on_connect(now, at(from), |_| false).0
    }

    /// Opens a connection whose first request was answered and that is idle.
    fn idle(manager: &mut ConnectionManager, now: Instant, from: u8) -> u64 {
        let number = connect(manager, now, from);
        manager.on_head_bytes(number, now);
        manager.on_head_complete(number);
        manager.on_request(number);
        manager.on_response_complete(number, now);
        number
    }

    #[test]
    fn one_source_may_use_all_capacity_and_loses_its_cheapest_connections_first() {
        let start = Instant::now();
        let mut manager = ConnectionManager::new(limits(4), 7);
        let (first, second) = (idle(&mut manager, start, 1), idle(&mut manager, start, 1));
        let (head, new) = (connect(&mut manager, start, 1), connect(&mut manager, start, 1));
        manager.on_head_bytes(head, start);
        let now = start + timeouts::HEAD_EVICTION_AGE;
        for victim in [new, first, second, head] {
            let (number, admission) = manager.on_connect(now, at(1), |_| false);
            assert_eq!(admission, Admission::Waiting);
            assert_eq!(manager.evict_for_waiting(now), [victim]);
            assert_eq!(manager.evict_for_waiting(now), NONE, "one for each waiting connection");
            assert_eq!(manager.on_closed(victim), [number]);
            manager.on_head_complete(number);
        }
        assert_eq!(manager.on_connect(now, at(1), |_| false).1, Admission::Waiting);
        assert_eq!(manager.evict_for_waiting(now + timeouts::CLIENT_IDLE_TIMEOUT), NONE, "all are busy");
    }

    #[test]
    fn a_small_source_evicts_from_the_largest_and_not_the_reverse() {
        let now = Instant::now();
        let mut manager = ConnectionManager::new(limits(10), 7);
        let quiet = [idle(&mut manager, now, 2), idle(&mut manager, now, 2)];
        let many: Vec<u64> = (0..8).map(|_| idle(&mut manager, now, 1)).collect();
        let (number, _) = manager.on_connect(now, at(2), |_| false);
        assert_eq!(manager.evict_for_waiting(now), [many[0]]);
        assert_eq!(manager.on_closed(many[0]), [number]);
        let (number, _) = manager.on_connect(now, at(1), |_| false);
        assert_eq!(manager.evict_for_waiting(now), [many[1]], "one of its own source, not one of {quiet:?}");
        assert_eq!(manager.on_closed(many[1]), [number]);
    }

    #[test]
    fn the_waiting_queue_is_bounded_and_the_largest_source_is_rejected() {
        let now = Instant::now();
        let mut manager = ConnectionManager::new(limits(4), 7);
        for _ in 0..4 {
            let number = connect(&mut manager, now, 1);
            manager.on_head_complete(number);
        }
        let quiet = connect(&mut manager, now, 2);
        let large: Vec<u64> = (1..WAITING).map(|_| connect(&mut manager, now, 1)).collect();
        assert!(manager.should_accept(now), "a connection of a small source may follow");
        let (number, admission) = manager.on_connect(now, at(1), |_| false);
        assert_eq!(admission, Admission::Rejected(number));
        assert_eq!(manager.on_closed(number), NONE);
        let (other, admission) = manager.on_connect(now, at(3), |_| false);
        assert_eq!(admission, Admission::Rejected(large[WAITING - 2]));
        assert_eq!(manager.on_closed(large[WAITING - 2]), NONE);
        // The connections of small sources are admitted first.
        assert_eq!(manager.on_closed(1), [quiet]);
        assert_eq!(manager.on_closed(2), [other]);
        assert_eq!(manager.on_closed(3), [large[0]]);
    }

    #[test]
    fn in_a_full_queue_of_one_source_connections_that_sent_data_are_spared() {
        let start = Instant::now();
        let mut manager = ConnectionManager::new(Limits { waiting: 2, ..limits(4) }, 7);
        let stalled: Vec<u64> = (0..4).map(|_| connect(&mut manager, start, 1)).collect();
        stalled.iter().for_each(|number| assert_eq!(manager.on_head_bytes(*number, start), None));
        let now = start + timeouts::STALL_GRACE;
        let (sending, silent) = (connect(&mut manager, now, 1), connect(&mut manager, now, 1));
        assert!(
            !manager.should_accept(now),
            "until the stall is detected, new connections stay in the backlog"
        );
        assert_eq!(manager.evict_for_waiting(now), NONE, "a head of its own source has not timed out");
        assert!(manager.should_accept(now), "all active connections are stalled");
        let (newest, admission) = manager.on_connect(now, at(1), |number| number == silent);
        assert_eq!(admission, Admission::Rejected(silent));
        assert_eq!(manager.on_closed(silent), NONE);
        assert_eq!(
            manager.on_connect(now, at(1), |_| false).1,
            Admission::Rejected(newest + 1),
            "the newest waiting connection"
        );
        assert_eq!(manager.on_closed(newest + 1), NONE);
        assert_eq!(manager.evict_for_waiting(start + timeouts::HEAD_EVICTION_AGE), stalled[..2]);
        assert!(
            !manager.should_accept(start + timeouts::HEAD_EVICTION_AGE),
            "connections are being closed for those that wait"
        );
        assert_eq!(manager.on_closed(stalled[0]), [sending]);
    }

    #[test]
    fn no_connection_is_rejected_with_one_source_or_even_shares() {
        let now = Instant::now();
        for sources in [1, 2] {
            let mut manager = ConnectionManager::new(limits(4), 7);
            for n in 0..4 {
                let number = connect(&mut manager, now, n % sources);
                manager.on_head_complete(number);
            }
            for n in 0..WAITING as u8 {
                assert!(manager.should_accept(now));
                assert_eq!(manager.on_connect(now, at(n % sources), |_| false).1, Admission::Waiting);
            }
            assert!(!manager.should_accept(now), "they wait in the listen backlog");
        }
    }

    #[test]
    fn limits_per_source_and_of_heads_hold() {
        let now = Instant::now();
        let mut manager = ConnectionManager::new(Limits { per_source: 2, heads: 3, ..limits(10) }, 7);
        let (first, second) = (connect(&mut manager, now, 1), idle(&mut manager, now, 1));
        let (third, admission) = manager.on_connect(now, at(1), |_| false);
        assert_eq!(admission, Admission::Waiting);
        let others: Vec<u64> = (2..6).map(|from| idle(&mut manager, now, from)).collect();
        assert_eq!(
            manager.evict_for_waiting(now),
            [second],
            "evicting from another source would not help it"
        );
        assert_eq!(manager.on_closed(second), [third]);
        assert_eq!(manager.on_head_bytes(first, now), None);
        assert_eq!(manager.on_head_bytes(third, now), None);
        assert_eq!(manager.on_head_bytes(others[0], now), None);
        assert_eq!(
            manager.on_head_bytes(others[1], now),
            Some(first),
            "the oldest head of the source with most heads"
        );
    }

    #[test]
    fn each_time_limit_closes_connections_for_its_reason() {
        let start = Instant::now();
        let mut manager =
            ConnectionManager::new(Limits { max_age: Some(Duration::from_secs(20)), ..limits(10) }, 7);
        let silent = connect(&mut manager, start, 1);
        let half = connect(&mut manager, start, 1);
        manager.on_head_bytes(half, start);
        let (stalled_head, stuck, idle_one) =
            (idle(&mut manager, start, 1), idle(&mut manager, start, 1), idle(&mut manager, start, 1));
        manager.on_head_bytes(stalled_head, start);
        manager.on_head_complete(stuck);
        manager.on_response_start(stuck, start);
        manager.on_response_progress(stuck, start + Duration::from_secs(1));
        assert_eq!(
            manager.close_expired(start + timeouts::FIRST_REQUEST_TIMEOUT - timeouts::CHECK_INTERVAL),
            []
        );
        let due = manager.close_expired(start + timeouts::FIRST_REQUEST_TIMEOUT);
        assert_eq!(
            due,
            [
                (silent, CloseReason::FirstRequestTimeout),
                (half, CloseReason::FirstRequestTimeout),
                (stalled_head, CloseReason::HeadTimeout)
            ]
        );
        assert_eq!(manager.close_expired(start + timeouts::FIRST_REQUEST_TIMEOUT), [], "reported once");
        assert_eq!(manager.close_expired(start + timeouts::STREAM_STALL_TIMEOUT), []);
        let due = manager.close_expired(start + timeouts::STREAM_STALL_TIMEOUT + Duration::from_secs(1));
        assert_eq!(due, [(stuck, CloseReason::ResponseStalled)]);
        assert_eq!(
            manager.close_expired(start + Duration::from_secs(15)),
            [],
            "not before 0.8 of the maximum age"
        );
        assert_eq!(manager.close_expired(start + Duration::from_secs(25)), [(idle_one, CloseReason::MaxAge)]);
        let mut manager = ConnectionManager::new(limits(10), 7);
        let idle_one = idle(&mut manager, start, 1);
        assert_eq!(
            manager.close_expired(start + timeouts::CLIENT_IDLE_TIMEOUT),
            [(idle_one, CloseReason::IdleTimeout)]
        );
    }

    #[test]
    fn a_lower_capacity_closes_the_longest_idle() {
        let now = Instant::now();
        let mut manager = ConnectionManager::new(limits(10), 7);
        let all: Vec<u64> = (0..6).map(|from| idle(&mut manager, now, from)).collect();
        manager.on_head_complete(all[0]);
        assert_eq!(manager.set_capacity(4), [all[1], all[2]]);
        assert_eq!(manager.set_capacity(4), NONE, "they are already being closed");
        assert_eq!(manager.evict_for_descriptors(now), Some(all[3]));
    }

    /// Random events in random order: limits are never exceeded, no busy connection is evicted, an evicted
    /// connection belongs to a source with no smaller share than the waiting one's, and no connection waits
    /// for ever.
    #[test]
    fn shares_are_fair_and_limits_hold_under_random_events() {
        for seed in 0..200 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let all = rng.usize(1..12);
            let per_source = rng.usize(1..=all);
            let mut manager = ConnectionManager::new(Limits { per_source, ..limits(all) }, seed);
            let mut now = Instant::now();
            let mut connected_at: BTreeMap<u64, Instant> = BTreeMap::new();
            for _ in 0..600 {
                now += Duration::from_millis(rng.u64(0..80));
                let numbers: Vec<u64> = manager.connections.keys().copied().collect();
                let one = numbers.get(rng.usize(..numbers.len().max(1))).copied().unwrap_or(0);
                let state = manager.connections.get(&one).map(|conn| conn.state);
                let mut to_close = Vec::new();
                match (rng.u32(..8), state) {
                    (0..=3, _) if manager.should_accept(now) => {
                        let (number, admission) = manager.on_connect(now, at(rng.u8(1..4)), |_| false);
                        connected_at.insert(number, now);
                        if let Admission::Rejected(other) = admission {
                            assert_eq!(manager.connections[&other].state, State::Waiting);
                            to_close.push(other);
                        }
                    }
                    (4, Some(State::New | State::Idle(_))) => {
                        to_close.extend(manager.on_head_bytes(one, now))
                    }
                    (5, Some(State::Head(_))) => {
                        manager.on_head_complete(one);
                        manager.on_request(one);
                    }
                    (6, Some(State::Busy)) => manager.on_response_complete(one, now),
                    (7, Some(state)) if state != State::Waiting => to_close.push(one),
                    _ => {}
                }
                loop {
                    let before: BTreeMap<IpAddr, usize> =
                        manager.sources.iter().map(|(at, source)| (*at, source.share())).collect();
                    let Some((wanting, victim)) = manager.evict_one(now) else { break };
                    let conn = &manager.connections[&victim];
                    assert!(!matches!(conn.state, State::Busy | State::Waiting), "seed {seed}");
                    assert!(before[&conn.source] >= before[&wanting], "seed {seed}");
                    to_close.push(victim);
                }
                to_close.extend(manager.close_expired(now).into_iter().map(|(number, _)| number));
                for number in to_close {
                    manager.on_closed(number);
                }
                assert!(manager.active() <= all && manager.waiting() <= WAITING, "seed {seed}");
                assert!(manager.sources.values().all(|source| source.active <= per_source), "seed {seed}");
                let waiting = manager.connections.iter().filter(|(_, conn)| conn.state == State::Waiting);
                assert!(
                    waiting.clone().all(|(n, _)| now - connected_at[n] < timeouts::FIRST_REQUEST_TIMEOUT),
                    "seed {seed}"
                );
                let has_capacity = manager.active() < all;
                let mut waiting = waiting;
                assert!(
                    !has_capacity || waiting.all(|(_, c)| manager.source(c.source).active >= per_source),
                    "seed {seed}"
                );
            }
        }
    }

    /// What the connections of a flood do once they are admitted.
    #[derive(Clone, Copy, Debug, PartialEq)]
    enum Flood {
        /// Send nothing.
        Silent,
        /// Send an incomplete head.
        SlowHead,
        /// Complete a request, then stay idle.
        IdleAfterRequest,
    }

    /// A quiet source opens a connection now and then and keeps another, beside a flood, from one address or
    /// a whole network, that fills the capacity, the waiting queue and the listen backlog. A new connection
    /// of the quiet source is admitted within twice the time after which a connection of the flood counts as
    /// stalled (once until the backlog is read, once for capacity), plus the time to accept a whole backlog.
    /// None of its connections is closed as long as the capacity is large enough for the flood to dominate.
    #[test]
    fn a_new_connection_of_a_quiet_source_waits_for_a_bounded_time_in_a_flood() {
        const BACKLOG: usize = 1_024;
        const ACCEPTED_PER_MS: usize = 20;
        const END_MS: u64 = 2_000;
        for seed in 0..24 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let flood = [Flood::Silent, Flood::SlowHead, Flood::IdleAfterRequest][rng.usize(..3)];
            let (whole_network, flood_per_ms) = (rng.bool(), rng.usize(1..12));
            let all = rng.usize(8..40);
            let accept_time = Duration::from_millis((BACKLOG / ACCEPTED_PER_MS.min(all)) as u64 + 1);
            let bound = 2 * (timeouts::STALL_GRACE + timeouts::EVICTION_INTERVAL) + accept_time;
            let mut manager =
                ConnectionManager::new(Limits { waiting: rng.usize(1..=WAITING), ..limits(all) }, seed);
            let (start, quiet) = (Instant::now(), at(1));
            let mut backlog = std::collections::VecDeque::new();
            let (mut waiting, mut quiet_numbers) = (BTreeMap::new(), Vec::new());
            let mut retrying = std::collections::VecDeque::new();
            let mut admitted_later = Vec::new();
            let (mut longest_wait, mut connected) = (Duration::ZERO, 0);
            for ms in 0..END_MS {
                let now = start + Duration::from_millis(ms);
                for _ in 0..flood_per_ms {
                    let host = if whole_network { rng.u8(1..255) } else { 2 };
                    let from = IpAddr::from([127, 0, u8::from(whole_network), host]);
                    if backlog.len() < BACKLOG {
                        backlog.push_back((from, now));
                    }
                }
                retrying.extend((ms % 400 == 99).then_some(now));
                // If the backlog is full, the quiet source tries again.
                if let (Some(since), true) = (retrying.front(), backlog.len() < BACKLOG) {
                    backlog.push_back((quiet, *since));
                    retrying.pop_front();
                }
                let mut to_close =
                    manager.close_expired(now).into_iter().map(|(number, _)| number).collect::<Vec<_>>();
                let mut admitted = std::mem::take(&mut admitted_later);
                if ms % timeouts::EVICTION_INTERVAL.as_millis() as u64 == 0 {
                    to_close.extend(manager.evict_for_waiting(now));
                }
                for _ in 0..ACCEPTED_PER_MS {
                    if !manager.should_accept(now) {
                        break;
                    }
                    let Some((from, since)) = backlog.pop_front() else { break };
                    let (number, admission) = manager.on_connect(now, from, |number| {
                        flood == Flood::Silent && !quiet_numbers.contains(&number)
                    });
                    if from == quiet {
                        waiting.insert(number, since);
                        quiet_numbers.push(number);
                        connected += 1;
                    }
                    match admission {
                        Admission::Admitted => admitted.push(number),
                        Admission::Waiting => {}
                        Admission::Rejected(other) => to_close.push(other),
                    }
                    to_close.extend(manager.evict_for_waiting(now));
                    for number in to_close.drain(..) {
                        assert!(
                            !quiet_numbers.contains(&number),
                            "seed {seed}: {flood:?} closes a connection of the quiet source at {ms} ms"
                        );
                        admitted.extend(manager.on_closed(number));
                    }
                }
                for number in to_close {
                    assert!(
                        !quiet_numbers.contains(&number),
                        "seed {seed}: {flood:?} closes a connection of the quiet source at {ms} ms"
                    );
                    admitted.extend(manager.on_closed(number));
                }
                for number in admitted {
                    if let Some(since) = waiting.remove(&number) {
                        longest_wait = longest_wait.max(now - since);
                    }
                    let quiet = quiet_numbers.contains(&number);
                    if quiet || flood != Flood::Silent {
                        manager.on_head_bytes(number, now);
                    }
                    if quiet || flood == Flood::IdleAfterRequest {
                        manager.on_head_complete(number);
                        manager.on_request(number);
                        manager.on_response_complete(number, now);
                        let to_close = manager.evict_for_waiting(now);
                        assert!(
                            to_close.iter().all(|number| !quiet_numbers.contains(number)),
                            "seed {seed}: {flood:?}"
                        );
                        to_close
                            .into_iter()
                            .for_each(|number| admitted_later.extend(manager.on_closed(number)));
                    }
                }
                // The quiet source keeps its newest connection.
                while quiet_numbers.len() > 1 && !waiting.contains_key(&quiet_numbers[1]) {
                    manager.on_closed(quiet_numbers.remove(0));
                }
            }
            let end = start + Duration::from_millis(END_MS);
            let in_backlog = backlog.iter().filter(|(from, _)| *from == quiet).map(|(_, since)| *since);
            let mut unadmitted = waiting.into_values().chain(in_backlog).chain(retrying);
            assert!(
                unadmitted.all(|since| end - since <= bound),
                "seed {seed}: {flood:?}, whole network {whole_network}, {all}"
            );
            assert!(
                longest_wait <= bound,
                "seed {seed}: {flood:?}, whole network {whole_network}, {all}: {longest_wait:?}"
            );
            assert!(connected >= 4, "seed {seed}: {flood:?}: {connected}");
        }
    }
}
