//! Times from the arrival of a request to its successful answer, by kind of request.
//!
//! Tracks the time within which [`ON_TIME_SHARE`] of the requests of each kind are answered, in microseconds.
//! Used for return times ([`crate::entry_floor`]), and by a stopping daemon for the calls that it still
//! accepts ([`crate::drain`]).

use crate::clock::Microseconds;
use crate::return_time::ON_TIME_SHARE;
use crate::running_quantile::RunningQuantile;
use std::collections::HashMap;

/// Maximum number of kinds of requests that are remembered; all are forgotten when there are more.
const MAX_KINDS: usize = 4_096;

/// Answer times by kind of request.
#[derive(Debug, Default)]
pub struct AnswerTimes(HashMap<String, RunningQuantile>);

impl AnswerTimes {
    /// Records how long a request of this kind took.
    pub fn learn(&mut self, kind: &str, took: Microseconds) {
        if self.0.len() >= MAX_KINDS && !self.0.contains_key(kind) {
            self.0.clear();
        }
        match self.0.get_mut(kind) {
            Some(quantile) => quantile.observe(took),
            None => {
                self.0.insert(kind.to_owned(), RunningQuantile::of(ON_TIME_SHARE, took));
            }
        }
    }

    /// The time within which most requests of this kind are answered; `None` before the first.
    #[must_use]
    pub fn quantile(&self, kind: &str) -> Option<Microseconds> {
        self.0.get(kind).map(|quantile| quantile.value())
    }
}
