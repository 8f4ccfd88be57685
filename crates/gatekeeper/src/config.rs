//! Reads and validates the configuration: the file named by `RELAY_CONFIG` and the environment variables
//! that override it.

use crate::events::Events;
use granitelead_decisions::settings::{flatten, settings, Fault, FieldError, Fields, Names};
use granitelead_decisions::{Micros, Settings};
use granitelead_list::messages::HostList;
use granitelead_list::sources::FURTHER_SOURCES_MAX;
use serde::Deserialize;
use std::io;
use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::time::Duration;
use thiserror::Error;

/// Maximum number of concurrent connections to the admin socket. A further one closes the oldest.
pub const ADMIN_CONNECTIONS_MAX: usize = 12;

/// Why a configuration is rejected. The message names the field.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The environment variable with the path of the file is not set.
    #[error("RELAY_CONFIG is not set")]
    PathNotSet,
    /// The file cannot be read.
    #[error("RELAY_CONFIG: {path}: {error}")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// The I/O error.
        error: io::Error,
    },
    /// The file is not valid JSON or does not match the expected structure.
    #[error("configuration: {0}")]
    Syntax(#[from] serde_json::Error),
    /// A field below `settings` is invalid.
    #[error(transparent)]
    Settings(#[from] FieldError),
    /// A field outside `settings` is invalid.
    #[error("configuration: field `{field}`: {fault}")]
    Field {
        /// Path of the field.
        field: String,
        /// What is wrong with the field.
        fault: ConfigFault,
    },
}

/// What is wrong with the value of a field.
#[derive(Debug, Error)]
pub enum ConfigFault {
    /// A required field is absent.
    #[error("missing")]
    Missing,
    /// A limit is not a positive integer.
    #[error("{0} is not a positive integer")]
    NotPositiveInteger(serde_json::Value),
    /// A value exceeds the total that it is a part of.
    #[error("{0} exceeds the {1} available")]
    ExceedsTotal(usize, usize),
    /// A limit is too low to serve any request.
    #[error("{0} is too low")]
    TooLow(usize),
    /// A size is not a positive finite number.
    #[error("{0} is not a positive number")]
    NotPositiveNumber(f64),
    /// A flag is not a boolean.
    #[error("{0} is not a boolean")]
    NotBoolean(serde_json::Value),
    /// The seed is not a hexadecimal number.
    #[error("`{0}` is not a 64-bit hexadecimal number")]
    NotHexadecimal(String),
    /// An address cannot be parsed.
    #[error("`{0}` is not an IP address with a port")]
    InvalidAddress(String),
    /// A list of addresses is too long.
    #[error("more than {0} addresses")]
    TooManyAddresses(usize),
    /// The number of peer addresses differs from the number of gatekeepers.
    #[error("{0} addresses for {1} gatekeepers")]
    PeerCountMismatch(usize, usize),
    /// A name is empty.
    #[error("empty")]
    Empty,
}

impl ConfigFault {
    fn at(self, field: impl Into<String>) -> ConfigError {
        ConfigError::Field { field: field.into(), fault: self }
    }
}

/// The configuration file before validation.
#[derive(Deserialize)]
struct File {
    listen: Option<String>,
    discovery: Option<String>,
    #[serde(default)]
    discovery_more: Vec<String>,
    discovery_compare_ms: Option<NonZeroU32>,
    seed: String,
    limits: FileLimits,
    #[serde(default)]
    connections: serde_json::Map<String, serde_json::Value>,
    counter: Option<String>,
    admin_addr: Option<String>,
    #[serde(default)]
    events: bool,
    peer_listen: Option<String>,
    #[serde(default)]
    peers: Vec<String>,
    membership: Option<FileMembership>,
    #[serde(default)]
    known: HostList,
    settings: serde_json::Value,
}

/// Enables the membership protocol between gatekeepers.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileMembership {
    /// Name of the fleet; datagrams of other fleets are ignored.
    fleet: String,
}

#[derive(Deserialize)]
struct FileLimits {
    sockets: usize,
    memory_mb: f64,
}

impl File {
    /// Returns a limit below `connections`, or `None` if it is absent.
    fn limit(&self, field: &str) -> Result<Option<usize>, ConfigError> {
        let bad = |value: &serde_json::Value| {
            ConfigFault::NotPositiveInteger(value.clone()).at(format!("connections.{field}"))
        };
        let value = self.connections.get(field);
        let number = |value: &serde_json::Value| {
            let number = value.as_u64().filter(|n| *n > 0).and_then(|n| usize::try_from(n).ok());
            number.ok_or_else(|| bad(value))
        };
        value.map(number).transpose()
    }

    /// Like [`File::limit`], and checks that the limit does not exceed `all`.
    fn limit_up_to(&self, field: &str, all: usize) -> Result<Option<usize>, ConfigError> {
        match self.limit(field)? {
            Some(n) if n > all => Err(ConfigFault::ExceedsTotal(n, all).at(format!("connections.{field}"))),
            limit => Ok(limit),
        }
    }

