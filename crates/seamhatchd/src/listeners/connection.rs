//! The requests of one connection of a caller, from their reading until their answers are written.
//!
//! [`ConnectionRequests`] owns them; [`Pipeline`] decides in which order they are read, started and answered. The connection's stream
//! (`read_ahead`) asks it what the HTTP library may read and starts requests; the library's service reports each request that the library has read.
//! All of that happens on the task of the connection. The lock is never contended; it lets the parts of the connection share the state.
//!
//! The HTTP library takes an answer long before a slow caller does. It flushes its stream once everything that it holds was written; of each
//! flush [`ConnectionRequests`] is told, lets go of the requests that nothing works on any more, and releases the next head.

use super::body::{BrokenBody, CallerBody};
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

/// The requests of one connection whose answers are not written yet.
#[derive(Default)]
pub struct ConnectionRequests {
    state: Mutex<ConnectionState>,
    /// A request has been read.
    begun: AtomicBool,
    /// Nothing is started ahead any more, and no head is due.
    none_ahead: Notify,
}

#[derive(Default)]
struct ConnectionState {
    pipeline: Pipeline,
    unwritten: Vec<AcceptedRequest>,
    /// Those that were taken ahead and that the library has not reached.
    ahead: VecDeque<PipelinedRequest>,
    /// The library works on a request.
    in_progress: bool,
    /// The library may be given the next head, of which something was read, and has not asked for it yet.
    head_due: bool,
    /// The caller has closed the connection, or it was reset.
    left: bool,
    /// Polls the connection again when there is something to do for its stream.
    reader: Option<Waker>,
}

impl ConnectionState {
    fn has_none_ahead(&self) -> bool {
        self.ahead.is_empty() && !self.head_due
    }
}

impl ConnectionRequests {
    /// The library has read a request: returns what was done for it ahead.
    pub fn reach(&self, parts: &Parts, body: &Incoming) -> Option<PipelinedRequest> {
        self.begun.store(true, Ordering::Relaxed);
        let goes_on = head::keeps_connection_open(parts);
        // Dropped after the lock: the intake has one of its own.
        let mut cancelled = VecDeque::new();
        let mut state = self.lock();
        state.in_progress = true;
        let reached = state.pipeline.begin_request(body_of(parts, body), goes_on);
        if reached == RequestOrigin::StartedAhead
            && let Some(ahead) = state.ahead.pop_front()
        {
            if ahead.line.0 == parts.method && ahead.line.1 == parts.uri {
                self.note_none_ahead(&state);
                return Some(ahead);
            }
            cancelled.push_back(ahead);
        }
        if !state.ahead.is_empty() {
            state.pipeline.pass_through();
            cancelled.append(&mut state.ahead);
        }
        self.note_none_ahead(&state);
        None
    }

    /// Whether a request has been read.
    pub fn has_begun(&self) -> bool {
        self.begun.load(Ordering::Relaxed)
    }

    /// Keeps a request in progress until its answer is written or the connection ends.
    pub fn hold(&self, request: AcceptedRequest) {
        self.lock().unwritten.push(request);
    }

    /// Whether others may run beside the request in progress, which the library has read.
    pub fn note_repeatable(&self, repeatable: bool) {
        let mut state = self.lock();
        state.pipeline.note_repeatable(repeatable);
        let reader = state.reader.take();
        drop(state);
        if let Some(reader) = reader {
            reader.wake();
        }
    }

    /// Ends the connection with the answer to the request in progress, where nothing was started behind it. Returns whether it does.
    pub fn try_close_after_this(&self) -> bool {
        self.lock().pipeline.try_close_after_this()
    }

    /// Starts nothing more ahead, and waits until the library has reached all that was and all that it may have by now.
    pub async fn until_none_ahead(&self) {
        self.lock().pipeline.stop_starting();
        loop {
            let changed = self.none_ahead.notified();
            if self.lock().has_none_ahead() {
                return;
            }
            changed.await;
        }
    }

