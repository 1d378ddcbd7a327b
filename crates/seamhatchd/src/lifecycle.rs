//! How far the process has come between its start and its end: ready, draining. What it takes meanwhile is [`crate::intake`]'s.
//!
//! [`DaemonLifecycle`] owns these states; each is entered once and never left. The control thread makes the daemon ready and begins a
//! drain. The request path, the links and the listeners only read.
//! What follows for calls and callers is decided by [`seamhatch_core::drain`].

use crate::base::clock;
use seamhatch_core::Instant;
use seamhatch_core::drain::StopState;
use seamhatch_core::intake::IntakePhase;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// The state of this process, shared by all threads.
#[derive(Debug)]
pub struct DaemonLifecycle {
    /// Time between a stop request and the end of the process, at most; none for a stop without a bound.
    grace: Option<Duration>,
    /// Has the newest configuration and may take work.
    ready: AtomicBool,
    /// Leaves: new work only where no other daemon can take it.
    draining: AtomicBool,
    /// When a stop was first requested, in microseconds of the boot clock; zero for never.
    stop_requested_at: AtomicU64,
    /// Readiness checks that were answered with "not ready" during a drain.
    not_ready_answers: AtomicUsize,
    /// Wakes the links when the server starts or stops taking work.
    work_changed: Notify,
}

impl DaemonLifecycle {
    /// A process that starts and has to end within `grace` of a stop request.
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

    /// Whether the daemon knows the newest configuration; it stays so during a drain.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Whether the daemon is leaving.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Whether callers are welcome at this daemon.
    #[must_use]
    pub fn accepts_callers(&self) -> bool {
        self.is_ready() && !self.is_draining()
    }

    /// Lets work in.
    pub fn become_ready(&self) {
        self.ready.store(true, Ordering::Release);
    }

    /// Records when a stop was first requested; the time that is left counts from then.
    pub fn note_stop_request(&self, now: Instant) {
        // A later request changes nothing.
        let _ = self.stop_requested_at.compare_exchange(0, now.0, Ordering::AcqRel, Ordering::Acquire);
    }

    /// Takes new work only where no other daemon can from now on, and notifies every connected daemon at once.
    pub fn start_draining(&self) {
        self.note_stop_request(clock::now());
        self.draining.store(true, Ordering::Release);
        self.notify_peers();
    }

    /// Sends a heartbeat on every link at once: the server started or stopped taking work.
    pub fn notify_peers(&self) {
        self.work_changed.notify_waiters();
    }

    /// Waits for the next [`Self::notify_peers`]; one that comes before the future is enabled is missed.
    pub fn work_changed(&self) -> Notified<'_> {
        self.work_changed.notified()
    }

    /// How far the stop of this daemon has come, whose intake is in this phase.
    #[must_use]
    pub fn stop_state(&self, phase: IntakePhase) -> StopState {
        // Read in this order: the moment is recorded before the drain begins.
        let draining_for = self.is_draining().then(|| {
            let requested_at = Instant(self.stop_requested_at.load(Ordering::Acquire));
            clock::now().since(requested_at)
        });
        StopState { phase, draining_for, grace: self.grace }
    }

    /// Counts a readiness check that was answered with "not ready" during a drain: the load balancer that asked has learned
    /// from it that the daemon leaves.
    pub fn count_not_ready_answer(&self) {
        self.not_ready_answers.fetch_add(1, Ordering::Relaxed);
    }

    /// Readiness checks answered with "not ready" during a drain.
    #[must_use]
    pub fn not_ready_answers(&self) -> usize {
        self.not_ready_answers.load(Ordering::Relaxed)
    }
}
