//! Order of the requests of a connection: when bytes are passed to the HTTP library, which requests are started ahead,
//! and which answer may close the connection.

use seamhatch_core::pipeline::{MAX_STARTED_AHEAD, NextInput, Pipeline, RequestBody, RequestOrigin};

/// A pipeline whose library processes a repeatable request without a body.
fn in_progress() -> Pipeline {
    let mut pipeline = Pipeline::default();
    pipeline.give_head(0);
    assert_eq!(pipeline.begin_request(RequestBody::None, true), RequestOrigin::New);
    pipeline.note_repeatable(true);
    pipeline
}

/// Ends the answer in progress and writes it.
fn answer(pipeline: &mut Pipeline) {
    pipeline.end_answer();
    assert!(pipeline.flush());
}

/// Guards against requests that are started behind one that may run only once, or that is the last of its connection.
#[test]
fn others_are_started_only_behind_repeatable_requests_without_bodies() {
    let cases = [
        ("a repeatable one", RequestBody::None, true, Some(true), true),
        ("one that runs only once", RequestBody::None, true, Some(false), false),
        ("one that the filters have not seen", RequestBody::None, true, None, false),
        ("the last of its connection", RequestBody::None, false, Some(true), false),
        ("one with a body", RequestBody::Bytes(3), true, Some(true), false),
        ("one with a body whose end is not known", RequestBody::Unknown, true, Some(true), false),
    ];
    for (name, body, others_may_follow, repeatable, may_start) in cases {
        let mut pipeline = Pipeline::default();
        pipeline.give_head(0);
        assert_eq!(pipeline.begin_request(body, others_may_follow), RequestOrigin::New, "{name}");
        repeatable.into_iter().for_each(|repeatable| pipeline.note_repeatable(repeatable));
        assert_eq!(pipeline.may_start(), may_start, "{name}");
    }
}

/// A request that may run only once waits for its turn, and so does every request behind it.
#[test]
fn nothing_is_started_behind_one_that_waits_for_its_turn() {
    let mut pipeline = in_progress();
    pipeline.start(true);
    assert!(pipeline.may_start());
    pipeline.start(false);
    assert!(!pipeline.may_start());
    for _ in 0..2 {
        answer(&mut pipeline);
        pipeline.give_head(0);
        assert_eq!(pipeline.begin_request(RequestBody::None, true), RequestOrigin::StartedAhead);
        assert!(!pipeline.may_start(), "it has not been answered");
    }
    answer(&mut pipeline);
    pipeline.give_head(0);
    assert_eq!(pipeline.begin_request(RequestBody::None, true), RequestOrigin::New);
    pipeline.note_repeatable(true);
    assert!(pipeline.may_start());
}

#[test]
fn the_number_started_ahead_is_bounded() {
    let mut pipeline = in_progress();
    for _ in 0..MAX_STARTED_AHEAD {
        assert!(pipeline.may_start());
        pipeline.start(true);
    }
    assert!(!pipeline.may_start());
    answer(&mut pipeline);
    pipeline.give_head(0);
    assert_eq!(pipeline.begin_request(RequestBody::None, true), RequestOrigin::StartedAhead);
    assert!(pipeline.may_start());
}

/// Guards against a head that is passed on before the previous answer is written: it would hide the end of the stream
/// from the library.
#[test]
fn the_next_head_is_given_once_the_answer_is_written() {
    let mut pipeline = in_progress();
    assert_eq!(pipeline.next_input(), NextInput::Wait);
    assert!(!pipeline.flush(), "an earlier piece of the answer is written");
    assert_eq!(pipeline.next_input(), NextInput::Wait);
    pipeline.end_answer();
    assert_eq!(pipeline.next_input(), NextInput::Wait, "the library holds a part of it");
    assert!(pipeline.flush());
    assert_eq!(pipeline.next_input(), NextInput::NextHead);
}

/// Guards against request smuggling: body bytes taken for the next head, or the reverse, would hide one request in
/// another.
#[test]
fn a_body_is_given_before_the_next_head() {
    let mut pipeline = Pipeline::default();
    pipeline.give_head(4);
    assert_eq!(pipeline.begin_request(RequestBody::Bytes(10), true), RequestOrigin::New);
    assert_eq!(pipeline.next_input(), NextInput::Body(6));
    pipeline.give_body(5);
    pipeline.end_answer();
    assert!(!pipeline.flush(), "answered before its body was read");
    assert_eq!(pipeline.next_input(), NextInput::Body(1));
    pipeline.give_body(1);
    assert_eq!(pipeline.next_input(), NextInput::NextHead);
}

/// If the library finds another end of a request than the reader assumed, the started requests are dropped, and all
/// further bytes are passed through to the library.
#[test]
fn the_library_overrides_the_reader() {
    let mut unread = in_progress();
    unread.start(true);
    answer(&mut unread);
    unread.give_head(0);
    assert_eq!(unread.next_input(), NextInput::RestOfHead);
    unread.pass_through();
    assert_eq!((unread.next_input(), unread.ahead()), (NextInput::PassThrough, 0));

    let cases = [
        ("a body that the reader took for none", 0, RequestBody::Unknown),
        ("more bytes than its body has", 5, RequestBody::Bytes(4)),
        ("bytes behind a request without a body", 5, RequestBody::None),
    ];
    for (name, body_bytes, body) in cases {
        let mut pipeline = in_progress();
        pipeline.start(true);
        answer(&mut pipeline);
        pipeline.give_head(body_bytes);
        assert_eq!(pipeline.begin_request(body, true), RequestOrigin::New, "{name}");
        assert_eq!((pipeline.next_input(), pipeline.ahead()), (NextInput::PassThrough, 0), "{name}");
        assert!(!pipeline.may_start(), "{name}");
    }

    let mut second_from_its_buffer = in_progress();
    assert_eq!(second_from_its_buffer.begin_request(RequestBody::None, true), RequestOrigin::New);
    assert_eq!(second_from_its_buffer.next_input(), NextInput::PassThrough);
}

/// The answer that closes the connection must come after the answers to all started requests.
#[test]
fn an_answer_closes_only_where_nothing_started_lies_behind_it() {
    let mut pipeline = in_progress();
    pipeline.start(true);
    assert!(!pipeline.try_close_after_this());
    pipeline.stop_starting();
    assert!(!pipeline.may_start());
    answer(&mut pipeline);
    pipeline.give_head(0);
    assert_eq!(pipeline.begin_request(RequestBody::None, true), RequestOrigin::StartedAhead);
    assert!(pipeline.try_close_after_this());
    let mut last = in_progress();
    assert!(last.try_close_after_this());
    assert!(!last.may_start(), "the connection ends with this answer");
}
