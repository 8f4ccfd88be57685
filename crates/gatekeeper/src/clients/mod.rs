//! Client connections: admission and eviction, fair queueing, and the HTTP server that reads and validates
//! requests and writes responses.

pub mod connections;
pub mod fair_queue;
pub mod framing;
pub mod http_server;
