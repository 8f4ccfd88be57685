//! What the gatekeeper is told at its start: `RELAY_CONFIG` and the variables beside it, checked.

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

/// Callers at the operators' door at once. One more makes the one that has been there the longest leave.
pub const CALLERS_MAX: usize = 12;

/// Why a configuration is not taken. Its text names the field.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The variable that says where the file is has no value.
    #[error("RELAY_CONFIG is not set")]
    NoPath,
    /// The file can't be read.
    #[error("RELAY_CONFIG: {path}: {error}")]
    Unread {
        /// Where it should be.
        path: String,
        /// Why not.
        error: io::Error,
    },
    /// It is not of the form of a configuration.
    #[error("configuration: {0}")]
    Form(#[from] serde_json::Error),
    /// A field of the settings.
    #[error(transparent)]
    Settings(#[from] FieldError),
    /// Another field.
    #[error("configuration: field `{field}`: {fault}")]
    Field {
        /// Its path.
        field: String,
        /// What is wrong with it.
        fault: ConfigFault,
    },
}

/// What can be wrong with a field.
#[derive(Debug, Error)]
pub enum ConfigFault {
    /// It is not there.
    #[error("missing")]
    Missing,
    /// It is no limit.
    #[error("{0} is no whole number above 0")]
    NoCount(serde_json::Value),
    /// A part that is larger than the whole.
    #[error("{0} is more than the {1} there are")]
    MoreThanAll(usize, usize),
    /// Nothing can be served with it.
    #[error("{0} is too few")]
    TooFew(usize),
    /// It is no size.
    #[error("{0} is no amount")]
    NoAmount(f64),
    /// It is no truth value.
    #[error("{0} is neither true nor false")]
    NoFlag(serde_json::Value),
    /// It is no seed.
    #[error("`{0}` is not hexadecimal")]
    NotHexadecimal(String),
    /// It is nowhere to connect to.
    #[error("`{0}` is not an address with a port")]
    NoAddress(String),
    /// A list that is too long.
    #[error("more than {0} addresses")]
    TooManyAddresses(usize),
    /// A list that does not go with another figure.
    #[error("{0} addresses for {1} gatekeepers")]
    NotOneEach(usize, usize),
    /// A name that says nothing.
    #[error("empty")]
    Empty,
}

impl ConfigFault {
    fn of(self, field: impl Into<String>) -> ConfigError {
        ConfigError::Field { field: field.into(), fault: self }
    }
}

/// The configuration as it is written down.
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

/// Whether gatekeepers tell each other who lives.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FileMembership {
    /// The fleet's name: those of another are not heard.
    fleet: String,
}

#[derive(Deserialize)]
struct FileLimits {
    sockets: usize,
    memory_mb: f64,
}

impl File {
    /// A limit on connections; none where it is absent.
    fn limit(&self, field: &str) -> Result<Option<usize>, ConfigError> {
        let bad = |value: &serde_json::Value| {
            ConfigFault::NoCount(value.clone()).of(format!("connections.{field}"))
        };
        let value = self.connections.get(field);
        let number = |value: &serde_json::Value| {
            let number = value.as_u64().filter(|n| *n > 0).and_then(|n| usize::try_from(n).ok());
            number.ok_or_else(|| bad(value))
        };
        value.map(number).transpose()
    }

    /// The same, of which there is only so much.
    fn limit_of(&self, field: &str, all: usize) -> Result<Option<usize>, ConfigError> {
        match self.limit(field)? {
            Some(n) if n > all => Err(ConfigFault::MoreThanAll(n, all).of(format!("connections.{field}"))),
            limit => Ok(limit),
        }
    }

    fn load(variable: &impl Fn(&str) -> Option<String>) -> Result<File, ConfigError> {
        let path = variable("RELAY_CONFIG").ok_or(ConfigError::NoPath)?;
        let text = std::fs::read_to_string(&path).map_err(|error| ConfigError::Unread { path, error })?;
        Ok(serde_json::from_str(&text)?)
    }
}

/// The other gatekeepers, where they are told who lives.
pub struct PeersConfig {
    /// Where their datagrams come in.
    pub listen: SocketAddr,
    /// Where each is reached and heard from, by number; this one's own is among them.
    pub places: Vec<SocketAddr>,
    /// The fleet's name.
    pub fleet: String,
    /// This one's number.
    pub me: u16,
}

