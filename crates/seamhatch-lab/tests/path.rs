//! The whole path with real processes: large bodies, bad input, what a daemon opens.

mod common;

use bytes::Bytes;
use common::{request, start};
use http::Request;
use http_body_util::{BodyExt, Full};
use seamhatch_core::identity::Address;
use seamhatch_lab::connection::Caller;
use seamhatch_lab::deployment::Deployment;
use seamhatch_lab::topology::{Topology, call, endpoint, service};
use seamhatchd::base::http_client::http_client;
use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};

const MEBIBYTE: usize = 1024 * 1024;

fn topology() -> Topology {
    let mut topology = Topology::chain(3, 1, 1, 2);
    topology.services[0].endpoints.push(endpoint("large", 1, 24 * MEBIBYTE, vec![]));
    topology.services[1] =
        service("s2", 1, 16, vec![endpoint("way0", 1, 100, vec![call("GET", "s3", "way0")])]);
    topology
}

#[test]
fn the_demonstration_runs_and_leaves_nothing_behind() {
    let program = env!("CARGO_BIN_EXE_seamhatch-lab");
    let output = Command::new(program).args(["demo", "--seconds", "1"]).output().expect("starts");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}\n{}", String::from_utf8_lossy(&output.stderr));
    assert!(text.contains("GOODPUT/s") && text.contains("generation in force at each daemon"), "{text}");
}

fn peak_memory(deployment: &Deployment, daemon: usize) -> usize {
    let status = format!("/proc/{}/status", deployment.daemons[daemon].id());
    let text = std::fs::read_to_string(status).expect("runs");
    let line = text.lines().find(|line| line.starts_with("VmHWM")).expect("has a peak");
    let kibibytes: usize =
        line.split_whitespace().nth(1).expect("has a number").parse().expect("is a number");
    kibibytes * 1024
}

#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_pass_without_being_held_in_memory() {
    let (deployment, _turn) = start(topology(), false).await;
    let caller = Caller::default();
    let ingress = deployment.daemons[1].machine.ingress();
    for number in 0..3 {
        let answer =
            caller.send(ingress, &request("GET", "/in/large", &format!("down-{number}"), false)).await;
        assert!(answer.is_good(), "{answer:?}");
    }
    let upload = Request::post(format!("http://{ingress}/in/way0/up"))
        .header("x-request", "up")
        .body(Full::new(Bytes::from(vec![7; 24 * MEBIBYTE])))
        .expect("valid");
    let response = http_client().request(upload).await.expect("answers");
    assert_eq!(response.status(), 200);
    response.into_body().collect().await.expect("whole");
    for daemon in 0..2 {
        let peak = peak_memory(&deployment, daemon);
        assert!(peak < 64 * MEBIBYTE, "daemon {daemon} held {peak} bytes");
    }
}

async fn metrics(deployment: &Deployment, daemon: usize) -> String {
    let admin = deployment.daemons[daemon].machine.admin();
    let request =
        Request::get(format!("http://{admin}/metrics")).body(Full::new(Bytes::new())).expect("valid");
    let response = http_client().request(request).await.expect("answers");
    let body = response.into_body().collect().await.expect("whole").to_bytes();
    String::from_utf8_lossy(&body).into_owned()
}

fn bad_input(metrics: &str, kind: &str) -> u64 {
    let prefix = format!("seamhatch_bad_input_total{{kind=\"{kind}\"}} ");
    let line = metrics.lines().find_map(|line| line.strip_prefix(&prefix));
    line.map_or(0, |count| count.parse().expect("a number"))
}

