//! Which daemons that send calls here have not heard yet that this one is about to end.
//!
//! A connection on which calls come holds an [`AwaitedFarewell`] from its beginning; it lets go when its peer has answered the farewell, or with the
//! connection. Once none is held, no call is on its way here.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// Counts the connections whose peers have not answered. Cheap to clone.
#[derive(Debug, Clone, Default)]
pub struct Farewells(Arc<AtomicUsize>);

impl Farewells {
    /// A connection begins on which calls may come.
    #[must_use]
    pub fn begin(&self) -> AwaitedFarewell {
        self.0.fetch_add(1, Ordering::AcqRel);
        AwaitedFarewell { farewells: self.clone(), heard: AtomicBool::new(false) }
    }

    /// Connections whose peers have not answered.
    #[must_use]
    pub fn awaited(&self) -> usize {
        self.0.load(Ordering::Acquire)
    }
}

/// A connection whose peer may send calls, until it has heard that none are taken.
#[derive(Debug)]
pub struct AwaitedFarewell {
    farewells: Farewells,
    heard: AtomicBool,
}

impl AwaitedFarewell {
    /// The peer has heard it: no call follows on this connection.
    pub fn note_heard(&self) {
        if !self.heard.swap(true, Ordering::AcqRel) {
            self.farewells.0.fetch_sub(1, Ordering::AcqRel);
        }
    }
}

impl Drop for AwaitedFarewell {
    fn drop(&mut self) {
        self.note_heard();
    }
}
