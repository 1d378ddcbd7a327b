//! Durations of calls made for requests that run here, shared by all threads. A daemon that stops
//! uses them to decide which calls it still takes.

use crate::base::lock::lock;
use seamhatch_core::answer_times::AnswerTimes;
use seamhatch_core::clock::Microseconds;
use std::sync::Mutex;

/// Answer times of calls, by their kind.
#[derive(Debug, Default)]
pub struct CallTimes(Mutex<AnswerTimes>);

impl CallTimes {
    /// Records the time from the arrival of a call of this kind to a successful answer.
    pub fn learn(&self, kind: &str, took: Microseconds) {
        lock(&self.0).learn(kind, took);
    }

    /// Returns the time within which most calls of this kind are answered; `None` before the first
    /// answer.
    #[must_use]
    pub fn quantile(&self, kind: &str) -> Option<Microseconds> {
        lock(&self.0).quantile(kind)
    }
}
