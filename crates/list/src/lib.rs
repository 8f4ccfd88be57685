//! Client side of server discovery: message types of the API, choice among several sources of the server
//! list, and a follower that keeps a watch open.

pub mod follower;
pub mod messages;
pub mod sources;
