//! Every message between two processes of the system.

use granitelead_common::recent_use::Known;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// A marker, as long as its folder lasts: one that comes back with an empty disk is another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Node {
    /// Where it is.
    pub ip: Ipv4Addr,
    /// Drawn when its folder was made; founders have their address.
    pub folder: u64,
}

/// The number of an epoch; of two the one of the later round is higher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Number {
    /// Rounds are counted up.
    pub round: u64,
    /// The folder of whoever began it, so that no two epochs have one number.
    pub by: u64,
}

/// What one marker does for all.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Duty {
    /// Says that a server whose beats have stopped is gone.
    Reaper,
}

/// Who keeps what, until a higher epoch is kept by a majority.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Epoch {
    /// Its number.
    pub number: Number,
    /// The markers that keep epochs: a majority of them decides.
    pub core: Vec<Node>,
    /// The core of the epoch before: a majority of it has to agree as well.
    pub before: Vec<Node>,
    /// Who answers operators; nobody in the founding epoch.
    pub primary: Option<Node>,
    /// Who holds all that the primary has answered for.
    pub backups: Vec<Node>,
}

impl Epoch {
    /// Whether a marker holds all that was answered for in this epoch.
    pub fn holds(&self, node: Node) -> bool {
        self.primary == Some(node) || self.backups.contains(&node)
    }
}

/// A configuration as it was sent, with its number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Document {
    /// Its version.
    pub version: u32,
    /// Its bytes, as the operator sent them.
    #[serde(with = "bytes")]
    pub bytes: Vec<u8>,
}

impl Document {
    /// What tells it from every other.
    pub fn revision(&self) -> Revision {
        Revision { version: self.version, digest: Digest::of(&self.bytes) }
    }
}

/// What tells contents from all others: the first 16 bytes of their SHA-256.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "u128", from = "u128")]
pub struct Digest(pub [u8; 16]);

impl Digest {
    /// Of these bytes.
    pub fn of(bytes: &[u8]) -> Digest {
        let whole = Sha256::digest(bytes);
        let mut first = [0; 16];
        first.copy_from_slice(&whole[..16]);
        Digest(first)
    }
}

// As a number it takes 17 bytes of CBOR, as a list of numbers up to 33.
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

/// A number and what stands under it: two that are equal are the same configuration, byte for byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Revision {
    /// The version.
    pub version: u32,
    /// Of its bytes.
    pub digest: Digest,
}

/// One configuration told as what differs from another; see [`crate::difference`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Difference {
    /// What it can be applied to, and nothing else.
    pub from: Revision,
    /// What comes out, or it is refused.
    pub to: Revision,
    /// In order, what the new one is made of.
    pub runs: Vec<Run>,
}

/// A part of a configuration: bytes of the old one, then new ones.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Run(
    /// Where the old bytes begin.
    pub u32,
    /// How many they are.
    pub u32,
    /// What follows them.
    #[serde(with = "bytes")]
    pub Vec<u8>,
);

/// From number to content, bounded; see [`crate::ledger`].
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ledger {
    /// Nothing is known of this number and all below it that have no entry.
    pub(crate) forgotten: Option<u32>,
    pub(crate) entries: BTreeMap<u32, Digest>,
}

/// All that a holder holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Whole {
    /// The newest configuration.
    pub document: Option<Document>,
    /// Which content each number stands for.
    pub ledger: Ledger,
}

/// What a primary takes in at once, beyond what is held.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Change {
    /// A newer configuration.
    pub document: Option<Document>,
    /// The numbers that were free, with what they stand for from now on; the configuration's is among them.
    pub entries: BTreeMap<u32, Digest>,
}

/// Byte strings, which CBOR knows, in place of lists of numbers.
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

/// What a marker says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Standing {
    /// Its zone.
    pub zone: String,
    /// Whether what it holds ends with its process, as it has no disk.
    pub forgets: bool,
    /// Whether it was told to end.
    pub leaves: bool,
    /// The other markers of its group: with them it counts quotas together.
    pub group: Vec<Ipv4Addr>,
}

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// It does.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It is no more, and never will be again.
    Gone,
}

