//! Pipelined request heads that the daemon parses ahead of the HTTP library. Both must read the same requests from the same bytes: a
//! difference would allow request smuggling.

use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use proptest::prelude::*;
use seamhatchd::listeners::head::{
    HEADER_FIELDS, HeadEnd, PipelinedHead, head_end, may_contain_head_end, parse_pipelined,
    single_request_body_bytes,
};
use std::convert::Infallible;
use std::sync::{Arc, Mutex};
use tokio::io::AsyncWriteExt;

const PLAIN: &str = "GET /a?b=c HTTP/1.1\r\nhost: x\r\n\r\n";

/// The kinds of [`PipelinedHead`], without their contents.
#[derive(Debug, PartialEq, Eq)]
enum HeadKind {
    Eligible,
    Ineligible,
    Incomplete,
}

fn classify(bytes: &[u8]) -> HeadKind {
    match parse_pipelined(bytes) {
        PipelinedHead::Eligible(_) => HeadKind::Eligible,
        PipelinedHead::Ineligible => HeadKind::Ineligible,
        PipelinedHead::Incomplete => HeadKind::Incomplete,
    }
}

/// The library must handle requests that have a body, that end their connection, or that two parsers may read differently.
#[test]
fn only_plain_requests_are_eligible_for_pipelining() {
    let with = |fields: &str| format!("GET / HTTP/1.1\r\nhost: x\r\n{fields}\r\n");
    let cases = [
        ("a plain request", PLAIN.to_owned(), HeadKind::Eligible),
        ("a request followed by another", PLAIN.repeat(2), HeadKind::Eligible),
        ("an empty body", with("content-length: 0\r\n"), HeadKind::Eligible),
        ("a connection that stays open", with("connection: Keep-Alive\r\n"), HeadKind::Eligible),
        ("part of a head", PLAIN[..PLAIN.len() - 1].to_owned(), HeadKind::Incomplete),
        ("nothing", String::new(), HeadKind::Incomplete),
        ("a body", with("content-length: 3\r\n"), HeadKind::Ineligible),
        ("the same length twice", with("content-length: 0\r\ncontent-length: 0\r\n"), HeadKind::Ineligible),
        ("conflicting lengths", with("content-length: 0\r\ncontent-length: 3\r\n"), HeadKind::Ineligible),
        ("a signed length", with("content-length: +0\r\n"), HeadKind::Ineligible),
        ("a list of lengths", with("content-length: 0, 0\r\n"), HeadKind::Ineligible),
        ("chunks", with("transfer-encoding: chunked\r\n"), HeadKind::Ineligible),
        (
            "chunks and a length",
            with("content-length: 0\r\ntransfer-encoding: chunked\r\n"),
            HeadKind::Ineligible,
        ),
        ("an expectation", with("expect: 100-continue\r\n"), HeadKind::Ineligible),
        ("an upgrade", with("upgrade: websocket\r\n"), HeadKind::Ineligible),
        ("the last of its connection", with("connection: keep-alive, Close\r\n"), HeadKind::Ineligible),
        (
            "a second field that closes",
            with("connection: keep-alive\r\nconnection: close\r\n"),
            HeadKind::Ineligible,
        ),
        ("an older version", PLAIN.replace("1.1", "1.0"), HeadKind::Ineligible),
        ("a tunnel", "CONNECT x:1 HTTP/1.1\r\nhost: x\r\n\r\n".to_owned(), HeadKind::Ineligible),
        ("line feeds alone", PLAIN.replace('\r', ""), HeadKind::Ineligible),
        ("one line feed alone", PLAIN.replacen("\r\n", "\n", 1), HeadKind::Ineligible),
        ("an empty line before it", format!("\r\n{PLAIN}"), HeadKind::Ineligible),
        ("a folded line", with(" folded\r\n"), HeadKind::Ineligible),
        ("a space before a colon", with("a : b\r\n"), HeadKind::Ineligible),
        ("no request", "no request\r\n\r\n".to_owned(), HeadKind::Ineligible),
        ("another protocol", "\x16\x03\x01".to_owned(), HeadKind::Ineligible),
        ("too many fields", with(&"a: b\r\n".repeat(HEADER_FIELDS)), HeadKind::Ineligible),
    ];
    for (name, bytes, expected) in cases {
        assert_eq!(classify(bytes.as_bytes()), expected, "{name}");
    }
}

/// Bytes that are passed to the library in one piece must all belong to one request.
#[test]
fn bytes_of_one_request() {
    let post = "POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\n\r\n";
    let chunked = "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n";
    let cases = [
        ("a head", PLAIN.to_owned(), Some(0)),
        ("a head whose body follows", post.to_owned(), Some(0)),
        ("a head and a part of its body", format!("{post}ab"), Some(2)),
        ("a head and its body", format!("{post}abcd"), Some(4)),
        ("more than its body", format!("{post}abcdG"), None),
        ("two heads", PLAIN.repeat(2), None),
        ("a part of a head", PLAIN[..10].to_owned(), None),
        ("a head with chunks", format!("{chunked}0\r\n\r\n"), None),
        ("two lengths", format!("{}ab", post.replace("host: x", "content-length: 4")), None),
        ("no request", "no request\r\n\r\n".to_owned(), None),
    ];
    for (name, bytes, expected) in cases {
        assert_eq!(single_request_body_bytes(bytes.as_bytes()), expected, "{name}");
    }
}

