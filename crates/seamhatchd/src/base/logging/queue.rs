//! Lines on their way to the thread that writes them.
//!
//! The thread is not woken for each line. The first line after a quiet time wakes it; it then collects lines for [`COLLECT`] and writes them
//! together. An urgent line, a flush, or a queue that is half full ends the collection at once.

use crate::base::lock::lock;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::{Duration, SystemTime};

/// Lines that may wait to be written.
const QUEUE: usize = 1024;
/// Bytes that may wait to be written.
const MOST_BYTES: usize = 1024 * 1024;
/// Lines that wake the thread before the time, so that the queue does not overflow while the thread sleeps.
const HALF_FULL: usize = QUEUE / 2;
/// How long lines are collected, so that a line does not cost a wake-up and a write of its own.
const COLLECT: Duration = Duration::from_millis(50);
/// Most bytes of one write, but for a longer line: a pipe takes so many whole (`PIPE_BUF`), and readers that take no more at once get whole lines.
const LARGEST_WRITE: usize = 4096;
/// Largest buffer that is kept for the next lines.
const LARGEST_KEPT: usize = 64 * 1024;

/// A bounded queue of log lines.
#[derive(Debug)]
pub struct LineQueue {
    state: Mutex<State>,
    /// Wakes the thread that writes.
    ready: Condvar,
    /// Wakes those that wait for their lines to be written.
    flushed: Condvar,
    dropped: AtomicU64,
}

#[derive(Debug)]
struct State {
    /// Lines that wait, each with its end.
    text: String,
    lines: usize,
    /// Something waits that must be written without delay.
    urgent: bool,
    /// The thread waits for the next line, however long it takes to come.
    idle: bool,
    /// Lines taken into the queue, and lines written, since the start.
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

    /// Adds a line that has its end; counts it as dropped where the queue is full. An urgent one is written without delay,
    /// together with everything before it.
    pub fn push(&self, line: &str, urgent: bool) {
        let mut state = lock(&self.state);
        if state.lines >= QUEUE || state.text.len() + line.len() > MOST_BYTES {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        state.text.push_str(line);
        state.lines += 1;
        state.queued += 1;
        let hurry = urgent || state.lines == HALF_FULL || state.text.len() >= MOST_BYTES / 2;
        let wake = state.idle || (hurry && !state.urgent);
        state.urgent |= hurry;
        state.idle = false;
        drop(state);
        if wake {
            self.ready.notify_one();
        }
    }

    /// Waits until everything that is in the queue now has been written; false where that takes longer than `patience`.
    pub fn flush(&self, patience: Duration) -> bool {
        let mut state = lock(&self.state);
        let last = state.queued;
        if state.written >= last {
            return true;
        }
        state.urgent = true;
        self.ready.notify_one();
        let waited = self.flushed.wait_timeout_while(state, patience, |state| state.written < last);
        !waited.unwrap_or_else(PoisonError::into_inner).1.timed_out()
    }

    /// Lines dropped since the last write.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Writes lines as they come, for as long as the process lives.
    pub fn write_to(&self, output: &mut impl Write) {
        let mut batch = String::new();
        loop {
            let lines = self.take(&mut batch);
            let dropped = self.dropped.swap(0, Ordering::Relaxed);
            if dropped > 0 {
                let now = humantime::format_rfc3339_millis(SystemTime::now());
                batch.push_str(&format!("{now} WARN log lines dropped count={dropped}\n"));
            }
            for lines in by_lines(&batch) {
                // The reader may have gone away, and there is no other place to report that.
                let _ = output.write_all(lines.as_bytes()).and_then(|()| output.flush());
            }
            batch.clear();
            batch.shrink_to(LARGEST_KEPT);
            lock(&self.state).written += lines as u64;
            self.flushed.notify_all();
        }
    }

    /// Waits until lines are due and moves them into the empty `batch`; returns how many there are.
    fn take(&self, batch: &mut String) -> usize {
        let mut state = lock(&self.state);
        loop {
            let waited = self.ready.wait_timeout_while(state, COLLECT, |state| !state.urgent);
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

/// Splits whole lines into parts of at most [`LARGEST_WRITE`]; a longer line is a part of its own.
fn by_lines(mut text: &str) -> impl Iterator<Item = &str> {
    std::iter::from_fn(move || {
        let reach = text.len().min(LARGEST_WRITE);
        let last_end = text.as_bytes()[..reach].iter().rposition(|byte| *byte == b'\n');
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
