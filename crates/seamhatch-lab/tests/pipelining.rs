//! Requests that a caller sends ahead on a connection: each runs by itself, answers go back in order, and a caller that leaves cancels all of them.

mod common;

use bytes::Bytes;
use common::{LONG, eventually, start};
use http::Request;
use http_body_util::{BodyExt, Full};
use rustix::process::Signal;
use seamhatch_lab::deployment::Deployment;
use seamhatch_lab::topology::{Topology, endpoint, service};
use seamhatchd::base::http_client::http_client;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const MEBIBYTE: usize = 1024 * 1024;
/// The daemon beside the only server of the service that works.
const SERVER: usize = 0;
/// The daemon that callers connect to.
const ENTRY: usize = 1;
/// Time for requests to reach a server.
const ON_THE_WAY: Duration = Duration::from_millis(400);

/// One server whose work always takes `work_ms`, entered through another service's daemon. A server that has just started gets a part of its
/// slots only.
fn one_server(slots: u32, work_ms: u64) -> Topology {
    let mut topology = Topology::chain(2, 1, 1, 0);
    topology.services = vec![
        service("s1", 1, slots, vec![endpoint("way0", work_ms, 200, vec![])]),
        service("s2", 1, 16, vec![endpoint("way0", 1, 200, vec![])]),
    ];
    topology
}

fn keep_service_times(deployment: &Deployment) {
    deployment.backends.change("s1", |behaviour| behaviour.steady.store(true, Ordering::Relaxed));
}

fn get(name: &str) -> String {
    format!("GET /in/way0/{name} HTTP/1.1\r\nhost: lab\r\nx-request: {name}\r\n\r\n")
}

