//! The one closed list of error kinds of the system, and what each is answered with.

use std::fmt;

/// What went wrong, as far as whoever asked is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// A settings file can't be used.
    Settings,
    /// A command line can't be used.
    Usage,
    /// A configuration can't be read in full, or is invalid.
    Configuration,
    /// The number of a configuration stands for another content.
    Conflict,
    /// No call, or no route, is known by this name.
    Unknown,
    /// A call or a request lacks what it must carry.
    Malformed,
    /// A body or a head is over its limit.
    TooLarge,
    /// The body did not come in time.
    TooSlow,
    /// A key that no tenant holds.
    Key,
    /// A tenant is beyond what it may ask for.
    Quota,
    /// There is no room, or no server, for a request that has not run.
    NoRoom,
    /// Nothing is known yet that an answer could be based on.
    NotReady,
    /// Another marker answers this call.
    Elsewhere,
    /// What was asked for could not be made certain in time.
    Uncertain,
    /// A server failed a request that may have run.
    Upstream,
    /// The time is over for a request that may have run.
    Deadline,
    /// The disk, or a peer, failed this process.
    Internal,
}

/// What a kind is answered with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row {
    /// The kind.
    pub kind: Kind,
    /// Its name in logs and answers.
    pub name: &'static str,
    /// The HTTP status.
    pub status: u16,
    /// Whether the answer promises that the request has not run and never will.
    pub promises: bool,
    /// What to do about it.
    pub advice: &'static str,
}

/// From kind to answer: every kind has its row.
pub const TABLE: [Row; 17] = [
    row(Kind::Settings, "settings", 500, false, "mend the settings file; the process ended with status 2"),
    row(Kind::Usage, "usage", 500, false, "see --help"),
    row(Kind::Configuration, "configuration", 400, false, "mend what is named by its path and send it again"),
    row(
        Kind::Conflict,
        "conflict",
        409,
        false,
        "read the newest configuration and send the change under a higher number",
    ),
    row(Kind::Unknown, "unknown", 404, false, "no route or call has this name"),
    row(Kind::Malformed, "malformed", 400, false, "mend the request"),
    row(Kind::TooLarge, "too-large", 413, false, "send less"),
    row(Kind::TooSlow, "too-slow", 408, true, "send the whole request sooner"),
    row(Kind::Key, "key", 401, false, "send a key that the configuration holds"),
    row(Kind::Quota, "quota", 429, true, "come back after Retry-After"),
    row(Kind::NoRoom, "no-room", 503, true, "come back after Retry-After"),
    row(Kind::NotReady, "not-ready", 503, true, "come back after Retry-After"),
    row(Kind::Elsewhere, "elsewhere", 307, false, "call the address in Location"),
    row(Kind::Uncertain, "uncertain", 503, false, "send the same call again"),
    row(Kind::Upstream, "upstream", 502, false, "whether it ran is not known"),
    row(Kind::Deadline, "deadline", 504, false, "whether it ran is not known"),
    row(Kind::Internal, "internal", 500, false, "see the log of the process"),
];

const fn row(kind: Kind, name: &'static str, status: u16, promises: bool, advice: &'static str) -> Row {
    Row { kind, name, status, promises, advice }
}

impl Kind {
    /// Its row of the table.
    pub fn row(self) -> &'static Row {
        // The table stands in the order of the list.
        &TABLE[self as usize]
    }

    /// The HTTP status that it is answered with.
    pub fn status(self) -> u16 {
        self.row().status
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.row().name)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use googletest::prelude::*;

    #[gtest]
    fn each_kind_finds_its_own_row() {
        for (place, row) in TABLE.iter().enumerate() {
            expect_that!(row.kind as usize, eq(place));
            expect_that!(row.kind.row().name, eq(row.name));
        }
    }

    #[gtest]
    fn only_statuses_that_promise_are_answered_where_the_request_has_not_run() {
        for row in TABLE.iter().filter(|row| row.promises) {
            expect_true!([408, 421, 429, 503].contains(&row.status));
        }
    }
}
