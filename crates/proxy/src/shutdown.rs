//! Graceful shutdown after SIGTERM: every request that was read is answered before the process exits.

use crate::connections::ClientConnections;
use crate::listeners::IDLE_BEFORE_CLOSE;
use crate::shared_state::SharedState;
use std::fmt;
use std::time::Duration;
use tokio::sync::Notify;

/// Interval of the checks whether all requests are answered.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The result of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownReport {
    /// Time from the signal to the end of the shutdown.
    pub took: Duration,
    /// Requests that were left without a response.
    pub unanswered: usize,
    /// Client connections that were still open.
    pub open_connections: usize,
}

impl fmt::Display for ShutdownReport {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let took = self.took.as_millis();
        write!(f, "{took} ms, unanswered {}, connections open {}", self.unanswered, self.open_connections)
    }
}

/// Shuts a gatekeeper down within its grace period. New connections are accepted until this function notifies
/// `stop_accepting`. Each request that was read is answered, and each connection closes after its last
/// response.
pub async fn shut_down(
    shared: &SharedState,
    connections: &ClientConnections,
    stop_accepting: &Notify,
    grace: Duration,
) -> ShutdownReport {
    let started_at = shared.now();
    let drain = shared.begin_drain(grace);
    let mut is_accepting = true;
    loop {
        connections.close_all(IDLE_BEFORE_CLOSE);
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = shared.now();
        if is_accepting && now >= drain.accepts_until() {
            stop_accepting.notify_one();
            is_accepting = false;
            continue;
        }
        let is_done = !is_accepting && shared.open_requests.get() == 0 && connections.count() == 0;
        if is_done || now >= drain.ends_at() {
            return ShutdownReport {
                took: Duration::from_millis(now - started_at),
                unanswered: shared.open_requests.get(),
                open_connections: connections.count(),
            };
        }
    }
}