/// One life of a server.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Instance {
    /// The name of this life.
    pub id: String,
    /// The service that it belongs to.
    pub service: String,
    /// Where it is, `ip:port`.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// The version of its software.
    pub version: String,
    /// On how many requests it works at a time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// Rises with each of its calls.
    pub sequence: u64,
    /// For how much longer it is slow from its start, ms.
    pub cold_ms: u64,
}

impl Instance {
    /// The end of a life of which nothing else is known here: whoever knows it takes only its end.
    pub fn ended(id: &str) -> Instance {
        Instance {
            id: id.to_owned(),
            service: String::new(),
            address: String::new(),
            zone: String::new(),
            version: String::new(),
            slots: 0,
            state: State::Gone,
            sequence: u64::MAX,
            cold_ms: 0,
        }
    }

    /// Takes what is newer of the same life.
    pub fn update(&mut self, newer: Instance) {
        if newer.service.is_empty() {
            (self.state, self.sequence) = (newer.state, newer.sequence);
        } else {
            *self = newer;
        }
    }
}

/// What markers say to each other. Each goes out on a connection of its sender's.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Between {
    /// Said again and again to all.
    Hear {
        /// The epoch that is kept here.
        epoch: Number,
        /// Whether the sender is the primary of that epoch, which a majority keeps.
        leads: bool,
        /// Whether the sender hears a primary, or is one.
        led: bool,
        /// The newest configuration that can't be lost any more, as far as the sender knows.
        sure: Option<u32>,
        /// All markers that the sender hears.
        others: Vec<Ipv4Addr>,
        /// The duties that the sender holds, with their numbers.
        duties: Vec<(Duty, Number)>,
        /// What else there is to know of the sender.
        standing: Standing,
    },
    /// Asks to keep no epoch below this one from now on.
    Prepare(Number),
    /// That is promised; with the newest epoch that is kept here.
    Promise(Number, Option<Epoch>),
    /// Hands over what the primary-to-be holds, to whom it wants as a backup.
    Copy(Number, Whole),
    /// That is on disk.
    Copied(Number),
    /// Asks to keep an epoch.
    Keep(Epoch),
    /// It is on disk.
    Kept(Number),
    /// Something of an epoch that is no more; the highest one promised here.
    Over(Number),
    /// More to hold, of an epoch.
    Hold(Number, Change),
    /// It is on disk: the epoch and the change's highest number, which no other change of the epoch has.
    Held(Number, u32),
    /// Asks whether an epoch is still the highest one promised there; the second number tells askings apart.
    Check(Number, u64),
    /// It is.
    Checked(Number, u64),
    /// A configuration that can't be lost any more.
    Sure(Document),
    /// The epoch that is kept here, for one who keeps an older one.
    Latest(Epoch),
    /// The primary leaves: the one who is told begins a round.
    HandOver(Number),
    /// Asks for a vote: a duty under this number. Whoever votes takes nothing of a lower number any more.
    Ballot(Duty, Number),
    /// That is promised, on disk.
    Vote(Duty, Number),
    /// The reaper asks, under its number, whether servers are silent there too: if all are, [`Between::Told`] says so, else
    /// [`Between::Alive`] names those that are not.
    Reaped(Number, u64, Vec<Instance>),
    /// What has changed of servers; answered by [`Between::Told`] where the ticket is not 0.
    Servers(u64, Vec<Instance>),
    /// All gatekeepers with a session at the sender know it.
    Told(u64),
    /// Asks for all that the sender may have missed while it was out of contact, under a number of that absence.
    CatchUp(u64),
    /// All of it was said before this; with the number of the asking, and the newest safe version here.
    CaughtUp(u64, Option<u32>),
    /// Servers that have beaten here, with their sequence numbers.
    Alive(Vec<(String, u64)>),
    /// Which gatekeepers there are: when it changes, and now and then.
    Sessions {
        /// The zone of the sender.
        zone: String,
        /// The gatekeepers whose home the sender is, by name. They stand as long as the sender is heard.
        names: Vec<String>,
        /// Those that are missed, and for how long, ms.
        missed: Vec<(String, u64)>,
        /// Those that said that they end, and how long ago, ms.
        ended: Vec<(String, u64)>,
    },
    /// A gatekeeper has said that its process ends: its name.
    Left(String),
    /// Requests let in, by tenant, since the last time.
    Adds(Vec<(String, u64)>),
}

