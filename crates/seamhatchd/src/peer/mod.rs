//! Outgoing connections to other daemons, which carry calls, claims and control requests.
//!
//! [`PeerPool`] owns the connections. `handshake` opens a [`PeerConnection`], `connection_task` drives and closes
//! it, `incoming` handles the peer's messages, and [`CallStream`] is one call on it. `sent_calls` remembers calls for daemons
//! that restart. The receiving side,
//! `peer_server`, shares `link` (outbox, writer, heartbeats) and [`CreditWindow`]. The module depends on the rest
//! of the daemon only through [`LinkHost`].

mod call;
mod connection;
mod connection_task;
mod credit;
mod handshake;
mod host;
mod incoming;
pub(crate) mod link;
mod loss;
mod outgoing_calls;
mod pending_replies;
mod pool;
mod sent_calls;
mod shutdown_acks;
mod view;

pub use call::{AnswerBody, AnswerPiece, CallEvent, CallStream};
pub use connection::PeerConnection;
pub use credit::{CreditWindow, owed_credit};
pub use host::{LinkHost, LocalState};
pub use link::{LinkClosed, Outbox, UnwrittenMessages};
pub use pool::{PeerPool, PeerUnreachable, PoolReader};
pub use sent_calls::SentCallKey;
pub use shutdown_acks::{PendingShutdownAck, ShutdownAcks};
pub use view::PeerView;

/// Initial flow-control window of a body, in bytes.
pub const BODY_WINDOW_BYTES: usize = 256 * 1024;

/// Maximum number of body bytes in one message.
pub const BODY_PIECE_BYTES: usize = 32 * 1024;
