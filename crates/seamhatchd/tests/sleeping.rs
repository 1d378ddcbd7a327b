//! Waits across a suspend of the machine, during which the boot clock advances and the timers of the process stand still.

use seamhatchd::base::clock::{self, SleepWatch, sleep_until, step_boot_clock, timeout_at};
use std::time::{Duration, Instant};

const HOUR: Duration = Duration::from_secs(3600);
/// Longest time after the resume in which an expired wait ends.
const WAKE_LIMIT: Duration = Duration::from_millis(500);

/// A wait ends soon after a suspend in which its instant has passed, and continues after a suspend that ends before its instant. One
/// test for both cases, as the boot clock is shared by the whole process.
#[tokio::test]
async fn waits_for_an_instant_end_after_a_suspend_beyond_it() {
    let mut watch = SleepWatch::start();
    assert_eq!(watch.note_resume(), None);
    let within = clock::now().plus(1_000_000_000);
    let beyond = clock::now().plus(2 * HOUR.as_micros() as u64);
    let first = tokio::spawn(sleep_until(within));
    let timed = tokio::spawn(timeout_at(within, std::future::pending::<()>()));
    let second = tokio::spawn(sleep_until(beyond));
    tokio::time::sleep(Duration::from_millis(20)).await;
    step_boot_clock(HOUR);
    assert!(!first.is_finished(), "the timers must not advance during the suspend");
    let slept = watch.note_resume().expect("a suspend is detected");
    assert!(slept >= HOUR.as_micros() as u64 - 1_000_000);
    assert_eq!(watch.note_resume(), None, "a suspend is reported once");
    let woken = Instant::now();
    first.await.expect("ends");
    assert_eq!(timed.await.expect("ends"), None);
    assert!(woken.elapsed() < WAKE_LIMIT);
    assert!(!second.is_finished());
    assert_eq!(
        timeout_at(within, async { 7 }).await,
        Some(7),
        "an output that is ready takes precedence over an expired instant"
    );
    second.abort();
}
