//! What the tests of the core share.

pub mod world;
