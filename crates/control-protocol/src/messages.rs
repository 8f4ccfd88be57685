//! Every message between two processes of the system, and the types that they contain.
//!
//! Messages are encoded by their serde names: a renamed field or variant keeps its encoded name by
//! `serde(rename)`.

use granitelead_common::recent_use::WindowUsage;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// A marker together with its stored state: one that restarts with an empty disk is another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Node {
    /// Its address.
    pub ip: Ipv4Addr,
    /// Identifies its data directory: a random number drawn when the directory was created. Founding members
    /// use their address.
    #[serde(rename = "folder")]
    pub replica_id: u64,
}

/// The number of a proposal, of an epoch or of the holder of a duty. Numbers are ordered by round, then by
/// proposer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProposalNumber {
    /// The round, which increases.
    pub round: u64,
    /// The replica id of the proposer, so that no two proposals have the same number.
    #[serde(rename = "by")]
    pub proposer: u64,
}

/// A task that one marker at a time performs for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Duty {
    /// Declares a server gone when its heartbeats have stopped.
    Reaper,
}

/// The roles of the markers, in force until a majority accepts a higher epoch.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch {
    /// Its number.
    pub number: ProposalNumber,
    /// The markers that vote on epochs: a majority of them decides.
    pub core: Vec<Node>,
    /// The core of the previous epoch: a majority of it has to agree as well.
    #[serde(rename = "before")]
    pub previous_core: Vec<Node>,
    /// The marker that answers operators; the founding epoch has none.
    pub primary: Option<Node>,
    /// The markers that hold everything that the primary has acknowledged.
    pub backups: Vec<Node>,
}

impl Epoch {
    /// Whether a marker holds everything that was acknowledged in this epoch.
    pub fn holds(&self, node: Node) -> bool {
        self.primary == Some(node) || self.backups.contains(&node)
    }
}

/// A configuration as the operator sent it, with its version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Document {
    /// Its version.
    pub version: u32,
    /// Its bytes, as the operator sent them.
    #[serde(with = "bytes")]
    pub bytes: Vec<u8>,
}

impl Document {
    /// Its version and the digest of its bytes, which identify it.
    pub fn revision(&self) -> Revision {
        Revision { version: self.version, digest: Digest::of(&self.bytes) }
    }
}

/// Identifies a content: the first 16 bytes of its SHA-256.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "u128", from = "u128")]
pub struct Digest(pub [u8; 16]);

impl Digest {
    /// Computes the digest of these bytes.
    pub fn of(bytes: &[u8]) -> Digest {
        let whole = Sha256::digest(bytes);
        let mut first = [0; 16];
        first.copy_from_slice(&whole[..16]);
        Digest(first)
    }
}

// Encoded as an integer: 17 bytes of CBOR, where a list of numbers takes up to 33.
impl From<Digest> for u128 {
    fn from(digest: Digest) -> u128 {
        u128::from_be_bytes(digest.0)
    }
}

impl From<u128> for Digest {
    fn from(number: u128) -> Digest {
        Digest(number.to_be_bytes())
    }
}

impl std::fmt::Display for Digest {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

/// A version and the digest of its content: equal revisions are the same configuration, byte for byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Revision {
    /// The version.
    pub version: u32,
    /// The digest of its bytes.
    pub digest: Digest,
}

/// A configuration as its difference from another one; see [`crate::difference`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Difference {
    /// The only configuration that it applies to.
    pub from: Revision,
    /// Its result; with any other result it is rejected.
    pub to: Revision,
    /// The parts of the new configuration, in order.
    pub runs: Vec<Run>,
}

/// A part of a configuration: bytes copied from the old one, followed by new bytes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Run(
    /// Offset of the copied bytes in the old configuration.
    pub u32,
    /// Number of copied bytes.
    pub u32,
    /// New bytes that follow them.
    #[serde(with = "bytes")]
    pub Vec<u8>,
);

/// Maps configuration versions to contents, bounded in size; see [`crate::ledger`].
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ledger {
    /// Entries up to this version may have been evicted.
    pub(crate) forgotten: Option<u32>,
    pub(crate) entries: BTreeMap<u32, Digest>,
}

/// The full replicated state of a primary or backup.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// The newest configuration.
    pub document: Option<Document>,
    /// Which content each version identifies.
    pub ledger: Ledger,
}