/// The configuration, checked.
pub struct Config {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where the list of servers comes from: the first address, and others with the same list.
    pub discovery: Vec<SocketAddr>,
    /// The least time after which another of these is asked for its version, where it is not the usual.
    pub discovery_compare: Option<Duration>,
    /// The counter, where there is one.
    pub counter: Option<SocketAddr>,
    /// Where operators call; without it there is no door for them.
    pub admin: Option<SocketAddr>,
    /// Says what becomes of its own state; nothing unless asked to.
    pub events: Events,
    /// The other gatekeepers, unless this one keeps to itself.
    pub peers: Option<PeersConfig>,
    /// For random numbers.
    pub seed: u64,
    /// The servers as this gatekeeper last had them; may be old.
    pub known: HostList,
    /// What the decisions go by.
    pub settings: Settings,
    /// The names of classes and plans.
    pub names: Names,
    /// Most connections of clients, waiting or not, and most to servers: parts of the limit on descriptors.
    pub clients_max: usize,
    /// See `clients_max`.
    pub servers_max: usize,
    /// Most connections of one source of clients, and most heads being read.
    pub per_source_max: usize,
    /// See `per_source_max`.
    pub heads_max: usize,
    /// Most connections to one server.
    pub per_server_max: usize,
    /// The greatest age of a client's connection, if there is one.
    pub max_age: Option<Duration>,
    /// Whether a client that ends its side after a request still waits for the answer.
    pub half_close: bool,
    /// Bytes of bodies that may be held, for all requests together: a part of the limit on memory.
    pub held_max: usize,
    /// Where the list of servers has to be asked for, it counts as told after so long all the same.
    pub ask_within: Duration,
    /// A connection to a server not established by then never is.
    pub connect_timeout: Duration,
    /// A server closes a connection that has been idle for so long.
    pub server_idle: Duration,
}

/// Descriptors kept back: listeners, counter, discovery, runtime, standard streams, each one's successor, and
/// the operators' calls.
const SPARE_SOCKETS: usize = 20 + CALLERS_MAX;

/// The time to ask for the list where the rules name none.
const ASK_WITHIN: Micros = 10_000_000;

impl Config {
    /// Reads the file that `RELAY_CONFIG` names. The message of an error names the field.
    pub fn load(variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        Config::check(File::load(&variable)?, variable)
    }

