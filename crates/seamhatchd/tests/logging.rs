//! Log lines: their form, which operators' tools read, and when they are written.

use log::{Level, Record};
use seamhatchd::base::logging::{LineQueue, append_line};
use seamhatchd::settings::LogFormat;
use serde_json::{Map, Value, json};
use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant, UNIX_EPOCH};

/// An hour and a half of a second after the epoch.
const TIME: Duration = Duration::from_millis(3_600_500);
/// Lines that a queue holds.
const QUEUE: usize = 1024;

/// Text with every kind of character that JSON escapes, and some that it does not.
fn awkward() -> String {
    let controls: String = (0..=0x20_u8).map(char::from).collect();
    format!("\"quoted\" back\\slash /slash {controls}\u{7f} Gr\u{fc}\u{df}e \u{1f980}")
}

fn line_of(format: LogFormat, message: &str, fields: &[(&str, log::kv::Value<'_>)]) -> String {
    let mut line = String::new();
    let mut record = Record::builder();
    record.level(Level::Info).key_values(&fields);
    append_line(&mut line, format, UNIX_EPOCH + TIME, &record.args(format_args!("{message}")).build());
    line
}

/// Guards against a change of the form that the line had when it was built as a map of JSON values: the same bytes.
#[test]
fn a_json_line_has_the_bytes_of_a_map_of_json_values() {
    let awkward = awkward();
    let fields = [
        ("waited_ms", log::kv::Value::from(7_u64)),
        ("from", log::kv::Value::from(awkward.as_str())),
        ("complete", log::kv::Value::from(true)),
        ("status", log::kv::Value::from(200_u16)),
        ("a\"key", log::kv::Value::from(-3_i64)),
        ("share", log::kv::Value::from(0.5)),
        ("status", log::kv::Value::from(503_u16)),
        ("zone", log::kv::Value::from("")),
    ];
    let mut map = Map::new();
    map.insert("time".into(), json!("1970-01-01T01:00:00.500Z"));
    map.insert("level".into(), json!("INFO"));
    map.insert("message".into(), json!(awkward));
    for (key, value) in &fields {
        let value = value.to_u64().map_or_else(|| Value::from(value.to_string()), Value::from);
        map.insert((*key).into(), value);
    }
    let expected = format!("{}\n", Value::Object(map));
    assert_eq!(line_of(LogFormat::Json, &awkward, &fields), expected);
}

#[test]
fn lines_of_a_call_look_as_operators_know_them() {
    let fields = [
        ("status", log::kv::Value::from(200_u16)),
        ("request", log::kv::Value::from("inc-6091")),
        ("complete", log::kv::Value::from(true)),
    ];
    assert_eq!(
        line_of(LogFormat::Json, "call ran", &fields),
        "{\"complete\":\"true\",\"level\":\"INFO\",\"message\":\"call ran\",\"request\":\"inc-6091\",\
         \"status\":200,\"time\":\"1970-01-01T01:00:00.500Z\"}\n"
    );
    assert_eq!(
        line_of(LogFormat::Text, "call ran", &fields),
        "1970-01-01T01:00:00.500Z INFO call ran complete=\"true\" request=\"inc-6091\" status=200\n"
    );
    assert_eq!(
        line_of(LogFormat::Json, "started", &[]),
        "{\"level\":\"INFO\",\"message\":\"started\",\"time\":\"1970-01-01T01:00:00.500Z\"}\n"
    );
}

/// Passes each write on with the time at which it was made.
struct Writes(Sender<(Instant, String)>);

impl Write for Writes {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let text = String::from_utf8(bytes.to_vec()).expect("text");
        self.0.send((Instant::now(), text)).map_err(std::io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// A queue whose lines are written by a thread, and those writes.
fn writing_queue() -> (&'static LineQueue, Receiver<(Instant, String)>) {
    let queue: &LineQueue = Box::leak(Box::default());
    let (sender, writes) = channel();
    std::thread::spawn(move || queue.write_to(&mut Writes(sender)));
    (queue, writes)
}

fn next(writes: &Receiver<(Instant, String)>) -> (Instant, String) {
    writes.recv_timeout(Duration::from_secs(20)).expect("a write")
}

/// Guards against a wake-up and a write for each line.
#[test]
fn lines_are_collected_for_one_write() {
    let (queue, writes) = writing_queue();
    for _ in 0..2 {
        // Longer than lines are collected: the thread waits without a time limit in the second round.
        std::thread::sleep(Duration::from_millis(120));
        let first = Instant::now();
        for line in ["one\n", "two\n", "three\n"] {
            queue.push(line, false);
        }
        let (written, text) = next(&writes);
        assert_eq!(text, "one\ntwo\nthree\n");
        assert!(written - first < Duration::from_secs(5), "lines are not held back for long");
    }
}

/// Guards against warnings that a process loses as it ends abruptly, and against lines that overtake others. The bound is half of the
/// time for which other lines are collected, for the fastest of several tries, as the machine may be busy.
#[test]
fn a_warning_is_written_at_once_with_the_lines_before_it() {
    let (queue, writes) = writing_queue();
    let delays = (0..20).map(|_| {
        queue.push("before\n", false);
        let pushed = Instant::now();
        queue.push("warning\n", true);
        let (mut written, mut text) = next(&writes);
        if text == "before\n" {
            // The time of the earlier lines ran out in between.
            let (later, rest) = next(&writes);
            written = later;
            text.push_str(&rest);
        }
        assert_eq!(text, "before\nwarning\n");
        written.saturating_duration_since(pushed)
    });
    assert!(delays.min().expect("tries") < Duration::from_millis(25));
}

#[test]
fn flush_waits_until_everything_is_written() {
    let (queue, writes) = writing_queue();
    assert!(queue.flush(Duration::from_secs(20)), "there is nothing to wait for");
    queue.push("last words\n", false);
    assert!(queue.flush(Duration::from_secs(20)));
    assert_eq!(writes.try_recv().expect("written by now").1, "last words\n");
}

/// Guards against a queue that grows while nobody reads standard output, and against an overflow that nobody hears of.
#[test]
fn lines_that_do_not_fit_are_dropped_and_counted() {
    let queue: &LineQueue = Box::leak(Box::default());
    for _ in 0..QUEUE + 3 {
        queue.push("line\n", false);
    }
    assert_eq!(queue.dropped(), 3);
    assert!(!queue.flush(Duration::from_millis(10)), "nobody writes yet");
    let (sender, writes) = channel();
    std::thread::spawn(move || queue.write_to(&mut Writes(sender)));
    let mut text = String::new();
    while !text.ends_with("count=3\n") {
        text.push_str(&next(&writes).1);
    }
    assert_eq!(text.matches("line\n").count(), QUEUE);
    assert!(text.ends_with("WARN log lines dropped count=3\n"), "the count is logged");
    assert!(queue.flush(Duration::from_secs(20)));
    assert_eq!(queue.dropped(), 0);
}

/// Guards against lines that a reader of a pipe gets in part: a write of up to 4,096 bytes is whole, and a larger one may be cut.
#[test]
fn a_write_has_whole_lines_and_fits_a_pipe() {
    let queue: &LineQueue = Box::leak(Box::default());
    let long = format!("{}\n", "x".repeat(6_000));
    let short = format!("{}\n", "y".repeat(700));
    let lines = [&short, &short, &short, &short, &short, &short, &short, &long, &short];
    lines.iter().for_each(|line| queue.push(line, false));
    let (sender, writes) = channel();
    std::thread::spawn(move || queue.write_to(&mut Writes(sender)));
    assert!(queue.flush(Duration::from_secs(20)));
    let writes: Vec<String> = writes.try_iter().map(|(_, text)| text).collect();
    assert_eq!(writes.concat(), lines.map(String::as_str).concat());
    for write in writes {
        assert!(write.ends_with('\n') && (write.len() <= 4096 || write == long), "{} bytes", write.len());
    }
}

/// Guards against lines lost in a burst: the thread is woken before the queue overflows while it sleeps.
#[test]
fn a_half_full_queue_is_written_before_the_time() {
    let (queue, writes) = writing_queue();
    let mut written = 0;
    for _ in 0..20 {
        for _ in 0..QUEUE / 2 {
            queue.push("line\n", false);
        }
        written += next(&writes).1.matches("line\n").count();
    }
    assert!(queue.flush(Duration::from_secs(20)));
    written += writes.try_iter().map(|(_, text)| text.matches("line\n").count()).sum::<usize>();
    assert_eq!(written, 20 * QUEUE / 2);
    assert_eq!(queue.dropped(), 0);
}
