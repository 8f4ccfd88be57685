//! Datagrams between gatekeepers, as the platform carries them: each finds each other one at an address that is the same
//! for nobody else, and hears it from there. What the links do to a way holds for them too, and some may be lost, doubled or
//! put out of order.

use super::links::{host, Network, Party};
use super::FleetError;
use rand::RngExt;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// The longest that the platform carries, bytes; a longer one voids a run there, and is dropped and counted here.
const DATAGRAM_MAX: usize = 256;
/// Parties at most: there is a socket for each pair.
pub const PEERS_MAX: usize = 64;
/// Ports that are tried.
const TRIES: usize = 50;

/// What became of datagrams.
#[derive(Debug, Default)]
pub struct Counts {
    /// Passed on, each copy.
    pub passed: Cell<u64>,
    /// Lost on their way.
    pub lost: Cell<u64>,
    /// From an address that is no party's.
    pub strangers: Cell<u64>,
    /// Longer than may be.
    pub too_long: Cell<u64>,
}

fn count(n: &Cell<u64>) {
    n.set(n.get() + 1);
}

/// Their ways.
pub struct Datagrams {
    network: Rc<Network>,
    /// Where each party really listens.
    at: BTreeMap<Party, SocketAddr>,
    /// By who sees and who is seen: the socket at the address of the second for the first.
    sockets: BTreeMap<(Party, Party), Rc<UdpSocket>>,
    /// By who sees: the socket at the address of all.
    all: BTreeMap<Party, Rc<UdpSocket>>,
    /// What became of them.
    pub counts: Counts,
}

/// One port at the addresses of all these callers.
async fn sockets(callers: &[Party]) -> io::Result<Vec<Rc<UdpSocket>>> {
    let mut last = io::Error::other("nobody to see it");
    for _ in 0..TRIES {
        let mut port = 0;
        let mut bound = Vec::new();
        for caller in callers {
            match UdpSocket::bind((host(*caller), port)).await {
                Ok(socket) => {
                    port = socket.local_addr()?.port();
                    bound.push(Rc::new(socket));
                }
                Err(error) => {
                    last = error;
                    break;
                }
            }
        }
        if bound.len() == callers.len() {
            return Ok(bound);
        }
    }
    Err(last)
}

impl Datagrams {
    /// Ways between all of these, each by where it really listens.
    pub async fn join(
        network: Rc<Network>,
        at: BTreeMap<Party, SocketAddr>,
    ) -> Result<Rc<Datagrams>, FleetError> {
        if at.len() > PEERS_MAX {
            return Err(FleetError::TooMany {
                needs: at.len() as u64,
                of: "gatekeepers that hear each other",
                has: PEERS_MAX as u64,
            });
        }
        let bad = |error| FleetError::Socket { what: "datagrams", error };
        let parties: Vec<Party> = at.keys().copied().collect();
        let mut pairs = BTreeMap::new();
        for seen in &parties {
            let bound = sockets(&parties).await.map_err(bad)?;
            pairs.extend(parties.iter().map(|sees| (*sees, *seen)).zip(bound));
        }
        let all = sockets(&parties).await.map_err(bad)?;
        let all = parties.iter().copied().zip(all).collect();
        let it = Rc::new(Datagrams { network, at, sockets: pairs, all, counts: Counts::default() });
        for ((from, to), socket) in &it.sockets {
            spawn_local(it.clone().carries(*from, vec![*to], socket.clone()));
        }
        for (from, socket) in &it.all {
            let others = parties.iter().copied().filter(|to| to != from).collect();
            spawn_local(it.clone().carries(*from, others, socket.clone()));
        }
        Ok(it)
    }

    /// Where one finds another.
    pub fn address(&self, sees: Party, seen: Party) -> Option<SocketAddr> {
        self.sockets.get(&(sees, seen))?.local_addr().ok()
    }

    /// Where one reaches all others.
    pub fn address_of_all(&self, sees: Party) -> Option<SocketAddr> {
        self.all.get(&sees)?.local_addr().ok()
    }

    /// Carries what comes to one socket, for as long as there are parties.
    async fn carries(self: Rc<Self>, from: Party, to: Vec<Party>, socket: Rc<UdpSocket>) {
        let mut buffer = [0; DATAGRAM_MAX + 1];
        loop {
            // An error is of a datagram sent before, to somebody who does not listen now.
            let Ok((n, source)) = socket.recv_from(&mut buffer).await else { continue };
            if self.at.get(&from) != Some(&source) {
                count(&self.counts.strangers);
            } else if n > DATAGRAM_MAX {
                count(&self.counts.too_long);
            } else {
                to.iter().for_each(|to| self.carry(from, *to, &buffer[..n]));
            }
        }
    }

