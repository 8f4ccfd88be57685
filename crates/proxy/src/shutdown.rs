//! The end of the process after SIGTERM: every request that was read is answered, then it ends.

use crate::connections::ClientConnections;
use crate::front::Front;
use crate::listeners::CLOSE_PATIENCE;
use std::fmt;
use std::time::Duration;
use tokio::sync::Notify;

/// How often it is looked whether all is answered.
const TICK: Duration = Duration::from_millis(50);

/// How a process has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownReport {
    /// From the signal to the end.
    pub took: Duration,
    /// Requests that had no answer.
    pub unanswered: usize,
    /// Clients' connections that were still open.
    pub open_connections: usize,
}

impl fmt::Display for ShutdownReport {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let took = self.took.as_millis();
        write!(f, "{took} ms, unanswered {}, connections open {}", self.unanswered, self.open_connections)
    }
}

/// Ends a gatekeeper in order, within its grace period. New connections are taken until `stop_accepting` is notified
/// here; each request that was read gets its answer, and each connection closes after its last one.
pub async fn shut_down(
    front: &Front,
    connections: &ClientConnections,
    stop_accepting: &Notify,
    grace: Duration,
) -> ShutdownReport {
    let begun = front.now();
    let drain = front.begin_drain(grace);
    let mut accepts = true;
    loop {
        connections.close_all(CLOSE_PATIENCE);
        tokio::time::sleep(TICK).await;
        let now = front.now();
        if accepts && now >= drain.accepts_until() {
            stop_accepting.notify_one();
            accepts = false;
            continue;
        }
        let is_done = !accepts && front.open.get() == 0 && connections.count() == 0;
        if is_done || now >= drain.ends_at() {
            return ShutdownReport {
                took: Duration::from_millis(now - begun),
                unanswered: front.open.get(),
                open_connections: connections.count(),
            };
        }
    }
}
