//! Messages on the TCP connections between daemons.
//!
//! A connection is opened by the daemon that sends calls. Many calls share it; each body flows within a window that its
//! receiver refills with [`PeerMessage::Credit`], so that a slow reader holds up only its own call.
//!
//! The order of variants and fields is the encoding: a change of it needs a new [`crate::PROTOCOL_VERSION`].

mod answer;
mod call;
mod control;
mod link;

pub use answer::{AnswerHead, AnswerTail, ChainFloor, Refusal};
pub use call::{CallContext, CallHead, HandedBackCall, HeaderField};
pub use control::{ControlReply, ControlRequest, RecordedAnswer, RecordedState, SealedMemory};
pub use link::{Farewell, Hello, Pulse, ServerReport};

use seamhatch_core::claims::{Claim, ClaimHolder, ClaimKey, ClaimReply, Epoch};
use seamhatch_core::crashes::SuspectReport;
use seamhatch_core::identity::CallId;
use speedy::{Readable, Writable};

/// Everything that is sent between daemons over TCP.
#[derive(Debug, Clone, PartialEq, Readable, Writable)]
pub enum PeerMessage {
    /// First message in each direction.
    Hello(Hello),
    /// Heartbeat of both sides.
    Pulse(Pulse),
    /// A call. Its body follows unless the head says that it has none.
    Call(Box<CallHead>),
    /// A piece of a request body.
    RequestChunk {
        /// Whose body.
        call: CallId,
        /// Content.
        bytes: Vec<u8>,
    },
    /// The request body is complete.
    RequestEnd {
        /// Whose body.
        call: CallId,
    },
    /// The caller has given up. A call that waits leaves the queue; one that may be repeated is cancelled at the back end.
    Cancel {
        /// Which call.
        call: CallId,
    },
    /// Evidence against requests, ahead of a call or a refusal that it concerns: the datagram with the same news may come
    /// later.
    Suspects(Vec<SuspectReport>),
    /// The call has no answer of the back end.
    Refused {
        /// Which call.
        call: CallId,
        /// Why, and what is known.
        refusal: Refusal,
    },
    /// The back end's answer begins.
    AnswerHead(Box<AnswerHead>),
    /// A piece of an answer body.
    AnswerChunk {
        /// Whose body.
        call: CallId,
        /// Content.
        bytes: Vec<u8>,
    },
    /// The answer has ended, complete or not.
    AnswerTail(AnswerTail),
    /// The receiver of a body has room for this many bytes more.
    Credit {
        /// Whose body.
        call: CallId,
        /// Bytes.
        bytes: u32,
    },
    /// Asks a witness for a claim.
    Claim {
        /// Number of this exchange.
        exchange: u64,
        /// Shard of the key.
        shard: u32,
        /// Roster epoch that the claimant knows.
        epoch: Epoch,
        /// What is claimed, and by whom.
        claim: Claim,
    },
    /// A witness's answer.
    ClaimReply {
        /// Number of the exchange.
        exchange: u64,
        /// The decision.
        reply: ClaimReply,
    },
    /// Gives up a claim before any dispatch. Not answered.
    ReleaseClaim {
        /// Shard of the key.
        shard: u32,
        /// Epoch it was granted in.
        epoch: Epoch,
        /// The key.
        key: ClaimKey,
        /// Its holder.
        holder: ClaimHolder,
    },
    /// A question of one daemon's controllers to another's.
    ControlRequest {
        /// Number of this exchange.
        exchange: u64,
        /// What is asked.
        request: ControlRequest,
    },
    /// Its answer.
    ControlReply {
        /// Number of the exchange.
        exchange: u64,
        /// The answer itself.
        reply: ControlReply,
    },
    /// Calls that the sender had sent to an earlier life of the receiver, whose back end may still run them. Sent before
    /// any call, to daemons that read it; see [`crate::READS_RUNNING_CALLS`].
    RunningCalls(Vec<HandedBackCall>),
}
