//! The requests of one caller's connection, from reading them until their answers are written.
//!
//! [`ConnectionRequests`] owns the requests; [`Pipeline`] decides in which order they are read, started and
//! answered. The connection's stream (`read_ahead`) asks what the HTTP library may read next and starts pipelined
//! requests. The library's service reports each request that the library has read. All of this runs on the
//! connection's task, so the lock is never contended; it only lets the parts of the connection share the state.
//!
//! The HTTP library accepts an answer long before a slow caller has received it, and flushes its stream once
//! everything it holds is written. On each flush, [`ConnectionRequests`] releases the requests that are no longer
//! processed, and then the next head.

use super::body::{CallerBody, TruncatedBody};
use super::head;
use super::pipelined::PipelinedRequest;
use crate::base::lock::lock;
use crate::intake::AcceptedRequest;
use bytes::Bytes;
use http::request::Parts;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use seamhatch_core::pipeline::{NextInput, Pipeline, RequestBody, RequestOrigin};
use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Context, Poll, Waker};
use tokio::sync::Notify;

/// The requests of one connection whose answers are not fully written.
#[derive(Default)]
pub struct ConnectionRequests {
    state: Mutex<ConnectionState>,
    /// Whether the library has read a request.
    has_request: AtomicBool,
    /// Whether an answer is in progress whose caller takes the end of the connection for its end.
    must_reset: AtomicBool,
    /// Notified when no pipelined request is pending and no head is due.
    none_pipelined: Notify,
}

#[derive(Default)]
struct ConnectionState {
    pipeline: Pipeline,
    unwritten: Vec<AcceptedRequest>,
    /// Requests that were accepted early and that the library has not read yet.
    pipelined: VecDeque<PipelinedRequest>,
    /// The library is processing a request.
    in_progress: bool,
    /// The library may be given the next head, part of which has been read, but has not asked for it yet.
    head_due: bool,
    /// The caller has closed the connection, or it was reset.
    is_disconnected: bool,
    /// Wakes the connection's task when the stream can make progress.
    reader: Option<Waker>,
}

impl ConnectionState {
    fn has_none_pipelined(&self) -> bool {
        self.pipelined.is_empty() && !self.head_due
    }
}

impl ConnectionRequests {
    /// Records that the library has read a request. Returns the request if it was accepted early.
    pub fn begin_request(&self, parts: &Parts, body: &Incoming) -> Option<PipelinedRequest> {
        self.has_request.store(true, Ordering::Relaxed);
        let keeps_open = head::keeps_connection_open(parts);
        // Dropped after the lock is released, because dropping a request locks the intake.
        let mut cancelled = VecDeque::new();
        let mut state = self.lock();
        state.in_progress = true;
        let origin = state.pipeline.begin_request(body_of(parts, body), keeps_open);
        if origin == RequestOrigin::StartedAhead
            && let Some(request) = state.pipelined.pop_front()
        {
            if request.line.0 == parts.method && request.line.1 == parts.uri {
                self.notify_if_none_pipelined(&state);
                return Some(request);
            }
            cancelled.push_back(request);
        }
        if !state.pipelined.is_empty() {
            state.pipeline.pass_through();
            cancelled.append(&mut state.pipelined);
        }
        self.notify_if_none_pipelined(&state);
        None
    }

    /// Whether the library has read a request.
    pub fn has_request(&self) -> bool {
        self.has_request.load(Ordering::Relaxed)
    }

    /// Whether the connection must end with a reset if it ends now: ended in order, it would make an answer look whole that
    /// is not.
    pub(super) fn must_reset(&self) -> bool {
        self.must_reset.load(Ordering::Relaxed)
    }

    /// Keeps a request in progress until its answer is written or the connection ends.
    pub fn hold(&self, request: AcceptedRequest) {
        self.lock().unwritten.push(request);
    }

    /// Records whether the request in progress, which the library has read, is repeatable, so that later requests
    /// may run beside it.
    pub fn note_repeatable(&self, repeatable: bool) {
        let mut state = self.lock();
        state.pipeline.note_repeatable(repeatable);
        let reader = state.reader.take();
        drop(state);
        if let Some(reader) = reader {
            reader.wake();
        }
    }

    /// Makes the connection end with the answer in progress, unless later requests have been started. Returns
    /// whether it does.
    pub fn try_close_after_this(&self) -> bool {
        self.lock().pipeline.try_close_after_this()
    }

    /// Stops starting pipelined requests, and waits until the library has read those already started and any head
    /// that is due.
    pub async fn until_none_pipelined(&self) {
        self.lock().pipeline.stop_starting();
        loop {
            let changed = self.none_pipelined.notified();
            if self.lock().has_none_pipelined() {
                return;
            }
            changed.await;
        }
    }

