//! The order of the requests of one connection, some of which were sent before the answers to earlier ones.
//!
//! A server library answers one request at a time and takes all bytes that it is given. So it is given the bytes of one request, and the next head
//! once the answer before it was written ([`Pipeline::next_input`]). What is sent meanwhile is read ahead, and a request there is started
//! where it and all unanswered ones before it are repeatable ([`Pipeline::may_start`]). An answer ends the connection only where nothing
//! that was started is unanswered behind it ([`Pipeline::try_close_after_this`]): a request that reached a server would be cut off.
//!
//! Where the library finds another end of a request than the reader, the connection is served without any of this from then on
//! ([`NextInput::PassThrough`]).

/// Most requests of one connection that may be started ahead and not answered. Bounds the slots and memory that one connection takes.
pub const MAX_STARTED_AHEAD: usize = 16;

/// The body of a request, as the library understands its head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestBody {
    /// None.
    None,
    /// This many bytes.
    Bytes(u64),
    /// Its end is known only to the library.
    Unknown,
}

/// What the library may be given next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextInput {
    /// The next head.
    NextHead,
    /// The rest of a head that it has been given in part. Where it has been given in whole and the library asks for more, the two
    /// disagree on where it ends.
    RestOfHead,
    /// At most this many bytes of the body of the request in progress.
    Body(u64),
    /// Nothing until the answer in progress is written.
    Wait,
    /// All bytes as they come.
    PassThrough,
}

/// What a request is that the library has read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOrigin {
    /// The first of those that were started ahead.
    StartedAhead,
    /// One that nothing was done for yet. What was started ahead is to be cancelled.
    New,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Stage {
    /// The library waits for a head.
    Idle,
    /// It was given a head, and this much of what follows.
    HeadGiven { body_bytes: u64 },
    /// It has read a request.
    InProgress { body_left: u64, answer_ended: bool, written: bool },
    /// It is given all bytes as they come.
    Transparent,
}

/// The requests of a connection.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Pipeline {
    stage: Stage,
    /// Requests started ahead that the library has not reached.
    ahead: usize,
    /// All unanswered requests are repeatable, as far as they are known.
    all_repeatable: bool,
    /// The request in progress lets others follow.
    others_may_follow: bool,
    /// Nothing more is started.
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
            Stage::Transparent => NextInput::PassThrough,
        }
    }

    /// The library is given a whole head, perhaps in pieces, and this many bytes after it.
    pub fn give_head(&mut self, body_bytes: u64) {
        if self.stage == Stage::Idle {
            self.stage = Stage::HeadGiven { body_bytes };
        }
    }

    /// The library was given this much of the body of the request in progress.
    pub fn give_body(&mut self, bytes: u64) {
        if let Stage::InProgress { body_left, .. } = &mut self.stage {
            *body_left = body_left.saturating_sub(bytes);
        }
        self.release();
    }

    /// The library has read a request. `others_may_follow` is false where the connection ends with it.
    #[must_use]
    pub fn begin_request(&mut self, body: RequestBody, others_may_follow: bool) -> RequestOrigin {
        let left = match (self.stage, body) {
            (Stage::HeadGiven { body_bytes: 0 }, RequestBody::None) => Some(0),
            (Stage::HeadGiven { body_bytes }, RequestBody::Bytes(length)) => length.checked_sub(body_bytes),
            _ => None,
        };
        let was_ahead = std::mem::take(&mut self.ahead);
        let Some(body_left) = left else {
            self.stage = Stage::Transparent;
            return RequestOrigin::New;
        };
        self.stage = Stage::InProgress { body_left, answer_ended: false, written: false };
        self.others_may_follow = others_may_follow && body == RequestBody::None;
        if was_ahead > 0 && self.others_may_follow {
            self.ahead = was_ahead - 1;
            return RequestOrigin::StartedAhead;
        }
        // Not known before the filters have run; see [`Self::note_repeatable`].
        self.all_repeatable = false;
        RequestOrigin::New
    }

    /// Whether the request in progress, which was not started ahead, is repeatable.
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

    /// The next request was taken ahead: it has been started where it is repeatable, and waits for its turn where it is not.
    pub fn start(&mut self, repeatable: bool) {
        self.ahead += 1;
        self.all_repeatable &= repeatable;
    }

    /// Requests taken ahead that the library has not reached.
    #[must_use]
    pub fn ahead(&self) -> usize {
        self.ahead
    }

    /// The library has the whole answer to the request in progress.
    pub fn end_answer(&mut self) {
        if let Stage::InProgress { answer_ended, .. } = &mut self.stage {
            *answer_ended = true;
        }
    }

    /// The library has written all that it holds. True where it may be given the next head now.
    pub fn flush(&mut self) -> bool {
        if let Stage::InProgress { answer_ended: true, written, .. } = &mut self.stage {
            *written = true;
        }
        self.release()
    }

    fn release(&mut self) -> bool {
        let is_done = self.stage == Stage::InProgress { body_left: 0, answer_ended: true, written: true };
        if is_done {
            self.stage = Stage::Idle;
        }
        is_done
    }

    /// Starts nothing more.
    pub fn stop_starting(&mut self) {
        self.closing = true;
    }

    /// Ends the connection with the answer to the request in progress, where nothing was started behind it; starts nothing more then.
    /// Returns whether it does.
    #[must_use]
    pub fn try_close_after_this(&mut self) -> bool {
        self.closing |= self.ahead == 0;
        self.ahead == 0
    }

    /// The library is given all bytes as they come from now on. Nothing that was started ahead counts any more.
    pub fn pass_through(&mut self) {
        self.stage = Stage::Transparent;
        self.ahead = 0;
    }
}
