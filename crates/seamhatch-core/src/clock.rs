//! Instants of a machine's boot clock, and their translation between the clocks of two machines.
//!
//! A deadline is sent to another machine as an instant of the receiver's clock that may be too early but never too
//! late. It is not sent as a relative time-out, which would start over when a frozen daemon wakes up.
//! Alternatives: docs/DESIGN.md#deadlines.

use crate::wire_number::wire_number;

/// A duration in microseconds.
pub type Microseconds = u64;

/// Microseconds in a second.
pub const SECOND: Microseconds = 1_000_000;

/// Microseconds in a millisecond.
pub const MILLISECOND: Microseconds = 1_000;

wire_number! {
    /// A point in time: microseconds of the local machine's boot clock.
    ///
    /// Instants of two machines can't be compared; see [`PeerClock`].
    #[derive(Default)]
    pub struct Instant(pub Microseconds);
}

impl Instant {
    /// Later than any instant that is ever reached.
    pub const NEVER: Self = Self(Microseconds::MAX);

    /// The instant `span` microseconds later, saturating.
    #[must_use]
    pub fn plus(self, span: Microseconds) -> Self {
        Self(self.0.saturating_add(span))
    }

    /// The instant `span` microseconds earlier, saturating at the boot.
    #[must_use]
    pub fn minus(self, span: Microseconds) -> Self {
        Self(self.0.saturating_sub(span))
    }

    /// Microseconds from `earlier` to this instant, zero when `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Self) -> Microseconds {
        self.0.saturating_sub(earlier.0)
    }
}

/// How long an offset sample stays in use, so that the offset follows clock drift.
const OFFSET_WINDOW: Microseconds = 60 * SECOND;

/// A lower bound on how far a peer's boot clock is ahead of the local one.
///
/// A message that the peer stamps `sent` and that arrives here at `received` shows an offset of `sent - received`:
/// the true offset less the one-way delay. Each sample is thus a lower bound, and the largest one is the tightest. An
/// expiry translated with it errs early, never late.
#[derive(Debug, Clone, Default)]
pub struct PeerClock {
    current: Option<OffsetSample>,
    next: Option<OffsetSample>,
}

#[derive(Debug, Clone, Copy)]
struct OffsetSample {
    offset: i128,
    window_start: Instant,
}

impl PeerClock {
    /// Records a message that the peer stamped `sent` and that arrived at `received`.
    pub fn observe(&mut self, sent: Instant, received: Instant) {
        let offset = i128::from(sent.0) - i128::from(received.0);
        self.rotate(received);
        Self::raise(&mut self.current, offset, received);
        Self::raise(&mut self.next, offset, received);
    }

    /// Translates a local instant into the peer's clock, erring early.
    ///
    /// Returns `None` until the first message from the peer has arrived.
    #[must_use]
    pub fn to_peer(&self, local: Instant) -> Option<Instant> {
        let sample = self.current?;
        let translated = (i128::from(local.0) + sample.offset).max(0);
        Some(Instant(u64::try_from(translated).unwrap_or(u64::MAX)))
    }

    fn raise(slot: &mut Option<OffsetSample>, offset: i128, received: Instant) {
        match slot {
            Some(sample) => sample.offset = sample.offset.max(offset),
            None => *slot = Some(OffsetSample { offset, window_start: received }),
        }
    }

    /// Rotates two half-overlapping windows: the older one is used for translation, and the younger one replaces it
    /// once the older has been in use for [`OFFSET_WINDOW`].
    fn rotate(&mut self, now: Instant) {
        let expired = self.current.is_some_and(|sample| now.since(sample.window_start) > OFFSET_WINDOW);
        if !expired {
            return;
        }
        self.current = self.next.take();
        if let Some(sample) = &mut self.current {
            sample.window_start = now;
        }
    }
}
