//! Start, reload, upgrade and stop.

pub mod handover;
pub mod run;
