//! Types shared by the modules of a marker: persistent state, replies to calls and output actions.

use granitelead_common::error_kinds::ErrorKind;
use granitelead_control_protocol::messages::{
    Document, Duty, Epoch, Instance, Ledger, Node, PeerMessage, ProposalNumber, ToGatekeeper,
};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::Arc;

/// A point in time or a duration in ms, on a monotonic clock.
pub type Millis = u64;

/// The state that must survive a restart.
#[derive(Clone, Debug, PartialEq)]
pub struct PersistentState {
    /// This marker's identity.
    pub node: Node,
    /// The promise: no epoch with a lower number is accepted any more.
    pub promised: ProposalNumber,
    /// The number of the round whose copy of the state was stored last.
    pub copied: ProposalNumber,
    /// The newest epoch that was accepted.
    pub epoch: Option<Epoch>,
    /// The newest configuration that is stored here.
    pub document: Option<Arc<Document>>,
    /// The content digest of each version that is stored.
    pub ledger: Arc<Ledger>,
    /// The newest version that is known to be committed, so that it can't be lost any more.
    pub sure: Option<u32>,
    /// The highest number promised for each duty: nothing under a lower one is accepted from its holder.
    pub duty_promises: BTreeMap<Duty, ProposalNumber>,
}

/// A reply to the call of a server or an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Success, with a JSON body.
    Json(String),
    /// The configuration, byte for byte as the operator sent it.
    Document(Arc<Document>),
    /// A heartbeat was accepted; the server is to send later ones to this marker.
    Heartbeat(Ipv4Addr),
    /// The call is redirected to another marker.
    Redirect(Ipv4Addr),
    /// The call failed, with its kind and a description.
    Failure(ErrorKind, String),
}

impl Reply {
    /// Success with an empty JSON object.
    pub fn done() -> Reply {
        Reply::Json("{}".into())
    }

    /// Replies with a configuration, byte for byte as the operator sent it.
    pub fn document(document: Arc<Document>) -> Reply {
        Reply::Document(document)
    }

    /// Redirects the call to another marker.
    pub fn redirect(ip: Ipv4Addr) -> Reply {
        Reply::Redirect(ip)
    }

    /// A failure of this kind with a description.
    pub fn failure(kind: ErrorKind, what: impl ToString) -> Reply {
        Reply::Failure(kind, what.to_string())
    }
}

/// Identifies a session of a gatekeeper within this process.
pub type SessionId = u64;

/// Records of servers to be written to disk.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerWrite {
    /// Identifies the write. It is reported once this write and all earlier ones are durable.
    pub ticket: u64,
    /// The new record of each server; none if its record is to be removed.
    pub records: BTreeMap<String, Option<Instance>>,
}

/// A write that is durable, with the ticket of its kind: so are all earlier writes of that kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Written {
    /// The state of the core.
    State(u64),
    /// Records of servers.
    Servers(u64),
    /// The names of the gatekeepers.
    Gatekeepers(u64),
}

/// An action that a state machine asks its caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to another marker.
    SendToMarker(Ipv4Addr, PeerMessage),
    /// Send a message to a gatekeeper.
    SendToGatekeeper(SessionId, ToGatekeeper),
    /// Close the session of a gatekeeper that exceeds the session limit.
    CloseSession(SessionId),
    /// Write this state to disk and report the ticket once it is durable.
    Persist(u64, PersistentState),
    /// Reply to a call.
    Answer(u64, Reply),
    /// Write the records of changed servers to disk and report the ticket once they are durable.
    StoreServers(ServerWrite),
    /// Write the names of the gatekeepers to disk and report the ticket once they are durable.
    StoreGatekeepers(u64, Vec<String>),
    /// A configuration is committed: it can't be lost any more.
    Committed(Arc<Document>),
}