/// What a gatekeeper says to a marker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Up {
    /// Opens a session.
    Hello {
        /// Drawn at the start of the gatekeeper's process.
        life: u64,
        /// Its name.
        name: String,
        /// The configuration that it has in force.
        has: Option<Revision>,
        /// The servers that it knows.
        servers: Vec<Instance>,
    },
    /// Whether the marker is the gatekeeper's home, to which it tells what it lets in.
    Home(bool),
    /// All news up to this number are taken in.
    Got(u64),
    /// This configuration is in force here.
    Has(Revision),
    /// A change was told that begins from another configuration than the one in force here, which is this: the
    /// newest is wanted whole.
    Lacks(Option<Revision>),
    /// Requests let in, by tenant, since the last time, under a number that rises.
    Adds(u64, Vec<(String, u64)>),
    /// Nothing, to be heard.
    Ping,
    /// The process ends, and lets in nothing more.
    Leave,
}

/// What a marker says to a gatekeeper.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Down {
    /// News, numbered from 1 in each session.
    News(u64, News),
    /// The total of each tenant since this marker's start that changed, all gatekeepers together, and of them
    /// the part of the one that is told; with the number of its newest adds that are counted.
    Totals(u64, Vec<(String, u64, u64)>),
    /// Nothing, to be heard.
    Pong,
    /// What all gatekeepers that are heard let in before the first totals.
    Recent(Known),
}

/// What changes at a gatekeeper.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum News {
    /// A configuration to have in force.
    Configuration(Document),
    /// The same, as what differs from the one that is in force there.
    Change(Difference),
    /// What has changed of servers.
    Servers(Vec<Instance>),
    /// All is told that this marker knows, which is in this zone.
    Whole(String),
    /// All markers that are known.
    Markers(Vec<Ipv4Addr>),
    /// Whether the marker is in contact with most of the core, and has caught up with it; until told so it is not.
    Contact(bool),
    /// How many gatekeepers there are, and how many of them no marker hears, though none has seen them end: these
    /// may be cut off, and go on letting in their part.
    Gatekeepers(u32, u32),
}

/// All that a connection carries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Word {
    /// From one marker to another.
    Between(Node, Between),
    /// From a gatekeeper to a marker.
    Up(Up),
    /// From a marker to a gatekeeper.
    Down(Down),
}

impl Word {
    /// The kind of the message, for counts of what is said.
    pub fn kind(&self) -> &'static str {
        match self {
            Word::Between(_, between) => match between {
                Between::Hear { .. } => "Hear",
                Between::Hold(..) | Between::Copy(..) => "Hold",
                Between::Sure(_) => "Sure",
                Between::Servers(..) | Between::Reaped(..) => "Servers",
                Between::Told(_) => "Told",
                Between::Alive(_) => "Alive",
                Between::Sessions { .. } | Between::Left(_) => "Sessions",
                Between::Adds(_) => "Adds",
                Between::CatchUp(..) | Between::CaughtUp(..) => "CatchUp",
                _ => "rounds",
            },
            Word::Up(up) => match up {
                Up::Hello { .. } => "Hello",
                Up::Got(_) => "Got",
                Up::Has(_) => "Has",
                Up::Adds(..) => "Adds",
                Up::Ping => "Ping",
                _ => "other",
            },
            Word::Down(down) => match down {
                Down::Totals(..) | Down::Recent(..) => "Totals",
                Down::Pong => "Pong",
                Down::News(_, news) => match news {
                    News::Configuration(_) | News::Change(_) => "Configuration",
                    News::Servers(_) => "Servers",
                    News::Markers(_) => "Markers",
                    News::Gatekeepers(..) => "Gatekeepers",
                    _ => "other",
                },
            },
        }
    }
}
