//! The format of log lines, which operators' tools parse, and when the lines are written.

use log::{Level, Record};
use seamhatchd::base::logging::{LineQueue, append_line};
use seamhatchd::settings::LogFormat;
use serde_json::{Map, Value, json};
use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant, UNIX_EPOCH};

/// Time of the log records since the epoch: one hour and 500 ms.
const TIME: Duration = Duration::from_millis(3_600_500);
/// Capacity of a queue, in lines.
const QUEUE: usize = 1024;

/// Text with every kind of character that JSON escapes, and some that it does not escape.
fn special_characters() -> String {
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

/// Guards against a change of the format: a line has the same bytes as when it is serialized from a map of JSON values.
#[test]
fn a_json_line_has_the_bytes_of_a_map_of_json_values() {
    let special_characters = special_characters();
    let fields = [
        ("waited_ms", log::kv::Value::from(7_u64)),
        ("from", log::kv::Value::from(special_characters.as_str())),
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
    map.insert("message".into(), json!(special_characters));
    for (key, value) in &fields {
        let value = value.to_u64().map_or_else(|| Value::from(value.to_string()), Value::from);
        map.insert((*key).into(), value);
    }
    let expected = format!("{}\n", Value::Object(map));
    assert_eq!(line_of(LogFormat::Json, &special_characters, &fields), expected);
}

#[test]
fn lines_keep_their_json_and_text_format() {
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

/// Sends each write, with its time, to a channel.
struct WriteSender(Sender<(Instant, String)>);

impl Write for WriteSender {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let text = String::from_utf8(bytes.to_vec()).expect("text");
        self.0.send((Instant::now(), text)).map_err(std::io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// A queue with a thread that writes its lines, and the writes of that thread.
fn writing_queue() -> (&'static LineQueue, Receiver<(Instant, String)>) {
    let queue: &LineQueue = Box::leak(Box::default());
    let (sender, writes) = channel();
    std::thread::spawn(move || queue.write_to(&mut WriteSender(sender)));
    (queue, writes)
}

fn next(writes: &Receiver<(Instant, String)>) -> (Instant, String) {
    writes.recv_timeout(Duration::from_secs(20)).expect("a write")
}

/// Guards against waking the thread and writing for each single line.
#[test]
fn lines_are_collected_for_one_write() {
    let (queue, writes) = writing_queue();
    for _ in 0..2 {
        // Longer than the collection period, so that the thread waits without a time limit in the second round.
        std::thread::sleep(Duration::from_millis(120));
        let first = Instant::now();
        for line in ["one\n", "two\n", "three\n"] {
            queue.push(line, false);
        }
        let (written, text) = next(&writes);
        assert_eq!(text, "one\ntwo\nthree\n");
        assert!(written - first < Duration::from_secs(5), "the lines were held back");
    }
}

/// Guards against losing a warning when the process ends abruptly, and against lines out of order. The bound is half of the collection
/// period of other lines. It applies to the fastest of several tries, as the machine may be busy.
#[test]
fn a_warning_is_written_at_once_with_the_lines_before_it() {
    let (queue, writes) = writing_queue();
    let delays = (0..20).map(|_| {
        queue.push("before\n", false);
        let pushed = Instant::now();
        queue.push("warning\n", true);
        let (mut written, mut text) = next(&writes);
        if text == "before\n" {
            // The collection period of the first line ended before the warning was pushed.
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
    assert!(queue.flush(Duration::from_secs(20)), "an empty queue is flushed at once");
    queue.push("last line\n", false);
    assert!(queue.flush(Duration::from_secs(20)));
    assert_eq!(writes.try_recv().expect("written by now").1, "last line\n");
}

/// Guards against a queue that grows without limit while nothing reads standard output, and against an overflow that is not reported.
#[test]
fn lines_that_do_not_fit_are_dropped_and_counted() {
    let queue: &LineQueue = Box::leak(Box::default());
    for _ in 0..QUEUE + 3 {
        queue.push("line\n", false);
    }
    assert_eq!(queue.dropped(), 3);
    assert!(!queue.flush(Duration::from_millis(10)), "no thread writes the lines yet");
    let (sender, writes) = channel();
    std::thread::spawn(move || queue.write_to(&mut WriteSender(sender)));
    let mut text = String::new();
    while !text.ends_with("count=3\n") {
        text.push_str(&next(&writes).1);
    }
    assert_eq!(text.matches("line\n").count(), QUEUE);
    assert!(text.ends_with("WARN log lines dropped count=3\n"), "the count is logged");
    assert!(queue.flush(Duration::from_secs(20)));
    assert_eq!(queue.dropped(), 0);
}

/// Guards against readers of a pipe that receive partial lines: a write of up to 4,096 bytes is atomic, a larger one may be split.
#[test]
fn a_write_has_whole_lines_and_fits_a_pipe() {
    let queue: &LineQueue = Box::leak(Box::default());
    let long = format!("{}\n", "x".repeat(6_000));
    let short = format!("{}\n", "y".repeat(700));
    let lines = [&short, &short, &short, &short, &short, &short, &short, &long, &short];
    lines.iter().for_each(|line| queue.push(line, false));
    let (sender, writes) = channel();
    std::thread::spawn(move || queue.write_to(&mut WriteSender(sender)));
    assert!(queue.flush(Duration::from_secs(20)));
    let writes: Vec<String> = writes.try_iter().map(|(_, text)| text).collect();
    assert_eq!(writes.concat(), lines.map(String::as_str).concat());
    for write in writes {
        assert!(write.ends_with('\n') && (write.len() <= 4096 || write == long), "{} bytes", write.len());
    }
}

/// Guards against losing lines of a burst: a half full queue wakes the thread before the collection period ends.
#[test]
fn a_half_full_queue_is_written_before_the_collection_period_ends() {
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
