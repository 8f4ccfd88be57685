//! What a gatekeeper is told on loopback.

use crate::experiment::{Effect, Experiment};
use crate::world::settings;
use serde_json::{json, Value};
use std::net::SocketAddr;

/// Descriptors and memory that it is told it has.
const LIMITS: (usize, u32) = (1_024, 192);

/// Where a gatekeeper listens, and where it finds the others.
pub struct Places {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call.
    pub admin: SocketAddr,
    /// The list service, and then its mirrors.
    pub lists: Vec<SocketAddr>,
    /// The counter.
    pub counter: SocketAddr,
    /// Where datagrams come in, where each gatekeeper is reached, itself included, and where all are; none where there
    /// are no datagrams.
    pub peers: Option<(SocketAddr, Vec<SocketAddr>, SocketAddr)>,
}

/// What gatekeeper number `me` of an experiment is told.
pub fn config(experiment: &Experiment, me: usize, places: &Places, seed: u64) -> Value {
    let zones = &experiment.fleet.zones;
    let it = settings(experiment);
    let services = experiment.classes.iter().zip(&it.classes).map(|(named, class)| {
        let effect = match named.effect {
            Effect::Idempotent => "idempotent",
            Effect::Deduplicated => "deduplicated",
            Effect::AtMostOnce => "at_most_once",
        };
        json!({"name": named.name, "aimUs": class.aim, "giveUpUs": class.deadline,
               "effect": effect, "group": "all", "keyTtlUs": class.key_window})
    });
    let plans = experiment.plans.iter().zip(&it.plans).map(|(named, plan)| {
        json!({"name": named.name, "rate": plan.rate, "storeSize": plan.burst, "hardRate": plan.ceiling_rate,
               "capDepth": plan.ceiling_burst, "ceilingSlack": plan.ceiling_slack,
               "beyondEarns": plan.over_quota_value, "overCost": plan.over_quota_cost})
    });
    let mut told = json!({
        "name": format!("n{me}"), "listen": places.listen, "admin_addr": places.admin, "events": true,
        "discovery": places.lists[0], "discovery_more": places.lists[1..],
        "counter": it.counter.then_some(places.counter), "seed": format!("{seed:x}"),
        "limits": {"cores": 1.0, "memory_mb": LIMITS.1, "sockets": LIMITS.0},
        "settings": {
            "instances": it.instances, "me": me, "resolutionUs": it.resolution, "zone": zones[me % zones.len()],
            "registryMode": "pushed",
            "familyInfo": {"mayCount": it.counter, "mostUnits": it.max_request_units,
                           "costAfter": it.estimated_units,
                           "countWaitUs": it.counter_timeout},
            "limits": {"maxAttempts": it.limits.max_attempts, "mayCancel": it.limits.cancel,
                       "mayDuplicate": it.limits.hedging, "retryAfter": true,
                       "maxRetryAfterUs": it.limits.max_retry_after, "connIdleUs": 30_000_000,
                       "connectTimeoutUs": 250_000},
            "rules": {"coldFrom": it.rules.cold_from, "coldUs": it.rules.cold_for,
                      "fallMultiple": it.rules.fall_multiple, "tipAfterUs": it.rules.fall_after},
            "services": services.collect::<Vec<_>>(),
            "tiersOfService": plans.collect::<Vec<_>>(),
        }
    });
    if let Some((listen, peers, all)) = &places.peers {
        told["peer_listen"] = json!(listen);
        told["peers"] = json!(peers);
        told["peers_all"] = json!(all);
        told["membership"] = json!({"fleet": "laboratory"});
    }
    told
}
