//! Tracks which calling peers have not yet acknowledged the shutdown of this daemon.
//!
//! Each incoming connection holds a [`PendingShutdownAck`] from its start until the peer acknowledges the shutdown
//! or the connection closes. Once none is pending, no further call can arrive.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// Counts the connections whose peers have not acknowledged the shutdown. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct ShutdownAcks(Arc<AtomicUsize>);

impl ShutdownAcks {
    /// Registers a new connection on which calls may arrive.
    #[must_use]
    pub fn begin(&self) -> PendingShutdownAck {
        self.0.fetch_add(1, Ordering::AcqRel);
        PendingShutdownAck { acks: self.clone(), acknowledged: AtomicBool::new(false) }
    }

    /// The number of connections whose peers have not acknowledged the shutdown.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }
}

/// A connection whose peer may send calls until it acknowledges the shutdown.
#[derive(Debug)]
pub struct PendingShutdownAck {
    acks: ShutdownAcks,
    acknowledged: AtomicBool,
}

impl PendingShutdownAck {
    /// Records the peer's acknowledgement, after which no call follows on this connection.
    pub fn acknowledge(&self) {
        if !self.acknowledged.swap(true, Ordering::AcqRel) {
            self.acks.0.fetch_sub(1, Ordering::AcqRel);
        }
    }
}

impl Drop for PendingShutdownAck {
    fn drop(&mut self) {
        self.acknowledge();
    }
}
