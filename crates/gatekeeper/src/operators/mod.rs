//! Operator commands: the admin socket, and the servers that operators have excluded.

pub mod admin;
pub mod exclusions;
