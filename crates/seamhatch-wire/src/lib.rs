//! Messages between daemons and their framing: TCP frames for calls and
//! control, UDP datagrams for gossip. Bodies are encoded by `speedy`.

mod datagram;
mod error;
mod frame;
mod message;

pub use datagram::{LARGEST_DATAGRAM, decode_datagram, encode_datagram};
pub use error::WireError;
pub use frame::{FrameReader, LARGEST_FRAME, encode_frame, read_preface, write_preface};
pub use message::{
    AnswerHead, AnswerTail, CallContext, CallHead, ChainFloor, ControlReply, ControlRequest, HeaderField,
    Hello, PeerMessage, Pulse, RecordedAnswer, RecordedState, Refusal, ServerReport,
};

pub use seamhatch_core::drain::CallIntake;

/// Version of the messages; daemons of another version are refused.
pub const PROTOCOL_VERSION: u16 = 8;
