//! The book of who is where, brought up to the list of servers.

use crate::driver::Driver;
use granitelead_base::log_throttled;
use granitelead_decisions::hash;
use granitelead_decisions::{Availability, Event, ListScope, ServerId, ServerInfo, ServerList, Zone};
use granitelead_list::follower::Follower;
use granitelead_list::messages::{HostList, Target};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::watch;

/// Ids kept of servers that are no longer listed.
const IDS_MAX: usize = 10_000;

/// Which server is which: `uid`s as the ids that the decisions go by, never given twice.
#[derive(Default)]
pub struct Book {
    ids: RefCell<HashMap<String, ServerId>>,
    next: Cell<u64>,
    odd: Cell<u64>,
}

impl Book {
    /// The id of a server that has been listed.
    pub fn listed(&self, uid: &str) -> Option<ServerId> {
        self.ids.borrow().get(uid).copied()
    }

    /// The id of a server, listed or not.
    pub fn id(&self, uid: &str) -> ServerId {
        *self.ids.borrow_mut().entry(uid.to_owned()).or_insert_with(|| {
            self.next.set(self.next.get() + 1);
            ServerId(self.next.get())
        })
    }

    /// All servers' names with their ids.
    pub fn names(&self) -> Vec<(String, ServerId)> {
        self.ids.borrow().iter().map(|(uid, id)| (uid.clone(), *id)).collect()
    }

    /// What the ids of another process are here, by its names for them.
    pub fn translate(&self, names: Vec<(String, ServerId)>) -> HashMap<ServerId, ServerId> {
        names.into_iter().take(IDS_MAX).map(|(uid, id)| (id, self.id(&uid))).collect()
    }

    /// Brings pools and decisions to a list. `scope` says what the list covers.
    pub fn apply(&self, driver: &Rc<Driver>, list: &HostList, scope: ListScope) {
        let servers: Vec<ServerInfo> = list.targets.iter().map(|t| self.server(driver, t)).collect();
        let named: HashSet<ServerId> = servers.iter().map(|w| w.id).collect();
        if scope != ListScope::Delta {
            driver.servers.keep_only(&named);
        }
        // A server that comes back keeps its id; only a fleet's many former lives are forgotten.
        if self.ids.borrow().len() > IDS_MAX {
            self.ids.borrow_mut().retain(|_, id| driver.servers.keeps(*id));
        }
        driver.feed(Event::Servers(ServerList { scope, servers }));
        driver.recall_unwritten();
    }

    fn server(&self, driver: &Driver, target: &Target) -> ServerInfo {
        let id = self.id(&target.uid);
        let mut availability = match target.state.as_str() {
            "up" => Availability::Ready,
            "removed" => Availability::Gone,
            // A word nobody has described is no leave to send.
            _ => Availability::Draining,
        };
        match target.endpoint.parse::<SocketAddr>() {
            Ok(addr) if availability != Availability::Gone => {
                driver.servers.list(id, addr, target.boot_ms, availability == Availability::Ready)
            }
            parsed => {
                if parsed.is_err() && availability != Availability::Gone {
                    log_throttled(
                        &self.odd,
                        format_args!("discovery: server {:?} has no address", target.uid),
                    );
                }
                availability = Availability::Gone;
                driver.servers.unlist(id);
            }
        }
        ServerInfo {
            id,
            availability,
            zone: Zone(target.az.clone()),
            cell: target.pod_group,
            size: target.capacity_hint.filter(|n| n.is_finite() && *n > 0.0).unwrap_or(1.0),
            // The gatekeeper's clock counts Unix time too, so that all gatekeepers agree on a start.
            place: hash(&target.uid),
            started: (target.boot_ms > 0).then(|| target.boot_ms.saturating_mul(1_000)),
        }
    }
}

/// Follows the list for ever, at wherever discovery is; calls `told` after each list or change.
pub async fn follow(
    driver: Rc<Driver>,
    book: Rc<Book>,
    follower: Follower,
    places: watch::Receiver<Vec<SocketAddr>>,
    told: impl Fn(),
) {
    let take = |list: &HostList, scope: ListScope| {
        book.apply(&driver, list, scope);
        told();
    };
    follower.follow(places, take).await;
}
