//! Structured logs: one line per event, as text or JSON, to standard output.
//!
//! A dedicated thread writes the lines from a bounded queue, so that neither requests nor controllers block on the reader of standard
//! output. Lines that don't fit are dropped and counted, and the count is logged. The queue is global to the process: [`start`] is
//! called once at the start, [`flush`] at the end; every layer logs through the `log` crate.

mod line;
mod queue;

pub use line::append_line;
pub use queue::LineQueue;

use crate::settings::{LogFormat, LogSettings};
use log::{Level, Record};
use std::cell::RefCell;
use std::time::{Duration, SystemTime};

/// Timeout for writing the queued lines when the process ends, so that a stalled reader does not delay the end.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Initial capacity of a line buffer; lines about calls have some 300 bytes.
const TYPICAL_LINE_BYTES: usize = 512;
/// Maximum capacity of the buffer that a thread keeps for its next line.
const MAX_RETAINED_BYTES: usize = 16 * 1024;

/// The log queue of this process.
static LINES: LineQueue = LineQueue::new();

thread_local! {
    /// Buffer in which a thread formats its lines, so that no line needs an allocation.
    static BUFFER: RefCell<String> = RefCell::new(String::with_capacity(TYPICAL_LINE_BYTES));
}

/// Starts logging.
///
/// # Errors
/// A logger is already installed.
pub fn start(settings: &LogSettings) -> Result<(), log::SetLoggerError> {
    let format = settings.format;
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("seamhatchd", log::LevelFilter::Trace)
        .chain(fern::Output::call(move |record| enqueue(format, record)))
        .apply()?;
    log::set_max_level(settings.level);
    // If the thread can't be started, the queue fills up and lines are dropped and counted.
    let _ = std::thread::Builder::new().name("log".into()).spawn(|| LINES.write_to(&mut std::io::stdout()));
    Ok(())
}

/// Waits until all logged lines are written, for at most 0.2 s.
pub fn flush() {
    // The process ends in any case, and nothing more can be logged.
    let _ = LINES.flush(FLUSH_TIMEOUT);
}

/// Number of lines dropped since the last write.
#[must_use]
pub fn dropped() -> u64 {
    LINES.dropped()
}

fn enqueue(format: LogFormat, record: &Record<'_>) {
    let build = |buffer: &mut String| {
        // A value whose formatting panicked may have left a partial line.
        buffer.clear();
        append_line(buffer, format, SystemTime::now(), record);
        LINES.push(buffer, record.level() <= Level::Warn);
        buffer.clear();
        buffer.shrink_to(MAX_RETAINED_BYTES);
    };
    // A value that logs while it is being formatted, or a thread that is ending, can't use the thread's buffer.
    let built =
        BUFFER.try_with(|buffer| buffer.try_borrow_mut().map(|mut buffer| build(&mut buffer)).is_ok());
    if built != Ok(true) {
        build(&mut String::with_capacity(TYPICAL_LINE_BYTES));
    }
}
