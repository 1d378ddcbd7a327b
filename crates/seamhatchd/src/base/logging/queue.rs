//! The queue of log lines for the thread that writes them.
//!
//! The thread is not woken for each line. The first line after an idle period wakes it; it then collects lines for
//! [`BATCH_INTERVAL`] and writes them together. An urgent line, a flush, or a half-full queue ends the batch at once.

use crate::base::lock::lock;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::{Duration, SystemTime};

/// Maximum number of queued lines.
const MAX_QUEUED_LINES: usize = 1024;
/// Maximum size of all queued lines.
const MAX_QUEUED_BYTES: usize = 1024 * 1024;
/// Number of queued lines that ends a batch early, so that the queue does not overflow while the thread sleeps.
const WAKE_LINES: usize = MAX_QUEUED_LINES / 2;
/// Time for which lines are collected into a batch, so that not every line costs a wake-up and a write.
const BATCH_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum size of one write, except for a longer line. Writes of this size to a pipe are atomic (`PIPE_BUF`), and readers that take
/// no more at once get whole lines.
const MAX_WRITE_BYTES: usize = 4096;
/// Maximum capacity of the buffer that is kept for the next lines.
const MAX_RETAINED_BYTES: usize = 64 * 1024;

/// A bounded queue of log lines.
#[derive(Debug)]
pub struct LineQueue {
    state: Mutex<State>,
    /// Wakes the writer thread.
    ready: Condvar,
    /// Wakes threads that wait in [`LineQueue::flush`].
    flushed: Condvar,
    dropped: AtomicU64,
}

#[derive(Debug)]
struct State {
    /// Queued lines, each including its line end.
    text: String,
    lines: usize,
    /// Whether a queued line must be written without delay.
    urgent: bool,
    /// Whether the writer thread waits for the next line without a timeout.
    idle: bool,
    /// Numbers of lines queued and written since the start.
    queued: u64,
    written: u64,
}

impl LineQueue {
    /// An empty queue.
    #[must_use]
    pub const fn new() -> Self {
        let state =
            State { text: String::new(), lines: 0, urgent: false, idle: false, queued: 0, written: 0 };
        Self {
            state: Mutex::new(state),
            ready: Condvar::new(),
            flushed: Condvar::new(),
            dropped: AtomicU64::new(0),
        }
    }

    /// Adds a line, which includes its line end; counts it as dropped when the queue is full. An urgent line is written without delay,
    /// together with all lines before it.
    pub fn push(&self, line: &str, urgent: bool) {
        let mut state = lock(&self.state);
        if state.lines >= MAX_QUEUED_LINES || state.text.len() + line.len() > MAX_QUEUED_BYTES {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        state.text.push_str(line);
        state.lines += 1;
        state.queued += 1;
        let wake_early = urgent || state.lines == WAKE_LINES || state.text.len() >= MAX_QUEUED_BYTES / 2;
        let wake = state.idle || (wake_early && !state.urgent);
        state.urgent |= wake_early;
        state.idle = false;
        drop(state);
        if wake {
            self.ready.notify_one();
        }
    }

    /// Waits until all lines queued so far have been written. Returns false when that takes longer than `timeout`.
    pub fn flush(&self, timeout: Duration) -> bool {
        let mut state = lock(&self.state);
        let last = state.queued;
        if state.written >= last {
            return true;
        }
        state.urgent = true;
        self.ready.notify_one();
        let waited = self.flushed.wait_timeout_while(state, timeout, |state| state.written < last);
        !waited.unwrap_or_else(PoisonError::into_inner).1.timed_out()
    }

    /// Number of lines dropped since the last write.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Writes queued lines until the process ends.
    pub fn write_to(&self, output: &mut impl Write) {
        let mut batch = String::new();
        loop {
            let lines = self.take(&mut batch);
            let dropped = self.dropped.swap(0, Ordering::Relaxed);
            if dropped > 0 {
                let now = humantime::format_rfc3339_millis(SystemTime::now());
                batch.push_str(&format!("{now} WARN log lines dropped count={dropped}\n"));
            }
            for lines in line_chunks(&batch) {
                // The reader may have closed the pipe, and there is no other place to report that.
                let _ = output.write_all(lines.as_bytes()).and_then(|()| output.flush());
            }
            batch.clear();
            batch.shrink_to(MAX_RETAINED_BYTES);
            lock(&self.state).written += lines as u64;
            self.flushed.notify_all();
        }
    }

    /// Waits until a batch is due and moves its lines into the empty `batch`. Returns the number of lines.
    fn take(&self, batch: &mut String) -> usize {
        let mut state = lock(&self.state);
        loop {
            let waited = self.ready.wait_timeout_while(state, BATCH_INTERVAL, |state| !state.urgent);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
            if state.lines > 0 {
                break;
            }
            state.urgent = false;
            state.idle = true;
            let waited = self.ready.wait_while(state, |state| state.idle && !state.urgent);
            state = waited.unwrap_or_else(PoisonError::into_inner);
        }
        state.urgent = false;
        std::mem::swap(&mut state.text, batch);
        std::mem::take(&mut state.lines)
    }
}

/// Splits text at line ends into chunks of at most [`MAX_WRITE_BYTES`]; a longer line forms a chunk by itself.
fn line_chunks(mut text: &str) -> impl Iterator<Item = &str> {
    std::iter::from_fn(move || {
        let limit = text.len().min(MAX_WRITE_BYTES);
        let last_end = text.as_bytes()[..limit].iter().rposition(|byte| *byte == b'\n');
        let end = last_end.or_else(|| text.find('\n')).map_or(text.len(), |end| end + 1);
        let (part, rest) = text.split_at(end);
        text = rest;
        (!part.is_empty()).then_some(part)
    })
}

impl Default for LineQueue {
    fn default() -> Self {
        Self::new()
    }
}
