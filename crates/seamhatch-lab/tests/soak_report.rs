//! The report on a soak: what is counted, what the page contains, and the exit codes of the command.

use seamhatch_lab::soak::fault::SoakFault;
use seamhatch_lab::soak::history::{HistoryEvent, SeenAnswer, to_lines};
use seamhatch_lab::soak::report::{AnswerKind, SoakSeries, page};
use std::process::{Command, Stdio};

fn answer(status: u16, outcome: &str, reason: &str) -> SeenAnswer {
    let whole = status == 200;
    SeenAnswer {
        status,
        outcome: outcome.into(),
        reason: reason.into(),
        comes_back: true,
        whole,
        generation: 0,
    }
}

/// A request that was sent and answered at these milliseconds.
fn exchange(request: &str, sent_ms: u64, answered_ms: u64, answer: SeenAnswer) -> [HistoryEvent; 2] {
    let request = request.to_owned();
    let sent = HistoryEvent::Sent {
        at_ms: sent_ms,
        request: request.clone(),
        daemon: 0,
        service: "back".into(),
        keyed: false,
    };
    [sent, HistoryEvent::Answered { at_ms: answered_ms, request, answer }]
}

fn history() -> Vec<HistoryEvent> {
    let fault = SoakFault::ServerCrash { daemon: 1 };
    let mut history = vec![HistoryEvent::FaultBegins { at_ms: 1_000, fault: fault.clone() }];
    let exchanges = [
        exchange("a", 100, 130, answer(200, "answered", "")),
        exchange("b", 200, 290, answer(200, "answered", "")),
        exchange("c", 1_100, 1_150, answer(503, "not-run", "queue-full")),
        exchange("d", 1_200, 1_900, answer(502, "unknown", "backend-crashed")),
        exchange("e", 1_300, 1_310, answer(503, "not-run", "queue-full")),
    ];
    history.extend(exchanges.into_iter().flatten());
    history.push(HistoryEvent::FaultEnds { at_ms: 2_000, fault });
    history
}

/// What is counted in one second.
struct SecondCase {
    second: usize,
    good: usize,
    not_run: usize,
    unknown: usize,
    half_ms: Option<u64>,
    slowest_ms: Option<u64>,
}

#[test]
fn requests_are_counted_in_the_second_in_which_they_were_sent() {
    let series = SoakSeries::of(&history());
    let cases = [
        SecondCase { second: 0, good: 2, not_run: 0, unknown: 0, half_ms: Some(90), slowest_ms: Some(90) },
        SecondCase { second: 1, good: 0, not_run: 2, unknown: 1, half_ms: None, slowest_ms: None },
    ];
    assert_eq!(series.seconds.len(), cases.len());
    for case in cases {
        let counts = &series.seconds[case.second];
        let count = |kind| counts.answers.get(&kind).copied().unwrap_or_default();
        let found = (count(AnswerKind::Good), count(AnswerKind::NotRun), count(AnswerKind::Unknown));
        assert_eq!(found, (case.good, case.not_run, case.unknown), "second {}", case.second);
        let latencies = (counts.latency_ms(0.5), counts.latency_ms(1.0));
        assert_eq!(latencies, (case.half_ms, case.slowest_ms), "second {}", case.second);
    }
    assert_eq!(series.frequent_reasons(1), ["queue-full"]);
}

#[test]
fn a_page_has_its_plots_faults_and_broken_promises_and_no_raw_text() {
    let mut history = history();
    let forged = answer(503, "not-run", "crashes-servers");
    history.extend(exchange("<b>", 1_400, 1_500, forged));
    let page = page(&history, "a <soak>").expect("is drawn");
    assert_eq!(page.matches("<svg").count(), 3);
    assert!(page.contains("ServerCrash { daemon: 1 }"), "{page}");
    assert!(page.contains("HarmlessServed at &lt;b&gt;"), "{page}");
    assert!(!page.contains("<soak>"));
}

struct CommandCase {
    name: &'static str,
    arguments: fn(&str) -> Vec<String>,
    code: i32,
}

#[test]
fn the_command_writes_beside_the_history_and_names_what_it_can_not_read() {
    let directory = tempfile::tempdir().expect("a directory");
    let path = |name: &str| directory.path().join(name).display().to_string();
    std::fs::write(path("history.jsonl"), to_lines(&history())).expect("is written");
    std::fs::write(path("other.jsonl"), "{}\n").expect("is written");
    let cases = [
        CommandCase { name: "a history", arguments: |path| vec![format!("{path}/history.jsonl")], code: 0 },
        CommandCase { name: "no history", arguments: |path| vec![format!("{path}/other.jsonl")], code: 1 },
        CommandCase { name: "no file", arguments: |path| vec![format!("{path}/none.jsonl")], code: 1 },
        CommandCase { name: "nothing", arguments: |_| Vec::new(), code: 2 },
        CommandCase { name: "unknown", arguments: |path| vec![path.into(), "--fly".into()], code: 2 },
    ];
    for case in cases {
        let arguments = (case.arguments)(&directory.path().display().to_string());
        let output = Command::new(env!("CARGO_BIN_EXE_seamhatch-lab"))
            .arg("report")
            .args(arguments)
            .stdin(Stdio::null())
            .output()
            .expect("starts");
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(case.code), "{}: {text}", case.name);
    }
    assert!(std::fs::read_to_string(path("history.html")).expect("a page").contains("<svg"));
}
