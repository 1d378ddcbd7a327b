//! How long calls of requests that run here take, shared by all threads: what a daemon that stops goes by for those it still takes.

use crate::base::lock::lock;
use seamhatch_core::answer_times::AnswerTimes;
use seamhatch_core::clock::Microseconds;
use std::sync::Mutex;

/// Answer times of calls, by their kind.
#[derive(Debug, Default)]
pub struct CallTimes(Mutex<AnswerTimes>);

impl CallTimes {
    /// Records how long a call of this kind took from its arrival to a good answer.
    pub fn learn(&self, kind: &str, took: Microseconds) {
        lock(&self.0).learn(kind, took);
    }

    /// The time that most calls of this kind stay within; none before the first.
    #[must_use]
    pub fn quantile(&self, kind: &str) -> Option<Microseconds> {
        lock(&self.0).quantile(kind)
    }
}
