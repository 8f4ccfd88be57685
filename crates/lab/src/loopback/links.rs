//! The network between the parties of a fleet: every way from one to another passes through here, where it can be cut,
//! held up, narrowed, refused or reset.
//!
//! Each party that is connected to has one port on all loopback addresses; by the address that a caller connects to it is
//! known who calls. So the servers of one list are at an address of its own for each caller, which the list's way puts in
//! the place of the one that was registered: both have the same length.

use super::FleetError;
use granitelead_list::messages::HostList;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Parties that an address can name: two parts of it, each from `FIRST` up to 254, of three digits always.
pub const PARTIES_MAX: usize = SIDE * SIDE;
const FIRST: usize = 100;
const SIDE: usize = 155;
/// Connections that wait to be taken.
const BACKLOG: u32 = 1_024;
/// Bytes that are passed on at once.
const CHUNK: usize = 16 << 10;
/// The longest line of a list that is read.
const LINE_MAX: usize = 4 << 20;
/// Time in which a way on loopback comes up.
const CONNECT: Duration = Duration::from_secs(2);

/// A party, by number; 0 is the rig itself, and the front.
pub type Party = usize;

/// Where callers of that number find everybody.
pub(super) fn host(caller: Party) -> Ipv4Addr {
    Ipv4Addr::new(127, (FIRST + caller / SIDE) as u8, (FIRST + caller % SIDE) as u8, 1)
}

fn caller(host: IpAddr) -> Option<Party> {
    let IpAddr::V4(host) = host else { return None };
    let [_, a, b, _] = host.octets().map(usize::from);
    let (a, b) = (a.checked_sub(FIRST)?, b.checked_sub(FIRST)?);
    (a < SIDE && b < SIDE).then_some(a * SIDE + b)
}

/// What is wrong one way.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Direction {
    /// Nothing passes, and nobody is told.
    pub cut: bool,
    /// The next message stops in its middle.
    pub stall: bool,
    /// Each message takes so much longer on the mean, µs.
    pub delay: u64,
    /// So many bytes a second pass; all where it is 0.
    pub bytes_per_s: f64,
    /// Part of the datagrams that are lost, and of those that come twice.
    pub lose: f64,
    /// See `lose`.
    pub double: f64,
    /// A datagram takes up to so much longer, each its own time, so that some overtake others, µs.
    pub mix: u64,
}

impl Direction {
    fn and(self, other: Direction) -> Direction {
        let narrow = |a: f64, b: f64| if a > 0.0 && b > 0.0 { a.min(b) } else { a.max(b) };
        Direction {
            cut: self.cut || other.cut,
            stall: self.stall || other.stall,
            delay: self.delay + other.delay,
            bytes_per_s: narrow(self.bytes_per_s, other.bytes_per_s),
            lose: self.lose.max(other.lose),
            double: self.double.max(other.double),
            mix: self.mix.max(other.mix),
        }
    }
}

/// What is wrong between two parties; *out* is from who connects.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Trouble {
    /// From who connects.
    pub out: Direction,
    /// To who connects.
    pub back: Direction,
    /// New connections are ended at once.
    pub refuse: bool,
}

impl Trouble {
    fn and(self, other: Trouble) -> Trouble {
        Trouble {
            out: self.out.and(other.out),
            back: self.back.and(other.back),
            refuse: self.refuse || other.refuse,
        }
    }

    fn is_cut(&self) -> bool {
        self.out.cut || self.back.cut
    }
}

/// A way from one party to another.
struct Way {
    /// By the fault that does it.
    by: RefCell<BTreeMap<usize, Trouble>>,
    now: watch::Sender<Trouble>,
    /// Counts up whenever all its connections are reset.
    resets: watch::Sender<u64>,
    rng: RefCell<ChaCha8Rng>,
}

impl Way {
    fn new(seed: u64) -> Way {
        Way {
            by: RefCell::default(),
            now: watch::Sender::new(Trouble::default()),
            resets: watch::Sender::new(0),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
        }
    }

    fn change(&self, by: usize, trouble: Option<Trouble>) {
        let mut all = self.by.borrow_mut();
        match trouble {
            Some(trouble) => all.insert(by, trouble),
            None => all.remove(&by),
        };
        self.now.send_replace(all.values().fold(Trouble::default(), |sum, one| sum.and(*one)));
    }

    async fn until(&self, holds: impl Fn(&Trouble) -> bool) {
        // The sender is its own.
        let _ = self.now.subscribe().wait_for(|now| holds(now)).await;
    }
}

/// Somebody who can be connected to.
struct Target {
    at: Cell<SocketAddr>,
    port: u16,
}

/// Hears of each list that has passed to that party.
type OnList = dyn Fn(Party, &HostList);

