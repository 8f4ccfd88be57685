//! What the processes of the system say to each other, and the held connections that carry it.
//!
//! [`words`] has every message. [`difference`] makes the configurations in them small. [`frames`] cuts a stream of bytes into them. [`line`] joins both to a socket.
//! [`ledger`] says which content each number stands for.

pub mod difference;
pub mod frames;
pub mod ledger;
pub mod line;
pub mod words;
