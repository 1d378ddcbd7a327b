//! The machine sleeps: its boot clock goes on, and the timers of the process stand still meanwhile.

use seamhatchd::base::clock::{self, SleepWatch, sleep_until, step_boot_clock, timeout_at};
use std::time::{Duration, Instant};

const HOUR: Duration = Duration::from_secs(3600);
/// Longest that a waiter takes to see that its instant has passed.
const SOON: Duration = Duration::from_millis(500);

/// One test, as the clock is the process's: what waits for an instant ends soon after a sleep that has gone beyond it, and
/// goes on waiting after a shorter one.
#[tokio::test]
async fn what_waits_for_an_instant_sees_that_the_machine_has_slept() {
    let mut watch = SleepWatch::start();
    assert_eq!(watch.note_resume(), None);
    let within = clock::now().plus(1_000_000_000);
    let beyond = clock::now().plus(2 * HOUR.as_micros() as u64);
    let first = tokio::spawn(sleep_until(within));
    let timed = tokio::spawn(timeout_at(within, std::future::pending::<()>()));
    let second = tokio::spawn(sleep_until(beyond));
    tokio::time::sleep(Duration::from_millis(20)).await;
    step_boot_clock(HOUR);
    assert!(!first.is_finished(), "the timers don't know of the sleep by themselves");
    let slept = watch.note_resume().expect("has slept");
    assert!(slept >= HOUR.as_micros() as u64 - 1_000_000);
    assert_eq!(watch.note_resume(), None, "once");
    let woken = Instant::now();
    first.await.expect("ends");
    assert_eq!(timed.await.expect("ends"), None);
    assert!(woken.elapsed() < SOON);
    assert!(!second.is_finished());
    assert_eq!(
        timeout_at(within, async { 7 }).await,
        Some(7),
        "an output that is there goes before the time"
    );
    second.abort();
}
