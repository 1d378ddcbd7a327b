//! Messages of the membership protocol.

use crate::crashes::SuspectReport;
use crate::generation::Generation;
use crate::identity::Address;
use crate::membership::MemberRecord;
use speedy::{Readable, Writable};

/// A message of the membership protocol.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
pub struct GossipMessage {
    /// Gossip address of the sender.
    pub from: Address,
    /// The sender's configuration generation.
    pub generation: Generation,
    /// Version of the sender's witness roster.
    pub roster_version: u64,
    /// Payload of the message.
    pub body: GossipBody,
    /// Piggybacked member records, at most [`NEWS_PER_MESSAGE`].
    pub news: Vec<MemberRecord>,
}

/// Payload of a gossip message.
#[derive(Debug, Clone, PartialEq, Eq, Readable, Writable)]
pub enum GossipBody {
    /// A probe, answered with a [`GossipBody::Ack`] of the same sequence number.
    Ping {
        /// Sequence number chosen by the sender.
        sequence: u64,
    },
    /// Answers a ping.
    Ack {
        /// Sequence number of the ping.
        sequence: u64,
    },
    /// Indirect probe: asks the receiver to ping `target` and to forward the answer.
    PingRequest {
        /// Sequence number chosen by the sender.
        sequence: u64,
        /// Gossip address of the member to ping.
        target: Address,
    },
    /// Offers a digest of the sender's member list. A receiver whose digest differs replies with its own list, in
    /// pages.
    SyncRequest {
        /// Digest of the sender's member list.
        digest: u64,
    },
    /// One page of the sender's member list, in `news`.
    SyncPage,
    /// No payload; the message carries only `news`.
    News,
    /// Evidence against requests that ran when servers crashed, at most [`SUSPECTS_PER_MESSAGE`] reports.
    Suspects(Vec<SuspectReport>),
}

/// Member records per message. Keeps a datagram well below 1,400 bytes.
pub const NEWS_PER_MESSAGE: usize = 8;

/// Suspect reports per message. Keeps a datagram below 1,400 bytes: a report with one to three crashes takes 40 to 60
/// bytes, one with the maximum number of crashes 170 bytes.
pub const SUSPECTS_PER_MESSAGE: usize = 7;