/// A change of the replicated state that the primary replicates as one unit.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Change {
    /// A newer configuration.
    pub document: Option<Document>,
    /// Versions that were free, with the contents that they identify from now on. The version of the
    /// configuration is among them.
    pub entries: BTreeMap<u32, Digest>,
}

/// Encodes bytes as a CBOR byte string instead of a list of numbers.
mod bytes {
    use serde::de::{Deserializer, Visitor};
    use serde::ser::Serializer;

    pub fn serialize<S: Serializer>(bytes: &[u8], to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(bytes)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u8>, D::Error> {
        struct Bytes;
        impl Visitor<'_> for Bytes {
            type Value = Vec<u8>;

            fn expecting(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
                f.write_str("a byte string")
            }

            fn visit_bytes<E>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
                Ok(bytes.to_vec())
            }

            fn visit_byte_buf<E>(self, bytes: Vec<u8>) -> Result<Vec<u8>, E> {
                Ok(bytes)
            }
        }
        from.deserialize_byte_buf(Bytes)
    }
}

/// What a marker reports about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MarkerStatus {
    /// Its zone.
    pub zone: String,
    /// Whether its state is lost when its process ends, because it has no disk.
    #[serde(rename = "forgets")]
    pub is_volatile: bool,
    /// Whether it has been asked to shut down.
    #[serde(rename = "leaves")]
    pub is_leaving: bool,
    /// The other markers of its group, which count quotas together.
    pub group: Vec<Ipv4Addr>,
}

/// Whether a server accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum InstanceState {
    /// It accepts new work.
    Ready,
    /// It only finishes the work that it has.
    Draining,
    /// It has ended for good.
    Gone,
}

/// An instance of a server, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Instance {
    /// Its unique name.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Its address, `ip:port`.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// The version of its software.
    pub version: String,
    /// Number of requests that it processes at a time.
    pub slots: u32,
    /// Whether it accepts new work.
    pub state: InstanceState,
    /// Increases with each of its calls.
    pub sequence: u64,
    /// Remaining time for which it is slow after its start, ms.
    pub cold_ms: u64,
}

impl Instance {
    /// Creates the record of an ended instance of which only the name is known. Receivers that know the
    /// instance take only its end from it.
    pub fn ended(id: &str) -> Instance {
        Instance {
            id: id.to_owned(),
            service: String::new(),
            address: String::new(),
            zone: String::new(),
            version: String::new(),
            slots: 0,
            state: InstanceState::Gone,
            sequence: u64::MAX,
            cold_ms: 0,
        }
    }

    /// Takes over a newer record of the same instance.
    pub fn update(&mut self, newer: Instance) {
        if newer.service.is_empty() {
            (self.state, self.sequence) = (newer.state, newer.sequence);
        } else {
            *self = newer;
        }
    }
}

