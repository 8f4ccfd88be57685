//! The complete list of error kinds of the system, and the response to each.

use std::fmt;

/// The kind of an error, from the point of view of the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ErrorKind {
    /// A settings file is invalid.
    Settings,
    /// A command line is invalid.
    Usage,
    /// A configuration can't be parsed or is invalid.
    Configuration,
    /// The version of a configuration already identifies another content.
    Conflict,
    /// There is no call or no route with this name.
    Unknown,
    /// A call or a request lacks required data or contains invalid data.
    Malformed,
    /// A body or a header section exceeds its limit.
    TooLarge,
    /// The body was not received in time.
    TooSlow,
    /// The API key belongs to no tenant.
    UnknownKey,
    /// A tenant has exceeded its quota.
    Quota,
    /// There is no capacity or no server for a request; it has not been executed.
    Overloaded,
    /// The process has not received the data that a response needs yet.
    NotReady,
    /// Another marker answers this call.
    Redirected,
    /// The outcome of the call could not be confirmed in time.
    Uncertain,
    /// A server failed to answer a request that may have been executed.
    Upstream,
    /// The deadline of a request that may have been executed has passed.
    Deadline,
    /// The disk or a peer of this process failed.
    Internal,
}

/// The response to an error of one kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// The kind.
    pub kind: ErrorKind,
    /// Its name in logs and responses.
    pub name: &'static str,
    /// The HTTP status.
    pub status: u16,
    /// Whether the response guarantees that the request has not been executed and never will be.
    pub not_executed: bool,
    /// What the caller can do about it.
    pub advice: &'static str,
}

/// The responses to all kinds, in the order of [`ErrorKind`].
pub const ERROR_RESPONSES: [ErrorResponse; 17] = [
    response(
        ErrorKind::Settings,
        "settings",
        500,
        false,
        "mend the settings file; the process ended with status 2",
    ),
    response(ErrorKind::Usage, "usage", 500, false, "see --help"),
    response(
        ErrorKind::Configuration,
        "configuration",
        400,
        false,
        "mend what is named by its path and send it again",
    ),
    response(
        ErrorKind::Conflict,
        "conflict",
        409,
        false,
        "read the newest configuration and send the change under a higher number",
    ),
    response(ErrorKind::Unknown, "unknown", 404, false, "no route or call has this name"),
    response(ErrorKind::Malformed, "malformed", 400, false, "mend the request"),
    response(ErrorKind::TooLarge, "too-large", 413, false, "send less"),
    response(ErrorKind::TooSlow, "too-slow", 408, true, "send the whole request sooner"),
    response(ErrorKind::UnknownKey, "key", 401, false, "send a key that the configuration holds"),
    response(ErrorKind::Quota, "quota", 429, true, "come back after Retry-After"),
    response(ErrorKind::Overloaded, "no-room", 503, true, "come back after Retry-After"),
    response(ErrorKind::NotReady, "not-ready", 503, true, "come back after Retry-After"),
    response(ErrorKind::Redirected, "elsewhere", 307, false, "call the address in Location"),
    response(ErrorKind::Uncertain, "uncertain", 503, false, "send the same call again"),
    response(ErrorKind::Upstream, "upstream", 502, false, "whether it ran is not known"),
    response(ErrorKind::Deadline, "deadline", 504, false, "whether it ran is not known"),
    response(ErrorKind::Internal, "internal", 500, false, "see the log of the process"),
];

const fn response(
    kind: ErrorKind,
    name: &'static str,
    status: u16,
    not_executed: bool,
    advice: &'static str,
) -> ErrorResponse {
    ErrorResponse { kind, name, status, not_executed, advice }
}

impl ErrorKind {
    /// The response to this kind.
    pub fn response(self) -> &'static ErrorResponse {
        &ERROR_RESPONSES[self as usize]
    }

    /// The HTTP status of the response.
    pub fn status(self) -> u16 {
        self.response().status
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str(self.response().name)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use googletest::prelude::*;

    #[gtest]
    fn each_kind_has_its_own_response() {
        for (index, response) in ERROR_RESPONSES.iter().enumerate() {
            expect_that!(response.kind as usize, eq(index));
            expect_that!(response.kind.response().name, eq(response.name));
        }
    }

    #[gtest]
    fn only_certain_statuses_guarantee_that_the_request_was_not_executed() {
        for response in ERROR_RESPONSES.iter().filter(|response| response.not_executed) {
            expect_true!([408, 421, 429, 503].contains(&response.status));
        }
    }
}
