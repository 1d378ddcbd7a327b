//! Lifecycle of the process from start to end: ready, draining. [`crate::intake`] tracks the requests in progress.
//!
//! [`DaemonLifecycle`] owns these states; each is entered once and never left. The control thread makes the daemon ready and starts a
//! drain. The request path, the links and the listeners only read the state.
//! [`seamhatch_core::drain`] decides the consequences for calls and callers.

use crate::base::clock;
use seamhatch_core::Instant;
use seamhatch_core::drain::StopState;
use seamhatch_core::intake::IntakePhase;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// The lifecycle of this process, shared by all threads.
#[derive(Debug)]
pub struct DaemonLifecycle {
    /// Maximum time between a stop request and the end of the process; `None` for a stop without a time limit.
    grace: Option<Duration>,
    /// Whether the daemon has the newest configuration and may accept work.
    ready: AtomicBool,
    /// Whether the daemon drains: it accepts new work only when no other daemon can take it.
    draining: AtomicBool,
    /// Time of the first stop request, in microseconds of the boot clock; zero for none.
    stop_requested_at: AtomicU64,
    /// Number of readiness checks answered with "not ready" during a drain.
    not_ready_answers: AtomicUsize,
    /// Wakes the links when the server starts or stops accepting work.
    work_changed: Notify,
}

impl DaemonLifecycle {
    /// The lifecycle of a starting process that must end within `grace` of a stop request.
    #[must_use]
    pub fn starting(grace: Option<Duration>) -> Self {
        Self {
            grace,
            ready: AtomicBool::new(false),
            draining: AtomicBool::new(false),
            stop_requested_at: AtomicU64::new(0),
            not_ready_answers: AtomicUsize::new(0),
            work_changed: Notify::new(),
        }
    }

    /// Whether the daemon knows the newest configuration; remains true during a drain.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Whether the daemon is leaving.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Whether the daemon accepts callers: it is ready and not draining.
    #[must_use]
    pub fn accepts_callers(&self) -> bool {
        self.is_ready() && !self.is_draining()
    }

    /// Marks the daemon as ready, so that it accepts work.
    pub fn become_ready(&self) {
        self.ready.store(true, Ordering::Release);
    }

    /// Records the time of the first stop request, from which the remaining time is counted.
    pub fn note_stop_request(&self, now: Instant) {
        // Later requests have no effect.
        let _ = self.stop_requested_at.compare_exchange(0, now.0, Ordering::AcqRel, Ordering::Acquire);
    }

    /// Starts draining: from now on the daemon accepts new work only when no other daemon can take it. Notifies all connected daemons
    /// immediately.
    pub fn start_draining(&self) {
        self.note_stop_request(clock::now());
        self.draining.store(true, Ordering::Release);
        self.notify_peers();
    }

    /// Sends a heartbeat on every link immediately, since the server started or stopped accepting work.
    pub fn notify_peers(&self) {
        self.work_changed.notify_waiters();
    }

    /// Waits for the next [`Self::notify_peers`]; a call before the future is enabled is missed.
    pub fn work_changed(&self) -> Notified<'_> {
        self.work_changed.notified()
    }

    /// Progress of the stop of this daemon, given the phase of its intake.
    #[must_use]
    pub fn stop_state(&self, phase: IntakePhase) -> StopState {
        // The order of the reads matters: the time is recorded before the drain begins.
        let draining_for = self.is_draining().then(|| {
            let requested_at = Instant(self.stop_requested_at.load(Ordering::Acquire));
            clock::now().since(requested_at)
        });
        StopState { phase, draining_for, grace: self.grace }
    }

    /// Counts a readiness check answered with "not ready" during a drain, which tells the load balancer that the daemon leaves.
    pub fn count_not_ready_answer(&self) {
        self.not_ready_answers.fetch_add(1, Ordering::Relaxed);
    }

    /// Number of readiness checks answered with "not ready" during a drain.
    #[must_use]
    pub fn not_ready_answers(&self) -> usize {
        self.not_ready_answers.load(Ordering::Relaxed)
    }
}
