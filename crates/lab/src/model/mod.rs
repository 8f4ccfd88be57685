//! What stands around the gatekeepers: state machines without I/O, time passed in. Virtual time and sockets drive the same.

pub mod counter;
pub mod server;
pub mod traffic;