/// Messages between markers. Each is sent on a connection that its sender opened.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Sent to all markers periodically.
    #[serde(rename = "Hear")]
    Heartbeat {
        /// The epoch that the sender has accepted.
        epoch: ProposalNumber,
        /// Whether the sender is the primary of that epoch, which a majority has accepted.
        #[serde(rename = "leads")]
        is_primary: bool,
        /// Whether the sender receives heartbeats from a primary, or is the primary.
        #[serde(rename = "led")]
        has_primary: bool,
        /// The newest committed configuration that the sender knows of.
        #[serde(rename = "sure")]
        committed: Option<u32>,
        /// All markers from which the sender receives heartbeats.
        #[serde(rename = "others")]
        reachable: Vec<Ipv4Addr>,
        /// The duties that the sender holds, with their numbers.
        duties: Vec<(Duty, ProposalNumber)>,
        /// What else the sender reports about itself.
        #[serde(rename = "standing")]
        status: MarkerStatus,
    },
    /// Asks the receiver to accept no epoch below this one.
    Prepare(ProposalNumber),
    /// Promises that, with the newest epoch that the sender has accepted.
    Promise(ProposalNumber, Option<Epoch>),
    /// Transfers the state of the prospective primary to a prospective backup.
    #[serde(rename = "Copy")]
    InstallSnapshot(ProposalNumber, Snapshot),
    /// The snapshot is on disk.
    #[serde(rename = "Copied")]
    SnapshotInstalled(ProposalNumber),
    /// Asks the receiver to accept an epoch.
    #[serde(rename = "Keep")]
    AcceptEpoch(Epoch),
    /// The epoch is accepted and on disk.
    #[serde(rename = "Kept")]
    EpochAccepted(ProposalNumber),
    /// Rejects a message of a superseded epoch; carries the highest number that the sender has promised.
    #[serde(rename = "Over")]
    Superseded(ProposalNumber),
    /// Replicates a change to a backup of an epoch.
    #[serde(rename = "Hold")]
    Replicate(ProposalNumber, Change),
    /// The change is on disk: the epoch and the highest version of the change, which is unique in the epoch.
    #[serde(rename = "Held")]
    Replicated(ProposalNumber, u32),
    /// Asks whether the epoch is still the highest one that the receiver has promised. The second number
    /// identifies the question.
    #[serde(rename = "Check")]
    ConfirmEpoch(ProposalNumber, u64),
    /// It still is.
    #[serde(rename = "Checked")]
    EpochConfirmed(ProposalNumber, u64),
    /// A committed configuration, which can't be lost any more.
    #[serde(rename = "Sure")]
    Committed(Document),
    /// The epoch that the sender has accepted, for a receiver with an older one.
    #[serde(rename = "Latest")]
    LatestEpoch(Epoch),
    /// The primary shuts down: the receiver starts an election.
    HandOver(ProposalNumber),
    /// Requests a vote for holding a duty under this number. A marker that votes accepts nothing under a
    /// lower number afterwards.
    #[serde(rename = "Ballot")]
    RequestVote(Duty, ProposalNumber),
    /// The vote is given, and on disk.
    Vote(Duty, ProposalNumber),
    /// The reaper asks, under its number, whether the receiver gets no heartbeats from these servers either.
    /// If it gets none from any of them, it answers [`PeerMessage::Delivered`], else [`PeerMessage::Alive`]
    /// with those that are alive.
    #[serde(rename = "Reaped")]
    ConfirmExpired(ProposalNumber, u64, Vec<Instance>),
    /// Changes of servers; answered by [`PeerMessage::Delivered`] if the ticket is not 0.
    Servers(u64, Vec<Instance>),
    /// All gatekeepers with a session at the sender have received the change with this ticket.
    #[serde(rename = "Told")]
    Delivered(u64),
    /// Asks for everything that the sender may have missed while it was out of contact; the number identifies
    /// that outage.
    CatchUp(u64),
    /// Everything was sent before this; with the number of the request, and the newest committed version of
    /// the sender.
    CaughtUp(u64, Option<u32>),
    /// Servers whose heartbeats the sender has received, with their sequence numbers.
    Alive(Vec<(String, u64)>),
    /// The known gatekeepers: sent on changes, and periodically.
    Sessions {
        /// The zone of the sender.
        zone: String,
        /// The names of the gatekeepers attached to the sender. They count while heartbeats of the sender are
        /// received.
        names: Vec<String>,
        /// Gatekeepers that are missed, and for how long, ms.
        missed: Vec<(String, u64)>,
        /// Gatekeepers that announced their end, and how long ago, ms.
        ended: Vec<(String, u64)>,
    },
    /// The gatekeeper with this name has announced that its process ends.
    #[serde(rename = "Left")]
    GatekeeperLeft(String),
    /// Requests admitted since the last report, by tenant.
    #[serde(rename = "Adds")]
    Usage(Vec<(String, u64)>),
}

/// Messages from a gatekeeper to a marker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToMarker {
    /// Opens a session.
    Hello {
        /// Identifies the gatekeeper's process: a random number drawn at its start.
        #[serde(rename = "life")]
        incarnation: u64,
        /// Its name.
        name: String,
        /// The configuration that it has in force.
        #[serde(rename = "has")]
        in_force: Option<Revision>,
        /// The servers that it knows.
        servers: Vec<Instance>,
    },
    /// Whether the gatekeeper is attached to this marker, that is, reports its usage to it.
    #[serde(rename = "Home")]
    Attach(bool),
    /// All updates up to this number have been processed.
    #[serde(rename = "Got")]
    Acknowledge(u64),
    /// This configuration is in force at the gatekeeper.
    #[serde(rename = "Has")]
    InForce(Revision),
    /// A difference did not start from the configuration in force here, which is this one: requests the
    /// newest configuration in full.
    #[serde(rename = "Lacks")]
    RequestFull(Option<Revision>),
    /// Requests admitted since the last report, by tenant, under a number that increases.
    #[serde(rename = "Adds")]
    Usage(u64, Vec<(String, u64)>),
    /// Shows that the gatekeeper is alive.
    Ping,
    /// The process ends and admits no more requests.
    Leave,
}

