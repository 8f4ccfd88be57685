//! The servers' side: what is opened to them, and requests sent and answers read there.

pub mod dials;
pub mod side;
