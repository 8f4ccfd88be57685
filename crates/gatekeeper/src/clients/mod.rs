//! The clients' side: whose connections stay, whose turn it is, requests read and checked, answers written.

pub mod connections;
pub mod framing;
pub mod side;
pub mod turns;
