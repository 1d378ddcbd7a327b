//! How much of an answer has been read, and when it is no longer waited for.
//!
//! A faulty back end may send nothing, or stop in the middle, or send bytes without end: in a head, in interim responses, or in a
//! body. The head is limited in bytes, and every answer is limited in time, whoever still waits for it.

use crate::base::clock;
use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, Microseconds, SECOND};
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Maximum length of the head of an answer with the interim responses before it, in bytes.
pub const MAX_ANSWER_HEAD_BYTES: u64 = 64 * 1024;

/// Time in microseconds from the deadline of a call, or from the first byte of an answer that comes later, until the answer
/// is cut off.
pub const MAX_ANSWER_OVERRUN: Microseconds = SECOND;

/// Lateness of a wake-up from which on this process has stood still, in microseconds.
const STANDSTILL: Microseconds = 50 * MILLISECOND;

/// Time in microseconds for reading what arrived while this process stood still.
const CATCH_UP: Microseconds = 50 * MILLISECOND;

/// Value of [`Counts::first_byte`] before the first byte.
const NONE: u64 = 0;

#[derive(Debug, Default)]
struct Counts {
    /// Whether the head of the answer is awaited.
    in_head: AtomicBool,
    head_bytes: AtomicU64,
    /// When the first byte of the answer was read, in the boot clock.
    first_byte: AtomicU64,
}

/// The progress of the answer that is read on a connection. Cheap to clone; all clones are of one connection.
#[derive(Debug, Clone, Default)]
pub struct AnswerProgress(Arc<Counts>);

impl AnswerProgress {
    /// Records that the next request is written.
    pub fn begin(&self) {
        self.0.head_bytes.store(0, Ordering::Relaxed);
        self.0.first_byte.store(NONE, Ordering::Relaxed);
        self.0.in_head.store(true, Ordering::Release);
    }

    /// Records that the head of the answer has been read.
    pub fn end_head(&self) {
        self.0.in_head.store(false, Ordering::Release);
    }

    /// Records that bytes were read from the connection.
    pub fn note_read(&self, bytes: usize) {
        if self.0.in_head.load(Ordering::Acquire) && bytes > 0 {
            self.0.head_bytes.fetch_add(bytes as u64, Ordering::Relaxed);
            if self.0.first_byte.load(Ordering::Relaxed) == NONE {
                self.0.first_byte.store(clock::now().0, Ordering::Relaxed);
            }
        }
    }

    /// Checks that more of the answer may be read. The bytes read last may contain the end of the head, so the limit counts
    /// those before them.
    ///
    /// # Errors
    /// The head is longer than [`MAX_ANSWER_HEAD_BYTES`].
    pub fn check_head(&self) -> io::Result<()> {
        let is_too_long = self.0.in_head.load(Ordering::Acquire)
            && self.0.head_bytes.load(Ordering::Relaxed) > MAX_ANSWER_HEAD_BYTES;
        if is_too_long {
            let detail = format!("the head of the answer is longer than {MAX_ANSWER_HEAD_BYTES} bytes");
            return Err(io::Error::new(io::ErrorKind::InvalidData, detail));
        }
        Ok(())
    }

    /// Whether anything of the answer has been read.
    pub fn has_begun(&self) -> bool {
        self.0.first_byte.load(Ordering::Relaxed) != NONE
    }

    /// When the answer to a call with the deadline `expiry` is cut off. A back end stops its work at the deadline, so one
    /// that has sent nothing by then has nothing to send.
    pub fn cut_off_at(&self, expiry: Instant) -> Instant {
        let first_byte = Instant(self.0.first_byte.load(Ordering::Relaxed));
        expiry.max(first_byte).plus(MAX_ANSWER_OVERRUN)
    }

    /// Resolves when the answer is to be cut off. If this process stood still past that time, what arrived meanwhile can be
    /// read before.
    pub async fn until_cut_off(&self, expiry: Instant) {
        let mut end = self.cut_off_at(expiry);
        if end <= clock::now() {
            return;
        }
        loop {
            clock::sleep_until(end).await;
            let now = clock::now();
            let due = self.cut_off_at(expiry);
            if now < due {
                // The first byte has come in the meantime.
                end = due;
            } else if now.since(end) > STANDSTILL {
                end = now.plus(CATCH_UP);
            } else {
                return;
            }
        }
    }
}
