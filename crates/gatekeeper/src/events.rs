//! What a gatekeeper says of its own state: a line of JSON an event on standard output, where the configuration has
//! `"events": true`. For trials that judge by histories; nothing is written where it is absent.

use serde::Serialize;
use std::io::Write;

/// What it says.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Own<'a> {
    /// It has a list to serve by.
    Ready,
    /// It goes by that version of the list from now on.
    List {
        /// The version.
        rev: u64,
        /// Which line of versions it is of; 0 where that was not told.
        epoch: u64,
    },
    /// A server is left out by hand, or put back.
    ByHand {
        /// Its name.
        server: &'a str,
        /// Whether it is out.
        out: bool,
    },
    /// Clients are sent away.
    Evacuates,
    /// They are not any more.
    Activates,
    /// Another gatekeeper has come to be alive, or dead, as far as this one knows.
    Member {
        /// Its number.
        gatekeeper: u16,
        /// Which.
        alive: bool,
    },
    /// It was told to stop.
    Stops,
}

/// Says such things, or nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Events {
    on: bool,
}

impl Events {
    /// Off unless `on`.
    pub fn new(on: bool) -> Events {
        Events { on }
    }

    /// Something has come about.
    pub fn says(self, what: &Own) {
        if !self.on {
            return;
        }
        if let Ok(line) = serde_json::to_string(what) {
            // Whoever asked for it and does not read it goes without.
            let _ = writeln!(std::io::stdout().lock(), "{line}");
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_event_is_a_line_that_names_itself() {
        let line = |what: &Own| serde_json::to_string(what).unwrap();
        assert_eq!(line(&Own::List { rev: 7, epoch: 2 }), r#"{"event":"list","rev":7,"epoch":2}"#);
        let out = Own::ByHand { server: "s-1", out: true };
        assert_eq!(line(&out), r#"{"event":"by_hand","server":"s-1","out":true}"#);
    }
}
