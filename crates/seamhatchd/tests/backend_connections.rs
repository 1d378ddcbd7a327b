//! Reuse of connections to the back end, and the cause that is counted when a connection is opened.

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use seamhatch_core::admission::BackEndLoad;
use seamhatch_core::clock::SECOND;
use seamhatch_core::identity::Address;
use seamhatch_core::notice::AnswerNotice;
use seamhatch_core::outcome::Reason;
use seamhatch_wire::HeaderField;
use seamhatchd::base::clock;
use seamhatchd::base::metrics::Metrics;
use seamhatchd::conventions::{
    AnswerClassification, AnswerMark, BackEndCall, CallerTerms, HttpConventions, OwnAnswer, OwnConventions,
};
use seamhatchd::server::backend::{
    Backend, BackendAnswer, BackendError, BackendRequest, RequestBody, no_body, request_body,
};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Delay between the head of a refusal and its body.
const BODY_DELAY: Duration = Duration::from_millis(150);

/// The product's own conventions, except that status 503 means that the call was not run, and 500 that the answer is unusable.
#[derive(Debug)]
struct StatusVerdicts(OwnConventions);

impl HttpConventions for StatusVerdicts {
    fn classify_answer(
        &self,
        _call: &BackEndCall<'_>,
        status: StatusCode,
        _headers: &HeaderMap,
    ) -> AnswerClassification {
        match status.as_u16() {
            503 => AnswerClassification::NotRun(Reason::QueueFull),
            500 => AnswerClassification::Unusable("not the back end's"),
            _ => AnswerClassification::Answer,
        }
    }

    fn caller_terms(&self, headers: &HeaderMap) -> CallerTerms {
        self.0.caller_terms(headers)
    }

    fn requires_name(&self) -> bool {
        self.0.requires_name()
    }

    fn passes_through(&self, name: &str) -> bool {
        self.0.passes_through(name)
    }

    fn entry_fields(&self, own_service: &str) -> Vec<HeaderField> {
        self.0.entry_fields(own_service)
    }

    fn tenant_field(&self) -> &'static str {
        self.0.tenant_field()
    }

    fn request_name<'a>(&self, fields: &'a [HeaderField]) -> Option<&'a str> {
        self.0.request_name(fields)
    }

    fn back_end_fields(&self, call: &BackEndCall<'_>) -> Vec<HeaderField> {
        self.0.back_end_fields(call)
    }

    fn notice(&self, classification: &AnswerClassification, headers: &HeaderMap) -> AnswerNotice {
        self.0.notice(classification, headers)
    }

    fn back_end_load(&self, headers: &HeaderMap) -> Option<BackEndLoad> {
        self.0.back_end_load(headers)
    }

    fn own_answer(&self, answer: &OwnAnswer<'_>) -> Response<Bytes> {
        self.0.own_answer(answer)
    }

    fn mark(&self, headers: &mut HeaderMap, mark: &AnswerMark) {
        self.0.mark(headers, mark);
    }
}

/// A back end whose answer depends on the path of the request.
struct Server {
    address: Address,
    accepted: Arc<AtomicUsize>,
}

impl Server {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = Address::from(listener.local_addr().expect("is bound"));
        let accepted = Arc::new(AtomicUsize::new(0));
        let counter = accepted.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                counter.fetch_add(1, Ordering::SeqCst);
                tokio::spawn(serve(stream));
            }
        });
        Self { address, accepted }
    }

    fn accepted(&self) -> usize {
        self.accepted.load(Ordering::SeqCst)
    }
}