    /// Cancels the pipelined requests of a closed connection. If the caller has disconnected, returns the number
    /// of requests without a complete answer, including the one in progress; otherwise returns 0.
    pub fn end(&self) -> usize {
        let mut state = self.lock();
        let cancelled = std::mem::take(&mut state.pipelined);
        let unanswered = cancelled.len() + usize::from(state.in_progress);
        let abandoned = if state.is_disconnected { unanswered } else { 0 };
        drop(state);
        abandoned
    }

    /// What the library may be given next. Called when the library reads.
    pub(super) fn next_input(&self) -> NextInput {
        let mut state = self.lock();
        let input = state.pipeline.next_input();
        if input == NextInput::NextHead && std::mem::take(&mut state.head_due) {
            self.notify_if_none_pipelined(&state);
        }
        input
    }

    pub(super) fn give_head(&self, body_bytes: u64) {
        self.lock().pipeline.give_head(body_bytes);
    }

    pub(super) fn give_body(&self, bytes: u64) {
        self.lock().pipeline.give_body(bytes);
    }

    /// Turns off pipelining: the library gets all bytes as they arrive. Requests that were started early are
    /// cancelled, because the library will read them itself.
    pub(super) fn pass_through(&self) {
        let mut state = self.lock();
        state.pipeline.pass_through();
        let cancelled = std::mem::take(&mut state.pipelined);
        state.head_due = false;
        self.notify_if_none_pipelined(&state);
        drop(state);
        // Dropped without the lock, because dropping a request locks the intake.
        drop(cancelled);
    }

    pub(super) fn may_start(&self) -> bool {
        self.lock().pipeline.may_start()
    }

    pub(super) fn start(&self, request: PipelinedRequest) {
        let mut state = self.lock();
        state.pipeline.start(request.repeatable);
        state.pipelined.push_back(request);
    }

    /// Length of the head that the library is given next, if its request was accepted early.
    pub(super) fn next_head_bytes(&self) -> Option<usize> {
        self.lock().pipelined.front().map(|request| request.head_bytes)
    }

    /// Registers the task to be woken when the stream may start more requests or give the library the next head.
    pub(super) fn wake_when_released(&self, context: &Context<'_>) {
        self.lock().reader = Some(context.waker().clone());
    }

    /// Records that the caller has closed the connection, or that it was reset.
    pub(super) fn note_disconnected(&self) {
        self.lock().is_disconnected = true;
    }

    /// Records that everything handed to the connection so far has been written.
    pub(super) fn note_flushed(&self) {
        let mut state = self.lock();
        let released = state.pipeline.flush();
        let reader = if released { state.reader.take() } else { None };
        state.head_due |= reader.is_some();
        let mut unwritten = std::mem::take(&mut state.unwritten);
        drop(state);
        // Requests are dropped without the lock, because dropping one locks the intake.
        unwritten.retain(|request| !request.is_last_handle());
        if !unwritten.is_empty() {
            self.lock().unwritten.append(&mut unwritten);
        }
        if let Some(reader) = reader {
            reader.wake();
        }
    }

    fn end_answer(&self) {
        let mut state = self.lock();
        state.in_progress = false;
        state.pipeline.end_answer();
    }

    fn notify_if_none_pipelined(&self, state: &ConnectionState) {
        if state.has_none_pipelined() {
            self.none_pipelined.notify_waiters();
        }
    }

    fn lock(&self) -> MutexGuard<'_, ConnectionState> {
        lock(&self.state)
    }
}

/// The length of a request's body as the library determines it.
fn body_of(parts: &Parts, body: &Incoming) -> RequestBody {
    // The bytes that follow belong to another protocol.
    if parts.method == http::Method::CONNECT || parts.headers.contains_key(http::header::UPGRADE) {
        return RequestBody::Unknown;
    }
    if body.is_end_stream() {
        return RequestBody::None;
    }
    body.size_hint().exact().map_or(RequestBody::Unknown, RequestBody::Bytes)
}

/// A response body that notifies its connection when the library has the whole answer or drops it.
pub struct TrackedBody {
    body: CallerBody,
    connection: Arc<ConnectionRequests>,
    /// Whether the body ends with the connection.
    is_close_delimited: bool,
}

impl TrackedBody {
    /// Wraps the body of the answer in progress on `connection`. `is_close_delimited` says that the body ends with the
    /// connection, as one without a length does for a caller of HTTP/1.0.
    pub fn new(body: CallerBody, connection: Arc<ConnectionRequests>, is_close_delimited: bool) -> Self {
        connection.must_reset.store(is_close_delimited, Ordering::Relaxed);
        Self { body, connection, is_close_delimited }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = TruncatedBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, TruncatedBody>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        if self.is_close_delimited && matches!(polled, Poll::Ready(None)) {
            self.connection.must_reset.store(false, Ordering::Relaxed);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.connection.end_answer();
    }
}
