//! The messages that the processes of the system exchange, and the long-lived connections that carry them.
//!
//! [`messages`] defines every message, [`frames`] their encoding on a byte stream and [`connection`] the
//! transport over TCP. [`difference`] computes deltas between configurations, so that a small change makes a
//! small message. [`ledger`] records which content each configuration version identifies.

pub mod connection;
pub mod difference;
pub mod frames;
pub mod ledger;
pub mod messages;
