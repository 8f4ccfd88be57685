//! Time limits of connections. A table in `docs/design.md` gives the reasons for the values.

use std::time::Duration;

/// The time within which a client's first request must be complete after connecting, and a later head after
/// its first byte. A client that sends nothing, or no request, must be disconnected within 3 s.
pub const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a new connection may be silent before it is the first to be evicted. A head that takes longer
/// counts as stalled, and can be evicted in favour of a source with far fewer connections.
pub const STALL_GRACE: Duration = Duration::from_millis(300);
/// The interval of eviction attempts while a new connection waits; silent connections and heads become
/// stalled in between.
pub const EVICTION_INTERVAL: Duration = Duration::from_millis(75);
/// The age from which an incomplete head can be evicted in favour of any source.
pub const HEAD_EVICTION_AGE: Duration = Duration::from_millis(2_100);
/// How long a client may be idle between two requests.
pub const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a client may send nothing of a body, and how long the body may take in addition to its time at
/// the minimum upload rate; for the first request of a connection this counts from connecting.
pub const UPLOAD_STALL_TIMEOUT: Duration = Duration::from_millis(2_300);
/// How long a server may send nothing of a response that has begun, a client read nothing of it, or sent data
/// stay unacknowledged by a client.
pub const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// How long sent data may stay unacknowledged by a server.
pub const SERVER_ACK_TIMEOUT: Duration = Duration::from_secs(1);
/// The interval at which connections are checked against these limits.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(250);
