//! Request pipelining: the order of the requests of one connection when some arrive before earlier ones are answered.
//!
//! The HTTP server library answers one request at a time and consumes all bytes that it is given. It is therefore
//! given the bytes of one request, and the next head only once the answer before it is written
//! ([`Pipeline::next_input`]). Bytes that arrive in the meantime are read ahead, and a request in them is started
//! ahead of its turn if it and all unanswered requests before it are repeatable ([`Pipeline::may_start`]). An answer
//! closes the connection only if no request taken ahead is unanswered behind it
//! ([`Pipeline::try_close_after_this`]): a request that has reached a server would be cut off.
//!
//! If the library and the read-ahead parser disagree on where a request ends, the connection is served without
//! pipelining from then on ([`NextInput::PassThrough`]).

/// Maximum number of unanswered requests of one connection that are taken ahead. Bounds the slots and memory that a
/// connection takes.
pub const MAX_STARTED_AHEAD: usize = 16;

/// Body of a request, as the library understands its head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestBody {
    /// No body.
    None,
    /// A body of this many bytes.
    Bytes(u64),
    /// A body whose end only the library knows.
    Unknown,
}

/// What the library may be given next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextInput {
    /// The next head.
    NextHead,
    /// The rest of a head that it was given in part. If it was given the whole head and asks for more, library and
    /// read-ahead parser disagree on where the head ends.
    RestOfHead,
    /// At most this many bytes of the body of the request in progress.
    Body(u64),
    /// Nothing until the answer in progress is written.
    Wait,
    /// All bytes as they arrive.
    PassThrough,
}

/// Whether a request that the library has read was taken ahead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOrigin {
    /// It is the first of the requests that were taken ahead: started, or waiting for its turn if not repeatable.
    StartedAhead,
    /// It is a new request. Requests that were taken ahead must be cancelled.
    New,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Stage {
    /// The library waits for a head.
    Idle,
    /// The library was given a head, and this many bytes after it.
    HeadGiven { body_bytes: u64 },
    /// The library has read a request.
    InProgress { body_left: u64, answer_ended: bool, written: bool },
    /// The library is given all bytes as they arrive.
    PassThrough,
}

/// State of the requests of a connection.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Pipeline {
    stage: Stage,
    /// Requests taken ahead that the library has not read yet.
    ahead: usize,
    /// All unanswered requests are repeatable, as far as is known.
    all_repeatable: bool,
    /// Other requests may follow the one in progress.
    others_may_follow: bool,
    /// No more requests are started.
    closing: bool,
}

impl Default for Pipeline {
    fn default() -> Self {
        Self { stage: Stage::Idle, ahead: 0, all_repeatable: false, others_may_follow: false, closing: false }
    }
}

impl Pipeline {
    /// What the library may be given next.
    #[must_use]
    pub fn next_input(&self) -> NextInput {
        match self.stage {
            Stage::Idle => NextInput::NextHead,
            Stage::HeadGiven { .. } => NextInput::RestOfHead,
            Stage::InProgress { body_left: 0, .. } => NextInput::Wait,
            Stage::InProgress { body_left, .. } => NextInput::Body(body_left),
            Stage::PassThrough => NextInput::PassThrough,
        }
    }

    /// Records that the library is given a whole head, perhaps in pieces, and this many bytes after it.
    pub fn give_head(&mut self, body_bytes: u64) {
        if self.stage == Stage::Idle {
            self.stage = Stage::HeadGiven { body_bytes };
        }
    }

    /// Records that the library was given this many bytes of the body of the request in progress.
    pub fn give_body(&mut self, bytes: u64) {
        if let Stage::InProgress { body_left, .. } = &mut self.stage {
            *body_left = body_left.saturating_sub(bytes);
        }
        self.finish_if_done();
    }

    /// Records that the library has read a request. `others_may_follow` is false if the connection ends with it.
    #[must_use]
    pub fn begin_request(&mut self, body: RequestBody, others_may_follow: bool) -> RequestOrigin {
        let left = match (self.stage, body) {
            (Stage::HeadGiven { body_bytes: 0 }, RequestBody::None) => Some(0),
            (Stage::HeadGiven { body_bytes }, RequestBody::Bytes(length)) => length.checked_sub(body_bytes),
            _ => None,
        };
        let was_ahead = std::mem::take(&mut self.ahead);
        let Some(body_left) = left else {
            self.stage = Stage::PassThrough;
            return RequestOrigin::New;
        };
        self.stage = Stage::InProgress { body_left, answer_ended: false, written: false };
        self.others_may_follow = others_may_follow && body == RequestBody::None;
        if was_ahead > 0 && self.others_may_follow {
            self.ahead = was_ahead - 1;
            return RequestOrigin::StartedAhead;
        }
        // Unknown until the filters have run; see [`Self::note_repeatable`].
        self.all_repeatable = false;
        RequestOrigin::New
    }

    /// Records whether the request in progress, which was not taken ahead, is repeatable.
    pub fn note_repeatable(&mut self, repeatable: bool) {
        self.all_repeatable = repeatable;
    }

    /// Whether the next request that was read ahead may be started.
    #[must_use]
    pub fn may_start(&self) -> bool {
        let in_progress = matches!(self.stage, Stage::InProgress { .. });
        in_progress
            && self.all_repeatable
            && self.others_may_follow
            && !self.closing
            && self.ahead < MAX_STARTED_AHEAD
    }

    /// Records that the next request was taken ahead: it has been started if it is repeatable, and waits for its turn
    /// otherwise.
    pub fn start(&mut self, repeatable: bool) {
        self.ahead += 1;
        self.all_repeatable &= repeatable;
    }

    /// Number of requests taken ahead that the library has not read yet.
    #[must_use]
    pub fn ahead(&self) -> usize {
        self.ahead
    }

    /// Records that the library has the whole answer to the request in progress.
    pub fn end_answer(&mut self) {
        if let Stage::InProgress { answer_ended, .. } = &mut self.stage {
            *answer_ended = true;
        }
    }

    /// Records that the library has written everything it holds. Returns whether it may be given the next head now.
    pub fn flush(&mut self) -> bool {
        if let Stage::InProgress { answer_ended: true, written, .. } = &mut self.stage {
            *written = true;
        }
        self.finish_if_done()
    }

    fn finish_if_done(&mut self) -> bool {
        let is_done = self.stage == Stage::InProgress { body_left: 0, answer_ended: true, written: true };
        if is_done {
            self.stage = Stage::Idle;
        }
        is_done
    }

    /// Starts no more requests.
    pub fn stop_starting(&mut self) {
        self.closing = true;
    }

    /// Closes the connection after the answer to the request in progress if no request was taken ahead behind it; no
    /// more requests are started then. Returns whether it closes.
    #[must_use]
    pub fn try_close_after_this(&mut self) -> bool {
        self.closing |= self.ahead == 0;
        self.ahead == 0
    }

    /// Gives the library all bytes as they arrive from now on. Requests that were taken ahead no longer count.
    pub fn pass_through(&mut self) {
        self.stage = Stage::PassThrough;
        self.ahead = 0;
    }
}