async fn serve(mut stream: TcpStream) {
    while let Some(path) = read_request(&mut stream).await {
        let (answer, delayed): (&[u8], &[u8]) = match path.as_str() {
            "/ok" | "/early" | "/bye" => (b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx", b""),
            path if path.starts_with("/keep/") => {
                let timeout = &path["/keep/".len()..];
                let head =
                    format!("HTTP/1.1 200 OK\r\nkeep-alive: timeout={timeout}\r\ncontent-length: 1\r\n\r\nx");
                stream.write_all(head.as_bytes()).await.expect("is answered");
                (b"", b"")
            }
            "/bad" => (b"HTTP/1.1 500 Bad\r\ncontent-length: 1\r\n\r\nx", b""),
            "/refused" => (b"HTTP/1.1 503 Busy\r\ncontent-length: 4\r\n\r\n", b"busy"),
            // Sends no answer until the client closes the connection.
            _ => (b"", b""),
        };
        stream.write_all(answer).await.expect("is answered");
        if !delayed.is_empty() {
            tokio::time::sleep(BODY_DELAY).await;
            stream.write_all(delayed).await.expect("is answered");
        }
        if path == "/bye" {
            return;
        }
    }
}

/// Reads a request with its body and returns its path; the body of `/early` is left unread.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut read = Vec::new();
    loop {
        let text = String::from_utf8_lossy(&read).into_owned();
        if let Some((head, _)) = text.split_once("\r\n\r\n") {
            let path = head.split(' ').nth(1).expect("a path").to_owned();
            let is_whole = !head.contains("transfer-encoding") || text.ends_with("\r\n0\r\n\r\n");
            if is_whole || path == "/early" {
                return Some(path);
            }
        }
        let mut bytes = [0; 4096];
        match stream.read(&mut bytes).await {
            Ok(length) if length > 0 => read.extend_from_slice(&bytes[..length]),
            _ => return None,
        }
    }
}

/// A back end, the [`Backend`] that calls it, and its metrics.
struct Fixture {
    server: Server,
    backend: Arc<Backend>,
    metrics: Arc<Metrics>,
}

impl Fixture {
    async fn start() -> Self {
        let server = Server::start().await;
        let metrics = Arc::new(Metrics::new());
        let conventions = Arc::new(StatusVerdicts(OwnConventions));
        let backend = Arc::new(Backend::new(server.address, conventions, metrics.clone()));
        Self { server, backend, metrics }
    }

    async fn send(&self, path: &str, body: RequestBody) -> Result<BackendAnswer, BackendError> {
        let expiry = clock::now().plus(20 * SECOND);
        let request =
            BackendRequest { method: "POST", path, headers: &[], context: "c", expiry, instance: None };
        self.backend.send(&request, body).await
    }

    /// Sends a request, reads the whole answer and releases the connection.
    async fn exchange(&self, path: &str) {
        let mut answer = self.send(path, no_body()).await.expect("is answered");
        while answer.next().await.expect("is whole").is_some() {}
    }

    fn opened(&self, cause: &str) -> usize {
        let name = format!("seamhatch_backend_connections_opened_total{{cause=\"{cause}\"}} ");
        let text = self.metrics.to_text();
        let count = text.lines().find_map(|line| line.strip_prefix(&name));
        count.map_or(0, |count| count.parse().expect("a number"))
    }

    /// Asserts that two connections were opened: the first as none was idle, the second for `cause`.
    fn assert_second(&self, cause: &str) {
        assert_eq!((self.opened("none-idle"), self.opened(cause)), (1, 1), "{}", self.metrics.to_text());
        assert_eq!(self.server.accepted(), 2);
    }
}

/// Waits until bytes or a close that the other side has sent have arrived.
async fn settle() {
    tokio::time::sleep(Duration::from_millis(100)).await;
}

/// Guards against opening a connection while one is idle, and against returning a connection to the pool only when its answer is
/// dropped: it is idle as soon as the answer has been read to its end.
#[tokio::test]
async fn consecutive_calls_share_a_connection() {
    let fixture = Fixture::start().await;
    for _ in 0..20 {
        fixture.exchange("/ok").await;
    }
    let mut answer = fixture.send("/ok", no_body()).await.expect("is answered");
    while answer.next().await.expect("is whole").is_some() {}
    fixture.exchange("/ok").await;
    drop(answer);
    assert_eq!((fixture.server.accepted(), fixture.opened("none-idle")), (1, 1));
}

#[tokio::test]
async fn concurrent_calls_use_separate_connections() {
    let fixture = Fixture::start().await;
    let first = fixture.send("/ok", no_body()).await.expect("is answered");
    fixture.exchange("/ok").await;
    drop(first);
    assert_eq!((fixture.server.accepted(), fixture.opened("none-idle")), (2, 2));
}

/// Guards against separate connections for requests with a streamed body, which use another silence check: a connection takes the
/// check of its next request.
#[tokio::test]
async fn requests_with_streamed_bodies_share_idle_connections() {
    let fixture = Fixture::start().await;
    for _ in 0..3 {
        fixture.exchange("/ok").await;
        let (pieces, body) = request_body(Box::new(|_| {}));
        pieces.send(Ok(Bytes::from_static(b"some"))).expect("is open");
        drop(pieces);
        let mut answer = fixture.send("/ok", body).await.expect("is answered");
        while answer.next().await.expect("is whole").is_some() {}
    }
    assert_eq!((fixture.server.accepted(), fixture.opened("none-idle")), (1, 1));
}

