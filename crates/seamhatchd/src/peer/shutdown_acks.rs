//! Which daemons that send calls here have not heard yet that this one is about to end.
//!
//! A connection on which calls come holds an [`PendingShutdownAck`] from its beginning; it lets go when its peer has answered the farewell, or with the
//! connection. Once none is held, no call is on its way here.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// Counts the connections whose peers have not answered. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct ShutdownAcks(Arc<AtomicUsize>);

impl ShutdownAcks {
    /// A connection begins on which calls may come.
    #[must_use]
    pub fn begin(&self) -> PendingShutdownAck {
        self.0.fetch_add(1, Ordering::AcqRel);
        PendingShutdownAck { acks: self.clone(), acknowledged: AtomicBool::new(false) }
    }

    /// Connections whose peers have not answered.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }
}

/// A connection whose peer may send calls, until it has heard that none are taken.
#[derive(Debug)]
pub struct PendingShutdownAck {
    acks: ShutdownAcks,
    acknowledged: AtomicBool,
}

impl PendingShutdownAck {
    /// The peer has heard it: no call follows on this connection.
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
