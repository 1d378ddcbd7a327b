//! Heads of answers: one is understood only if it says in a single way where the body ends.

use http::{HeaderMap, HeaderName, HeaderValue, Method, StatusCode};
use seamhatch_wire::HeaderField;
use seamhatchd::base::answer_head::{AnswerHeadError, check_answer_head};
use seamhatchd::dispatch::AnswerParts;

/// The head of an answer to a request, and what it is understood as.
struct HeadCase {
    method: Method,
    status: u16,
    fields: &'static [(&'static str, &'static str)],
    understood: Result<Option<u64>, AnswerHeadError>,
}

const LENGTH: &str = "content-length";
const CODING: &str = "transfer-encoding";

fn get(
    fields: &'static [(&'static str, &'static str)],
    understood: Result<Option<u64>, AnswerHeadError>,
) -> HeadCase {
    HeadCase { method: Method::GET, status: 200, fields, understood }
}

fn cases() -> [HeadCase; 36] {
    [
        get(&[], Ok(None)),
        get(&[(LENGTH, "0")], Ok(Some(0))),
        get(&[(LENGTH, "10")], Ok(Some(10))),
        get(&[(LENGTH, "010")], Ok(Some(10))),
        get(&[(LENGTH, " 10 ")], Ok(Some(10))),
        get(&[(LENGTH, "18446744073709551615")], Ok(Some(u64::MAX))),
        get(&[(LENGTH, "10, 10")], Ok(Some(10))),
        get(&[(LENGTH, "10"), (LENGTH, "10")], Ok(Some(10))),
        get(&[(CODING, "chunked")], Ok(None)),
        get(&[(CODING, "Chunked")], Ok(None)),
        get(&[(LENGTH, "")], Err(AnswerHeadError::Length)),
        get(&[(LENGTH, "1x")], Err(AnswerHeadError::Length)),
        get(&[(LENGTH, "+10")], Err(AnswerHeadError::Length)),
        get(&[(LENGTH, "-10")], Err(AnswerHeadError::Length)),
        get(&[(LENGTH, "1 0")], Err(AnswerHeadError::Length)),
        get(&[(LENGTH, "18446744073709551616")], Err(AnswerHeadError::Length)),
        get(&[(LENGTH, "10,")], Err(AnswerHeadError::Length)),
        get(&[(LENGTH, "10, 4")], Err(AnswerHeadError::Length)),
        get(&[(LENGTH, "10"), (LENGTH, "4")], Err(AnswerHeadError::Length)),
        get(&[(CODING, "")], Err(AnswerHeadError::TransferCoding)),
        get(&[(CODING, "chunkedx")], Err(AnswerHeadError::TransferCoding)),
        get(&[(CODING, "gzip")], Err(AnswerHeadError::TransferCoding)),
        get(&[(CODING, "gzip, chunked")], Err(AnswerHeadError::TransferCoding)),
        get(&[(CODING, "chunked"), (CODING, "chunked")], Err(AnswerHeadError::TransferCoding)),
        get(&[(CODING, "chunked"), (LENGTH, "10")], Err(AnswerHeadError::LengthBesideCoding)),
        get(&[(CODING, "chunked"), (LENGTH, "1x")], Err(AnswerHeadError::Length)),
        HeadCase { status: 599, ..get(&[], Ok(None)) },
        HeadCase { status: 100, ..get(&[], Err(AnswerHeadError::Status(100))) },
        HeadCase { status: 101, ..get(&[], Err(AnswerHeadError::Status(101))) },
        HeadCase { status: 600, ..get(&[], Err(AnswerHeadError::Status(600))) },
        HeadCase { status: 999, ..get(&[(LENGTH, "1x")], Err(AnswerHeadError::Status(999))) },
        HeadCase { status: 204, ..get(&[(LENGTH, "0")], Ok(Some(0))) },
        HeadCase { status: 204, ..get(&[(LENGTH, "10")], Err(AnswerHeadError::BodyForbidden(204))) },
        HeadCase { status: 204, ..get(&[(CODING, "chunked")], Err(AnswerHeadError::BodyForbidden(204))) },
        HeadCase { status: 304, ..get(&[(LENGTH, "10")], Ok(Some(10))) },
        HeadCase { method: Method::HEAD, ..get(&[(CODING, "chunked")], Ok(None)) },
    ]
}

/// Guards against heads that two readers understand in two ways.
#[test]
fn a_head_is_understood_in_one_way_or_not_at_all() {
    for case in cases() {
        let status = StatusCode::from_u16(case.status).expect("a status");
        let fields = case.fields.iter().map(|(name, value)| {
            (HeaderName::from_static(name), HeaderValue::from_str(value).expect("a value"))
        });
        let mut headers = HeaderMap::new();
        fields.for_each(|(name, value)| {
            headers.append(name, value);
        });
        let understood = check_answer_head(&case.method, status, &headers);
        assert_eq!(understood, case.understood, "{} {} {:?}", case.method, case.status, case.fields);
    }
}

/// Guards against an answer of another daemon whose body is taken for whole though its length is another than the head says.
#[test]
fn a_body_is_whole_if_it_has_the_length_of_its_head() {
    struct BodyCase {
        method: &'static str,
        status: u16,
        length: Option<&'static str>,
        body: usize,
        is_whole: bool,
    }
    let cases = [
        BodyCase { method: "GET", status: 200, length: None, body: 10, is_whole: true },
        BodyCase { method: "GET", status: 200, length: Some("10"), body: 10, is_whole: true },
        BodyCase { method: "GET", status: 200, length: Some("4"), body: 10, is_whole: false },
        BodyCase { method: "GET", status: 200, length: Some("40"), body: 10, is_whole: false },
        BodyCase { method: "HEAD", status: 200, length: Some("10"), body: 0, is_whole: true },
        BodyCase { method: "HEAD", status: 200, length: Some("10"), body: 10, is_whole: false },
        BodyCase { method: "GET", status: 304, length: Some("10"), body: 0, is_whole: true },
        BodyCase { method: "GET", status: 204, length: None, body: 0, is_whole: true },
        BodyCase { method: "GET", status: 204, length: None, body: 1, is_whole: false },
    ];
    for BodyCase { method, status, length, body, is_whole } in cases {
        let field = |value: &str| HeaderField { name: LENGTH.to_owned(), value: value.as_bytes().to_vec() };
        let fields: Vec<HeaderField> = length.map(field).into_iter().collect();
        let parts = AnswerParts::of_peer(method, status, &fields).expect("is sound");
        assert_eq!(parts.is_whole(body), is_whole, "{method} {status} {length:?}, {body} bytes");
    }
}
