//! The layers of the daemon: a module uses only modules that come before it in the order, so that it can be read without the later ones.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// The top-level modules of the crate, from the lowest layer up; `lib.rs` describes the layers.
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

/// All files of a module, which is a file or a folder.
fn files_of(path: &Path) -> Vec<PathBuf> {
    if path.is_file() {
        return vec![path.to_owned()];
    }
    let entries = std::fs::read_dir(path).expect("a folder").map(|entry| entry.expect("an entry").path());
    entries.flat_map(|entry| files_of(&entry)).collect()
}

/// The modules that a source file names by `crate::` outside of comments.
fn used_modules(text: &str) -> BTreeSet<String> {
    let code = text.lines().filter(|line| !line.trim_start().starts_with("//"));
    let paths = code.flat_map(|line| line.split("crate::").skip(1));
    let name =
        |path: &str| path.chars().take_while(|letter| letter.is_alphanumeric() || *letter == '_').collect();
    paths.map(name).collect()
}

#[test]
fn each_module_uses_only_those_before_it() {
    for (position, module) in ORDER.iter().enumerate() {
        let folder = source().join(module);
        let path = if folder.is_dir() { folder } else { source().join(format!("{module}.rs")) };
        for file in files_of(&path) {
            let text = std::fs::read_to_string(&file).expect("reads");
            for other in used_modules(&text) {
                let allowed = ORDER[..=position].contains(&other.as_str());
                assert!(
                    allowed,
                    "{} uses crate::{other}, which comes after {module} in ORDER",
                    file.display()
                );
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
