//! Hollow servers: their beats over HTTP, a connection each, and no requests.

use super::configuration::service;
use super::seen::Seen;
use super::size::zone;
use crate::loopback::system::{call, request};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How often a server beats.
pub const BEAT: Duration = Duration::from_millis(1_500);

/// What one server says of itself.
fn beat(number: usize, services: usize, zone: &str, sequence: u64) -> String {
    // Nobody calls it there: an address of the documentation's.
    let address = format!("198.{}.{}.{}:8080", 18 + number / 62_500, number / 250 % 250, 1 + number % 250);
    serde_json::json!({
        "address": address,
        "information": {"service-name": service(number % services), "version": "v1", "zone": zone,
            "capacity-slots": 4},
        "status": {"state": "ready", "call-sequence": sequence, "cold-remaining-ms": 0},
    })
    .to_string()
}

/// Runs one until its thread ends: it beats at the marker of its zone, and at the next one where that fails.
pub async fn run(seen: Arc<Seen>, number: usize, services: usize, zones: usize, markers: Arc<[SocketAddr]>) {
    let (life, zone) = (format!("i-{number:06}"), zone(number, zones));
    let path = format!("/Instances.Heartbeat/{life}");
    let (mut at, mut first) = (number % markers.len(), true);
    for sequence in 1u64.. {
        let body = beat(number, services, &zone, sequence);
        let good = call(markers[at], request("POST", &path, &[("host", "control")], body)).await;
        let good = matches!(good, Ok((200, _)));
        seen.beat(good, good && first);
        if good {
            first = false;
            tokio::time::sleep(BEAT).await;
        } else {
            at = (at + 1) % markers.len();
            tokio::time::sleep(BEAT / 10).await;
        }
    }
}
