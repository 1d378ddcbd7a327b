//! A caller's kept connection, against a listener that the test itself answers on.

use seamhatch_core::identity::Address;
use seamhatch_lab::client::CallerRequest;
use seamhatch_lab::connection::CallerConnection;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const GOOD: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx";

/// What the listener does after its answer.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ThenIt {
    Waits,
    Closes,
    /// Closes, and has not read the request.
    ClosesUnread,
}

/// What the listener does with a request, and what the caller makes of it.
struct ConnectionCase {
    name: &'static str,
    /// Another request was answered on the connection before.
    answered_before: bool,
    answer: &'static str,
    then: ThenIt,
    status: u16,
    reason: &'static str,
    usable_after: bool,
}

const CASES: [ConnectionCase; 7] = [
    ConnectionCase {
        name: "an answer",
        answered_before: false,
        answer: "HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx",
        then: ThenIt::Waits,
        status: 200,
        reason: "",
        usable_after: true,
    },
    ConnectionCase {
        name: "a refusal that lets the connection open",
        answered_before: false,
        answer: "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n",
        then: ThenIt::Waits,
        status: 503,
        reason: "",
        usable_after: true,
    },
    ConnectionCase {
        name: "an answer that says close",
        answered_before: false,
        answer: "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 1\r\n\r\nx",
        then: ThenIt::Waits,
        status: 200,
        reason: "",
        usable_after: false,
    },
    ConnectionCase {
        name: "an end",
        answered_before: false,
        answer: "",
        then: ThenIt::Closes,
        status: 0,
        reason: "connection-lost",
        usable_after: false,
    },
    ConnectionCase {
        name: "a new connection's end before the request is read",
        answered_before: false,
        answer: "",
        then: ThenIt::ClosesUnread,
        status: 0,
        reason: "connection-lost",
        usable_after: false,
    },
    ConnectionCase {
        name: "a kept connection's end before the request is read",
        answered_before: true,
        answer: "",
        then: ThenIt::ClosesUnread,
        status: 0,
        reason: "connection-reset",
        usable_after: false,
    },
    ConnectionCase {
        name: "a kept connection's end after the request was read",
        answered_before: true,
        answer: "",
        then: ThenIt::Closes,
        status: 0,
        reason: "connection-lost",
        usable_after: false,
    },
];

#[tokio::test]
async fn a_connection_is_used_until_it_is_closed() {
    for case in CASES {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let ingress = Address::from(listener.local_addr().expect("is bound"));
        let serving = tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a caller");
            let mut head = [0; 1024];
            if case.answered_before {
                assert!(stream.read(&mut head).await.expect("a request") > 0);
                stream.write_all(GOOD).await.expect("is answered");
            }
            let read = match case.then {
                ThenIt::ClosesUnread => stream.peek(&mut head).await.expect("a request"),
                _ => stream.read(&mut head).await.expect("a request"),
            };
            assert!(String::from_utf8_lossy(&head[..read]).starts_with("GET /status/lookup/a HTTP/1.1\r\n"));
            stream.write_all(case.answer.as_bytes()).await.expect("is answered");
            (case.then == ThenIt::Waits).then_some(stream)
        });
        let request =
            CallerRequest { method: "GET", path: "/status/lookup/a".into(), request: "a".into(), key: None };
        let mut connection = CallerConnection::open(ingress).await.expect("is accepted");
        assert!(connection.is_usable().await, "{}", case.name);
        if case.answered_before {
            assert_eq!(connection.send(&request).await.status, 200, "{}", case.name);
        }
        let answer = connection.send(&request).await;
        assert_eq!((answer.status, answer.reason.as_str()), (case.status, case.reason), "{}", case.name);
        let _open = serving.await.expect("has served");
        assert_eq!(connection.is_usable().await, case.usable_after, "{}", case.name);
    }
}

#[tokio::test]
async fn nobody_listens() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let ingress = Address::from(listener.local_addr().expect("is bound"));
    drop(listener);
    assert!(CallerConnection::open(ingress).await.is_none());
}
