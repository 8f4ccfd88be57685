//! What the parts of a marker share: what they keep, return and answer.

use granitelead_common::error_kinds::ErrorKind;
use granitelead_control_protocol::messages::{
    Document, Duty, Epoch, Instance, Ledger, Node, PeerMessage, ProposalNumber, ToGatekeeper,
};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::Arc;

/// Points in time and spans, ms of a clock that never goes back.
pub type Millis = u64;

/// What has to last.
#[derive(Clone, Debug, PartialEq)]
pub struct Keeping {
    /// Who this marker is.
    pub node: Node,
    /// No epoch below this one is kept any more.
    pub promised: ProposalNumber,
    /// The round whose copy was taken in last.
    pub copied: ProposalNumber,
    /// The newest epoch that was kept.
    pub epoch: Option<Epoch>,
    /// The configuration that is held.
    pub document: Option<Arc<Document>>,
    /// Which content each number stands for, of all that is held.
    pub ledger: Arc<Ledger>,
    /// The newest version that is known to be safe from loss.
    pub sure: Option<u32>,
    /// Nothing of a lower number is taken from the holder of a duty.
    pub ballots: BTreeMap<Duty, ProposalNumber>,
}

/// An answer to a call of a server or an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// It is done; with a body of JSON.
    Json(String),
    /// The configuration, as it was sent.
    Document(Arc<Document>),
    /// A beat is taken in; later ones go to this marker.
    Beats(Ipv4Addr),
    /// Another marker answers it.
    Elsewhere(Ipv4Addr),
    /// It is not done.
    Fault(ErrorKind, String),
}

impl Reply {
    /// It is done, and there is nothing to say.
    pub fn done() -> Reply {
        Reply::Json("{}".into())
    }

    /// The configuration, as it was sent.
    pub fn document(document: Arc<Document>) -> Reply {
        Reply::Document(document)
    }

    /// Another marker answers it.
    pub fn elsewhere(ip: Ipv4Addr) -> Reply {
        Reply::Elsewhere(ip)
    }

    /// It is not done.
    pub fn fault(kind: ErrorKind, what: impl ToString) -> Reply {
        Reply::Fault(kind, what.to_string())
    }
}

/// Names a session of a gatekeeper within this process.
pub type SessionId = u64;

/// What a part returns.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Say this to another marker.
    Send(Ipv4Addr, PeerMessage),
    /// Say this to a gatekeeper.
    Tell(SessionId, ToGatekeeper),
    /// End the session of a gatekeeper, for which there is no room.
    End(SessionId),
    /// Put this on disk, and say the ticket when it is there.
    Write(u64, Keeping),
    /// Answer a call.
    Answer(u64, Reply),
    /// Put the servers on disk, whenever there is time.
    Servers(Vec<Instance>),
    /// Put the names of the gatekeepers on disk, whenever there is time.
    Gatekeepers(Vec<String>),
    /// A configuration can't be lost any more.
    Sure(Arc<Document>),
}
