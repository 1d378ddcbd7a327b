//! A daemon that has no configuration yet must not reject a request for good: it answers 503.

use std::net::Ipv4Addr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tempfile::TempDir;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const INGRESS: u16 = 7101;
const EGRESS: u16 = 7102;
/// Longest wait for the daemon to listen.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// A daemon that can reach neither another daemon nor the store.
struct IsolatedDaemon {
    ip: Ipv4Addr,
    child: Child,
    _directory: TempDir,
}

impl Drop for IsolatedDaemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl IsolatedDaemon {
    fn start() -> Self {
        let [high, low] = (std::process::id() as u16).to_be_bytes();
        let ip = Ipv4Addr::new(127, 11, high, low.max(1));
        let directory = tempfile::tempdir().expect("a directory");
        let settings = directory.path().join("settings.toml");
        let text = format!(
            "cluster = \"c\"\nregion = \"r\"\nzone = \"z\"\nservice = \"s\"\n\
             [listen]\ningress = \"{ip}:{INGRESS}\"\negress = \"{ip}:{EGRESS}\"\npeer = \"{ip}:7103\"\n\
             gossip = \"{ip}:7103\"\nadmin = \"{ip}:7104\"\n[backend]\naddress = \"{ip}:7105\"\nslots = 1\n\
             [platform]\nstore = \"{ip}:7106\"\n"
        );
        std::fs::write(&settings, text).expect("writes");
        let mut command = Command::new(env!("CARGO_BIN_EXE_seamhatchd"));
        command.arg("--config").arg(settings).stdin(Stdio::null()).stdout(Stdio::null());
        Self { ip, child: command.spawn().expect("starts"), _directory: directory }
    }

    async fn status_of(&self, port: u16, head: &str) -> u16 {
        let started = Instant::now();
        let mut caller = loop {
            match TcpStream::connect((self.ip, port)).await {
                Ok(caller) => break caller,
                Err(error) => assert!(started.elapsed() < START_TIMEOUT, "{error}"),
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        };
        caller.write_all(head.as_bytes()).await.expect("writes");
        let mut answer = Vec::new();
        while !answer.contains(&b'\n') {
            assert!(caller.read_buf(&mut answer).await.expect("reads") > 0, "closed");
        }
        let line = String::from_utf8_lossy(&answer).into_owned();
        line.split(' ').nth(1).expect("a status").parse().expect("a number")
    }
}

#[tokio::test]
async fn requests_are_answered_with_503_before_the_first_configuration() {
    struct RequestCase {
        name: &'static str,
        port: u16,
        path: String,
    }
    let long_path = || format!("/stock/{}", "x".repeat(9_000));
    let cases = [
        RequestCase { name: "a caller's", port: INGRESS, path: "/stock/1".into() },
        RequestCase { name: "a caller's with a long path", port: INGRESS, path: long_path() },
        RequestCase { name: "the back end's", port: EGRESS, path: "/stock/1".into() },
        RequestCase { name: "the back end's with a long path", port: EGRESS, path: long_path() },
    ];
    let daemon = IsolatedDaemon::start();
    for case in cases {
        let head = format!("GET {} HTTP/1.1\r\nhost: a\r\n\r\n", case.path);
        assert_eq!(daemon.status_of(case.port, &head).await, 503, "{}", case.name);
    }
}
