//! Structured logs: one line an event, as text or JSON.

use crate::settings::{LogFormat, LogSettings};
use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, Value as Json};
use std::fmt::Arguments;
use std::time::SystemTime;

/// Starts logging to standard error.
///
/// # Errors
/// When logging was started before.
pub fn start(settings: &LogSettings) -> Result<(), log::SetLoggerError> {
    let format = settings.format;
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("seamhatchd", settings.level)
        .format(move |out, message, record| {
            let line = match format {
                LogFormat::Text => text_line(message, record),
                LogFormat::Json => json_line(message, record),
            };
            out.finish(format_args!("{line}"));
        })
        .chain(std::io::stderr())
        .apply()
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
