//! The list of servers: its forms on the wire, whom to believe of several sources, and how it is followed.

pub mod follower;
pub mod forms;
pub mod sources;
