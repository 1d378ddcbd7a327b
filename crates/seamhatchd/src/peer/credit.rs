//! Flow control of one body: how many bytes its receiver can take.

use crate::peer::BODY_WINDOW;
use std::sync::atomic::{AtomicI64, Ordering};
use tokio::sync::Notify;

/// Bytes that may be sent at present.
#[derive(Debug)]
pub struct CreditWindow {
    available: AtomicI64,
    refilled: Notify,
}

impl Default for CreditWindow {
    fn default() -> Self {
        Self { available: AtomicI64::new(BODY_WINDOW as i64), refilled: Notify::new() }
    }
}

impl CreditWindow {
    /// Takes in the receiver's credit.
    pub fn refill(&self, bytes: u32) {
        self.available.fetch_add(i64::from(bytes), Ordering::AcqRel);
        self.refilled.notify_one();
    }

    /// Counts bytes as sent.
    pub fn spend(&self, bytes: usize) {
        self.available.fetch_sub(bytes as i64, Ordering::AcqRel);
    }

    /// Waits until something may be sent. For one waiter.
    pub async fn ready(&self) {
        while self.available.load(Ordering::Acquire) <= 0 {
            self.refilled.notified().await;
        }
    }
}
