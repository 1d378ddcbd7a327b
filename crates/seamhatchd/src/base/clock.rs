//! The machine's boot clock, which goes on while a process is frozen or the machine sleeps.
//!
//! The runtime's timers count in the steady clock, which stands still while the machine sleeps. Code that must end at an instant
//! of the boot clock waits with [`sleep_until`] or [`timeout_at`], which check the boot clock again when [`SleepWatch::note_resume`] finds
//! that the machine has slept. The control thread calls that at each tick. State: how often the machine has slept.

use rustix::time::{ClockId, Timespec, clock_gettime};
use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, Microseconds};
use std::future::Future;
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;

/// Lead of the boot clock over the steady clock, in microseconds, from which the machine counts as having slept. The two are read one after
/// the other, and the process may be held up in between. Chosen, not measured.
const LEAST_SLEEP: Microseconds = 50 * MILLISECOND;

/// By how much tests have stepped the boot clock, in microseconds.
static STEPPED: AtomicU64 = AtomicU64::new(0);
/// Counts the times that the machine has slept.
static RESUMES: LazyLock<watch::Sender<u64>> = LazyLock::new(|| watch::Sender::new(0));

/// The current boot time.
#[must_use]
pub fn now() -> Instant {
    Instant(microseconds(clock_gettime(ClockId::Boottime)) + STEPPED.load(Ordering::Relaxed))
}

/// Time left until `expiry`, zero when it has passed.
#[must_use]
pub fn time_until(expiry: Instant) -> Duration {
    Duration::from_micros(expiry.since(now()))
}

/// Waits until an instant, also where the machine sleeps in the meantime. Cancel-safe.
pub async fn sleep_until(instant: Instant) {
    let mut resumes = RESUMES.subscribe();
    while now() < instant {
        tokio::select! {
            () = tokio::time::sleep(time_until(instant)) => {}
            // The sender lives as long as the process.
            _ = resumes.changed() => {}
        }
    }
}

/// Waits for `future` until an instant; none when that has come before.
pub async fn timeout_at<T>(instant: Instant, future: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        biased;
        output = future => Some(output),
        () = sleep_until(instant) => None,
    }
}

/// The lead of the boot clock over the steady clock: the time that the machine has slept.
#[derive(Debug)]
pub struct SleepWatch {
    ahead: Microseconds,
}

impl SleepWatch {
    /// Watches from now on.
    #[must_use]
    pub fn start() -> Self {
        Self { ahead: boot_ahead() }
    }

    /// Wakes everything that waits for an instant, where the machine has slept since the last call. Returns for how long it has.
    pub fn note_resume(&mut self) -> Option<Microseconds> {
        let ahead = boot_ahead();
        let slept = ahead.saturating_sub(self.ahead);
        if slept < LEAST_SLEEP {
            return None;
        }
        self.ahead = ahead;
        RESUMES.send_modify(|resumes| *resumes += 1);
        Some(slept)
    }
}

/// Moves the boot clock forward without the timers, as a sleep of the machine does. For tests only.
pub fn step_boot_clock(span: Duration) {
    STEPPED.fetch_add(span.as_micros() as Microseconds, Ordering::Relaxed);
}

fn boot_ahead() -> Microseconds {
    now().0.saturating_sub(microseconds(clock_gettime(ClockId::Monotonic)))
}

fn microseconds(time: Timespec) -> Microseconds {
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
}

/// Milliseconds since the Unix epoch, for records that outlive the boot clock. Zero for a clock before the epoch.
#[must_use]
pub fn unix_milliseconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis() as u64)
}

/// Seconds since the Unix epoch, for people to read. Zero for a clock before the epoch.
#[must_use]
pub fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_secs())
}
