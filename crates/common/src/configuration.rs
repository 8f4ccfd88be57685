//! Configurations as operators send them: read and checked whole.

use crate::paths::{At, Faults};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// A target that is so far above its route's time-out is no target.
const TARGET_OVER: Duration = Duration::from_secs(60);
/// Largest configuration that is read, bytes.
pub const BODY_MAX: usize = 8 << 20;

/// A configuration's number; the highest holds.
pub type Version = u32;

/// What a client may send, and how long it may take or stay idle.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Bytes of a head.
    pub head: usize,
    /// Bytes of a body.
    pub body: u64,
    /// Time for a head to come.
    pub head_time: Duration,
    /// Time that a connection may be idle.
    pub idle_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        let (head_time, idle_time) = (Duration::from_secs(3), Duration::from_secs(15));
        Limits { head: 16 << 10, body: 64 << 20, head_time, idle_time }
    }
}

/// Whose requests are counted together.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name, which servers are told.
    pub name: String,
    /// Its rank, 0 being the highest; without one the route's holds.
    pub priority: Option<u32>,
    /// Requests a second over all gatekeepers; 0 means no limit.
    pub rate: f64,
    /// Requests on top.
    pub burst: f64,
}

/// What may be done with a request more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeats {
    /// It may run more than once.
    Safe,
    /// It may run once at most.
    Once,
}

/// A rule that sends requests to servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The beginning of its paths.
    pub prefix: String,
    /// Whether its requests may be repeated.
    pub repeats: Repeats,
    /// An answer within this time has its full worth.
    pub target: Duration,
    /// The longest that it may be held.
    pub timeout: Duration,
    /// To how many servers one request may be sent.
    pub attempts: u32,
    /// Its rank, 0 being the highest.
    pub priority: u32,
    /// Whether it is served without a key.
    pub public: bool,
    /// Services by their place in [`Configuration::services`], with weights.
    pub split: Vec<(usize, f64)>,
}

/// Servers that do the same work.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name, which servers give.
    pub name: String,
    /// Connections that each of its servers accepts.
    pub connections: u64,
}

/// A configuration that is valid.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Its number.
    pub version: Version,
    /// Bounds for clients.
    pub limits: Limits,
    /// Whether requests must carry a key.
    pub keyed: bool,
    /// Tenants, in the order of the configuration.
    pub tenants: Vec<Tenant>,
    /// From key to tenant.
    pub keys: HashMap<String, usize>,
    /// Routes by host, the longest prefix first.
    pub hosts: HashMap<String, Vec<Route>>,
    /// Services, in the order of the configuration.
    pub services: Vec<Service>,
}

impl Configuration {
    /// The route of a request: of those of the host the one with the longest prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(host) {
            Some(routes) => routes,
            None => self.hosts.get(&host.to_ascii_lowercase())?,
        };
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}

/// Reads a version: eight hexadecimal digits.
pub fn version(text: &str) -> Option<Version> {
    let plain = text.len() == 8 && text.bytes().all(|b| b.is_ascii_hexdigit());
    Version::from_str_radix(text, 16).ok().filter(|_| plain)
}

/// Reads a configuration from its bytes and checks it whole.
///
/// # Errors
///
/// Every fault, by its path.
pub fn parse(bytes: &[u8]) -> Result<Configuration, Faults> {
    if bytes.len() > BODY_MAX {
        return Err(Faults::whole(format_args!("{} bytes are more than {BODY_MAX}", bytes.len())));
    }
    let value: Value = serde_json::from_slice(bytes).map_err(Faults::whole)?;
    check(&value)
}

/// Checks a configuration.
///
/// # Errors
///
/// Every fault, by its path.
pub fn check(value: &Value) -> Result<Configuration, Faults> {
    let at = At::whole(value);
    let read = Configuration {
        version: version(at.field("version").text()).unwrap_or_else(|| {
            at.field("version").wrong("eight hexadecimal digits are expected");
            0
        }),
        limits: limits(&at.field("limits")),
        ..Configuration::default()
    };
    let (keyed, tenants, keys) = tenants(&at.field("tenants"));
    let (services, places) = services(&at.field("upstream-clusters"));
    let hosts = hosts(&at.field("listeners"), &places);
    at.judge(Configuration { keyed, tenants, keys, hosts, services, ..read })
}

fn limits(at: &At) -> Limits {
    let otherwise = Limits::default();
    let time = |at: At, otherwise| at.or(otherwise, |at| Duration::from_millis(at.whole_number()));
    let size = |at: At, otherwise| at.or(otherwise, At::whole_number);
    Limits {
        head: size(at.field("max-header-bytes"), otherwise.head as u64) as usize,
        body: size(at.field("max-body-bytes"), otherwise.body),
        head_time: time(at.field("header-timeout-ms"), otherwise.head_time),
        idle_time: time(at.field("idle-timeout-ms"), otherwise.idle_time),
    }
}

type Tenants = (bool, Vec<Tenant>, HashMap<String, usize>);