    fn carry(self: &Rc<Self>, from: Party, to: Party, bytes: &[u8]) {
        let way = self.network.direction(from, to);
        let copies = {
            let mut rng = self.network.rng.borrow_mut();
            let lost = way.cut || rng.random_bool(way.lose);
            let copies = if lost { 0 } else { 1 + usize::from(rng.random_bool(way.double)) };
            (0..copies)
                .map(|_| {
                    let times: f64 = rng.random_range(0.5..1.5);
                    let mixed = if way.mix > 0 { rng.random_range(0..way.mix) } else { 0 };
                    Duration::from_micros(way.delay).mul_f64(times) + Duration::from_micros(mixed)
                })
                .collect::<Vec<_>>()
        };
        if copies.is_empty() {
            return count(&self.counts.lost);
        }
        for wait in copies {
            let (it, bytes) = (self.clone(), bytes.to_vec());
            let deliver = async move {
                let (Some(socket), Some(at)) = (it.sockets.get(&(to, from)), it.at.get(&to)) else { return };
                // Whoever does not listen has lost it.
                let lost = socket.send_to(&bytes, at).await.is_err();
                count(if lost { &it.counts.lost } else { &it.counts.passed });
            };
            spawn_local(async move {
                if !wait.is_zero() {
                    sleep(wait).await;
                }
                deliver.await;
            });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::super::links::{Direction, Trouble};
    use super::*;
    use tokio::time::timeout;

    const SOON: Duration = Duration::from_secs(20);

    struct Peers {
        ways: Rc<Datagrams>,
        network: Rc<Network>,
        sockets: Vec<UdpSocket>,
    }

    impl Peers {
        /// Three, as parties 1 to 3.
        async fn start() -> Peers {
            let network = Network::new(1, |_, _| {});
            let mut sockets = Vec::new();
            for _ in 0..3 {
                sockets.push(UdpSocket::bind("127.0.0.1:0").await.unwrap());
            }
            let at = sockets.iter().enumerate().map(|(n, it)| (n + 1, it.local_addr().unwrap())).collect();
            let ways = Datagrams::join(network.clone(), at).await.unwrap();
            Peers { ways, network, sockets }
        }

        async fn send(&self, from: Party, to: Party, text: &str) {
            let at = self.ways.address(from, to).unwrap();
            self.sockets[from - 1].send_to(text.as_bytes(), at).await.unwrap();
        }

        /// What one hears next, and from which party by the address that it knows.
        async fn hears(&self, who: Party) -> (Party, String) {
            let mut buffer = [0; 512];
            let (n, source) =
                timeout(SOON, self.sockets[who - 1].recv_from(&mut buffer)).await.unwrap().unwrap();
            let from = (1..=3).find(|from| self.ways.address(who, *from) == Some(source)).unwrap();
            (from, String::from_utf8(buffer[..n].to_vec()).unwrap())
        }

        fn set(&self, from: Party, to: Party, out: Direction) {
            self.network.set(from, to, 0, Some(Trouble { out, ..Trouble::default() }));
        }
    }

    fn plays<F: std::future::Future<Output = ()>>(story: impl FnOnce(Peers) -> F) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        tokio::task::LocalSet::new().block_on(&runtime, async { story(Peers::start().await).await });
    }

    #[test]
    fn each_hears_each_other_at_the_address_where_it_sends_to_it_and_strangers_are_heard_by_nobody() {
        plays(|it| async move {
            it.send(1, 2, "to two").await;
            assert_eq!(it.hears(2).await, (1, "to two".into()));
            it.send(2, 1, "back").await;
            assert_eq!(it.hears(1).await, (2, "back".into()));
            let all = it.ways.address_of_all(3).unwrap();
            it.sockets[2].send_to(b"all", all).await.unwrap();
            assert_eq!((it.hears(1).await, it.hears(2).await), ((3, "all".into()), (3, "all".into())));
            let stranger = UdpSocket::bind("127.0.0.1:0").await.unwrap();
            stranger.send_to(b"hello", it.ways.address(1, 2).unwrap()).await.unwrap();
            it.send(1, 2, &"x".repeat(DATAGRAM_MAX + 1)).await;
            // Both are read before what comes after them at the same socket.
            it.send(1, 2, "last").await;
            assert_eq!(it.hears(2).await, (1, "last".into()));
            assert_eq!((it.ways.counts.strangers.get(), it.ways.counts.too_long.get()), (1, 1));
        });
    }

    /// Three groups of which the middle hears both; ways that go one way; all lost, all doubled.
    #[test]
    fn ways_are_cut_one_by_one_and_lose_and_double() {
        plays(|it| async move {
            let cut = Direction { cut: true, ..Direction::default() };
            it.set(1, 3, cut);
            it.set(3, 1, cut);
            it.send(1, 3, "lost").await;
            it.send(3, 1, "lost").await;
            for from in [1, 3] {
                it.send(from, 2, "middle").await;
                assert_eq!(it.hears(2).await, (from, "middle".into()));
                it.send(2, from, "hears").await;
                assert_eq!(it.hears(from).await, (2, "hears".into()));
            }
            assert_eq!(it.ways.counts.lost.get(), 2);
            it.set(1, 2, Direction { lose: 1.0, ..Direction::default() });
            it.set(2, 1, Direction { double: 1.0, ..Direction::default() });
            it.send(1, 2, "lost").await;
            it.send(2, 1, "twice").await;
            assert_eq!((it.hears(1).await, it.hears(1).await), ((2, "twice".into()), (2, "twice".into())));
            it.set(1, 2, Direction::default());
            it.send(1, 2, "well").await;
            assert_eq!(it.hears(2).await, (1, "well".into()));
        });
    }
}
