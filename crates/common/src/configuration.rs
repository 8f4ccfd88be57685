//! Parses and validates the configurations that operators send.

use crate::validation::{Cursor, ValidationErrors};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// A latency target that exceeds the timeout of its route by this much is rejected.
const TARGET_EXCESS_MAX: Duration = Duration::from_secs(60);
/// Largest configuration that is accepted, bytes.
pub const BODY_MAX: usize = 8 << 20;

/// The version of a configuration; the highest is in force.
pub type Version = u32;

/// Limits on what a client sends, how long it takes and how long it stays idle.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum size of the header section of a request, bytes.
    pub max_header_bytes: usize,
    /// Maximum size of the body of a request, bytes.
    pub max_body_bytes: u64,
    /// Time limit for receiving the header section of a request.
    pub header_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        let (header_timeout, idle_timeout) = (Duration::from_secs(3), Duration::from_secs(15));
        Limits { max_header_bytes: 16 << 10, max_body_bytes: 64 << 20, header_timeout, idle_timeout }
    }
}

/// A tenant, whose requests share a quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name, which is passed on to servers.
    pub name: String,
    /// Its priority, 0 being the highest. Without one that of the route applies.
    pub priority: Option<u32>,
    /// Quota over all gatekeepers, requests/s; 0 means no limit.
    pub rate: f64,
    /// Burst size, requests.
    pub burst: f64,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// It may be executed more than once.
    Idempotent,
    /// It may be executed at most once.
    AtMostOnce,
}

/// A rule that forwards requests to servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The prefix of the paths that it matches.
    pub prefix: String,
    /// Whether its requests may be executed more than once.
    pub retry_safety: RetrySafety,
    /// Latency target: a response within this time has its full value.
    pub target: Duration,
    /// Time limit for a request.
    pub timeout: Duration,
    /// Maximum number of attempts for a request, including the first.
    pub attempts: u32,
    /// Its priority, 0 being the highest.
    pub priority: u32,
    /// Whether requests are accepted without an API key.
    pub public: bool,
    /// Services by their index in [`Configuration::services`], with weights.
    pub split: Vec<(usize, f64)>,
}

/// A group of servers that process the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name, with which servers register.
    pub name: String,
    /// Maximum number of connections to each of its servers.
    pub connections: u64,
}

/// A valid configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Its version.
    pub version: Version,
    /// Limits for clients.
    pub limits: Limits,
    /// Whether requests must carry an API key.
    pub requires_key: bool,
    /// Tenants, in the order of the configuration.
    pub tenants: Vec<Tenant>,
    /// Maps API keys to tenants.
    pub keys: HashMap<String, usize>,
    /// Routes by host, the longest prefix first.
    pub hosts: HashMap<String, Vec<Route>>,
    /// Services, in the order of the configuration.
    pub services: Vec<Service>,
}

impl Configuration {
    /// Finds the route of a request: the one of the host with the longest prefix that matches the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}

/// Parses a version of eight hexadecimal digits.
pub fn version(text: &str) -> Option<Version> {
    let is_hex = text.len() == 8 && text.bytes().all(|b| b.is_ascii_hexdigit());
    Version::from_str_radix(text, 16).ok().filter(|_| is_hex)
}

/// Parses and validates a configuration.
///
/// # Errors
///
/// All errors, with their paths.
pub fn parse(bytes: &[u8]) -> Result<Configuration, ValidationErrors> {
    if bytes.len() > BODY_MAX {
        return Err(ValidationErrors::root(format_args!("{} bytes are more than {BODY_MAX}", bytes.len())));
    }
    let value: Value = serde_json::from_slice(bytes).map_err(ValidationErrors::root)?;
    check(&value)
}

/// Validates a configuration.
///
/// # Errors
///
/// All errors, with their paths.
pub fn check(value: &Value) -> Result<Configuration, ValidationErrors> {
    let at = Cursor::root(value);
    let read = Configuration {
        version: version(at.field("version").text()).unwrap_or_else(|| {
            at.field("version").add_error("eight hexadecimal digits are expected");
            0
        }),
        limits: limits(&at.field("limits")),
        ..Configuration::default()
    };
    let (requires_key, tenants, keys) = tenants(&at.field("tenants"));
    let (services, service_indices) = services(&at.field("upstream-clusters"));
    let hosts = hosts(&at.field("listeners"), &service_indices);
    at.finish(Configuration { requires_key, tenants, keys, hosts, services, ..read })
}

fn limits(at: &Cursor) -> Limits {
    let default = Limits::default();
    let time = |at: Cursor, default| at.optional(default, |at| Duration::from_millis(at.integer()));
    let size = |at: Cursor, default| at.optional(default, Cursor::integer);
    Limits {
        max_header_bytes: size(at.field("max-header-bytes"), default.max_header_bytes as u64) as usize,
        max_body_bytes: size(at.field("max-body-bytes"), default.max_body_bytes),
        header_timeout: time(at.field("header-timeout-ms"), default.header_timeout),
        idle_timeout: time(at.field("idle-timeout-ms"), default.idle_timeout),
    }
}

type Tenants = (bool, Vec<Tenant>, HashMap<String, usize>);

fn tenants(at: &Cursor) -> Tenants {
    let (mut tenants, mut keys) = (Vec::new(), HashMap::new());
    let mut names = BTreeMap::new();
    for (n, tenant) in at.optional(Vec::new(), Cursor::list).iter().enumerate() {
        let name = tenant.field("name").name();
        if names.insert(name, n).is_some() && !name.is_empty() {
            tenant.field("name").add_error("another tenant has this name");
        }
        for key in tenant.field("api-keys").optional(Vec::new(), Cursor::list) {
            let text = key.name();
            if keys.insert(text.to_owned(), n).is_some_and(|other| other != n) {
                key.add_error("another tenant holds this key");
            }
        }
        tenants.push(Tenant {
            name: name.to_owned(),
            priority: tenant.field("priority").optional(None, |at| Some(at.integer() as u32)),
            rate: tenant.field("requests-per-s").optional(0.0, Cursor::number),
            burst: tenant.field("burst-size").optional(0.0, Cursor::number),
        });
    }
    (!tenants.is_empty(), tenants, keys)
}

fn services<'v>(at: &Cursor<'v>) -> (Vec<Service>, BTreeMap<&'v str, usize>) {
    let (mut services, mut indices) = (Vec::new(), BTreeMap::new());
    for service in at.list() {
        let name = service.field("name").name();
        if indices.insert(name, services.len()).is_some() && !name.is_empty() {
            service.field("name").add_error("another service has this name");
        }
        let connections = service.field("connection-limit").optional(u64::MAX, Cursor::integer);
        services.push(Service { name: name.to_owned(), connections });
    }
    (services, indices)
}