#[tokio::test]
async fn a_connection_that_the_server_closed_is_replaced() {
    let fixture = Fixture::start().await;
    fixture.exchange("/bye").await;
    settle().await;
    fixture.exchange("/ok").await;
    fixture.assert_second("closed-by-server");
}

/// Guards against keeping the connection of a cancelled call: the server learns of the cancellation only by the close.
#[tokio::test]
async fn a_cancelled_call_closes_its_connection() {
    let fixture = Fixture::start().await;
    let cancelled = tokio::time::timeout(Duration::from_millis(100), fixture.send("/works", no_body())).await;
    assert!(cancelled.is_err(), "the request must not be answered");
    fixture.exchange("/ok").await;
    fixture.assert_second("cancelled");
}

/// Guards against closing the connection after a refusal whose body arrives later than its head, and against delaying the refusal
/// until the body has arrived.
#[tokio::test]
async fn the_connection_of_a_refusal_is_kept_and_the_refusal_does_not_wait() {
    let fixture = Fixture::start().await;
    fixture.exchange("/ok").await;
    for _ in 0..3 {
        let sent = Instant::now();
        let refused = fixture.send("/refused", no_body()).await.expect_err("is refused");
        assert!(matches!(refused, BackendError::NotRun { reason: Reason::QueueFull, .. }));
        assert!(sent.elapsed() < BODY_DELAY, "the refusal waited for its body");
        tokio::time::sleep(2 * BODY_DELAY).await;
    }
    fixture.exchange("/ok").await;
    assert_eq!((fixture.server.accepted(), fixture.opened("none-idle")), (1, 1));
}

#[tokio::test]
async fn the_connection_of_an_unusable_answer_is_closed() {
    let fixture = Fixture::start().await;
    assert!(matches!(fixture.send("/bad", no_body()).await, Err(BackendError::Failed { .. })));
    fixture.exchange("/ok").await;
    fixture.assert_second("unusable-answer");
}

/// Guards against sending a request on a connection on which the previous request was not written to its end.
#[tokio::test]
async fn a_connection_whose_request_was_not_written_to_its_end_is_closed() {
    let fixture = Fixture::start().await;
    let (pieces, body) = request_body(Box::new(|_| {}));
    pieces.send(Ok(Bytes::from_static(b"some"))).expect("is open");
    let mut answer = fixture.send("/early", body).await.expect("is answered");
    while answer.next().await.expect("is whole").is_some() {}
    fixture.exchange("/ok").await;
    fixture.assert_second("unusable-answer");
    drop(pieces);
}

#[tokio::test]
async fn a_probe_for_the_server_is_counted_as_a_probe() {
    let fixture = Fixture::start().await;
    assert!(!fixture.backend.has_exited().await);
    fixture.exchange("/ok").await;
    assert_eq!((fixture.opened("probe"), fixture.opened("none-idle"), fixture.server.accepted()), (1, 0, 1));
}

/// Guards against a time in `Keep-Alive` that is no sound number: it must neither end the call nor spoil the connection's use.
#[tokio::test]
async fn any_time_in_keep_alive_is_taken_or_ignored() {
    struct KeepCase {
        timeout: &'static str,
        is_kept: bool,
    }
    let cases = [
        KeepCase { timeout: "5", is_kept: true },
        KeepCase { timeout: "0", is_kept: false },
        KeepCase { timeout: "1", is_kept: false },
        KeepCase { timeout: "18446744073709", is_kept: true },
        KeepCase { timeout: "18446744073710", is_kept: true },
        KeepCase { timeout: "18446744073709551615", is_kept: true },
        KeepCase { timeout: "18446744073709551616", is_kept: true },
        KeepCase { timeout: "99999999999999999999999999999999", is_kept: true },
        KeepCase { timeout: "-1", is_kept: true },
        KeepCase { timeout: "1e999", is_kept: true },
        KeepCase { timeout: "NaN", is_kept: true },
        KeepCase { timeout: "", is_kept: true },
    ];
    for KeepCase { timeout, is_kept } in cases {
        let fixture = Fixture::start().await;
        fixture.exchange(&format!("/keep/{timeout}")).await;
        fixture.exchange("/ok").await;
        let connections = if is_kept { 1 } else { 2 };
        assert_eq!(fixture.server.accepted(), connections, "{timeout}");
    }
}
