//! Structured logs: one line for each event, as text or JSON, to standard output.
//!
//! Lines go through a bounded queue to a thread of their own, so that neither requests nor controllers wait for the reader of
//! standard output. Lines that don't fit are dropped and counted, and the count is logged. The queue is the process's: [`start`] is called
//! once at the start, [`flush`] at the end; every layer logs through the `log` crate.

use crate::settings::{LogFormat, LogSettings};
use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, Value as Json};
use std::fmt::Arguments;
use std::io::Write;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, SystemTime};

/// Lines that may wait to be written. Chosen, not measured.
const QUEUE: usize = 1024;
/// Bytes that are gathered for one write. Chosen, not measured.
const BATCH: usize = 16 * 1024;
/// Longest wait for the queue to empty when the process ends. Chosen, not measured.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// Lines that did not fit into the queue since the last one that did.
static DROPPED: AtomicU64 = AtomicU64::new(0);
static QUEUE_INPUT: OnceLock<SyncSender<Message>> = OnceLock::new();

enum Message {
    Line(String),
    /// Answered once everything before it has been written.
    Flush(SyncSender<()>),
}

/// Starts logging.
///
/// # Errors
/// When logging was started before.
pub fn start(settings: &LogSettings) -> Result<(), log::SetLoggerError> {
    let format = settings.format;
    let (sender, lines) = sync_channel(QUEUE);
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("seamhatchd", log::LevelFilter::Trace)
        .chain(fern::Output::call(move |record| enqueue(format, record)))
        .apply()?;
    log::set_max_level(settings.level);
    if QUEUE_INPUT.set(sender).is_ok() {
        // Where the thread can't be started, the queue fills up and lines are dropped and counted.
        let _ = std::thread::Builder::new().name("log".into()).spawn(move || write_lines(&lines));
    }
    Ok(())
}

/// Waits until what was logged is written, for at most 0.2 s.
pub fn flush() {
    let Some(queue) = QUEUE_INPUT.get() else { return };
    let (done, flushed) = sync_channel(1);
    if queue.try_send(Message::Flush(done)).is_ok() {
        // The process ends all the same; nothing more can be logged.
        let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
    }
}

/// Lines dropped since the last that was written.
#[must_use]
pub fn dropped() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

fn enqueue(format: LogFormat, record: &Record<'_>) {
    let Some(queue) = QUEUE_INPUT.get() else { return };
    let line = match format {
        LogFormat::Text => text_line(record.args(), record),
        LogFormat::Json => json_line(record.args(), record),
    };
    if queue.try_send(Message::Line(line)).is_err() {
        DROPPED.fetch_add(1, Ordering::Relaxed);
    }
}

fn write_lines(queue: &Receiver<Message>) {
    let mut batch = String::new();
    while let Ok(message) = queue.recv() {
        let mut waiting = Some(message);
        while let Some(message) = waiting {
            match message {
                Message::Line(line) => {
                    batch.push_str(&line);
                    batch.push('\n');
                }
                Message::Flush(done) => {
                    write(&mut batch);
                    // The process may have stopped waiting.
                    let _ = done.send(());
                }
            }
            waiting = if batch.len() < BATCH { queue.try_recv().ok() } else { None };
        }
        write(&mut batch);
    }
}

fn write(batch: &mut String) {
    let dropped = DROPPED.swap(0, Ordering::Relaxed);
    if dropped > 0 {
        batch.push_str(&format!("{} WARN log lines dropped count={dropped}\n", timestamp()));
    }
    // The reader may have gone away, and there is no other place to report that.
    let _ = std::io::stdout().write_all(batch.as_bytes());
    batch.clear();
}

fn timestamp() -> String {
    humantime::format_rfc3339_millis(SystemTime::now()).to_string()
}

fn text_line(message: &Arguments<'_>, record: &Record<'_>) -> String {
    let mut line = format!("{} {} {message}", timestamp(), record.level());
    for (key, value) in fields(record) {
        line.push_str(&format!(" {key}={value}"));
    }
    line
}

fn json_line(message: &Arguments<'_>, record: &Record<'_>) -> String {
    let mut object = Map::new();
    object.insert("time".into(), Json::from(timestamp()));
    object.insert("level".into(), Json::from(record.level().as_str()));
    object.insert("message".into(), Json::from(message.to_string()));
    object.extend(fields(record));
    Json::Object(object).to_string()
}

fn fields(record: &Record<'_>) -> Map<String, Json> {
    let mut collector = Collector(Map::new());
    // The collector itself never fails.
    let _ = record.key_values().visit(&mut collector);
    collector.0
}

struct Collector(Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Collector {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = value.to_u64().map_or_else(|| Json::from(value.to_string()), Json::from);
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}
