//! The time limits of connections. `docs/design.md` has their reasons in a table.

use std::time::Duration;

/// How long after connecting a client's first request must be there whole, or a further head after its first
/// byte: one that sends nothing, or not a request, is owed a close within 3 s.
pub const FIRST: Duration = Duration::from_millis(2_500);
/// How long a newcomer may be silent before it is the first to make room; a head that takes longer hangs, and
/// makes room for a source that has far less.
pub const NEW: Duration = Duration::from_millis(300);
/// How often room is looked for while a newcomer waits: silent ones and heads come to hang meanwhile.
pub const ROOM: Duration = Duration::from_millis(75);
/// How long a head may take before it makes room.
pub const HEAD: Duration = Duration::from_millis(2_100);
/// How long a client may be silent between two requests.
pub const IDLE: Duration = Duration::from_secs(60);
/// How long a client may send nothing of a body, and how long it may take for one over and above what its
/// rate gives it; for the first request of a connection that is counted from connecting.
pub const UPLOAD_STALL: Duration = Duration::from_millis(2_300);
/// How long a server may send nothing of an answer that has begun, a client take nothing of it, or sent data
/// stay unacknowledged by a client.
pub const FLOW_STALL: Duration = Duration::from_secs(10);
/// How long sent data may stay unacknowledged by a server.
pub const SERVER_ACK: Duration = Duration::from_secs(1);
/// How often connections are looked at for these.
pub const LOOK: Duration = Duration::from_millis(250);
