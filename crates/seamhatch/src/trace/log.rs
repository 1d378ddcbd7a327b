//! Logs of daemons, read line by line: the logs of a hundred daemons don't fit into memory.

use super::TraceLine;
use crate::error::CliError;
use serde_json::{Map, Value};
use std::fs::File;
use std::io::{BufRead, BufReader, Read};
use std::path::{Path, PathBuf};

/// Fields of a line that [`TraceLine`] has by themselves.
const SHOWN_APART: [&str; 4] = ["time", "level", "message", "request"];

/// Where lines come from. Each source is read more than once, and only wanted lines are parsed.
pub enum LogSource {
    /// A file, named after its daemon.
    File(PathBuf),
    /// Standard input, whole; the daemon's name stands before each line.
    Text(String),
}

impl LogSource {
    /// The given files, or standard input where there are none.
    ///
    /// # Errors
    /// Standard input can't be read.
    pub fn open(files: &[PathBuf]) -> Result<Vec<Self>, CliError> {
        if !files.is_empty() {
            return Ok(files.iter().cloned().map(Self::File).collect());
        }
        let mut text = Vec::new();
        let unreadable = |source| CliError::Unreadable { path: "-".into(), source };
        std::io::stdin().read_to_end(&mut text).map_err(unreadable)?;
        Ok(vec![Self::Text(String::from_utf8_lossy(&text).into_owned())])
    }

    /// The lines whose text `is_wanted`, parsed. Lines that aren't JSON objects are skipped: a log may begin with
    /// the output of a shell.
    ///
    /// # Errors
    /// The file can't be read.
    pub fn lines(&self, is_wanted: impl Fn(&str) -> bool) -> Result<Vec<TraceLine>, CliError> {
        let mut found = Vec::new();
        match self {
            Self::Text(text) => {
                let wanted = text.lines().filter(|line| is_wanted(line));
                found.extend(wanted.filter_map(|line| parse("", line)));
            }
            Self::File(path) => {
                let daemon = daemon_name(path);
                let unreadable = |source| CliError::Unreadable { path: path.clone(), source };
                let mut reader = BufReader::new(File::open(path).map_err(unreadable)?);
                let mut bytes = Vec::new();
                while reader.read_until(b'\n', &mut bytes).map_err(unreadable)? > 0 {
                    let line = String::from_utf8_lossy(&bytes);
                    if is_wanted(&line) {
                        found.extend(parse(&daemon, &line));
                    }
                    bytes.clear();
                }
            }
        }
        Ok(found)
    }
}

fn daemon_name(file: &Path) -> String {
    file.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default()
}

/// A line of the daemon with this name, or with the one that stands before its object.
fn parse(daemon: &str, line: &str) -> Option<TraceLine> {
    let start = line.find('{')?;
    let Ok(Value::Object(mut fields)) = serde_json::from_str(line[start..].trim_end()) else { return None };
    let before = line[..start].split_whitespace().last().unwrap_or(daemon);
    let (time, event) = (text(&fields, "time")?, text(&fields, "message")?);
    let request = text(&fields, "request");
    fields.retain(|key, _| !SHOWN_APART.contains(&key.as_str()));
    Some(TraceLine { time, daemon: before.to_owned(), request, event, fields })
}

fn text(fields: &Map<String, Value>, key: &str) -> Option<String> {
    Some(fields.get(key)?.as_str()?.to_owned())
}