fn post(name: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST /in/way0/{name} HTTP/1.1\r\nhost: lab\r\nx-request: {name}\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// An answer as it came in.
#[derive(Debug)]
struct PipelinedAnswer {
    status: u16,
    /// The server names the request in its answer's body.
    body: String,
    closes: bool,
    at: Instant,
}

/// A caller's connection on which requests are sent without waiting for answers.
struct PipeliningCaller {
    stream: TcpStream,
    unread: Vec<u8>,
}

impl PipeliningCaller {
    async fn connect(deployment: &Deployment) -> Self {
        let ingress = SocketAddr::from(deployment.daemons[ENTRY].machine.ingress());
        Self { stream: TcpStream::connect(ingress).await.expect("is accepted"), unread: Vec::new() }
    }

    async fn send(&mut self, requests: &str) {
        self.stream.write_all(requests.as_bytes()).await.expect("is sent");
    }

    /// The next answer; none at the end of the connection.
    async fn answer(&mut self) -> Option<PipelinedAnswer> {
        tokio::time::timeout(LONG, self.read_answer()).await.expect("an answer in time")
    }

    /// All answers until the connection ends.
    async fn answers(&mut self) -> Vec<PipelinedAnswer> {
        let mut answers = Vec::new();
        while let Some(answer) = self.answer().await {
            answers.push(answer);
        }
        answers
    }

    async fn read_answer(&mut self) -> Option<PipelinedAnswer> {
        let head_end = loop {
            if let Some(place) = self.unread.windows(4).position(|window| window == b"\r\n\r\n") {
                break place + 4;
            }
            if !self.read_more().await {
                assert!(self.unread.is_empty(), "an answer broke off");
                return None;
            }
        };
        let head = String::from_utf8_lossy(&self.unread[..head_end]).to_lowercase();
        let field = |name: &str| {
            let line = head.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(':'));
            line.map(|value| value.trim().to_owned())
        };
        let closes = field("connection").is_some_and(|value| value.contains("close"));
        let length = field("content-length").map(|length| length.parse::<usize>().expect("a number"));
        let status = head.split(' ').nth(1).expect("a status").parse().expect("a number");
        self.unread.drain(..head_end);
        let body = match length {
            Some(length) => self.read_exactly(length).await,
            None => self.read_chunks().await,
        };
        let body = String::from_utf8_lossy(&body).into_owned();
        Some(PipelinedAnswer { status, body, closes, at: Instant::now() })
    }

    async fn read_exactly(&mut self, length: usize) -> Vec<u8> {
        while self.unread.len() < length {
            assert!(self.read_more().await, "an answer broke off");
        }
        self.unread.drain(..length).collect()
    }

    async fn read_chunks(&mut self) -> Vec<u8> {
        let mut body = Vec::new();
        loop {
            let line_end = loop {
                match self.unread.windows(2).position(|window| window == b"\r\n") {
                    Some(place) => break place,
                    None => assert!(self.read_more().await, "an answer broke off"),
                }
            };
            let line = self.read_exactly(line_end + 2).await;
            let size = String::from_utf8_lossy(&line[..line_end]).into_owned();
            let size = usize::from_str_radix(&size, 16).expect("a size");
            let chunk = self.read_exactly(size + 2).await;
            if size == 0 {
                return body;
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }

    /// False at the end of the stream.
    async fn read_more(&mut self) -> bool {
        let mut piece = [0; 16 * 1024];
        // A reset counts as the end: the daemon may close before it has read everything.
        let read = self.stream.read(&mut piece).await.unwrap_or(0);
        self.unread.extend_from_slice(&piece[..read]);
        read > 0
    }
}

/// Names of the requests that a server ran, in the order in which it got them, with the time since the first.
fn ran(deployment: &Deployment) -> Vec<(String, Duration)> {
    let executions = deployment.backends.executions();
    let Some(first) = executions.first().map(|execution| execution.began) else { return Vec::new() };
    executions.into_iter().map(|run| (run.request, run.began.duration_since(first))).collect()
}

fn names_ran(deployment: &Deployment) -> Vec<String> {
    ran(deployment).into_iter().map(|(name, _)| name).collect()
}

async fn metric(deployment: &Deployment, daemon: usize, name: &str) -> u64 {
    let admin = deployment.daemons[daemon].machine.admin();
    let request =
        Request::get(format!("http://{admin}/metrics")).body(Full::new(Bytes::new())).expect("valid");
    let response = http_client().request(request).await.expect("answers");
    let body = response.into_body().collect().await.expect("whole").to_bytes();
    let text = String::from_utf8_lossy(&body).into_owned();
    let line = text.lines().find(|line| line.split(' ').next() == Some(name));
    line.and_then(|line| line.split(' ').nth(1)?.parse().ok()).expect("the metric is there")
}

/// Calls that the server works on, by the daemon beside it: it has closed the connection of any other.
async fn at_work(deployment: &Deployment) -> u64 {
    metric(deployment, SERVER, "seamhatch_running_calls").await
        + metric(deployment, SERVER, "seamhatch_waiting_calls").await
}

/// Three requests sent at once reached the server one after the other: at 0, 0.7 and 1.4 s.
#[tokio::test(flavor = "multi_thread")]
async fn requests_sent_at_once_run_at_once_and_are_answered_in_order() {
    let (deployment, _turn) = start(one_server(32, 700), false).await;
    keep_service_times(&deployment);
    let mut caller = PipeliningCaller::connect(&deployment).await;
    let sent = Instant::now();
    caller.send(&["first", "second", "third"].map(get).concat()).await;
    for name in ["first", "second", "third"] {
        let answer = caller.answer().await.expect("is answered");
        assert_eq!(answer.status, 200, "{name}");
        assert!(answer.body.contains(name), "{name} is answered with {}", answer.body);
        let took = answer.at - sent;
        println!("{name} after {took:?}");
        assert!(took < Duration::from_millis(1400), "{name} after {took:?}");
    }
    assert_eq!(metric(&deployment, ENTRY, "seamhatch_started_ahead_total").await, 2);
    // The connection goes on.
    caller.send(&get("fourth")).await;
    assert_eq!(caller.answer().await.expect("is answered").status, 200);
}

/// A request whose head comes in pieces, or with others, is answered like any other, whatever the pieces are.
#[tokio::test(flavor = "multi_thread")]
async fn pieces_of_any_size_make_no_difference() {
    let (deployment, _turn) = start(one_server(16, 5), false).await;
    for size in [1, 7, 64, 150, 4096] {
        let mut caller = PipeliningCaller::connect(&deployment).await;
        let names: Vec<String> = (0..12).map(|number| format!("piece-{size}-{number}")).collect();
        let requests: String = names
            .iter()
            .enumerate()
            .map(|(number, name)| if number % 5 == 3 { post(name, "some\r\n\r\nbody") } else { get(name) })
            .collect();
        for piece in requests.as_bytes().chunks(size) {
            caller.stream.write_all(piece).await.expect("is sent");
            tokio::task::yield_now().await;
        }
        for name in &names {
            let answer = caller.answer().await.expect("is answered");
            assert_eq!(answer.status, 200, "{name}");
            assert!(answer.body.contains(name.as_str()), "{name} is answered with {}", answer.body);
        }
    }
}

/// A server worked on to the end for a caller that had gone, as the daemon could not see the end of the connection behind an unread request.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_takes_all_its_requests_along() {
    let (deployment, _turn) = start(one_server(64, 6_000), false).await;
    keep_service_times(&deployment);
    let cases = [
        ("one request", get("one")),
        ("a second one behind it", ["first", "second"].map(get).concat()),
        ("seventeen", (0..17).map(|number| get(&format!("many-{number}"))).collect()),
        ("a part of a head behind it", format!("{}GET /in/way0/part HTT", get("head"))),
        ("one that runs only once behind it", [get("before"), post("only-once", "body")].concat()),
        ("more behind it than is read", [get("large"), post("upload", &"x".repeat(80 * 1024))].concat()),
        ("malformed input behind it", format!("{}no request\r\n\r\n{}", get("good"), get("behind"))),
    ];
    for (name, requests) in cases {
        let mut caller = PipeliningCaller::connect(&deployment).await;
        caller.send(&requests).await;
        tokio::time::sleep(ON_THE_WAY).await;
        assert!(at_work(&deployment).await > 0, "{name}: nothing runs");
        drop(caller);
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(at_work(&deployment).await, 0, "{name}: a server works on");
    }
    assert!(!names_ran(&deployment).contains(&"only-once".to_owned()));
    assert!(metric(&deployment, ENTRY, "seamhatch_left_requests_total").await >= 7);
}

/// What may run only once doesn't run beside what it was sent with.
#[tokio::test(flavor = "multi_thread")]
async fn what_may_run_only_once_runs_alone_in_its_turn() {
    let (deployment, _turn) = start(one_server(16, 300), false).await;
    keep_service_times(&deployment);
    let mut caller = PipeliningCaller::connect(&deployment).await;
    let names = ["get-1", "post-1", "get-2", "post-2", "post-3", "get-3", "get-4"];
    let requests = names.map(|name| if name.starts_with("post") { post(name, "body") } else { get(name) });
    caller.send(&requests.concat()).await;
    for name in names {
        let answer = caller.answer().await.expect("is answered");
        assert_eq!(answer.status, 200, "{name}");
        assert!(answer.body.contains(name), "{name} is answered with {}", answer.body);
    }
    let ran = ran(&deployment);
    println!("{ran:?}");
    let mut ran_names: Vec<&str> = ran.iter().map(|(name, _)| name.as_str()).collect();
    ran_names.sort_unstable();
    let mut sent_names = names;
    sent_names.sort_unstable();
    assert_eq!(ran_names, sent_names, "each runs once");
    let ran_at = |name: &str| ran.iter().find(|(other, _)| other == name).expect("ran").1;
    // Requests that may be repeated run beside each other, in any order; what may run only once runs alone.
    for (index, name) in names.iter().enumerate() {
        for (before, earlier) in names[..index].iter().enumerate() {
            let is_apart = names[before..=index].iter().any(|name| name.starts_with("post"));
            let due = ran_at(earlier) + Duration::from_millis(290);
            assert!(!is_apart || ran_at(name) >= due, "{name} ran too soon after {earlier}: {ran:?}");
        }
    }
}

/// A stop that closes a connection with requests in progress on it would cut them off; one that takes what lies behind them would not end.
#[tokio::test(flavor = "multi_thread")]
async fn a_stop_answers_what_was_started_and_reads_no_more() {
    let (mut deployment, _turn) = start(one_server(16, 1_200), false).await;
    keep_service_times(&deployment);
    let started = ["first", "second", "third"];
    let mut caller = PipeliningCaller::connect(&deployment).await;
    caller.send(&started.map(get).concat()).await;
    tokio::time::sleep(ON_THE_WAY).await;
    deployment.daemons[ENTRY].signal(Signal::TERM).expect("runs");
    tokio::time::sleep(Duration::from_millis(300)).await;
    caller.send(&[get("late"), post("late-post", "body"), get("later")].concat()).await;
    let answers = caller.answers().await;
    println!("{answers:?}");
    assert_eq!(answers.len(), started.len(), "{answers:?}");
    for (answer, name) in answers.iter().zip(started) {
        assert_eq!(answer.status, 200, "{name}");
        assert!(answer.body.contains(name), "{name} is answered with {}", answer.body);
    }
    let closing: Vec<bool> = answers.iter().map(|answer| answer.closes).collect();
    assert_eq!(closing, [false, false, true], "the last answer and only it says close");
    let stopping = &mut deployment.daemons[ENTRY];
    let status = tokio::task::block_in_place(|| stopping.wait(LONG)).expect("ends by itself");
    assert_eq!(status.code(), Some(0));
    let mut ran = names_ran(&deployment);
    ran.sort();
    assert_eq!(ran, ["first", "second", "third"]);
    assert!(!deployment.log(ENTRY).contains("cut off"));
}

/// Input that two readers may understand differently, behind a good request: a server must get nothing of what it hides.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_input_behind_a_good_request_passes_nothing_on() {
    let (deployment, _turn) = start(one_server(16, 300), false).await;
    keep_service_times(&deployment);
    let hidden = get("hidden");
    let line = "POST /in/way0/hidden HTTP/1.1\r\nhost: lab\r\n";
    let length = hidden.len();
    let cases = [
        (
            "conflicting lengths",
            format!("{line}content-length: 4\r\ncontent-length: {length}\r\n\r\n{hidden}"),
        ),
        ("a length that is no number", format!("{line}content-length: +4\r\n\r\n{hidden}")),
        ("an unknown coding", format!("{line}transfer-encoding: gzip\r\n\r\n{hidden}")),
        ("a name with a space", format!("GET /in/way0/hidden HTTP/1.1\r\nhost : lab\r\n\r\n{hidden}")),
        ("a folded line", format!("GET /in/way0/hidden HTTP/1.1\r\nhost: lab\r\n folded: 1\r\n\r\n{hidden}")),
        ("a control character", format!("GET /in/way0/hidden\x01 HTTP/1.1\r\nhost: lab\r\n\r\n{hidden}")),
        ("no request", format!("\x16\x03\x01 no request\r\n\r\n{hidden}")),
        ("another version", format!("GET /in/way0/hidden HTTP/3.0\r\n\r\n{hidden}")),
        (
            "a large head",
            format!("GET /in/way0/hidden HTTP/1.1\r\nx: {}\r\n\r\n{hidden}", "y".repeat(MEBIBYTE)),
        ),
    ];
    for (name, behind) in cases {
        let mut caller = PipeliningCaller::connect(&deployment).await;
        let good = get("good");
        // The large head may meet a closed connection.
        let _ = caller.stream.write_all([good, behind].concat().as_bytes()).await;
        let answers = caller.answers().await;
        assert_eq!(answers.first().map(|answer| answer.status), Some(200), "{name}");
        assert!(answers[1..].iter().all(|answer| answer.status >= 400), "{name}: {answers:?}");
        assert!(!names_ran(&deployment).contains(&"hidden".to_owned()), "{name}");
    }
    // Accepted by the library, one after the other, and not started ahead.
    let chunked = "POST /in/way0/chunked HTTP/1.1\r\nhost: lab\r\nx-request: chunked\r\ntransfer-encoding: chunked\r\n\r\n";
    let mut caller = PipeliningCaller::connect(&deployment).await;
    caller.send(&format!("{}{chunked}4\r\nbody\r\n0\r\n\r\n{}", get("before"), get("after"))).await;
    for name in ["before", "chunked", "after"] {
        let answer = caller.answer().await.expect("is answered");
        assert!(answer.status == 200 && answer.body.contains(name), "{name}: {answer:?}");
    }
}

