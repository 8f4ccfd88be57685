//! Code that both programs of the system share: the settings of a process, the operators' configurations, the
//! list of error kinds, the log and the recent use of quotas.
//!
//! Settings and configurations are read as [`serde_json::Value`]s and checked by [`validation`], which
//! reports all errors at once, each with the path of its field.

pub mod command;
pub mod configuration;
pub mod error_kinds;
pub mod logs;
pub mod recent_use;
pub mod settings;
pub mod validation;
