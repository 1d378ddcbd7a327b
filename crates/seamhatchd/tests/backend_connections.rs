//! Which connections to the back end are kept for other calls, and what is counted when one has to be opened.

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

/// Time after which the rest of a refusal comes.
const LATE: Duration = Duration::from_millis(150);

/// The product's conventions; 503 says that the call was not run, 500 that the answer is somebody else's.
#[derive(Debug)]
struct Judging(OwnConventions);

impl HttpConventions for Judging {
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

/// A server that does what the path of a request says.
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
        let (answer, late): (&[u8], &[u8]) = match path.as_str() {
            "/ok" | "/early" | "/bye" => (b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\nx", b""),
            "/bad" => (b"HTTP/1.1 500 Bad\r\ncontent-length: 1\r\n\r\nx", b""),
            "/refused" => (b"HTTP/1.1 503 Busy\r\ncontent-length: 4\r\n\r\n", b"busy"),
            // Works until its connection closes.
            _ => (b"", b""),
        };
        stream.write_all(answer).await.expect("is answered");
        if !late.is_empty() {
            tokio::time::sleep(LATE).await;
            stream.write_all(late).await.expect("is answered");
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

struct Bench {
    server: Server,
    backend: Arc<Backend>,
    metrics: Arc<Metrics>,
}

impl Bench {
    async fn start() -> Self {
        let server = Server::start().await;
        let metrics = Arc::new(Metrics::new());
        let conventions = Arc::new(Judging(OwnConventions));
        let backend = Arc::new(Backend::new(server.address, conventions, metrics.clone()));
        Self { server, backend, metrics }
    }

    async fn send(&self, path: &str, body: RequestBody) -> Result<BackendAnswer, BackendError> {
        let expiry = clock::now().plus(20 * SECOND);
        let request =
            BackendRequest { method: "POST", path, headers: &[], context: "c", expiry, instance: None };
        self.backend.send(&request, body).await
    }

    /// Sends a request and reads its answer to the end.
    async fn exchange(&self, path: &str) {
        let mut answer = self.send(path, no_body()).await.expect("is answered");
        while answer.next().await.expect("is whole").is_some() {}
        self.backend.finish(answer);
    }

    fn opened(&self, cause: &str) -> usize {
        let name = format!("seamhatch_backend_connections_opened_total{{cause=\"{cause}\"}} ");
        let text = self.metrics.to_text();
        let count = text.lines().find_map(|line| line.strip_prefix(&name));
        count.map_or(0, |count| count.parse().expect("a number"))
    }

    /// Asserts that the second of two connections was opened for this cause.
    fn assert_second(&self, cause: &str) {
        assert_eq!((self.opened("none-idle"), self.opened(cause)), (1, 1), "{}", self.metrics.to_text());
        assert_eq!(self.server.accepted(), 2);
    }
}

/// A moment in which the other side's bytes or its close arrive.
async fn settle() {
    tokio::time::sleep(Duration::from_millis(100)).await;
}

/// Guards against an idle connection that is passed over, and against one that is kept only after a call's answer has been passed on.
#[tokio::test]
async fn calls_after_one_another_share_a_connection() {
    let bench = Bench::start().await;
    for _ in 0..20 {
        bench.exchange("/ok").await;
    }
    let mut answer = bench.send("/ok", no_body()).await.expect("is answered");
    while answer.next().await.expect("is whole").is_some() {}
    bench.exchange("/ok").await;
    drop(answer);
    assert_eq!((bench.server.accepted(), bench.opened("none-idle")), (1, 1));
}

#[tokio::test]
async fn calls_at_once_have_connections_of_their_own() {
    let bench = Bench::start().await;
    let first = bench.send("/ok", no_body()).await.expect("is answered");
    bench.exchange("/ok").await;
    drop(first);
    assert_eq!((bench.server.accepted(), bench.opened("none-idle")), (2, 2));
}

/// Guards against a connection for each kind of body: the silence check of one changes with its request.
#[tokio::test]
async fn requests_with_long_bodies_use_the_connections_of_others() {
    let bench = Bench::start().await;
    for _ in 0..3 {
        bench.exchange("/ok").await;
        let (pieces, body) = request_body();
        pieces.send(Ok(Bytes::from_static(b"some"))).expect("is open");
        drop(pieces);
        let mut answer = bench.send("/ok", body).await.expect("is answered");
        while answer.next().await.expect("is whole").is_some() {}
        bench.backend.finish(answer);
    }
    assert_eq!((bench.server.accepted(), bench.opened("none-idle")), (1, 1));
}

#[tokio::test]
async fn a_connection_that_the_server_closed_is_replaced() {
    let bench = Bench::start().await;
    bench.exchange("/bye").await;
    settle().await;
    bench.exchange("/ok").await;
    bench.assert_second("closed-by-server");
}

/// The server works on until its connection closes, so the connection of a call that is cancelled can't be kept.
#[tokio::test]
async fn a_cancelled_call_closes_its_connection() {
    let bench = Bench::start().await;
    let cancelled = tokio::time::timeout(Duration::from_millis(100), bench.send("/works", no_body())).await;
    assert!(cancelled.is_err(), "it is not answered");
    bench.exchange("/ok").await;
    bench.assert_second("cancelled");
}

/// Guards against a connection that is lost with each refusal whose body comes later than its head, and against refusals that wait for it.
#[tokio::test]
async fn the_connection_of_a_refusal_is_kept_and_the_refusal_does_not_wait() {
    let bench = Bench::start().await;
    bench.exchange("/ok").await;
    for _ in 0..3 {
        let sent = Instant::now();
        let refused = bench.send("/refused", no_body()).await.expect_err("is refused");
        assert!(matches!(refused, BackendError::NotRun { reason: Reason::QueueFull, .. }));
        assert!(sent.elapsed() < LATE, "the refusal does not wait for its body");
        tokio::time::sleep(2 * LATE).await;
    }
    bench.exchange("/ok").await;
    assert_eq!((bench.server.accepted(), bench.opened("none-idle")), (1, 1));
}

#[tokio::test]
async fn the_connection_of_an_unusable_answer_is_closed() {
    let bench = Bench::start().await;
    assert!(matches!(bench.send("/bad", no_body()).await, Err(BackendError::Failed { .. })));
    bench.exchange("/ok").await;
    bench.assert_second("unusable-answer");
}

/// Guards against a request that follows the unwritten rest of the one before.
#[tokio::test]
async fn a_connection_whose_request_was_not_written_to_its_end_is_closed() {
    let bench = Bench::start().await;
    let (pieces, body) = request_body();
    pieces.send(Ok(Bytes::from_static(b"some"))).expect("is open");
    let mut answer = bench.send("/early", body).await.expect("is answered");
    while answer.next().await.expect("is whole").is_some() {}
    bench.backend.finish(answer);
    bench.exchange("/ok").await;
    bench.assert_second("unusable-answer");
    drop(pieces);
}

#[tokio::test]
async fn the_look_for_the_server_is_counted_as_such() {
    let bench = Bench::start().await;
    assert!(!bench.backend.has_exited().await);
    bench.exchange("/ok").await;
    assert_eq!((bench.opened("probe"), bench.opened("none-idle"), bench.server.accepted()), (1, 0, 1));
}