    /// Cancels the requests that were taken ahead on a connection that has ended. Returns how many requests, the one in progress
    /// included, had no whole answer when their caller left; 0 where the caller did not leave.
    pub fn end(&self) -> usize {
        let mut state = self.lock();
        let ahead = std::mem::take(&mut state.ahead);
        let unanswered = ahead.len() + usize::from(state.in_progress);
        let left = if state.left { unanswered } else { 0 };
        drop(state);
        left
    }

    /// What the library, which asks, may be given next.
    pub(super) fn turn(&self) -> NextInput {
        let mut state = self.lock();
        let turn = state.pipeline.next_input();
        if turn == NextInput::NextHead && std::mem::take(&mut state.head_due) {
            self.note_none_ahead(&state);
        }
        turn
    }

    pub(super) fn give_head(&self, body_bytes: u64) {
        self.lock().pipeline.give_head(body_bytes);
    }

    pub(super) fn give_body(&self, bytes: u64) {
        self.lock().pipeline.give_body(bytes);
    }

    /// The library gets all bytes as they come. What was started ahead is cancelled: the library will read it.
    pub(super) fn give_up(&self) {
        let mut state = self.lock();
        state.pipeline.pass_through();
        let cancelled = std::mem::take(&mut state.ahead);
        state.head_due = false;
        self.note_none_ahead(&state);
        drop(state);
        // Without the lock: the intake has one of its own.
        drop(cancelled);
    }

    pub(super) fn may_start(&self) -> bool {
        self.lock().pipeline.may_start()
    }

    pub(super) fn start(&self, request: PipelinedRequest) {
        let mut state = self.lock();
        state.pipeline.start(request.repeatable);
        state.ahead.push_back(request);
    }

    /// Bytes of the head that the library is given next, where its request was taken ahead.
    pub(super) fn next_head_bytes(&self) -> Option<usize> {
        self.lock().ahead.front().map(|request| request.head_bytes)
    }

    /// Has the stream polled once it may start more, or give the library the next head.
    pub(super) fn wake_when_released(&self, context: &Context<'_>) {
        self.lock().reader = Some(context.waker().clone());
    }

    /// The caller has closed the connection, or it was reset.
    pub(super) fn note_left(&self) {
        self.lock().left = true;
    }

    /// All that was handed to the connection so far is written.
    pub(super) fn flushed(&self) {
        let mut state = self.lock();
        let released = state.pipeline.flush();
        let reader = if released { state.reader.take() } else { None };
        state.head_due |= reader.is_some();
        let mut unwritten = std::mem::take(&mut state.unwritten);
        drop(state);
        // Requests are let go without the lock: the intake has one of its own.
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

    fn note_none_ahead(&self, state: &ConnectionState) {
        if state.has_none_ahead() {
            self.none_ahead.notify_waiters();
        }
    }

    fn lock(&self) -> MutexGuard<'_, ConnectionState> {
        lock(&self.state)
    }
}

/// The body of a request as the library understands it.
fn body_of(parts: &Parts, body: &Incoming) -> RequestBody {
    // What follows belongs to another protocol.
    if parts.method == http::Method::CONNECT || parts.headers.contains_key(http::header::UPGRADE) {
        return RequestBody::Unknown;
    }
    if body.is_end_stream() {
        return RequestBody::None;
    }
    body.size_hint().exact().map_or(RequestBody::Unknown, RequestBody::Bytes)
}

/// The body of an answer, which tells its connection when the library has the whole answer or gives it up.
pub struct WatchedBody {
    body: CallerBody,
    connection: Arc<ConnectionRequests>,
}

impl WatchedBody {
    /// The body of the answer in progress on this connection.
    pub fn new(body: CallerBody, connection: Arc<ConnectionRequests>) -> Self {
        Self { body, connection }
    }
}

impl Body for WatchedBody {
    type Data = Bytes;
    type Error = BrokenBody;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenBody>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for WatchedBody {
    fn drop(&mut self) {
        self.connection.end_answer();
    }
}