/// All ways.
pub struct Network {
    seed: u64,
    ways: RefCell<BTreeMap<(Party, Party), Rc<Way>>>,
    targets: RefCell<BTreeMap<Party, Rc<Target>>>,
    on_list: Box<OnList>,
    /// Draws what becomes of datagrams.
    pub(super) rng: RefCell<ChaCha8Rng>,
    /// Connections that were passed on.
    pub connections: Cell<u64>,
    /// Chunks that were passed on.
    pub chunks: Cell<u64>,
}

impl Network {
    /// One with nobody on it; `on_list` hears of lists as they pass.
    pub fn new(seed: u64, on_list: impl Fn(Party, &HostList) + 'static) -> Rc<Network> {
        Rc::new(Network {
            seed,
            ways: RefCell::default(),
            targets: RefCell::default(),
            on_list: Box::new(on_list),
            rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
            connections: Cell::new(0),
            chunks: Cell::new(0),
        })
    }

    fn way(&self, from: Party, to: Party) -> Rc<Way> {
        let seed = self.seed ^ ((from as u64) << 32 | to as u64);
        self.ways.borrow_mut().entry((from, to)).or_insert_with(|| Rc::new(Way::new(seed))).clone()
    }

    /// A party is to be had at that address of its own; `lists` says that lists of servers come from it.
    pub fn join(self: &Rc<Self>, party: Party, at: SocketAddr, lists: bool) -> Result<(), FleetError> {
        let bad = |error| FleetError::Socket { what: "a link", error };
        let socket = TcpSocket::new_v4().map_err(bad)?;
        // Whoever is not on this machine can't come here.
        socket.bind_device(Some(b"lo")).map_err(bad)?;
        socket.bind((Ipv4Addr::UNSPECIFIED, 0).into()).map_err(bad)?;
        let listener = socket.listen(BACKLOG).map_err(bad)?;
        let port = listener.local_addr().map_err(bad)?.port();
        let target = Rc::new(Target { at: Cell::new(at), port });
        self.targets.borrow_mut().insert(party, target.clone());
        let it = self.clone();
        spawn_local(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    sleep(Duration::from_millis(20)).await;
                    continue;
                };
                let known = stream.local_addr().ok().and_then(|at| caller(at.ip()));
                let Some(from) = known else { continue };
                let (it, target) = (it.clone(), target.clone());
                spawn_local(async move { it.passes(from, party, stream, &target, lists).await });
            }
        });
        Ok(())
    }

    /// Where that caller finds a party; none where it has not joined.
    pub fn address(&self, from: Party, to: Party) -> Option<SocketAddr> {
        let port = self.targets.borrow().get(&to)?.port;
        Some((host(from), port).into())
    }

    /// Something is wrong on a way from now on, by that fault; or nothing any more.
    pub fn set(&self, from: Party, to: Party, by: usize, trouble: Option<Trouble>) {
        self.way(from, to).change(by, trouble);
    }

    /// All connections of a way are reset.
    pub fn reset(&self, from: Party, to: Party) {
        self.way(from, to).resets.send_modify(|n| *n += 1);
    }

    /// What is wrong from one to another.
    pub(super) fn direction(&self, from: Party, to: Party) -> Direction {
        self.way(from, to).now.borrow().out
    }

    /// Whether nothing passes from one to the other.
    pub fn is_cut(&self, from: Party, to: Party) -> bool {
        self.way(from, to).now.borrow().is_cut()
    }

    async fn passes(&self, from: Party, to: Party, mut near: TcpStream, target: &Target, lists: bool) {
        let way = self.way(from, to);
        let mut resets = way.resets.subscribe();
        let begun = *way.now.borrow();
        let ended = if begun.refuse || begun.is_cut() {
            // It is reset at once, or once the way is back.
            way.until(|now| !now.is_cut()).await;
            false
        } else {
            match tokio::time::timeout(CONNECT, TcpStream::connect(target.at.get())).await {
                Ok(Ok(mut far)) => {
                    self.connections.set(self.connections.get() + 1);
                    // Small writes must not wait for each other here; where it can't be set they do.
                    let _ = (near.set_nodelay(true), far.set_nodelay(true));
                    let lens = lists.then(|| Lens::new(from));
                    let ended = tokio::select! {
                        ended = self.both_ways(&way, from, &mut near, &mut far, lens) => ended.is_ok(),
                        _ = resets.changed() => false,
                    };
                    if !ended {
                        let _ = far.set_zero_linger();
                    }
                    ended
                }
                _ => false,
            }
        };
        if !ended {
            // Dropped now, it is reset.
            let _ = near.set_zero_linger();
        }
    }

    async fn both_ways(
        &self,
        way: &Way,
        from: Party,
        near: &mut TcpStream,
        far: &mut TcpStream,
        lens: Option<Lens>,
    ) -> std::io::Result<()> {
        let (mut near_reads, mut near_writes) = near.split();
        let (mut far_reads, mut far_writes) = far.split();
        let out = self.one_way(way, from, |now| now.out, &mut near_reads, &mut far_writes, None);
        let back = self.one_way(way, from, |now| now.back, &mut far_reads, &mut near_writes, lens);
        tokio::try_join!(out, back).map(|_| ())
    }

    /// Passes on what comes, in order; what comes while something is on its way waits for it.
    async fn one_way(
        &self,
        way: &Way,
        from: Party,
        side: impl Fn(&Trouble) -> Direction,
        reads: &mut (impl AsyncRead + Unpin),
        writes: &mut (impl AsyncWrite + Unpin),
        mut lens: Option<Lens>,
    ) -> std::io::Result<()> {
        let mut chunk = vec![0; CHUNK];
        loop {
            let n = reads.read(&mut chunk).await?;
            let now = side(&way.now.borrow());
            if now.delay > 0 {
                let times: f64 = way.rng.borrow_mut().random_range(0.5..1.5);
                sleep(Duration::from_micros(now.delay).mul_f64(times)).await;
            }
            way.until(|now| !side(now).cut).await;
            if n == 0 {
                if let Some(rest) = lens.as_mut().map(Lens::rest) {
                    writes.write_all(&rest).await?;
                }
                return writes.shutdown().await;
            }
            let (bytes, lists) = match &mut lens {
                Some(lens) => lens.pass(&chunk[..n]),
                None => (chunk[..n].to_vec(), Vec::new()),
            };
            let now = side(&way.now.borrow());
            let middle = if now.stall { bytes.len() / 2 } else { bytes.len() };
            writes.write_all(&bytes[..middle]).await?;
            if now.stall {
                way.until(|now| !side(now).stall).await;
                writes.write_all(&bytes[middle..]).await?;
            }
            if now.bytes_per_s > 0.0 {
                sleep(Duration::from_secs_f64(n as f64 / now.bytes_per_s)).await;
            }
            self.chunks.set(self.chunks.get() + 1);
            lists.iter().for_each(|list| (self.on_list)(from, list));
        }
    }
}

