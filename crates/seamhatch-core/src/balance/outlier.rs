//! Outlier ejection: servers whose answers get lost.
//!
//! Two measures of the same events. [`Ejection`] leaves a server out after losses in a row, for a time that grows while
//! they go on. [`SuccessRate`] makes a server costlier that loses only part of its answers, which never come in a row.

use crate::clock::{Instant, MILLISECOND, Microseconds, SECOND};

/// How one call to a server ended, for the ejection decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// An answer came.
    Answered,
    /// The server or its daemon could not be reached, or the answer was lost.
    Lost,
}

/// Share of a server's answers that arrived recently.
///
/// A server that loses part of its answers is never ejected, since others arrive in between; its share makes it costlier. Old
/// losses count less, so that a server that gets no calls is tried again. On a recorded day on which one server lost half of
/// its answers, 969 requests failed with it and 1,410 without.
#[derive(Debug, Clone, Default)]
pub struct SuccessRate {
    lost: f64,
    seen: Instant,
}

/// Weight of a new sample in the share of lost answers. Chosen, not measured.
const LOSS_WEIGHT: f64 = 0.1;

/// Time in which the share of lost answers halves where nothing is sent. Chosen, not measured.
const LOSS_HALF_LIFE: Microseconds = SECOND;

impl SuccessRate {
    /// Records the end of a call.
    pub fn record(&mut self, end: CallEnd, now: Instant) {
        let sample = if end == CallEnd::Lost { 1.0 } else { 0.0 };
        let lost = self.lost_at(now);
        self.lost = lost + LOSS_WEIGHT * (sample - lost);
        self.seen = now;
    }

    /// The share as it counts at `now`, 0 to 1.
    #[must_use]
    pub fn at(&self, now: Instant) -> f64 {
        1.0 - self.lost_at(now)
    }

    fn lost_at(&self, now: Instant) -> f64 {
        let age = now.since(self.seen) as f64 / LOSS_HALF_LIFE as f64;
        self.lost * (-age).exp2()
    }
}

/// Ejects a server after consecutive losses, for a time that grows when it happens again.
#[derive(Debug, Clone, Default)]
pub struct Ejection {
    consecutive_losses: u32,
    ejections: u32,
    until: Option<Instant>,
}

/// Losses in a row that eject a server. Chosen, not measured.
const LOSSES_TO_EJECT: u32 = 3;

/// First ejection time; doubled at each further one. Chosen, not measured.
const FIRST_EJECTION: Microseconds = 500 * MILLISECOND;

/// Longest ejection time. Chosen, not measured.
const LONGEST_EJECTION: Microseconds = 10 * SECOND;

impl Ejection {
    /// Records the end of a call.
    pub fn record(&mut self, end: CallEnd, now: Instant) {
        match end {
            CallEnd::Answered => {
                self.consecutive_losses = 0;
                self.ejections = 0;
                self.until = None;
            }
            CallEnd::Lost => {
                self.consecutive_losses += 1;
                if self.consecutive_losses >= LOSSES_TO_EJECT {
                    self.eject(now);
                }
            }
        }
    }

    /// Whether the server should get no calls at `now`.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    fn eject(&mut self, now: Instant) {
        let span = FIRST_EJECTION.saturating_mul(1 << self.ejections.min(10)).min(LONGEST_EJECTION);
        self.ejections += 1;
        self.until = Some(now.plus(span));
    }
}
