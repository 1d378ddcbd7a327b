//! Messages between daemons and their framing: TCP frames for calls and control, UDP datagrams for gossip.
//!
//! `message` has the types, encoded by `speedy`; `frame` and `datagram` put them on the wire and refuse what another
//! version or another program sends. The crate keeps no state but a reader's buffer; the daemon's `peer` and
//! `controllers::membership` use it.

mod datagram;
mod error;
mod frame;
mod message;

pub use datagram::{LARGEST_DATAGRAM, decode_datagram, encode_datagram};
pub use error::WireError;
pub use frame::{FrameReader, LARGEST_FIRST_FRAME, LARGEST_FRAME, encode_frame, read_preface, write_preface};
pub use message::{
    AnswerHead, AnswerTail, CallContext, CallHead, ChainFloor, ControlReply, ControlRequest, Farewell,
    HandedBackCall, HeaderField, Hello, PeerMessage, Pulse, RecordedAnswer, RecordedState, Refusal,
    SealedMemory, ServerReport,
};

pub use seamhatch_core::drain::CallIntake;

/// Version of the messages. Daemons of another version refuse the connection and ignore the datagram.
pub const PROTOCOL_VERSION: u16 = 8;

/// Additions to the messages of this version that this daemon reads. An addition is a field at the end of a message, which daemons that
/// don't read it pass over and which is empty where they send none, so that releases can run side by side.
pub const ADDITIONS: u16 = 4;

/// The additions from which on [`seamhatch_core::outcome::Reason::BackendRate`] is read.
pub const READS_BACKEND_RATE: u16 = 1;

/// The additions from which on [`ControlRequest::HoldSealed`] and what follows it are read.
pub const HOLDS_SEALED: u16 = 2;

/// The additions from which on [`PeerMessage::RunningCalls`] is read.
pub const READS_RUNNING_CALLS: u16 = 4;
