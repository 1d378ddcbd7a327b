//! The machine's boot clock, which continues to run while the process is frozen or the machine is suspended.
//!
//! The runtime's timers use the monotonic clock, which stops while the machine is suspended. Code that must end at an instant of
//! the boot clock waits with [`sleep_until`] or [`timeout_at`], which check the boot clock again when [`SleepWatch::note_resume`]
//! detects that the machine was suspended. The control thread calls it at each tick. State: the number of detected suspensions.

use rustix::time::{ClockId, Timespec, clock_gettime};
use seamhatch_core::Instant;
use seamhatch_core::clock::{MILLISECOND, Microseconds};
use std::future::Future;
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;

/// Minimum increase of the boot clock's lead over the monotonic clock, in microseconds, that counts as a suspension of the machine. The
/// two clocks are read one after the other, and the process may be delayed in between.
const MIN_SLEEP: Microseconds = 50 * MILLISECOND;

/// Microseconds by which tests have advanced the boot clock.
static STEPPED: AtomicU64 = AtomicU64::new(0);
/// Number of detected suspensions of the machine.
static RESUMES: LazyLock<watch::Sender<u64>> = LazyLock::new(|| watch::Sender::new(0));

/// The current boot time.
#[must_use]
pub fn now() -> Instant {
    Instant(microseconds(clock_gettime(ClockId::Boottime)) + STEPPED.load(Ordering::Relaxed))
}

/// Time left until `expiry`; zero when it has passed.
#[must_use]
pub fn time_until(expiry: Instant) -> Duration {
    Duration::from_micros(expiry.since(now()))
}

/// Waits until an instant, even if the machine is suspended in the meantime. Cancel-safe.
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

/// Waits for `future` until an instant; `None` when the instant passes first.
pub async fn timeout_at<T>(instant: Instant, future: impl Future<Output = T>) -> Option<T> {
    tokio::select! {
        biased;
        output = future => Some(output),
        () = sleep_until(instant) => None,
    }
}

/// Tracks the lead of the boot clock over the monotonic clock, which is the time for which the machine was suspended.
#[derive(Debug)]
pub struct SleepWatch {
    lead: Microseconds,
}

impl SleepWatch {
    /// Starts with the current lead.
    #[must_use]
    pub fn start() -> Self {
        Self { lead: boot_clock_lead() }
    }

    /// Wakes all tasks that wait for an instant if the machine was suspended since the last call. Returns the duration of the suspension.
    pub fn note_resume(&mut self) -> Option<Microseconds> {
        let lead = boot_clock_lead();
        let slept = lead.saturating_sub(self.lead);
        if slept < MIN_SLEEP {
            return None;
        }
        self.lead = lead;
        RESUMES.send_modify(|resumes| *resumes += 1);
        Some(slept)
    }
}

/// Advances the boot clock but not the timers, as a suspension of the machine does. For tests only.
pub fn step_boot_clock(span: Duration) {
    STEPPED.fetch_add(span.as_micros() as Microseconds, Ordering::Relaxed);
}

fn boot_clock_lead() -> Microseconds {
    now().0.saturating_sub(microseconds(clock_gettime(ClockId::Monotonic)))
}

fn microseconds(time: Timespec) -> Microseconds {
    time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000
}

/// Milliseconds since the Unix epoch, for records that must remain valid across reboots. Zero for a clock before the epoch.
#[must_use]
pub fn unix_milliseconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis() as u64)
}

/// Seconds since the Unix epoch, for display. Zero for a clock before the epoch.
#[must_use]
pub fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_secs())
}