/// Callers that send without end behind a slow request: what a daemon holds of it, and what it starts, is bounded.
#[tokio::test(flavor = "multi_thread")]
async fn what_is_read_ahead_is_bounded() {
    const CALLERS: usize = 48;
    let (deployment, _turn) = start(one_server(2_000, 3_000), false).await;
    keep_service_times(&deployment);
    let flood: String = (0..10_000).map(|number| get(&format!("flood-{number}"))).collect();
    let mut callers = Vec::new();
    for _ in 0..CALLERS {
        let mut caller = PipeliningCaller::connect(&deployment).await;
        let flood = flood.clone();
        callers.push(tokio::spawn(async move {
            let _ = tokio::time::timeout(Duration::from_secs(1), caller.send(&flood)).await;
            caller
        }));
    }
    let mut connected = Vec::new();
    for caller in callers {
        connected.push(caller.await.expect("sends"));
    }
    let executions = deployment.backends.execution_count();
    println!("{executions} executions");
    assert!(executions <= CALLERS * 17, "{executions} were started");
    let status = format!("/proc/{}/status", deployment.daemons[ENTRY].id());
    let text = std::fs::read_to_string(status).expect("runs");
    let line = text.lines().find(|line| line.starts_with("VmHWM")).expect("has a peak");
    println!("{line}");
    let peak: usize = line.split_whitespace().nth(1).expect("has a number").parse().expect("a number");
    assert!(peak * 1024 < 64 * MEBIBYTE, "{line}");
    drop(connected);
    tokio::time::sleep(Duration::from_millis(500)).await;
    eventually("no server works for callers that have gone", async || at_work(&deployment).await == 0).await;
}
