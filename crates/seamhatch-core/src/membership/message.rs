//! Messages of the membership protocol.

use crate::crashes::SuspectReport;
use crate::generation::Generation;
use crate::identity::Address;
use crate::membership::MemberRecord;
use speedy::{Readable, Writable};

/// A message between two daemons' membership parts.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
pub struct GossipMessage {
    /// Gossip address of the sender.
    pub from: Address,
    /// The sender's configuration generation.
    pub generation: Generation,
    /// Version of the sender's witness roster.
    pub roster_version: u64,
    /// What it is for.
    pub body: GossipBody,
    /// News that travels along, at most [`NEWS_PER_MESSAGE`].
    pub news: Vec<MemberRecord>,
}

/// Kinds of gossip messages.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
pub enum GossipBody {
    /// Asks for an [`GossipBody::Ack`] of the same number.
    Ping {
        /// Number chosen by the sender.
        sequence: u64,
    },
    /// Answers a ping.
    Ack {
        /// The ping's number.
        sequence: u64,
    },
    /// Asks the receiver to ping `target` and forward the answer.
    PingRequest {
        /// Number chosen by the sender.
        sequence: u64,
        /// Whom to ping.
        target: Address,
    },
    /// Offers a digest of the member list; a receiver whose own differs sends it in pages.
    SyncRequest {
        /// Digest of the sender's list.
        digest: u64,
    },
    /// One page of the member list (in `news`).
    SyncPage,
    /// News only.
    News,
    /// Evidence against requests that ran when servers crashed, at most [`SUSPECTS_PER_MESSAGE`] records.
    Suspects(Vec<SuspectReport>),
}

/// Records that travel in one message. Chosen, so that a datagram stays well below 1,400 bytes.
pub const NEWS_PER_MESSAGE: usize = 8;

/// Records of suspects that travel in one message. Chosen, so that a datagram stays below 1,400 bytes: a record with one to
/// three crashes takes 40 to 60 bytes, one with the most crashes 170.
pub const SUSPECTS_PER_MESSAGE: usize = 7;
