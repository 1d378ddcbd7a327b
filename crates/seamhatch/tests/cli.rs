//! The client's command line without a daemon: help, checks, exit codes.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

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
    let commands = ["check", "submit", "status", "history", "explain", "drain", "crashes", "trace"];
    let mut report = text(&run(&["--help"]));
    commands.iter().for_each(|command| report.push_str(&text(&run(&[command, "--help"]))));
    insta::assert_snapshot!(report);
}

#[test]
fn a_wrong_command_line_exits_with_2_and_tells_why() {
    let cases: [&[&str]; 9] = [
        &[],
        &["fly"],
        &["check"],
        &["status"],
        &["--daemon", "here", "status"],
        &["--daemon", "127.0.0.1:1", "explain"],
        &["check", "/nonexistent/file"],
        &["crashes", "clear", "me"],
        &["crashes", "forget"],
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

/// Guards against a command that waits for ever for a daemon that stands still: its system takes connections, and nothing answers.
#[test]
fn a_daemon_that_stands_still_exits_with_6() {
    let frozen = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = frozen.local_addr().expect("is bound").to_string();
    let begun = Instant::now();
    let output = run(&["--daemon", &address, "status"]);
    assert_eq!(output.status.code(), Some(6));
    assert!(begun.elapsed() < Duration::from_secs(10), "{:?}", begun.elapsed());
}

/// Logs of two daemons: what the request met, and what one of them came to believe meanwhile.
#[test]
fn a_trace_shows_a_requests_path_through_the_logs_of_daemons() {
    let directory = tempfile::tempdir().expect("a directory");
    let entry = directory.path().join("entry.log");
    let back = directory.path().join("back.log");
    std::fs::write(
        &entry,
        "not a line of a log\n\
         {\"time\":\"2026-01-01T00:00:03Z\",\"message\":\"request answered\",\"request\":\"r1\",\"status\":500}\n\
         {\"time\":\"2026-01-01T00:00:01Z\",\"message\":\"request answered\",\"request\":\"r10\"}\n",
    )
    .expect("writes");
    std::fs::write(
        &back,
        "1.25 back-1 {\"time\":\"2026-01-01T00:00:01Z\",\"message\":\"call refused\",\"request\":\"r1.c2\",\"reason\":\"queue-full\"}\n\
         1.26 back-1 {\"time\":\"2026-01-01T00:00:02Z\",\"message\":\"instance lost\",\"instance\":\"i-7\"}\n\
         1.27 back-1 {\"time\":\"2026-01-01T00:00:09Z\",\"message\":\"ready\"}\n",
    )
    .expect("writes");
    let files = [entry.to_string_lossy().into_owned(), back.to_string_lossy().into_owned()];
    let output = run(&["trace", "r1", &files[0], &files[1]]);
    insta::assert_snapshot!(text(&output));
    let json = run(&["--json", "trace", "r1", &files[0], &files[1]]);
    let found: serde_json::Value = serde_json::from_slice(&json.stdout).expect("JSON");
    assert_eq!(found["lines"].as_array().map(Vec::len), Some(3));
    assert!(
        found["cause"].as_str().is_some_and(|cause| cause.contains("r1.c2 failed: queue-full")),
        "{found}"
    );
    assert_eq!(run(&["trace", "unknown", &files[0]]).status.code(), Some(3));
}

/// The last lines of a request, and what its cause must name.
struct CauseCase {
    name: &'static str,
    lines: &'static [&'static str],
    cause: &'static str,
}

#[test]
fn a_trace_ends_with_the_cause() {
    let cases = [
        CauseCase {
            name: "served",
            lines: &[
                r#""message":"request answered","request":"r","status":200,"server":"back-1","took_ms":7"#,
            ],
            cause: "answered with status 200 by back-1 after 7 ms",
        },
        CauseCase {
            name: "refused at the entry",
            lines: &[
                r#""message":"request not answered","request":"r","reason":"admission-floor","outcome":"not-run","took_ms":0"#,
            ],
            cause: "not answered after 0 ms (not-run): admission-floor at d: a service on its way sheds",
        },
        CauseCase {
            name: "refused by the last server of several",
            lines: &[
                r#""message":"call refused","request":"r","reason":"queue-full","load":36,"limit":14"#,
                r#""message":"request not answered","request":"r","reason":"queue-full","outcome":"not-run","took_ms":5"#,
            ],
            cause: "the server's queue was full (36 of 14 slots)",
        },
        CauseCase {
            name: "the deepest call that failed",
            lines: &[
                r#""message":"call refused","request":"r.a.b","reason":"backend-failed","detail":"closed""#,
                r#""message":"request not answered","request":"r.a.b","reason":"backend-failed""#,
                r#""message":"request not answered","request":"r.a","reason":"backend-failed""#,
                r#""message":"request answered","request":"r","status":500,"service":"desk","took_ms":90"#,
            ],
            cause: "the server of desk answered 500 after 90 ms, since its call r.a.b failed: backend-failed",
        },
        CauseCase {
            name: "a server that fails by itself",
            lines: &[
                r#""message":"request answered","request":"r","status":500,"service":"desk","took_ms":90"#,
            ],
            cause: "by itself",
        },
        CauseCase {
            name: "without the log of its first daemon",
            lines: &[r#""message":"call ran","request":"r","status":200"#],
            cause: "no line tells how the request ended",
        },
    ];
    for case in cases {
        let mut log = tempfile::Builder::new().prefix("d").suffix(".log").tempfile().expect("a file");
        for (second, line) in case.lines.iter().enumerate() {
            writeln!(log, "0.0 d {{\"time\":\"2026-01-01T00:00:0{second}Z\",{line}}}").expect("writes");
        }
        let output = run(&["trace", "r", &log.path().to_string_lossy()]);
        let text = text(&output);
        let last = text.lines().last().unwrap_or_default();
        assert!(last.starts_with("cause: ") && last.contains(case.cause), "{}: {text}", case.name);
    }
}

/// Guards against a change that is reported as done, or as refused, from an answer that can be understood in two ways.
#[test]
fn a_broken_answer_of_a_daemon_is_no_answer() {
    let heads = [
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunkedx",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntransfer-encoding: chunked",
        "HTTP/1.1 400 Bad Request\r\ntransfer-encoding: x",
        "HTTP/1.1 200 OK\r\ncontent-length: 1x",
        "HTTP/1.1 600 OK",
    ];
    for head in heads {
        let answer = format!("{head}\r\n\r\n{}", r#"{"kind":"refused","detail":"no such request"}"#);
        let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
        let daemon = listener.local_addr().expect("is bound").to_string();
        let serving = std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("accepts");
            let _ = stream.read(&mut [0; 4096]).expect("reads");
            stream.write_all(answer.as_bytes()).expect("writes");
        });
        let report = text(&run(&["--daemon", &daemon, "crashes", "clear", "0000000000000001"]));
        serving.join().expect("serves");
        assert!(
            report.contains("no daemon answered") && !report.contains("no such request"),
            "{head:?}: {report}"
        );
    }
}
