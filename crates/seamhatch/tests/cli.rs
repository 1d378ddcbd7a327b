//! The client's command line without a daemon: help, checks, exit codes.

use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_seamhatch"));
    command.args(arguments).env_remove("SEAMHATCH_DAEMON").output().expect("starts")
}

fn text(output: &Output) -> String {
    let code = output.status.code().unwrap_or_default();
    let out = String::from_utf8_lossy(&output.stdout);
    let err = String::from_utf8_lossy(&output.stderr);
    format!("exit code {code}\n{out}{err}")
}

#[test]
fn help() {
    let commands = ["check", "submit", "status", "history", "explain", "drain"];
    let mut report = text(&run(&["--help"]));
    commands.iter().for_each(|command| report.push_str(&text(&run(&[command, "--help"]))));
    insta::assert_snapshot!(report);
}

#[test]
fn a_wrong_command_line_exits_with_2_and_tells_why() {
    let cases: [&[&str]; 7] = [
        &[],
        &["fly"],
        &["check"],
        &["status"],
        &["--daemon", "here", "status"],
        &["--daemon", "127.0.0.1:1", "explain"],
        &["check", "/nonexistent/file"],
    ];
    let report: String = cases.iter().map(|case| format!("{case:?}: {}", text(&run(case)))).collect();
    insta::assert_snapshot!(report);
}

#[test]
fn check_accepts_and_refuses() {
    let file = |name: &str, text: &str| {
        let path = std::env::temp_dir().join(format!("seamhatch-cli-{}-{name}", std::process::id()));
        std::fs::write(&path, text).expect("writes");
        path
    };
    let good = file("good", "policy = 'fn retries(request) { 1 }'\n[services.desk]\n");
    let bad = file("bad", "policy = 'fn retries(request) { \"many\" }'\n[services.desk]\n");
    let report =
        text(&run(&["check", &good.to_string_lossy()])) + &text(&run(&["check", &bad.to_string_lossy()]));
    for path in [good, bad] {
        std::fs::remove_file(path).expect("removes");
    }
    insta::assert_snapshot!(report);
}

#[test]
fn an_unreachable_daemon_exits_with_6() {
    let output = run(&["--daemon", "127.0.0.1:9", "status"]);
    assert_eq!(output.status.code(), Some(6));
}