/// Messages from a marker to a gatekeeper.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ToGatekeeper {
    /// An update; updates are numbered from 1 in each session.
    #[serde(rename = "News")]
    Update(u64, Update),
    /// For each tenant whose total has changed: its total since the start of this marker over all
    /// gatekeepers, and the share of the receiving gatekeeper. The number is that of the receiver's newest
    /// usage report that is included.
    Totals(u64, Vec<(String, u64, u64)>),
    /// Shows that the marker is alive.
    Pong,
    /// What all gatekeepers in contact admitted before the first totals.
    Recent(WindowUsage),
}

/// A change that a gatekeeper is notified of.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// A configuration to put in force.
    Configuration(Document),
    /// A configuration to put in force, as its difference from the one in force at the receiver.
    #[serde(rename = "Change")]
    ConfigurationDifference(Difference),
    /// Changes of servers.
    Servers(Vec<Instance>),
    /// The initial state is complete: everything that this marker knows has been sent. Carries the marker's
    /// zone.
    #[serde(rename = "Whole")]
    Synchronized(String),
    /// All known markers.
    Markers(Vec<Ipv4Addr>),
    /// Whether the marker is in contact with a majority of the core and has caught up with it. Until this is
    /// sent, it is not.
    Contact(bool),
    /// How many gatekeepers there are, and how many of them are out of contact with all markers although none
    /// has seen them end. These may be partitioned off and still admit their share.
    Gatekeepers(u32, u32),
}

/// Any message on a connection, with its direction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// From one marker to another; the node is the sender.
    #[serde(rename = "Between")]
    Peer(Node, PeerMessage),
    /// From a gatekeeper to a marker.
    #[serde(rename = "Up")]
    ToMarker(ToMarker),
    /// From a marker to a gatekeeper.
    #[serde(rename = "Down")]
    ToGatekeeper(ToGatekeeper),
}

impl Message {
    /// The kind of the message, a label for counts of sent messages. It is independent of the Rust names.
    pub fn kind(&self) -> &'static str {
        match self {
            Message::Peer(_, peer_message) => match peer_message {
                PeerMessage::Heartbeat { .. } => "Hear",
                PeerMessage::Replicate(..) | PeerMessage::InstallSnapshot(..) => "Hold",
                PeerMessage::Committed(_) => "Sure",
                PeerMessage::Servers(..) | PeerMessage::ConfirmExpired(..) => "Servers",
                PeerMessage::Delivered(_) => "Told",
                PeerMessage::Alive(_) => "Alive",
                PeerMessage::Sessions { .. } | PeerMessage::GatekeeperLeft(_) => "Sessions",
                PeerMessage::Usage(_) => "Adds",
                PeerMessage::CatchUp(..) | PeerMessage::CaughtUp(..) => "CatchUp",
                _ => "rounds",
            },
            Message::ToMarker(to_marker) => match to_marker {
                ToMarker::Hello { .. } => "Hello",
                ToMarker::Acknowledge(_) => "Got",
                ToMarker::InForce(_) => "Has",
                ToMarker::Usage(..) => "Adds",
                ToMarker::Ping => "Ping",
                _ => "other",
            },
            Message::ToGatekeeper(to_gatekeeper) => match to_gatekeeper {
                ToGatekeeper::Totals(..) | ToGatekeeper::Recent(..) => "Totals",
                ToGatekeeper::Pong => "Pong",
                ToGatekeeper::Update(_, update) => match update {
                    Update::Configuration(_) | Update::ConfigurationDifference(_) => "Configuration",
                    Update::Servers(_) => "Servers",
                    Update::Markers(_) => "Markers",
                    Update::Gatekeepers(..) => "Gatekeepers",
                    _ => "other",
                },
            },
        }
    }
}