/// When more bytes of an incomplete head arrive, the check looks only for an empty line, which may span the old and the new bytes.
#[test]
fn a_head_in_two_pieces_is_found_when_it_is_complete() {
    for head in [PLAIN, "GET / HTTP/1.1\nhost: x\n\n", "GET / HTTP/1.1\r\nhost: x\n\r\n"] {
        let bytes = head.as_bytes();
        for seen in 1..bytes.len() {
            assert!(may_contain_head_end(bytes, seen), "{head:?} after {seen}");
            assert_eq!(head_end(&bytes[..seen]), HeadEnd::Incomplete, "{head:?} until {seen}");
        }
        assert_eq!(head_end(bytes), HeadEnd::At(bytes.len()));
    }
}

/// A request as the library parses it: method, target, fields, and whether it has a body.
type ParsedRequest = (String, String, Vec<(String, Vec<u8>)>, bool);

/// All requests that the library parses from `bytes`.
fn parsed_by_library(bytes: &[u8]) -> Vec<ParsedRequest> {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("starts");
    runtime.block_on(async {
        let (mut caller, stream) = tokio::io::duplex(1 << 20);
        caller.write_all(bytes).await.expect("fits");
        caller.shutdown().await.expect("ends");
        let read = Arc::new(Mutex::new(Vec::new()));
        let log = read.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let (parts, body) = request.into_parts();
            let fields = parts.headers.iter();
            let fields = fields.map(|(name, value)| (name.to_string(), value.as_bytes().to_vec())).collect();
            let has_body = !body.is_end_stream();
            log.lock().expect("lock").push((
                parts.method.to_string(),
                parts.uri.to_string(),
                fields,
                has_body,
            ));
            async { Ok::<_, Infallible>(Response::new(String::new())) }
        });
        // Returns an error where the bytes are not requests.
        let _ = http1::Builder::new()
            .half_close(true)
            .max_headers(HEADER_FIELDS)
            .serve_connection(TokioIo::new(stream), service)
            .await;
        read.lock().expect("lock").clone()
    })
}

const REQUEST_LINES: [&str; 9] = [
    "GET /a HTTP/1.1",
    "HEAD /a?b HTTP/1.1",
    "DELETE http://h/a HTTP/1.1",
    "POST * HTTP/1.1",
    "GET  /a HTTP/1.1",
    "GET /a HTTP/1.0",
    "CONNECT h:1 HTTP/1.1",
    "G\u{e9}T /\u{e9} HTTP/1.1",
    "GET /a#b HTTP/1.1",
];
const FIELDS: [&str; 16] = [
    "host: h",
    "a:b",
    "a: ",
    "a:\tb\t",
    "content-length: 0",
    "content-length: 00",
    "Content-Length:0 ",
    "content-length: 7",
    "transfer-encoding: chunked",
    "Transfer-Encoding: identity",
    "connection: close",
    "connection: a, keep-alive",
    "upgrade: h2c",
    "expect: 100-continue",
    " folded",
    "x : y",
];
const LINE_ENDS: [&str; 6] = ["\r\n", "\r\n", "\r\n", "\n", "\r", "\r\r\n"];

/// Heads that are mostly well-formed, each with at most one byte replaced.
fn heads() -> impl Strategy<Value = Vec<u8>> {
    let line = (prop::sample::select(&FIELDS[..]), prop::sample::select(&LINE_ENDS[..]));
    let lines = prop::collection::vec(line, 0..5);
    let end = prop::sample::select(&LINE_ENDS[..]);
    let first = (prop::sample::select(&REQUEST_LINES[..]), prop::sample::select(&LINE_ENDS[..]));
    let change = prop::option::of((any::<prop::sample::Index>(), any::<u8>()));
    (first, lines, end, change).prop_map(|(first, lines, end, change)| {
        let fields: String = lines.iter().map(|(field, end)| format!("{field}{end}")).collect();
        let mut bytes = format!("{}{}{fields}{end}", first.0, first.1).into_bytes();
        if let Some((place, byte)) = change {
            let place = place.index(bytes.len());
            bytes[place] = byte;
        }
        bytes
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_000, ..ProptestConfig::default() })]

    /// The library parses an eligible request in the same way, finds no body, and reads the next request from where its head ends.
    #[test]
    fn the_library_reads_eligible_requests_identically(bytes in heads()) {
        let PipelinedHead::Eligible(eligible) = parse_pipelined(&bytes) else { return Ok(()) };
        let mut followed = bytes[..eligible.length].to_vec();
        followed.extend_from_slice(b"GET /next HTTP/1.1\r\n\r\n");
        let read = parsed_by_library(&followed);
        let fields = eligible.parts.headers.iter();
        let fields = fields.map(|(name, value)| (name.to_string(), value.as_bytes().to_vec())).collect();
        let expected = (eligible.parts.method.to_string(), eligible.parts.uri.to_string(), fields, false);
        prop_assert_eq!(read.len(), 2);
        prop_assert_eq!(&read[0], &expected);
        prop_assert_eq!(&read[1].1, "/next");
    }

    /// The library needs no bytes after the end that was found, and parses no request where the head is incomplete or malformed.
    #[test]
    fn the_library_finds_the_same_end_of_a_head(bytes in heads()) {
        match head_end(&bytes) {
            HeadEnd::At(length) => {
                // The library refuses some complete heads, such as those with conflicting lengths.
                let read = parsed_by_library(&bytes[..length]);
                let refused = read.is_empty() && parsed_by_library(&[&bytes[..length], b"GET / HTTP/1.1\r\n\r\n"].concat()).is_empty();
                prop_assert!(read.len() == 1 || refused);
            }
            HeadEnd::Incomplete | HeadEnd::Malformed => prop_assert!(parsed_by_library(&bytes).is_empty()),
        }
    }
}
