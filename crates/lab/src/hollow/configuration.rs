//! Configurations of a given size, as operators send them.

use super::size::Size;
use serde_json::{json, Value};

/// Routes of one host.
const ROUTES_A_HOST: usize = 100;

/// The name of a tenant.
pub fn tenant(number: usize) -> String {
    format!("tenant-{number:06}")
}

/// The name of a service.
pub fn service(number: usize) -> String {
    format!("service-{number:04}")
}

fn rule(number: usize, services: usize) -> Value {
    json!({
        "name": format!("route-{number:06}"), "route-kind": "safe_method", "target-latency-ms": 250,
        "match-conditions": {"path-prefix": format!("/part-{:03}/", number % ROUTES_A_HOST)},
        "route-action": {"service-name": service(number % services), "timeout-ms": 2000, "max-attempts": 2},
    })
}

/// A configuration of this size with a version.
pub fn configuration(size: &Size, version: u32) -> String {
    let services = size.services();
    let tenants: Vec<Value> = (0..size.tenants)
        .map(|n| json!({"name": tenant(n), "api-keys": [format!("key-{n:020}")], "requests-per-s": 50, "burst-size": 50}))
        .collect();
    let routes: Vec<usize> = (0..size.routes).collect();
    let listeners: Vec<Value> = routes
        .chunks(ROUTES_A_HOST)
        .enumerate()
        .map(|(n, of)| {
            let rules: Vec<Value> = of.iter().map(|route| rule(*route, services)).collect();
            json!({"host-name": format!("host-{n:05}.example"), "rules": rules})
        })
        .collect();
    let services: Vec<Value> = (0..services)
        .map(|n| json!({"name": service(n), "health-check-path": "/health", "connection-limit": 100}))
        .collect();
    json!({
        "version": format!("{version:08x}"),
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 1048576, "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000},
        "tenants": tenants, "listeners": listeners, "upstream-clusters": services,
    })
    .to_string()
}
