//! Connections that this daemon opens to other daemons, for calls, claims and control requests.
//!
//! [`PeerPool`] owns the connections. `handshake` opens a [`PeerConnection`], `connection_task` runs and ends it, `incoming` handles what
//! comes back, [`CallStream`] is one call on it. `link` (outbox, writer, heartbeats) and [`CreditWindow`] are shared with the
//! other end, `peer_server`. Of the daemon around it this module sees only its [`LinkHost`].

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
mod shutdown_acks;
mod view;

pub use call::{AnswerBody, AnswerPiece, CallEvent, CallStream};
pub use connection::PeerConnection;
pub use credit::{CreditWindow, owed_credit};
pub use host::{LinkHost, LocalState};
pub use link::{LinkClosed, Outbox, UnwrittenMessages};
pub use pool::{PeerPool, PeerUnreachable, PoolReader};
pub use shutdown_acks::{PendingShutdownAck, ShutdownAcks};
pub use view::PeerView;

/// Bytes of a body that may be sent before its receiver gives credit.
pub const BODY_WINDOW: usize = 256 * 1024;

/// Largest piece of a body in one message, in bytes.
pub const BODY_PIECE: usize = 32 * 1024;
