//! The format of a log line: `time level message key=value ...`, or one JSON object with the keys in alphabetical order.

use crate::settings::LogFormat;
use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use std::fmt::{self, Display, Write};
use std::time::SystemTime;

/// Initial capacity for the fields of a line; most lines have no more.
const TYPICAL_FIELDS: usize = 16;

/// Appends a record as a line, including the line end. Fields are in alphabetical order; of two fields with the same key the last
/// one is written.
pub fn append_line(out: &mut String, format: LogFormat, time: SystemTime, record: &Record<'_>) {
    let mut fields = Fields(Vec::with_capacity(TYPICAL_FIELDS));
    let (time, level) = (humantime::format_rfc3339_millis(time), record.level().as_str());
    // Writing to a string and collecting fields do not fail.
    let _ = match format {
        LogFormat::Text => {
            let _ = record.key_values().visit(&mut fields);
            // A message whose formatting fails is truncated.
            let _ = write!(out, "{time} {level} {}", record.args());
            fields.append_text(out)
        }
        LogFormat::Json => {
            fields.insert("level", FieldValue::Text(&level));
            fields.insert("message", FieldValue::Text(record.args()));
            fields.insert("time", FieldValue::Text(&time));
            let _ = record.key_values().visit(&mut fields);
            fields.append_json(out)
        }
    };
    out.push('\n');
}

enum FieldValue<'a> {
    Text(&'a dyn Display),
    Logged(Value<'a>),
}

impl FieldValue<'_> {
    /// Appends a number unquoted, any other value as a JSON string.
    fn append(&self, out: &mut String) -> fmt::Result {
        match self {
            Self::Text(text) => append_quoted(out, text),
            Self::Logged(value) => match value.to_u64() {
                Some(number) => write!(out, "{number}"),
                None => append_quoted(out, value),
            },
        }
    }
}

/// The fields of a line, sorted by key.
struct Fields<'a>(Vec<(Key<'a>, FieldValue<'a>)>);

impl<'a> Fields<'a> {
    fn insert(&mut self, key: impl Into<Key<'a>>, value: FieldValue<'a>) {
        let key = key.into();
        match self.0.binary_search_by(|(other, _)| other.as_str().cmp(key.as_str())) {
            Ok(index) => self.0[index].1 = value,
            Err(index) => self.0.insert(index, (key, value)),
        }
    }

    fn append_text(&self, out: &mut String) -> fmt::Result {
        for (key, value) in &self.0 {
            write!(out, " {key}=")?;
            value.append(out)?;
        }
        Ok(())
    }

    fn append_json(&self, out: &mut String) -> fmt::Result {
        let mut separator = '{';
        for (key, value) in &self.0 {
            out.push(separator);
            append_quoted(out, key)?;
            out.push(':');
            value.append(out)?;
            separator = ',';
        }
        out.push('}');
        Ok(())
    }
}

impl<'a> VisitSource<'a> for Fields<'a> {
    fn visit_pair(&mut self, key: Key<'a>, value: Value<'a>) -> Result<(), Error> {
        self.insert(key, FieldValue::Logged(value));
        Ok(())
    }
}

/// Appends a text as a JSON string.
fn append_quoted(out: &mut String, text: &(impl Display + ?Sized)) -> fmt::Result {
    out.push('"');
    // A value whose formatting fails is truncated; the line remains valid.
    let _ = write!(Escaping(out), "{text}");
    out.push('"');
    Ok(())
}

/// Escapes the written text as RFC 8259 requires, with the short escapes where they exist.
struct Escaping<'a>(&'a mut String);

impl Write for Escaping<'_> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        let mut rest = text;
        while let Some(index) = rest.bytes().position(|byte| byte < b' ' || byte == b'"' || byte == b'\\') {
            self.0.push_str(&rest[..index]);
            match rest.as_bytes()[index] {
                byte @ (b'"' | b'\\') => {
                    self.0.push('\\');
                    self.0.push(char::from(byte));
                }
                b'\x08' => self.0.push_str("\\b"),
                b'\x0c' => self.0.push_str("\\f"),
                b'\n' => self.0.push_str("\\n"),
                b'\r' => self.0.push_str("\\r"),
                b'\t' => self.0.push_str("\\t"),
                byte => write!(self.0, "\\u{byte:04x}")?,
            }
            rest = &rest[index + 1..];
        }
        self.0.push_str(rest);
        Ok(())
    }
}
