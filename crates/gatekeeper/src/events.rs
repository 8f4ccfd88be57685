//! Writes state changes of this gatekeeper as JSON lines to standard output if the configuration has
//! `"events": true`. Test runs that check event histories use them.

use serde::Serialize;
use std::io::Write;

/// A state change of this gatekeeper.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum StateChange<'a> {
    /// The first server list of discovery has been applied.
    Ready,
    /// A version of the server list has been applied.
    List {
        /// Version of the list.
        rev: u64,
        /// Epoch of the version; 0 if discovery sent none.
        epoch: u64,
    },
    /// Operators have excluded a server, or included it again.
    #[serde(rename = "by_hand")]
    Exclusion {
        /// The server's `uid`.
        server: &'a str,
        /// Whether it is excluded.
        #[serde(rename = "out")]
        excluded: bool,
    },
    /// Draining of client connections has started.
    Evacuates,
    /// Draining of client connections has ended.
    Activates,
    /// This gatekeeper's view of another one has changed.
    Member {
        /// Number of the other gatekeeper.
        gatekeeper: u16,
        /// Whether it is considered alive.
        alive: bool,
    },
    /// Shutdown has started.
    Stops,
}

/// Writes events if enabled.
#[derive(Clone, Copy, Debug, Default)]
pub struct Events {
    enabled: bool,
}

impl Events {
    /// Creates a writer that does nothing unless `on`.
    pub fn new(on: bool) -> Events {
        Events { enabled: on }
    }

    /// Writes an event.
    pub fn emit(self, change: &StateChange) {
        if !self.enabled {
            return;
        }
        if let Ok(line) = serde_json::to_string(change) {
            // Write errors are ignored: a closed standard output must not stop the gatekeeper.
            let _ = writeln!(std::io::stdout().lock(), "{line}");
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_event_is_serialized_with_its_name() {
        let line = |what: &StateChange| serde_json::to_string(what).unwrap();
        assert_eq!(line(&StateChange::List { rev: 7, epoch: 2 }), r#"{"event":"list","rev":7,"epoch":2}"#);
        let exclusion = StateChange::Exclusion { server: "s-1", excluded: true };
        assert_eq!(line(&exclusion), r#"{"event":"by_hand","server":"s-1","out":true}"#);
    }
}
