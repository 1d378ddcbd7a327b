//! The layers of the daemon: a module uses only those before it, so that each can be read without those behind it.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// The modules at the top of the crate, from the bottom up; lib.rs says what each layer is for.
const ORDER: [&str; 23] = [
    "settings",
    "base",
    "conventions",
    "store",
    "ports",
    "lifecycle",
    "intake",
    "snapshot",
    "control",
    "server",
    "peer",
    "limits",
    "claims",
    "shared",
    "link_host",
    "filters",
    "dispatch",
    "listeners",
    "peer_server",
    "controllers",
    "reload",
    "stop",
    "startup",
];

fn source() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("src")
}

/// All files of a module, a single one or a folder.
fn files_of(path: &Path) -> Vec<PathBuf> {
    if path.is_file() {
        return vec![path.to_owned()];
    }
    let entries = std::fs::read_dir(path).expect("a folder").map(|entry| entry.expect("an entry").path());
    entries.flat_map(|entry| files_of(&entry)).collect()
}

/// The modules that a source names by `crate::`, comments left out.
fn used(text: &str) -> BTreeSet<String> {
    let code = text.lines().filter(|line| !line.trim_start().starts_with("//"));
    let paths = code.flat_map(|line| line.split("crate::").skip(1));
    let name =
        |path: &str| path.chars().take_while(|letter| letter.is_alphanumeric() || *letter == '_').collect();
    paths.map(name).collect()
}

#[test]
fn each_module_uses_only_those_before_it() {
    for (place, module) in ORDER.iter().enumerate() {
        let folder = source().join(module);
        let path = if folder.is_dir() { folder } else { source().join(format!("{module}.rs")) };
        for file in files_of(&path) {
            let text = std::fs::read_to_string(&file).expect("reads");
            for other in used(&text) {
                let allowed = ORDER[..=place].contains(&other.as_str());
                assert!(allowed, "{} uses crate::{other}, which stands behind {module}", file.display());
            }
        }
    }
}

#[test]
fn the_order_names_all_modules() {
    let lib = std::fs::read_to_string(source().join("lib.rs")).expect("reads");
    let declared = lib.lines().filter_map(|line| line.trim_start_matches("pub ").strip_prefix("mod "));
    let declared: BTreeSet<&str> = declared.map(|line| line.trim_end_matches(';')).collect();
    assert_eq!(declared, ORDER.into_iter().collect::<BTreeSet<&str>>());
}
