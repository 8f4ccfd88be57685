//! What was seen of a fleet of processes, by one clock: the only thing that the judge goes by.

use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};

/// Events kept; what comes past it is counted, and the run is not decided.
const EVENTS_MAX: usize = 4_000_000;

/// One event.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct Event {
    /// When, µs from the start of the run.
    pub at: u64,
    /// What was seen.
    #[serde(flatten)]
    pub what: Seen,
}

/// In what a gatekeeper is hindered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Hindrance {
    /// It does not run, or not always.
    Runs,
    /// Clients don't reach it, or not in time.
    Answers,
    /// What it sends to servers may arrive late.
    Sends,
}

impl Hindrance {
    /// What is shown of it.
    pub fn word(self) -> &'static str {
        match self {
            Hindrance::Runs => "paused",
            Hindrance::Answers => "cut off from clients",
            Hindrance::Sends => "its ways to servers",
        }
    }
}

/// What can be seen.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(tag = "seen", rename_all = "snake_case")]
pub enum Seen {
    /// A gatekeeper's process was started.
    Started {
        /// Its number.
        gatekeeper: usize,
    },
    /// A gatekeeper's process is no more.
    Ended {
        /// Its number.
        gatekeeper: usize,
        /// Whether the rig has ended it, or asked it to end.
        asked: bool,
        /// How.
        how: String,
    },
    /// From now on a gatekeeper can't be held to its times.
    Hindered {
        /// Its number.
        gatekeeper: usize,
        /// In what.
        what: Hindrance,
        /// The fault's number.
        by: usize,
    },
    /// That is over.
    Freed {
        /// As it was hindered.
        gatekeeper: usize,
        /// See `Hindered`.
        what: Hindrance,
        /// See `Hindered`.
        by: usize,
    },
    /// A fault of the schedule began or ended.
    Fault {
        /// Its place in the file.
        number: usize,
        /// Whether it began.
        begins: bool,
    },
    /// A client's try was written to a gatekeeper's connection.
    Asked {
        /// The try.
        id: u64,
        /// Who got it.
        gatekeeper: usize,
        /// Whose it is.
        customer: usize,
        /// The class's place.
        class: usize,
        /// The plan's place.
        plan: usize,
        /// Units, as guessed.
        units: f64,
        /// The client waits so long, µs.
        patience: u64,
    },
    /// It was answered.
    Answered {
        /// The try.
        id: u64,
        /// HTTP's.
        status: u16,
        /// Whether the body is what a server made for this try.
        own: bool,
    },
    /// Its connection ended without a whole answer.
    Broke {
        /// The try.
        id: u64,
        /// Whether an answer had begun: then its client can tell that it is not whole.
        begun: bool,
    },
    /// Nothing came until long after its time.
    Silence {
        /// The try.
        id: u64,
    },
    /// A server got a try whole.
    Reached {
        /// The try.
        id: u64,
        /// The server's name.
        server: String,
        /// Whether it may have run, a repeat that was dropped included; else it was turned away.
        ran: bool,
    },
    /// A cold server was pushed over.
    Fell {
        /// Its name.
        server: String,
    },
    /// A gatekeeper was sent a list, or what changed of one.
    Told {
        /// Its number.
        gatekeeper: usize,
        /// The version.
        rev: u64,
        /// Whether it names all servers.
        all: bool,
        /// Servers, and whether they take new work.
        servers: Vec<(String, bool)>,
    },
    /// The list service's version at the end.
    Listed {
        /// The version.
        rev: u64,
    },
    /// A gatekeeper said something of its own state.
    Said {
        /// Its number.
        gatekeeper: usize,
        /// Its words.
        words: serde_json::Value,
    },
    /// The rig itself stood still.
    Held {
        /// For how long, µs.
        micros: u64,
    },
    /// The rig could not do what the schedule says.
    Failed {
        /// What, and why not.
        what: String,
    },
    /// Clients stopped asking.
    Over,
}

/// Gathers events as they are seen.
pub struct History {
    begun: Instant,
    events: RefCell<Vec<Event>>,
    dropped: Cell<u64>,
}

impl Default for History {
    fn default() -> History {
        History { begun: Instant::now(), events: RefCell::default(), dropped: Cell::new(0) }
    }
}

impl History {
    /// Something is seen now.
    pub fn sees(&self, what: Seen) {
        let mut events = self.events.borrow_mut();
        if events.len() >= EVENTS_MAX {
            self.dropped.set(self.dropped.get() + 1);
        } else {
            events.push(Event { at: self.elapsed().as_micros() as u64, what });
        }
    }

    /// The time by its clock.
    pub fn elapsed(&self) -> Duration {
        self.begun.elapsed()
    }

    /// All that was seen, and how much had no room.
    pub fn take(&self) -> (Vec<Event>, u64) {
        (self.events.take(), self.dropped.get())
    }
}
