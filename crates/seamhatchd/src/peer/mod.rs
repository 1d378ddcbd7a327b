//! Connections between daemons: calls, claims and control messages.
//!
//! A daemon opens a connection for what it sends; a peer that sends calls here opens one of its own. The calling side is
//! [`PeerPool`] and [`PeerConnection`]: `handshake` opens a connection, `upkeep` keeps it and ends it, `incoming` handles what
//! comes back, [`CallStream`] is one call on it. Both sides share `link` (outbox, writer, heartbeats) and [`CreditWindow`].

mod call;
mod connection;
mod credit;
mod handshake;
mod host;
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
pub use host::{LinkHost, LocalState};
pub use link::{LinkClosed, Outbox, PULSE_INTERVAL};
pub use pool::{PeerPool, PeerUnreachable};
pub use server::serve;
pub use view::PeerView;

/// Bytes of a body that may be sent before its receiver gives credit. Chosen, not measured.
pub const BODY_WINDOW: usize = 256 * 1024;

/// Largest piece of a body in one message, in bytes. Chosen, not measured.
pub const BODY_PIECE: usize = 32 * 1024;
