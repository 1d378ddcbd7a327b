//! docs/OPERATIONS.md lists every log message of the daemon with its level and keys, so that operators can look messages up.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// Keys of each log message, by level and text.
type Messages = BTreeMap<(String, String), BTreeSet<String>>;

fn repository() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn sources(folder: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(folder).expect("a folder").map(|entry| entry.expect("an entry").path());
    entries.flat_map(|path| if path.is_dir() { sources(&path) } else { vec![path] }).collect()
}

/// The arguments of a macro call whose opening bracket precedes `text`. They are split at semicolons and commas outside of brackets and
/// string literals; each comes with the character that ends it.
fn arguments(text: &str) -> Vec<(String, char)> {
    let (mut depth, mut in_string, mut escaped) = (0, false, false);
    let (mut found, mut current) = (Vec::new(), String::new());
    for character in text.chars() {
        if in_string {
            in_string = character != '"' || escaped;
            escaped = character == '\\' && !escaped;
        } else {
            match character {
                '"' => in_string = true,
                '(' | '[' | '{' => depth += 1,
                ')' if depth == 0 => break,
                ')' | ']' | '}' => depth -= 1,
                ',' | ';' if depth == 0 => {
                    found.push((std::mem::take(&mut current), character));
                    continue;
                }
                _ => {}
            }
        }
        current.push(character);
    }
    found.push((current, ')'));
    found
}

fn messages_of(text: &str) -> Messages {
    let mut messages = Messages::new();
    for level in LEVELS {
        for call in text.split(&format!("{level}!(")).skip(1) {
            let arguments = arguments(call);
            let fields = arguments.iter().position(|(_, end)| *end == ';').map_or(0, |last| last + 1);
            let key = |(field, _): &(String, char)| {
                field.split(['=', ':']).next().unwrap_or_default().trim().to_owned()
            };
            let keys = arguments[..fields].iter().map(key).collect();
            let message = arguments[fields].0.trim().trim_matches('"').to_owned();
            messages.insert((level.to_owned(), message), keys);
        }
    }
    messages
}

/// The messages in the rows `| level | message | keys | file |` of the page.
fn messages_of_page(page: &str) -> Messages {
    let rows = page.lines().filter_map(|line| {
        let cells: Vec<&str> = line.trim_matches('|').split(" | ").map(str::trim).collect();
        let [level, message, keys, _file] = cells[..] else { return None };
        let keys = if keys == "none" { "" } else { keys.trim_matches('`') };
        let keys = keys.split_whitespace().map(str::to_owned).collect();
        LEVELS.contains(&level).then(|| ((level.to_owned(), message.trim_matches('`').to_owned()), keys))
    });
    rows.collect()
}

#[test]
fn the_page_lists_the_messages_of_the_code() {
    let folders = ["crates/seamhatchd/src", "platform/src"];
    let files = folders.iter().flat_map(|folder| sources(&repository().join(folder)));
    let texts = files.map(|file| std::fs::read_to_string(file).expect("reads"));
    let in_code: Messages = texts.flat_map(|text| messages_of(&text)).collect();
    let page = std::fs::read_to_string(repository().join("docs/OPERATIONS.md")).expect("reads");
    let on_page = messages_of_page(&page);
    assert!(!in_code.is_empty());
    let missing: Vec<_> =
        in_code.iter().filter(|(message, keys)| on_page.get(*message) != Some(*keys)).collect();
    let stale: Vec<_> =
        on_page.iter().filter(|(message, keys)| in_code.get(*message) != Some(*keys)).collect();
    assert!(
        missing.is_empty() && stale.is_empty(),
        "missing from the page, or with other keys: {missing:#?}\nmissing from the code, or with other keys: {stale:#?}"
    );
}
