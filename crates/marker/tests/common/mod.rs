//! Shared test support for the core.

pub mod world;
