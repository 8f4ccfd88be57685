//! Process lifecycle: startup, configuration reload, upgrade and shutdown.

pub mod handover;
pub mod run;
