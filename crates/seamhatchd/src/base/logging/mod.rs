//! Structured logs: one line for each event, as text or JSON, to standard output.
//!
//! Lines wait in a bounded queue for a thread of their own, so that neither requests nor controllers wait for the reader of
//! standard output. Lines that don't fit are dropped and counted, and the count is logged. The queue is the process's: [`start`] is called
//! once at the start, [`flush`] at the end; every layer logs through the `log` crate.

mod line;
mod queue;

pub use line::append_line;
pub use queue::LineQueue;

use crate::settings::{LogFormat, LogSettings};
use log::{Level, Record};
use std::cell::RefCell;
use std::time::{Duration, SystemTime};

/// Longest wait for the queue to empty when the process ends, so that a reader that has stopped does not delay the end.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// Room for a line before its buffer grows; lines of calls have some 300 bytes.
const USUAL_LINE: usize = 512;
/// Largest buffer that a thread keeps for its next line.
const LARGEST_KEPT: usize = 16 * 1024;

/// The lines of this process.
static LINES: LineQueue = LineQueue::new();

thread_local! {
    /// Where a thread builds its line, so that no line needs a buffer of its own.
    static BUFFER: RefCell<String> = RefCell::new(String::with_capacity(USUAL_LINE));
}

/// Starts logging.
///
/// # Errors
/// When logging was started before.
pub fn start(settings: &LogSettings) -> Result<(), log::SetLoggerError> {
    let format = settings.format;
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("seamhatchd", log::LevelFilter::Trace)
        .chain(fern::Output::call(move |record| enqueue(format, record)))
        .apply()?;
    log::set_max_level(settings.level);
    // Where the thread can't be started, the queue fills up and lines are dropped and counted.
    let _ = std::thread::Builder::new().name("log".into()).spawn(|| LINES.write_to(&mut std::io::stdout()));
    Ok(())
}

/// Waits until what was logged is written, for at most 0.2 s.
pub fn flush() {
    // The process ends all the same; nothing more can be logged.
    let _ = LINES.flush(FLUSH_TIMEOUT);
}

/// Lines dropped since the last that was written.
#[must_use]
pub fn dropped() -> u64 {
    LINES.dropped()
}

fn enqueue(format: LogFormat, record: &Record<'_>) {
    let build = |buffer: &mut String| {
        // A value whose formatting panicked may have left a part of a line.
        buffer.clear();
        append_line(buffer, format, SystemTime::now(), record);
        LINES.push(buffer, record.level() <= Level::Warn);
        buffer.clear();
        buffer.shrink_to(LARGEST_KEPT);
    };
    // A value that logs while it is being formatted, or a thread that is ending, needs a buffer of its own.
    let built =
        BUFFER.try_with(|buffer| buffer.try_borrow_mut().map(|mut buffer| build(&mut buffer)).is_ok());
    if built != Ok(true) {
        build(&mut String::with_capacity(USUAL_LINE));
    }
}