/// Sends raw bytes and reads until the other side closes or is silent for a while.
async fn exchange(address: Address, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(SocketAddr::from(address)).await.expect("connects");
    // The other side may refuse and close before it has read everything.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let reading = stream.read_to_end(&mut answer);
    // A refused connection may be reset; what was read counts.
    let _ = tokio::time::timeout(Duration::from_secs(3), reading).await;
    answer
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_input_is_refused_counted_and_harms_nothing() {
    let (deployment, _turn) = start(topology(), false).await;
    let machine = deployment.daemons[0].machine.clone();
    let ingress = machine.ingress();
    let text = async |bytes: &[u8]| String::from_utf8_lossy(&exchange(ingress, bytes).await).into_owned();

    assert!(text(b"nonsense\r\n\r\n").await.starts_with("HTTP/1.1 400"));
    let long = format!("GET /in/{} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n", "a".repeat(10_000));
    assert!(text(long.as_bytes()).await.contains("shorten it"));
    let field = "b".repeat(40_000);
    let wide = format!("GET /in/way0 HTTP/1.1\r\nhost: a\r\nconnection: close\r\nx-a: {field}\r\n\r\n");
    assert!(text(wide.as_bytes()).await.contains("send the data in the body"));
    let huge = format!("GET /in/way0 HTTP/1.1\r\nhost: a\r\nx-a: {}\r\n\r\n", "c".repeat(2_000_000));
    assert!(!text(huge.as_bytes()).await.starts_with("HTTP/1.1 200"));
    let unknown = text(b"GET /nowhere HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n").await;
    assert!(
        unknown.starts_with("HTTP/1.1 404") && unknown.contains("seamhatch-outcome: not-run"),
        "{unknown}"
    );

    // Trusted fields from outside change nothing; at egress a forged context is refused.
    let forged = "GET /in/way0/x HTTP/1.1\r\nhost: a\r\nconnection: close\r\nx-request: forged\r\n\
        seamhatch-context: AAAA\r\nseamhatch-deadline: 1\r\nseamhatch-outcome: not-run\r\n\r\n";
    let answer = text(forged.as_bytes()).await;
    assert!(answer.starts_with("HTTP/1.1 200") && answer.contains("seamhatch-outcome: answered"), "{answer}");
    let forged =
        b"GET /s2/way0/x HTTP/1.1\r\nhost: a\r\nconnection: close\r\nseamhatch-context: AAAA\r\n\r\n";
    let answer = String::from_utf8_lossy(&exchange(machine.egress(), forged).await).into_owned();
    assert!(answer.starts_with("HTTP/1.1 403") && answer.contains("bad-context"), "{answer}");

    // The peer port: not the protocol, a wrong version, an impossible length.
    exchange(machine.peer(), b"GET / HTTP/1.1\r\n\r\n").await;
    exchange(machine.peer(), b"Seamht\xff\x00").await;
    let mut length = b"Seamht\x01\x00".to_vec();
    length.extend_from_slice(&u32::MAX.to_le_bytes());
    length.extend_from_slice(&[0; 64]);
    exchange(machine.peer(), &length).await;

    // The gossip port: garbage, a wrong version, a message that is cut short.
    let socket = UdpSocket::bind("127.0.0.1:0").await.expect("binds");
    for datagram in [&b"garbage"[..], &b"Sg\xff\x00abcdef"[..], &b"Sg\x01\x00\x01"[..]] {
        socket.send_to(datagram, SocketAddr::from(machine.gossip())).await.expect("sends");
    }
    common::eventually("all is counted", async || {
        let metrics = metrics(&deployment, 0).await;
        bad_input(&metrics, "datagram") == 3
            && bad_input(&metrics, "peer-connection") == 3
            && bad_input(&metrics, "context") >= 2
            && bad_input(&metrics, "request") >= 2
    })
    .await;
    let answer = Caller::default().send(ingress, &request("GET", "/in/way0", "after", false)).await;
    assert!(answer.is_good(), "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_opens_no_io_uring_and_starts_no_process() {
    let (deployment, _turn) = start(topology(), false).await;
    let answer = Caller::default()
        .send(deployment.daemons[0].machine.ingress(), &request("GET", "/in/way0", "one", false))
        .await;
    assert!(answer.is_good());
    for daemon in &deployment.daemons {
        let files = std::fs::read_dir(format!("/proc/{}/fd", daemon.id())).expect("runs");
        for file in files.flatten() {
            let target = std::fs::read_link(file.path()).unwrap_or_default();
            assert!(!target.to_string_lossy().contains("io_uring"), "{target:?}");
        }
        let tasks = std::fs::read_dir(format!("/proc/{}/task", daemon.id())).expect("runs");
        for task in tasks.flatten() {
            let children = std::fs::read_to_string(task.path().join("children")).unwrap_or_default();
            assert!(children.trim().is_empty(), "{children}");
        }
    }
}
