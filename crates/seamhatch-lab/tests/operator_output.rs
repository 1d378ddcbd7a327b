//! What the operators' client prints and how it exits against live daemons: pipelines branch on both.

mod common;

use common::start;
use seamhatch_lab::deployment::Deployment;
use seamhatch_lab::topology::Topology;
use serde_json::Value;
use std::collections::BTreeSet;

/// The paths of all values of a JSON text, each with its type.
fn shape(text: &str) -> String {
    let value: Value = serde_json::from_str(text).expect("JSON");
    let mut paths = BTreeSet::new();
    collect("", &value, &mut paths);
    paths.into_iter().map(|path| format!("  {path}\n")).collect()
}

fn collect(path: &str, value: &Value, paths: &mut BTreeSet<String>) {
    match value {
        Value::Object(object) => {
            object.iter().for_each(|(key, value)| collect(&format!("{path}.{key}"), value, paths));
        }
        Value::Array(items) if items.is_empty() => drop(paths.insert(format!("{path}[]: none"))),
        Value::Array(items) => items.iter().for_each(|item| collect(&format!("{path}[]"), item, paths)),
        Value::Null => drop(paths.insert(format!("{path}: null"))),
        Value::Bool(_) => drop(paths.insert(format!("{path}: bool"))),
        Value::Number(_) => drop(paths.insert(format!("{path}: number"))),
        Value::String(_) => drop(paths.insert(format!("{path}: string"))),
    }
}

/// Exit code and form of what a command prints.
fn printed(deployment: &Deployment, arguments: &[&str]) -> String {
    let output = deployment.client(0, arguments).expect("client starts");
    let code = output.status.code().unwrap_or_default();
    let form = shape(&String::from_utf8_lossy(&output.stdout));
    format!("{arguments:?} exits with {code}\n{form}")
}

fn exit_code(deployment: &Deployment, arguments: &[&str]) -> String {
    let output = deployment.client(0, arguments).expect("client starts");
    let name = arguments.iter().filter(|argument| !argument.starts_with('/')).copied();
    format!("{:?} exits with {}\n", name.collect::<Vec<_>>(), output.status.code().unwrap_or_default())
}

#[tokio::test(flavor = "multi_thread")]
async fn outputs_and_exit_codes_keep_their_form() {
    let (deployment, _turn) = start(Topology::chain(3, 1, 2, 2), false).await;
    let file = |name: &str, text: &str| {
        let path = std::env::temp_dir().join(format!("seamhatch-output-{}-{name}", std::process::id()));
        std::fs::write(&path, text).expect("writes");
        path.to_string_lossy().into_owned()
    };
    let good = file("good", &deployment.topology.document);
    let bad = file("bad", "policy = 1");
    let mut report = String::new();
    let shapes: [&[&str]; 4] = [
        &["--json", "status"],
        &["--json", "history"],
        &["--json", "explain", "--path", "/a"],
        &["--json", "crashes"],
    ];
    shapes.iter().for_each(|arguments| report.push_str(&printed(&deployment, arguments)));
    report.push_str(
        &printed(&deployment, &["--json", "submit", &good, "--author", "a"]).replace(&good, "FILE"),
    );
    let codes: [&[&str]; 5] = [
        &["submit", &good, "--author", "a"],
        &["submit", &good, "--author", "a", "--expect-generation", "1"],
        &["submit", &bad, "--author", "a"],
        &["crashes", "clear", "0a0b"],
        &["drain", "--member", "127.0.0.1:9"],
    ];
    codes.iter().for_each(|arguments| report.push_str(&exit_code(&deployment, arguments)));
    for path in [good, bad] {
        std::fs::remove_file(path).expect("removes");
    }
    insta::assert_snapshot!(report);
}
