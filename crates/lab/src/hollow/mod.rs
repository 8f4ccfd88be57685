//! Hollow fleets: many gatekeepers and servers in one process that speak the system's own words with real markers and
//! carry no requests, to measure what each role costs at a size.

pub mod configuration;
pub mod gatekeepers;
pub mod outcome;
pub mod processes;
pub mod rig;
pub mod seen;
pub mod servers;
pub mod size;
pub mod sweep;
