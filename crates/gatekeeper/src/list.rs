//! Applies the server list of the discovery service to the connection pools and the decision logic, and maps
//! the `uid` of each server to its internal id.

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

/// Maximum number of ids before those of unlisted servers are removed.
const IDS_MAX: usize = 10_000;

/// Maps each server's `uid` to the id that the decision logic uses. Ids are never reused.
#[derive(Default)]
pub struct ServerIds {
    ids: RefCell<HashMap<String, ServerId>>,
    last_id: Cell<u64>,
    event_count: Cell<u64>,
}

impl ServerIds {
    /// Returns the id of a server, or `None` if it has never been listed.
    pub fn listed(&self, uid: &str) -> Option<ServerId> {
        self.ids.borrow().get(uid).copied()
    }

    /// Returns the id of a server, assigning one if it has none.
    pub fn id(&self, uid: &str) -> ServerId {
        *self.ids.borrow_mut().entry(uid.to_owned()).or_insert_with(|| {
            self.last_id.set(self.last_id.get() + 1);
            ServerId(self.last_id.get())
        })
    }

    /// Returns all servers' `uid`s with their ids.
    pub fn names(&self) -> Vec<(String, ServerId)> {
        self.ids.borrow().iter().map(|(uid, id)| (uid.clone(), *id)).collect()
    }

    /// Maps the ids of another process to those of this one by the servers' `uid`s.
    pub fn translate(&self, names: Vec<(String, ServerId)>) -> HashMap<ServerId, ServerId> {
        names.into_iter().take(IDS_MAX).map(|(uid, id)| (id, self.id(&uid))).collect()
    }

    /// Applies a list to the pools and the decision logic. `scope` says what the list covers.
    pub fn apply(&self, driver: &Rc<Driver>, list: &HostList, scope: ListScope) {
        let servers: Vec<ServerInfo> = list.targets.iter().map(|t| self.server(driver, t)).collect();
        let named: HashSet<ServerId> = servers.iter().map(|server| server.id).collect();
        if scope != ListScope::Delta {
            driver.servers.retain(&named);
        }
        // A server that returns keeps its id. Past the limit, the ids of former instances are removed.
        if self.ids.borrow().len() > IDS_MAX {
            self.ids.borrow_mut().retain(|_, id| driver.servers.is_known(*id));
        }
        driver.feed(Event::Servers(ServerList { scope, servers }));
        driver.cancel_unsent();
    }

    fn server(&self, driver: &Driver, target: &Target) -> ServerInfo {
        let id = self.id(&target.uid);
        let mut availability = match target.state.as_str() {
            "up" => Availability::Ready,
            "removed" => Availability::Gone,
            // An unknown state must not allow requests to the server.
            _ => Availability::Draining,
        };
        match target.endpoint.parse::<SocketAddr>() {
            Ok(addr) if availability != Availability::Gone => {
                driver.servers.list(id, addr, target.boot_ms, availability == Availability::Ready)
            }
            parsed => {
                if parsed.is_err() && availability != Availability::Gone {
                    log_throttled(
                        &self.event_count,
                        format_args!("discovery: server {:?} has an invalid endpoint", target.uid),
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
            // The gatekeeper's clock is Unix time too, so that all gatekeepers use the same start time.
            sort_key: hash(&target.uid),
            started: (target.boot_ms > 0).then(|| target.boot_ms.saturating_mul(1_000)),
        }
    }
}

/// Follows the list at the current addresses of discovery and calls `on_update` after each full list or
/// delta. Never returns.
pub async fn follow(
    driver: Rc<Driver>,
    server_ids: Rc<ServerIds>,
    follower: Follower,
    addresses: watch::Receiver<Vec<SocketAddr>>,
    on_update: impl Fn(),
) {
    let take = |list: &HostList, scope: ListScope| {
        server_ids.apply(&driver, list, scope);
        on_update();
    };
    follower.follow(addresses, take).await;
}