fn hosts(at: &Cursor, services: &BTreeMap<&str, usize>) -> HashMap<String, Vec<Route>> {
    let mut hosts: HashMap<String, Vec<Route>> = HashMap::new();
    for listener in at.list() {
        let host = listener.field("host-name").name().to_ascii_lowercase();
        for rule in listener.field("rules").list() {
            let route = route(&rule, services);
            let routes = hosts.entry(host.clone()).or_default();
            if routes.iter().any(|other| other.prefix == route.prefix) {
                rule.field("match-conditions")
                    .field("path-prefix")
                    .add_error("another route has this host and prefix");
            }
            routes.push(route);
        }
    }
    for routes in hosts.values_mut() {
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
    }
    hosts
}

fn route(rule: &Cursor, services: &BTreeMap<&str, usize>) -> Route {
    let prefix = rule.field("match-conditions").field("path-prefix");
    let path = prefix.text();
    if !(path.starts_with('/') && path.ends_with('/')) {
        prefix.add_error("a prefix begins and ends with a slash");
    }
    let action = rule.field("route-action");
    let service = |at: Cursor| {
        let name = at.name();
        let index = services.get(name).copied();
        if index.is_none() && !name.is_empty() {
            at.add_error("no service has this name");
        }
        index
    };
    let mut split = Vec::new();
    if action.field("traffic-split").is_present() {
        for part in action.field("traffic-split").list() {
            let weight = part.field("weight").number();
            split.extend(service(part.field("service-name")).map(|index| (index, weight)));
        }
    } else {
        split.extend(service(action.field("service-name")).map(|index| (index, 1.0)));
    }
    let timeout = Duration::from_millis(action.field("timeout-ms").integer());
    if action.field("timeout-ms").is_present() && timeout.is_zero() {
        action.field("timeout-ms").add_error("must be above 0");
    }
    let target = rule.field("target-latency-ms");
    let target_time = target.optional(timeout, |at| Duration::from_millis(at.integer()));
    if target_time >= timeout.saturating_add(TARGET_EXCESS_MAX) {
        target.add_error("is a minute or more above the route's timeout-ms");
    }
    let attempts = action.field("max-attempts").optional(1, Cursor::integer);
    if attempts == 0 {
        action.field("max-attempts").add_error("must be above 0");
    }
    let retry_safety = match rule.field("route-kind").text() {
        "safe_method" => RetrySafety::Idempotent,
        "unsafe_method" => RetrySafety::AtMostOnce,
        _ => {
            rule.field("route-kind").add_error("safe_method or unsafe_method is expected");
            RetrySafety::AtMostOnce
        }
    };
    Route {
        name: rule.field("name").optional("", Cursor::text).to_owned(),
        prefix: path.to_owned(),
        retry_safety,
        target: target_time,
        timeout,
        attempts: attempts.min(u64::from(u32::MAX)) as u32,
        priority: rule.field("priority").optional(0, Cursor::integer) as u32,
        public: rule.field("public-access").optional(false, Cursor::flag),
        split,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use googletest::prelude::*;
    use serde_json::json;

    fn valid() -> Value {
        let rule = |name: &str, prefix: &str, action: Value| {
            json!({"name": name, "route-kind": "safe_method", "target-latency-ms": 250, "priority": 2,
                "match-conditions": {"path-prefix": prefix}, "route-action": action})
        };
        json!({
            "version": "0000000c",
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 1000, "header-timeout-ms": 3000,
                "idle-timeout-ms": 15000},
            "tenants": [{"name": "t", "api-keys": ["k1", "k2"], "priority": 1, "requests-per-s": 12.5,
                "burst-size": 10}, {"name": "u", "api-keys": ["k3"]}],
            "listeners": [{"host-name": "h.example", "rules": [
                rule("r", "/a/", json!({"service-name": "s", "timeout-ms": 600, "max-attempts": 2})),
                rule("r2", "/a/b/", json!({"traffic-split": [{"service-name": "s", "weight": 90},
                    {"service-name": "x", "weight": 10}], "timeout-ms": 600, "max-attempts": 2}))]}],
            "upstream-clusters": [{"name": "s", "connection-limit": 140}, {"name": "x"}]
        })
    }

    #[gtest]
    fn a_valid_configuration_is_read_in_full() {
        let read = check(&valid()).unwrap();
        expect_that!(read.version, eq(12));
        expect_that!(read.keys["k2"], eq(0));
        expect_that!(read.tenants[0].rate, near(12.5, 1e-9));
        expect_that!(read.route("H.example:80", "/a/b/c").unwrap().name, eq("r2"));
        expect_that!(read.route("h.example", "/a/c").unwrap().name, eq("r"));
        expect_that!(read.route("h.example", "/a/b").unwrap().name, eq("r"));
        expect_true!(read.route("h.example", "/b/").is_none());
        expect_true!(read.route("other", "/a/").is_none());
        expect_that!(read.route("h.example", "/a/b/c").unwrap().split, eq(&vec![(0, 90.0), (1, 10.0)]));
    }

    #[gtest]
    fn each_error_is_reported_with_its_path() {
        let cases: &[(&str, Value, &str)] = &[
            ("/version", json!("c"), "version"),
            ("/version", json!("0000000g"), "version"),
            ("/tenants/1/api-keys/0", json!("k1"), "tenants[1].api-keys[0]"),
            ("/tenants/1/name", json!("t"), "tenants[1].name"),
            (
                "/listeners/0/rules/0/route-action/service-name",
                json!("y"),
                "listeners[0].rules[0].route-action.service-name",
            ),
            (
                "/listeners/0/rules/1/route-action/traffic-split/1/service-name",
                json!("y"),
                "listeners[0].rules[1].route-action.traffic-split[1].service-name",
            ),
            (
                "/listeners/0/rules/0/route-action/max-attempts",
                json!(0),
                "listeners[0].rules[0].route-action.max-attempts",
            ),
            (
                "/listeners/0/rules/0/route-action/timeout-ms",
                json!(0),
                "listeners[0].rules[0].route-action.timeout-ms",
            ),
            (
                "/listeners/0/rules/0/target-latency-ms",
                json!(60_600),
                "listeners[0].rules[0].target-latency-ms",
            ),
            (
                "/listeners/0/rules/1/match-conditions/path-prefix",
                json!("/a/"),
                "listeners[0].rules[1].match-conditions.path-prefix",
            ),
            (
                "/listeners/0/rules/1/match-conditions/path-prefix",
                json!("/a"),
                "listeners[0].rules[1].match-conditions.path-prefix",
            ),
            ("/listeners/0/rules/1/route-kind", json!("odd"), "listeners[0].rules[1].route-kind"),
            ("/listeners", json!(null), "listeners"),
            ("/upstream-clusters", json!(7), "upstream-clusters"),
        ];
        for (pointer, value, path) in cases {
            let mut changed = valid();
            *changed.pointer_mut(pointer).unwrap() = value.clone();
            let errors = check(&changed).unwrap_err();
            let paths: Vec<&str> = errors.found.iter().map(|f| f.path.as_str()).collect();
            expect_that!(paths, contains(eq(path)), "{pointer}");
        }
    }

    #[gtest]
    fn a_target_less_than_a_minute_above_its_timeout_is_accepted() {
        let mut changed = valid();
        changed["listeners"][0]["rules"][0]["target-latency-ms"] = json!(60_599);
        expect_true!(check(&changed).is_ok());
    }

    #[gtest]
    fn a_configuration_truncated_anywhere_is_rejected() {
        let whole = serde_json::to_vec(&valid()).unwrap();
        expect_true!(parse(&whole).is_ok());
        for length in 0..whole.len() {
            expect_true!(parse(&whole[..length]).is_err(), "{length}");
        }
    }
}
