//! The machine's boot clock, which goes on while a process is frozen or the machine sleeps.

use rustix::time::{ClockId, clock_gettime};
use seamhatch_core::Instant;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// The current boot time.
#[must_use]
pub fn now() -> Instant {
    let time = clock_gettime(ClockId::Boottime);
    Instant(time.tv_sec as u64 * 1_000_000 + time.tv_nsec as u64 / 1_000)
}

/// Time left until `expiry`, zero when it has passed.
#[must_use]
pub fn time_until(expiry: Instant) -> Duration {
    Duration::from_micros(expiry.since(now()))
}

/// Milliseconds since the Unix epoch, for what has to outlive the boot clock.
#[must_use]
pub fn unix_milliseconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis() as u64)
}

/// Seconds since the Unix epoch, for people to read.
#[must_use]
pub fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_secs())
}