    fn load(variable: &impl Fn(&str) -> Option<String>) -> Result<File, ConfigError> {
        let path = variable("RELAY_CONFIG").ok_or(ConfigError::PathNotSet)?;
        let text = std::fs::read_to_string(&path).map_err(|error| ConfigError::Unreadable { path, error })?;
        Ok(serde_json::from_str(&text)?)
    }
}

/// Settings of the membership protocol between gatekeepers.
pub struct PeersConfig {
    /// Local address on which datagrams are received.
    pub listen: SocketAddr,
    /// Address of each gatekeeper by number, including this one's own.
    pub addresses: Vec<SocketAddr>,
    /// Name of the fleet.
    pub fleet: String,
    /// Number of this gatekeeper.
    pub me: u16,
}

/// The validated configuration.
pub struct Config {
    /// Address on which clients connect.
    pub listen: SocketAddr,
    /// Addresses of the discovery service: the first one and further ones that serve the same list.
    pub discovery: Vec<SocketAddr>,
    /// Minimum interval between version comparisons with another of these addresses; `None` for the default.
    pub discovery_compare: Option<Duration>,
    /// Address of the counter service, if any.
    pub counter: Option<SocketAddr>,
    /// Address of the admin socket; `None` disables it.
    pub admin: Option<SocketAddr>,
    /// Writes state changes of this gatekeeper to standard output, if enabled.
    pub events: Events,
    /// Settings of the membership protocol; `None` if it is disabled.
    pub peers: Option<PeersConfig>,
    /// Seed of the random number generators.
    pub seed: u64,
    /// The server list that this gatekeeper last had; may be out of date.
    pub known: HostList,
    /// Settings of the decision logic.
    pub settings: Settings,
    /// Names of the classes and plans.
    pub names: Names,
    /// Maximum number of client connections, idle or not. Together with `servers_max` it fits the limit on
    /// descriptors.
    pub clients_max: usize,
    /// Maximum number of connections to servers. See `clients_max`.
    pub servers_max: usize,
    /// Maximum number of client connections from one source address.
    pub per_source_max: usize,
    /// Maximum number of request heads that are read at the same time.
    pub heads_max: usize,
    /// Maximum number of connections to one server.
    pub per_server_max: usize,
    /// Maximum age of a client connection, if limited.
    pub max_age: Option<Duration>,
    /// Whether a client that half-closes its connection after a request still gets the response.
    pub half_close: bool,
    /// Buffer budget for the bodies of all requests, in bytes: a part of the limit on memory.
    pub body_buffer_max: usize,
    /// How long to wait for the server list where it has to be polled; after that the fetch counts as
    /// complete.
    pub ask_within: Duration,
    /// Timeout for establishing a connection to a server.
    pub connect_timeout: Duration,
    /// Idle time after which a server closes a connection.
    pub server_idle: Duration,
}

/// Descriptors reserved for listeners, counter, discovery, runtime and standard streams, for a replacement of
/// each during reconnects and upgrades, and for admin connections.
const RESERVED_SOCKETS: usize = 20 + ADMIN_CONNECTIONS_MAX;

/// Default of `rules.askWithinUs`, in microseconds.
const DEFAULT_ASK_WITHIN: Micros = 10_000_000;

impl Config {
    /// Reads and validates the file that `RELAY_CONFIG` names. The message of an error names the field.
    pub fn load(variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        Config::check(File::load(&variable)?, variable)
    }