    /// Reads the file again for the addresses that may move while the gatekeeper runs: discovery and counter.
    /// The file goes before the variable, which is as old as the process.
    pub fn moved(
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<(Vec<SocketAddr>, Option<SocketAddr>), ConfigError> {
        let file = File::load(&variable)?;
        let first = file.discovery.or_else(|| variable("RELAY_DISCOVERY"));
        Ok((discovery(first, file.discovery_more)?, counter(file.counter)?))
    }

    /// The longest that a client of any class waits.
    pub fn longest_deadline(&self) -> Duration {
        let longest = self.settings.classes.iter().map(|class| class.deadline).max();
        Duration::from_micros(longest.unwrap_or(0))
    }

    fn check(mut file: File, variable: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let mut pairs = Vec::new();
        flatten("", &file.settings, &mut pairs);
        let fields = Fields::from_pairs("settings", &pairs);
        let (mut settings, names) = settings(&fields)?;
        // Any client on a socket can be told when to come back, whether or not it is known to listen.
        let advice = fields.span_or_zero("limits.maxRetryAfterUs")?;
        settings.limits.max_retry_after = settings.limits.max_retry_after.max(advice);
        for (field, names) in [("services", &names.classes), ("tiersOfService", &names.plans)] {
            if names.is_empty() {
                return Err(fields.error(field, Fault::NamesNone).into());
            }
        }
        let span = |field: &str| -> Result<Duration, ConfigError> {
            Ok(Duration::from_micros(fields.optional::<Micros>(field)?.filter(|n| *n > 0).unwrap_or(250_000)))
        };
        let ask_within = fields.span_or_zero("rules.askWithinUs")?;
        let sockets = file.limits.sockets;
        if sockets < 2 * SPARE_SOCKETS {
            return Err(ConfigFault::TooFew(sockets).of("limits.sockets"));
        }
        let memory = file.limits.memory_mb;
        if !(memory.is_finite() && memory > 0.0) {
            return Err(ConfigFault::NoAmount(memory).of("limits.memory_mb"));
        }
        let peers = match file.membership.take() {
            Some(membership) => {
                Some(peers(membership, file.peer_listen.take(), std::mem::take(&mut file.peers), &settings)?)
            }
            None => None,
        };
        let share = sockets - SPARE_SOCKETS;
        let memory = (memory * f64::from(1 << 20)) as usize;
        let held_max = file.limit_of("held_mb", memory >> 20)?.map_or(memory / 4, |mb| mb << 20);
        let servers_max = file.limit_of("servers", share - 1)?;
        let left = share - servers_max.unwrap_or(share / 3).min(share - 1);
        let clients_max = file.limit_of("clients", left)?.unwrap_or(left.min(share * 2 / 3));
        let servers_max = servers_max.unwrap_or(share / 3);
        let half_close = match file.connections.get("half_close") {
            None => false,
            Some(value) => {
                let bad = || ConfigFault::NoFlag(value.clone()).of("connections.half_close");
                value.as_bool().ok_or_else(bad)?
            }
        };
        Ok(Config {
            per_source_max: file.limit_of("per_source", clients_max)?.unwrap_or(clients_max),
            heads_max: file.limit_of("heads", clients_max)?.unwrap_or(clients_max),
            per_server_max: file.limit_of("per_server", servers_max)?.unwrap_or(servers_max),
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
                .map_err(|_| ConfigFault::NotHexadecimal(file.seed.clone()).of("seed"))?,
            known: file.known,
            ask_within: Duration::from_micros(if ask_within > 0 { ask_within } else { ASK_WITHIN }),
            connect_timeout: span("limits.connectTimeoutUs")?,
            server_idle: span("limits.connIdleUs")?,
            settings,
            names,
            held_max,
            clients_max,
            servers_max,
        })
    }
}

/// All addresses of the list, each once.
fn discovery(first: Option<String>, more: Vec<String>) -> Result<Vec<SocketAddr>, ConfigError> {
    if more.len() > FURTHER_SOURCES_MAX {
        return Err(ConfigFault::TooManyAddresses(FURTHER_SOURCES_MAX).of("discovery_more"));
    }
    let mut places = vec![address("discovery", first)?];
    for at in more {
        let place = address("discovery_more", Some(at))?;
        if !places.contains(&place) {
            places.push(place);
        }
    }
    Ok(places)
}

fn peers(
    membership: FileMembership,
    listen: Option<String>,
    places: Vec<String>,
    settings: &Settings,
) -> Result<PeersConfig, ConfigError> {
    let instances = settings.instances as usize;
    if places.len() != instances {
        return Err(ConfigFault::NotOneEach(places.len(), instances).of("peers"));
    }
    // Numbers are two bytes among gatekeepers.
    let me = u16::try_from(settings.me).ok().filter(|me| usize::from(*me) < places.len());
    let me =
        me.ok_or_else(|| ConfigFault::MoreThanAll(settings.me as usize, places.len()).of("settings.me"))?;
    if membership.fleet.is_empty() {
        return Err(ConfigFault::Empty.of("membership.fleet"));
    }
    let listen = address("peer_listen", listen)?;
    let places = places.into_iter().map(|at| address("peers", Some(at))).collect::<Result<_, _>>()?;
    Ok(PeersConfig { listen, places, fleet: membership.fleet, me })
}

fn counter(value: Option<String>) -> Result<Option<SocketAddr>, ConfigError> {
    optional("counter", value)
}

fn optional(field: &str, value: Option<String>) -> Result<Option<SocketAddr>, ConfigError> {
    value.map(|at| address(field, Some(at))).transpose()
}

fn address(field: &str, value: Option<String>) -> Result<SocketAddr, ConfigError> {
    let value = value.ok_or_else(|| ConfigFault::Missing.of(field))?;
    value.parse().map_err(|_| ConfigFault::NoAddress(value).of(field))
}
