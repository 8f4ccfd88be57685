//! The forms in which the list of servers is told and registered for, shared by gatekeepers and the list
//! service.

use serde::{Deserialize, Serialize};

/// Where the list is watched and asked for.
pub const HOSTS: &str = "/discovery/hosts";
/// Where the list's version is asked for.
pub const REVISION: &str = "/discovery/rev";

/// A list of servers, or what changed of it.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct HostList {
    /// Its version.
    pub rev: u64,
    /// Whether it names all servers.
    #[serde(default)]
    pub all: bool,
    /// Which line of versions this one is of; the platform's discovery has none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub epoch: Option<u64>,
    /// For how long the teller has heard nothing from where it has the list, where that is long.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stale_ms: Option<u64>,
    /// Whether the teller has the list from another.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub mirror: bool,
    /// The servers.
    #[serde(default)]
    pub targets: Vec<Target>,
}

/// One server as listed.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Target {
    /// Its name, the same at every gatekeeper.
    pub uid: String,
    /// Where it listens.
    #[serde(default)]
    pub endpoint: String,
    /// Its zone.
    #[serde(default)]
    pub az: String,
    /// What it runs on.
    #[serde(default)]
    pub model: String,
    /// What it may fail together with.
    #[serde(default)]
    pub pod_group: u64,
    /// `up`, `draining` or, among changes, `removed`.
    #[serde(default)]
    pub state: String,
    /// Its size.
    pub capacity_hint: Option<f64>,
    /// When its process started, Unix time in ms; 0 for long ago.
    #[serde(default)]
    pub boot_ms: u64,
}

impl Target {
    /// Whether new work may go to it.
    pub fn is_up(&self) -> bool {
        self.state == "up"
    }

    /// Whether it is on the list no more.
    pub fn is_removed(&self) -> bool {
        self.state == "removed"
    }
}

/// The version that a source of the list is at.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Revision {
    /// The version.
    pub rev: u64,
    /// See [`HostList::epoch`].
    pub epoch: u64,
    /// See [`HostList::stale_ms`].
    #[serde(default)]
    pub stale_ms: u64,
}

/// A server's call to be listed.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Register {
    /// Its name.
    pub uid: String,
    /// Where it listens.
    pub endpoint: String,
    /// Its zone.
    #[serde(default)]
    pub az: String,
    /// What it runs on.
    #[serde(default)]
    pub model: String,
    /// What it may fail together with.
    #[serde(default)]
    pub pod_group: u64,
    /// Its size; 1 where it is absent.
    #[serde(default = "one")]
    pub capacity_hint: f64,
    /// When its process started, Unix time in ms; 0 for long ago.
    pub boot_ms: u64,
    /// The lease ends this long after the last word.
    pub ttl_ms: u64,
}

fn one() -> f64 {
    1.0
}

/// A call of a server that holds a lease: to renew it, to drain, or to be listed no more.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct OnLease {
    /// The server's name.
    pub uid: String,
    /// The lease's number.
    pub lease: u64,
}

/// The answer to such calls.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Leased {
    /// The lease's number.
    pub lease: u64,
    /// The version in which the list came to say so, or a later one.
    pub rev: u64,
    /// The lease ends this long after the last word; 0 where it has ended.
    pub ttl_ms: u64,
    /// Renew it this long after the last word.
    pub renew_ms: u64,
}

/// The reason of a refusal for want of room: other calls may find some.
pub const OVERLOADED: &str = "overloaded";

/// Why a call was refused.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Refused {
    /// The reason, one word.
    pub error: String,
    /// The same for people.
    pub what: String,
}
