//! Why the back end gave no answer.

use crate::base::answer_head::AnswerHeadError;
use seamhatch_core::notice::AnswerNotice;
use seamhatch_core::outcome::Reason;
use thiserror::Error;

/// Why the back end gave no answer.
#[derive(Debug, Error)]
pub enum BackendError {
    /// The back end did not run the call and won't: nothing was written, or the back end says so
    /// itself.
    #[error(
        "the back end did not run the call ({reason}): {detail}; check that it listens on backend.address"
    )]
    NotRun {
        /// Kind of failure.
        reason: Reason,
        /// Description of the failure.
        detail: String,
        /// Notice of the back end in its answer.
        notice: AnswerNotice,
    },
    /// The back end had the call and has sent nothing by the time at which it can't answer any more.
    #[error("the back end did not answer by the call's deadline; check whether it hangs")]
    Unanswered,
    /// The back end has sent an answer that can't be understood. Nothing in it is believed, not even that the call did not run.
    #[error("the back end's answer can't be understood: {0}")]
    Unsound(#[from] UnsoundAnswer),
    /// The back end may have started to work on the call.
    #[error("the back end broke off: {detail}; its own log tells why")]
    Failed {
        /// Description of the failure.
        detail: String,
    },
}

/// What is wrong with an answer that can't be understood.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum UnsoundAnswer {
    /// The head is not HTTP.
    #[error("its head is not HTTP ({0}); look at what the server sends")]
    NotHttp(String),
    /// The head is HTTP, but doesn't say for certain what the answer is.
    #[error(transparent)]
    Head(#[from] AnswerHeadError),
    /// More bytes came than the head announces, and they don't begin a further answer.
    #[error("more bytes follow than its head announces; look at the server's Content-Length")]
    BytesBehind,
}

impl BackendError {
    /// Whether the back end may have run the call, or may still run it.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        !matches!(self, Self::NotRun { .. })
    }

    pub(super) fn failed(detail: impl Into<String>) -> Self {
        Self::Failed { detail: detail.into() }
    }

    /// Creates the error of an answer that goes on after the call's deadline.
    pub(super) fn endless_answer() -> Self {
        Self::failed("the answer goes on after the deadline")
    }

    pub(super) fn unreachable(detail: impl Into<String>) -> Self {
        Self::not_sent(Reason::BackendUnreachable, detail)
    }

    /// Creates the error of a call of which nothing was written.
    pub(super) fn not_sent(reason: Reason, detail: impl Into<String>) -> Self {
        Self::NotRun { reason, detail: detail.into(), notice: AnswerNotice::default() }
    }

    /// Converts an error of an exchange. A request of which nothing was written can be sent again.
    pub(super) fn of_exchange(error: &hyper::Error, was_written: bool) -> Self {
        let detail = describe(error);
        match was_written {
            true if error.is_parse() => UnsoundAnswer::NotHttp(detail).into(),
            true => Self::failed(detail),
            false => Self::unreachable(detail),
        }
    }
}

/// Returns the message of an error with those of all its causes.
pub(super) fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
