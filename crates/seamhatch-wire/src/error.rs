//! Why a connection or a datagram of another daemon can't be used. Each message names the likely cause or the remedy.

use thiserror::Error;

/// A connection or datagram that can't be used.
#[derive(Debug, Error)]
pub enum WireError {
    /// The first bytes aren't those of a seamhatch daemon.
    #[error("the peer does not speak the seamhatch protocol; check that the address is a daemon's peer port")]
    NotSeamhatch,
    /// The peer speaks another version.
    #[error("the peer speaks protocol version {theirs}, this daemon {ours}; upgrade the older of the two")]
    Version {
        /// The peer's.
        theirs: u16,
        /// Ours.
        ours: u16,
    },
    /// A frame's length is impossible.
    #[error("a frame of {length} bytes exceeds the {limit} allowed; the peer is faulty or not a daemon")]
    FrameTooLarge {
        /// Length in the frame's head.
        length: usize,
        /// Largest length.
        limit: usize,
    },
    /// A frame's content can't be decoded.
    #[error("a frame can't be decoded ({0}); the peer is faulty or of another build")]
    Malformed(#[from] speedy::Error),
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// The connection ended inside a frame.
    #[error("the connection ended inside a frame; the peer was stopped or the link cut")]
    Truncated,
}
