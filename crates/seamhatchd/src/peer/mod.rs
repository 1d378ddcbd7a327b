//! Connections between daemons: calls, claims and control messages.

mod call;
mod connection;
mod credit;
mod handshake;
mod incoming;
mod incoming_calls;
mod link;
mod outgoing_calls;
mod pending_replies;
mod pool;
mod server;
mod server_call;
mod session;
mod upkeep;
mod view;

pub use call::{AnswerBody, AnswerPiece, CallEvent, CallStream};
pub use connection::PeerConnection;
pub use credit::CreditWindow;
pub use link::{LinkClosed, Outbox, PULSE_INTERVAL};
pub use pool::{PeerPool, PeerUnreachable};
pub use server::serve;
pub use view::PeerView;

/// Bytes of a body that may be on the way before its receiver has asked for more.
pub const BODY_WINDOW: usize = 256 * 1024;

/// Largest piece of a body in one message.
pub const BODY_PIECE: usize = 32 * 1024;
