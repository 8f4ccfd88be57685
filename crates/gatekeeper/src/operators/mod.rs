//! The operators' side: their door, and the servers that they leave out.

pub mod by_hand;
pub mod door;
