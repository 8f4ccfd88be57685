//! JSON messages of the server discovery API, shared by gatekeepers and the list service.

use serde::{Deserialize, Serialize};

/// Path for reading and watching the list of servers.
pub const HOSTS_PATH: &str = "/discovery/hosts";
/// Path for reading the version of the list.
pub const REVISION_PATH: &str = "/discovery/rev";

/// The full list of servers, or a delta of it.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct HostList {
    /// Version of the list.
    pub rev: u64,
    /// Whether this is the full list and not a delta.
    #[serde(default)]
    pub all: bool,
    /// Epoch of the list; versions are only comparable within one epoch. The platform's own discovery has no
    /// epochs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub epoch: Option<u64>,
    /// Time since the sender last heard from its own source of the list, in ms; absent unless the list is
    /// stale.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub stale_ms: Option<u64>,
    /// Whether the sender is a mirror, which gets the list from another source.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub mirror: bool,
    /// The servers; in a delta, those that have changed.
    #[serde(default)]
    pub targets: Vec<Target>,
}

/// One server in the list.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Target {
    /// Name of the server, unique and the same for all gatekeepers.
    pub uid: String,
    /// Address on which the server listens.
    #[serde(default)]
    pub endpoint: String,
    /// Availability zone.
    #[serde(default)]
    pub az: String,
    /// Hardware model.
    #[serde(default)]
    pub model: String,
    /// Failure domain: servers of the same group may fail together.
    #[serde(default)]
    pub pod_group: u64,
    /// `up`, `draining` or, in a delta, `removed`.
    #[serde(default)]
    pub state: String,
    /// Relative capacity.
    pub capacity_hint: Option<f64>,
    /// Start time of the process, Unix time in ms; 0 if it is unknown but long ago.
    #[serde(default)]
    pub boot_ms: u64,
}

impl Target {
    /// Whether the server accepts new requests.
    pub fn is_up(&self) -> bool {
        self.state == "up"
    }

    /// Whether the server has been removed from the list.
    pub fn is_removed(&self) -> bool {
        self.state == "removed"
    }
}

/// The version of the list that a source has.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct Revision {
    /// Version of the list.
    pub rev: u64,
    /// See [`HostList::epoch`].
    pub epoch: u64,
    /// See [`HostList::stale_ms`].
    #[serde(default)]
    pub stale_ms: u64,
}

/// Request of a server to be listed.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RegisterRequest {
    /// See [`Target::uid`].
    pub uid: String,
    /// See [`Target::endpoint`].
    pub endpoint: String,
    /// See [`Target::az`].
    #[serde(default)]
    pub az: String,
    /// See [`Target::model`].
    #[serde(default)]
    pub model: String,
    /// See [`Target::pod_group`].
    #[serde(default)]
    pub pod_group: u64,
    /// Relative capacity; 1 if absent.
    #[serde(default = "default_capacity_hint")]
    pub capacity_hint: f64,
    /// See [`Target::boot_ms`].
    pub boot_ms: u64,
    /// Requested time to live of the lease after each renewal, in ms.
    pub ttl_ms: u64,
}

fn default_capacity_hint() -> f64 {
    1.0
}

/// Request of a server that holds a lease: to renew it, to drain, or to be removed from the list.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseRequest {
    /// Name of the server.
    pub uid: String,
    /// Id of the lease.
    pub lease: u64,
}

/// Response to a registration or a request on a lease.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct LeaseResponse {
    /// Id of the lease.
    pub lease: u64,
    /// Version of the list that contains this state of the server, or a later one.
    pub rev: u64,
    /// Time to live of the lease after each renewal, in ms; 0 if the lease has ended.
    pub ttl_ms: u64,
    /// Time after which to renew the lease, in ms.
    pub renew_ms: u64,
}

/// Error code for a request refused because of a limit on concurrent lists, watches or connections; a request
/// for the list without a watch may still succeed.
pub const OVERLOADED: &str = "overloaded";

/// Body of an error response.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct ErrorResponse {
    /// Error code.
    pub error: String,
    /// Description of the error for people.
    pub what: String,
}