/// Sees lists of servers pass, and puts the caller's own addresses in them.
struct Lens {
    registered: Vec<u8>,
    own: Vec<u8>,
    /// What may be the beginning of an address.
    kept: Vec<u8>,
    line: Vec<u8>,
}

impl Lens {
    fn new(caller: Party) -> Lens {
        let text = |party| format!("\"{}:", host(party)).into_bytes();
        Lens { registered: text(0), own: text(caller), kept: Vec::new(), line: Vec::new() }
    }

    /// What goes on, and the lists that are whole with it.
    fn pass(&mut self, bytes: &[u8]) -> (Vec<u8>, Vec<HostList>) {
        let mut all = std::mem::take(&mut self.kept);
        all.extend_from_slice(bytes);
        let len = self.registered.len();
        let mut at = 0;
        while at + len <= all.len() {
            if all[at..at + len] == self.registered[..] {
                all[at..at + len].copy_from_slice(&self.own);
            }
            at += 1;
        }
        let begins = |keep: &usize| self.registered.starts_with(&all[all.len() - keep..]);
        let keep = (1..len.min(all.len() + 1)).rev().find(begins).unwrap_or(0);
        self.kept = all.split_off(all.len() - keep);
        let mut lists = Vec::new();
        for byte in &all {
            if *byte != b'\n' {
                if self.line.len() < LINE_MAX {
                    self.line.push(*byte);
                }
                continue;
            }
            // A chunk's size and the head of an answer stand in lines of their own.
            lists.extend(serde_json::from_slice::<HostList>(&self.line).ok());
            self.line.clear();
        }
        (all, lists)
    }

    fn rest(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.kept)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_caller_has_an_address_of_its_own_as_long_as_any_other() {
        for party in [0, 1, SIDE - 1, SIDE, PARTIES_MAX - 1] {
            assert_eq!(caller(host(party).into()), Some(party));
            assert_eq!(host(party).to_string().len(), host(0).to_string().len());
        }
        assert_eq!(caller(Ipv4Addr::LOCALHOST.into()), None);
    }

    #[test]
    fn lists_pass_with_the_callers_addresses_however_they_are_cut_up() {
        let line = |party| {
            let at = host(party);
            format!(
                "5f\r\n{{\"rev\":7,\"all\":true,\"targets\":[{{\"uid\":\"s-1\",\"endpoint\":\"{at}:4001\",\"state\":\"up\",\
                 \"capacity_hint\":1.0}},{{\"uid\":\"127.100.100.1\",\"endpoint\":\"{at}:4002\",\"capacity_hint\":1.0}}]}}\n\r\n\n"
            )
        };
        let (from, to) = (line(0), line(200));
        for size in 1..from.len() {
            let mut lens = Lens::new(200);
            let (mut passed, mut lists) = (Vec::new(), Vec::new());
            for part in from.as_bytes().chunks(size) {
                let (bytes, seen) = lens.pass(part);
                passed.extend(bytes);
                lists.extend(seen);
            }
            passed.extend(lens.rest());
            assert_eq!(String::from_utf8(passed).unwrap(), to, "{size}");
            assert_eq!((lists.len(), lists[0].rev, lists[0].targets.len()), (1, 7, 2));
        }
    }
}
