//! Connections to the servers: dialing, pooling, and the request attempts made over them.

pub mod dial_queue;
pub mod pool;
