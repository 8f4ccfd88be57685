//! What both programs of the system read and check: the settings of a process, the operators' configurations,
//! the closed list of error kinds, the log.
//!
//! Settings and configurations are [`serde_json::Value`]s, walked by [`paths`]: every fault is named by its path,
//! and all of them are told at once.

pub mod command;
pub mod configuration;
pub mod kinds;
pub mod logs;
pub mod paths;
pub mod recent_use;
pub mod settings;
