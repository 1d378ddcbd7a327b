//! How long requests of each kind take from their arrival to a good answer.
//!
//! Follows the time that [`EARLY_SHARE`] of each kind stay within, in microseconds. Used for return times ([`crate::entry_floor`]), and by a daemon
//! that stops for the calls that it still takes ([`crate::drain`]).

use crate::clock::Microseconds;
use crate::return_time::EARLY_SHARE;
use crate::running_quantile::RunningQuantile;
use std::collections::HashMap;

/// Kinds of requests that are remembered at most; all are forgotten when there are more.
const MOST_KINDS: usize = 4_096;

/// Answer times by kind of request.
#[derive(Debug, Default)]
pub struct AnswerTimes(HashMap<String, RunningQuantile>);

impl AnswerTimes {
    /// Records how long a request of this kind took.
    pub fn learn(&mut self, kind: &str, took: Microseconds) {
        if self.0.len() >= MOST_KINDS && !self.0.contains_key(kind) {
            self.0.clear();
        }
        match self.0.get_mut(kind) {
            Some(quantile) => quantile.observe(took),
            None => {
                self.0.insert(kind.to_owned(), RunningQuantile::of(EARLY_SHARE, took));
            }
        }
    }

    /// The time that most requests of this kind stay within; none before the first.
    #[must_use]
    pub fn quantile(&self, kind: &str) -> Option<Microseconds> {
        self.0.get(kind).map(|quantile| quantile.value())
    }
}
