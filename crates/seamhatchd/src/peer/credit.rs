//! Credit-based flow control of one body.
//!
//! The sender of the body owns the window. The session or connection that receives [`Credit`] messages refills it.
//! The body's receiver decides with [`OwedCredit`] when to send them.
//!
//! [`Credit`]: seamhatch_wire::PeerMessage::Credit

use crate::peer::BODY_WINDOW_BYTES;
use seamhatch_core::body_credit::OwedCredit;
use std::sync::atomic::{AtomicI64, Ordering};
use tokio::sync::Notify;

/// The receiver's credit account at the start of a body.
#[must_use]
pub fn owed_credit() -> OwedCredit {
    OwedCredit::new(BODY_WINDOW_BYTES as u32)
}

/// The number of bytes that may be sent now; negative after a piece that was larger than the remaining window.
#[derive(Debug)]
pub struct CreditWindow {
    available: AtomicI64,
    refilled: Notify,
}

impl Default for CreditWindow {
    fn default() -> Self {
        Self { available: AtomicI64::new(BODY_WINDOW_BYTES as i64), refilled: Notify::new() }
    }
}

impl CreditWindow {
    /// Adds credit granted by the receiver, in bytes.
    pub fn refill(&self, bytes: u32) {
        self.available.fetch_add(i64::from(bytes), Ordering::AcqRel);
        self.refilled.notify_one();
    }

    /// Deducts sent bytes.
    pub fn spend(&self, bytes: usize) {
        self.available.fetch_sub(bytes as i64, Ordering::AcqRel);
    }

    /// Waits until the window is positive. Supports a single waiter.
    pub async fn ready(&self) {
        while self.available.load(Ordering::Acquire) <= 0 {
            self.refilled.notified().await;
        }
    }
}