    /// Rereads the addresses that may change while the gatekeeper runs: discovery and counter. Unlike at
    /// startup the file takes precedence over the environment, which dates from the start of the process.
    pub fn reload_addresses(
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<(Vec<SocketAddr>, Option<SocketAddr>), ConfigError> {
        let file = File::load(&variable)?;
        let first = file.discovery.or_else(|| variable("RELAY_DISCOVERY"));
        Ok((discovery(first, file.discovery_more)?, counter(file.counter)?))
    }

    /// Returns the longest request deadline of all classes.
    pub fn longest_deadline(&self) -> Duration {
        let longest = self.settings.classes.iter().map(|class| class.deadline).max();
        Duration::from_micros(longest.unwrap_or(0))
    }

    fn check(mut file: File, variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let mut pairs = Vec::new();
        flatten("", &file.settings, &mut pairs);
        let fields = Fields::from_pairs("settings", &pairs);
        let (mut settings, names) = settings(&fields)?;
        // Every HTTP client can be sent Retry-After, whether or not it is known to honor it.
        let advice = fields.span_or_zero("limits.maxRetryAfterUs")?;
        settings.limits.max_retry_after = settings.limits.max_retry_after.max(advice);
        for (field, names) in [("services", &names.classes), ("tiersOfService", &names.plans)] {
            if names.is_empty() {
                return Err(fields.error(field, Fault::EmptyList).into());
            }
        }
        let span = |field: &str| -> Result<Duration, ConfigError> {
            Ok(Duration::from_micros(fields.optional::<Micros>(field)?.filter(|n| *n > 0).unwrap_or(250_000)))
        };
        let ask_within = fields.span_or_zero("rules.askWithinUs")?;
        let sockets = file.limits.sockets;
        if sockets < 2 * RESERVED_SOCKETS {
            return Err(ConfigFault::TooLow(sockets).at("limits.sockets"));
        }
        let memory = file.limits.memory_mb;
        if !(memory.is_finite() && memory > 0.0) {
            return Err(ConfigFault::NotPositiveNumber(memory).at("limits.memory_mb"));
        }
        let peers = match file.membership.take() {
            Some(membership) => {
                Some(peers(membership, file.peer_listen.take(), std::mem::take(&mut file.peers), &settings)?)
            }
            None => None,
        };
        let available = sockets - RESERVED_SOCKETS;
        let memory = (memory * f64::from(1 << 20)) as usize;
        let body_buffer_max = file.limit_up_to("held_mb", memory >> 20)?.map_or(memory / 4, |mb| mb << 20);
        let servers_max = file.limit_up_to("servers", available - 1)?;
        let left = available - servers_max.unwrap_or(available / 3).min(available - 1);
        let clients_max = file.limit_up_to("clients", left)?.unwrap_or(left.min(available * 2 / 3));
        let servers_max = servers_max.unwrap_or(available / 3);
        let half_close = match file.connections.get("half_close") {
            None => false,
            Some(value) => {
                let bad = || ConfigFault::NotBoolean(value.clone()).at("connections.half_close");
                value.as_bool().ok_or_else(bad)?
            }
        };
        Ok(Config {
            per_source_max: file.limit_up_to("per_source", clients_max)?.unwrap_or(clients_max),
            heads_max: file.limit_up_to("heads", clients_max)?.unwrap_or(clients_max),
            per_server_max: file.limit_up_to("per_server", servers_max)?.unwrap_or(servers_max),
            max_age: file.limit("max_age_ms")?.map(|ms| Duration::from_millis(ms as u64)),
            half_close,
            listen: address("listen", variable("RELAY_LISTEN").or(file.listen))?,
            discovery: discovery(variable("RELAY_DISCOVERY").or(file.discovery), file.discovery_more)?,
            discovery_compare: file.discovery_compare_ms.map(|ms| Duration::from_millis(ms.get().into())),
            counter: counter(file.counter)?,
            admin: optional("admin_addr", variable("RELAY_ADMIN_ADDR").or(file.admin_addr))?,
            events: Events::new(file.events),
            peers,
            seed: u64::from_str_radix(&file.seed, 16)
                .map_err(|_| ConfigFault::NotHexadecimal(file.seed.clone()).at("seed"))?,
            known: file.known,
            ask_within: Duration::from_micros(if ask_within > 0 { ask_within } else { DEFAULT_ASK_WITHIN }),
            connect_timeout: span("limits.connectTimeoutUs")?,
            server_idle: span("limits.connIdleUs")?,
            settings,
            names,
            body_buffer_max,
            clients_max,
            servers_max,
        })
    }
}

/// Parses the addresses of the discovery service and removes duplicates.
fn discovery(first: Option<String>, more: Vec<String>) -> Result<Vec<SocketAddr>, ConfigError> {
    if more.len() > FURTHER_SOURCES_MAX {
        return Err(ConfigFault::TooManyAddresses(FURTHER_SOURCES_MAX).at("discovery_more"));
    }
    let mut addresses = vec![address("discovery", first)?];
    for at in more {
        let parsed = address("discovery_more", Some(at))?;
        if !addresses.contains(&parsed) {
            addresses.push(parsed);
        }
    }
    Ok(addresses)
}

fn peers(
    membership: FileMembership,
    listen: Option<String>,
    addresses: Vec<String>,
    settings: &Settings,
) -> Result<PeersConfig, ConfigError> {
    let instances = settings.instances as usize;
    if addresses.len() != instances {
        return Err(ConfigFault::PeerCountMismatch(addresses.len(), instances).at("peers"));
    }
    // The membership protocol encodes gatekeeper numbers in two bytes.
    let me = u16::try_from(settings.index).ok().filter(|me| usize::from(*me) < addresses.len());
    let me = me.ok_or_else(|| {
        ConfigFault::ExceedsTotal(settings.index as usize, addresses.len()).at("settings.me")
    })?;
    if membership.fleet.is_empty() {
        return Err(ConfigFault::Empty.at("membership.fleet"));
    }
    let listen = address("peer_listen", listen)?;
    let addresses = addresses.into_iter().map(|at| address("peers", Some(at))).collect::<Result<_, _>>()?;
    Ok(PeersConfig { listen, addresses, fleet: membership.fleet, me })
}

fn counter(value: Option<String>) -> Result<Option<SocketAddr>, ConfigError> {
    optional("counter", value)
}

fn optional(field: &str, value: Option<String>) -> Result<Option<SocketAddr>, ConfigError> {
    value.map(|at| address(field, Some(at))).transpose()
}

fn address(field: &str, value: Option<String>) -> Result<SocketAddr, ConfigError> {
    let value = value.ok_or_else(|| ConfigFault::Missing.at(field))?;
    value.parse().map_err(|_| ConfigFault::InvalidAddress(value).at(field))
}