fn tenants(at: &At) -> Tenants {
    let (mut tenants, mut keys) = (Vec::new(), HashMap::new());
    let mut names = BTreeMap::new();
    for (n, tenant) in at.or(Vec::new(), At::list).iter().enumerate() {
        let name = tenant.field("name").name();
        if names.insert(name, n).is_some() && !name.is_empty() {
            tenant.field("name").wrong("another tenant has this name");
        }
        for key in tenant.field("api-keys").or(Vec::new(), At::list) {
            let text = key.name();
            if keys.insert(text.to_owned(), n).is_some_and(|other| other != n) {
                key.wrong("another tenant holds this key");
            }
        }
        tenants.push(Tenant {
            name: name.to_owned(),
            priority: tenant.field("priority").or(None, |at| Some(at.whole_number() as u32)),
            rate: tenant.field("requests-per-s").or(0.0, At::number),
            burst: tenant.field("burst-size").or(0.0, At::number),
        });
    }
    (!tenants.is_empty(), tenants, keys)
}

fn services<'v>(at: &At<'v>) -> (Vec<Service>, BTreeMap<&'v str, usize>) {
    let (mut services, mut places) = (Vec::new(), BTreeMap::new());
    for service in at.list() {
        let name = service.field("name").name();
        if places.insert(name, services.len()).is_some() && !name.is_empty() {
            service.field("name").wrong("another service has this name");
        }
        let connections = service.field("connection-limit").or(u64::MAX, At::whole_number);
        services.push(Service { name: name.to_owned(), connections });
    }
    (services, places)
}

fn hosts(at: &At, services: &BTreeMap<&str, usize>) -> HashMap<String, Vec<Route>> {
    let mut hosts: HashMap<String, Vec<Route>> = HashMap::new();
    for listener in at.list() {
        let host = listener.field("host-name").name().to_ascii_lowercase();
        for rule in listener.field("rules").list() {
            let route = route(&rule, services);
            let routes = hosts.entry(host.clone()).or_default();
            if routes.iter().any(|other| other.prefix == route.prefix) {
                rule.field("match-conditions")
                    .field("path-prefix")
                    .wrong("another route has this host and prefix");
            }
            routes.push(route);
        }
    }
    for routes in hosts.values_mut() {
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
    }
    hosts
}

fn route(rule: &At, services: &BTreeMap<&str, usize>) -> Route {
    let prefix = rule.field("match-conditions").field("path-prefix");
    let path = prefix.text();
    if !(path.starts_with('/') && path.ends_with('/')) {
        prefix.wrong("a prefix begins and ends with a slash");
    }
    let action = rule.field("route-action");
    let service = |at: At| {
        let name = at.name();
        let place = services.get(name).copied();
        if place.is_none() && !name.is_empty() {
            at.wrong("no service has this name");
        }
        place
    };
    let mut split = Vec::new();
    if action.field("traffic-split").is_there() {
        for part in action.field("traffic-split").list() {
            let weight = part.field("weight").number();
            split.extend(service(part.field("service-name")).map(|place| (place, weight)));
        }
    } else {
        split.extend(service(action.field("service-name")).map(|place| (place, 1.0)));
    }
    let timeout = Duration::from_millis(action.field("timeout-ms").whole_number());
    if action.field("timeout-ms").is_there() && timeout.is_zero() {
        action.field("timeout-ms").wrong("must be above 0");
    }
    let target = rule.field("target-latency-ms");
    let target_time = target.or(timeout, |at| Duration::from_millis(at.whole_number()));
    if target_time >= timeout.saturating_add(TARGET_OVER) {
        target.wrong("is a minute or more above the route's timeout-ms");
    }
    let attempts = action.field("max-attempts").or(1, At::whole_number);
    if attempts == 0 {
        action.field("max-attempts").wrong("must be above 0");
    }
    let repeats = match rule.field("route-kind").text() {
        "safe_method" => Repeats::Safe,
        "unsafe_method" => Repeats::Once,
        _ => {
            rule.field("route-kind").wrong("safe_method or unsafe_method is expected");
            Repeats::Once
        }
    };
    Route {
        name: rule.field("name").or("", At::text).to_owned(),
        prefix: path.to_owned(),
        repeats,
        target: target_time,
        timeout,
        attempts: attempts.min(u64::from(u32::MAX)) as u32,
        priority: rule.field("priority").or(0, At::whole_number) as u32,
        public: rule.field("public-access").or(false, At::flag),
        split,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use googletest::prelude::*;
    use serde_json::json;

    fn good() -> Value {
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
    fn a_valid_one_is_read_whole() {
        let read = check(&good()).unwrap();
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
    fn each_fault_is_refused_by_its_path() {
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
        for (place, value, path) in cases {
            let mut changed = good();
            *changed.pointer_mut(place).unwrap() = value.clone();
            let faults = check(&changed).unwrap_err();
            let places: Vec<&str> = faults.found.iter().map(|f| f.path.as_str()).collect();
            expect_that!(places, contains(eq(path)), "{place}");
        }
    }

    #[gtest]
    fn a_target_less_than_a_minute_above_its_time_out_will_do() {
        let mut changed = good();
        changed["listeners"][0]["rules"][0]["target-latency-ms"] = json!(60_599);
        expect_true!(check(&changed).is_ok());
    }

    #[gtest]
    fn what_is_cut_short_anywhere_is_refused() {
        let whole = serde_json::to_vec(&good()).unwrap();
        expect_true!(parse(&whole).is_ok());
        for length in 0..whole.len() {
            expect_true!(parse(&whole[..length]).is_err(), "{length}");
        }
    }
}
