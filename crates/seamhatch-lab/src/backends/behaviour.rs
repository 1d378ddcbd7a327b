//! How a back end misbehaves. Tests and the soak change it while the back end runs.

use http::{HeaderMap, HeaderName, HeaderValue};
use seamhatchd::conventions::headers::{BACKEND_LEAVING, BACKEND_PACE, BACKEND_RATE};
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU32, Ordering};

/// Stands for no rate in [`Behaviour::rate_millis`].
pub const NO_RATE: i64 = -1;

/// Stands for no figure in [`Behaviour::pace_percent`].
pub const NO_PACE: u32 = 0;

/// How one back end behaves.
#[derive(Debug)]
pub struct Behaviour {
    /// Service time in percent of the usual.
    pub slowdown_percent: AtomicU32,
    /// Answers 500 instead of working.
    pub failing: AtomicBool,
    /// Closes the connection in the middle of an answer.
    pub cuts_answers: AtomicBool,
    /// Claims in its answers that the request was not run.
    pub forges_outcome: AtomicBool,
    /// Names this rate in its answers, in thousandths of a call a second; [`NO_RATE`] for none.
    pub rate_millis: AtomicI64,
    /// Tells this figure in its answers as its pace, whatever its service time; [`NO_PACE`] for none.
    pub pace_percent: AtomicU32,
    /// Says in its answers that it leaves.
    pub leaving: AtomicBool,
    /// Times that it repeats a failed call by itself.
    pub own_retries: AtomicU32,
}

impl Behaviour {
    /// Adds what the back end says of itself to an answer.
    pub(super) fn add_notices(&self, fields: &mut HeaderMap) {
        let millis = self.rate_millis.load(Ordering::Relaxed);
        if millis != NO_RATE {
            let rate = format!("{}.{:03}", millis / 1_000, millis % 1_000);
            fields.extend(
                HeaderValue::try_from(rate).map(|rate| (HeaderName::from_static(BACKEND_RATE), rate)),
            );
        }
        let percent = self.pace_percent.load(Ordering::Relaxed);
        if percent != NO_PACE {
            fields.insert(BACKEND_PACE, HeaderValue::from(percent));
        }
        if self.leaving.load(Ordering::Relaxed) {
            fields.insert(BACKEND_LEAVING, HeaderValue::from_static("1"));
        }
    }
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            slowdown_percent: AtomicU32::new(100),
            failing: AtomicBool::new(false),
            cuts_answers: AtomicBool::new(false),
            forges_outcome: AtomicBool::new(false),
            rate_millis: AtomicI64::new(NO_RATE),
            pace_percent: AtomicU32::new(NO_PACE),
            leaving: AtomicBool::new(false),
            own_retries: AtomicU32::new(0),
        }
    }
}
