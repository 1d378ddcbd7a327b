//! The planned stop: drains the daemon on a signal and returns when the process may end.
//!
//! 1. *Serving*: callers and other daemons learn that this daemon is draining while it still serves requests, and
//!    other daemons take over its state as a witness ([`handover`]).
//! 2. *Calls only*: requests of callers and calls of other daemons are refused. Accepted requests continue,
//!    including the calls made for them.
//! 3. *Closed*, with no request in progress: every request is refused, connections close once their answers are
//!    written, and the process ends. If the grace period runs out first, the requests in progress are cut off,
//!    counted and logged ([`report`]).
//!
//! The phases are those of [`crate::intake`]; the control thread announces the states of
//! [`crate::lifecycle::DaemonLifecycle`]. Called by [`crate::startup`].

mod handover;
mod report;

use crate::base::clock;
use crate::control::DrainTarget;
use crate::listeners::Listeners;
use crate::shared::Shared;
use handover::{hand_over_answers, until_handed_over};
use log::{info, warn};
use report::StopReport;
use seamhatch_core::Instant;
use seamhatch_core::drain::{ANSWER_MARGIN, END_MARGIN};
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Time after which callers and other daemons are assumed to know of the drain, if too few readiness checks were
/// answered with "not ready".
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(2300);
/// Number of consecutive failed readiness checks after which load balancers commonly remove a daemon. After this
/// many "not ready" answers, callers know of the drain; other daemons learned of it earlier, by heartbeat.
const NOT_READY_ANSWERS_TO_DISCOVER: usize = 2;
/// Time limit for the drain if the settings have no grace period.
const DEFAULT_DRAIN_TIMEOUT: Duration = Duration::from_secs(300);
/// Interval between two checks for requests in progress.
const DRAIN_POLL: Duration = Duration::from_millis(10);
/// The daemon stops serving once no request has been in progress for this long.
const IDLE_BEFORE_CLOSE: Duration = Duration::from_millis(100);
/// Time limit for other daemons to acknowledge the shutdown. Frozen daemons, and releases without this message,
/// never do.
const SHUTDOWN_ACK_TIMEOUT: Duration = Duration::from_millis(300);
/// Time limit, after the intake has closed, for handing the answers to claimed calls to other daemons.
const ANSWER_HANDOVER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit, after the intake has closed, for closing connections and notifying the other members.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(200);

/// The signals that request a stop. Their handlers must be installed before any listener opens: without them, a
/// signal terminates the process immediately, together with the requests that it has accepted.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Installs the signal handlers. Must be called within a Tokio runtime.
    ///
    /// # Errors
    /// The handlers can't be installed.
    pub fn receive() -> std::io::Result<Self> {
        Ok(Self { terminate: signal(SignalKind::terminate())?, interrupt: signal(SignalKind::interrupt())? })
    }

    async fn any(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// Waits for a signal to stop, then drains the daemon.
pub async fn until_stopped(shared: &Arc<Shared>, listeners: Listeners, mut signals: StopSignals) {
    signals.any().await;
    info!("stop requested");
    let started = clock::now();
    shared.lifecycle.note_stop_request(started);
    if !shared.control.drain(DrainTarget::Own).await {
        warn!("the control thread does not respond; draining without it");
        shared.lifecycle.start_draining();
    }
    let mut report = StopReport::begin(started);
    // A platform may repeat SIGTERM, and ends a process that takes too long with SIGKILL. Only SIGINT, as from a
    // terminal, cuts the drain short.
    tokio::select! {
        () = drain(shared, started, &mut report) => {}
        _ = signals.interrupt.recv() => {
            warn!("interrupted while stopping: work in progress is cut off");
            cut_off(shared, &mut report);
        }
    }
    close_connections(shared, &listeners).await;
    // No await from here on: a request that is read now is refused, and any other is never read.
    report.log(shared);
}

/// Drains the daemon and closes the intake. Requests that are still in progress when the grace period runs out are
/// cut off.
async fn drain(shared: &Shared, started: Instant, report: &mut StopReport) {
    let longest =
        shared.settings.grace.map_or(DEFAULT_DRAIN_TIMEOUT, |grace| grace.saturating_sub(END_MARGIN));
    let serving = longest.saturating_sub(ANSWER_MARGIN);
    tokio::join!(until_idle(shared, started, serving), until_handed_over(shared, started, serving));
    shared.intake.close_to_callers();
    shared.lifecycle.notify_peers();
    report.note_calls_only(shared.intake.count());
    until_peers_acknowledge(shared, started, longest).await;
    while !shared.intake.close_if_idle() {
        if elapsed_since(started) >= longest {
            return cut_off(shared, report);
        }
        tokio::time::sleep(DRAIN_POLL).await;
    }
    report.note_closed(shared, &[]);
    let left = longest.saturating_sub(elapsed_since(started));
    hand_over_answers(shared, left.min(ANSWER_HANDOVER_TIMEOUT)).await;
}

/// Waits until the daemons that send calls here have acknowledged the shutdown, by which time all calls that they
/// sent before have arrived. Returns at the latest when `longest` has passed since `started`.
async fn until_peers_acknowledge(shared: &Shared, started: Instant, longest: Duration) {
    let due = longest.min(elapsed_since(started) + SHUTDOWN_ACK_TIMEOUT);
    while shared.shutdown_acks.pending() > 0 && elapsed_since(started) < due {
        tokio::time::sleep(DRAIN_POLL).await;
    }
}

/// Waits until callers and other daemons know of the drain and no request has been in progress for
/// [`IDLE_BEFORE_CLOSE`]. Returns at the latest when `longest` has passed since `started`.
async fn until_idle(shared: &Shared, started: Instant, longest: Duration) {
    let is_discovered = || {
        let not_ready_answers = shared.lifecycle.not_ready_answers();
        not_ready_answers >= NOT_READY_ANSWERS_TO_DISCOVER || elapsed_since(started) >= DISCOVERY_TIMEOUT
    };
    let mut busy_until = clock::now();
    while elapsed_since(started) < longest {
        if shared.intake.count() > 0 {
            busy_until = clock::now();
        }
        if is_discovered() && elapsed_since(busy_until) >= IDLE_BEFORE_CLOSE {
            return;
        }
        tokio::time::sleep(DRAIN_POLL).await;
    }
}

/// Closes the intake and cuts off the requests in progress.
fn cut_off(shared: &Shared, report: &mut StopReport) {
    let unfinished = shared.intake.close_and_cut();
    report.note_closed(shared, &unfinished);
}

/// Closes callers' connections, each after its last answer is written, flushes the messages to other daemons, and
/// announces to them that this daemon has left.
async fn close_connections(shared: &Shared, listeners: &Listeners) {
    listeners.close();
    let closing =
        async { tokio::join!(listeners.until_closed(), shared.control.leave(), until_written(shared)) };
    // Connections that are still open after the time limit are closed by the end of the process.
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, closing).await;
}

/// Waits until all messages to other daemons are written.
async fn until_written(shared: &Shared) {
    while shared.unwritten.count() > 0 {
        tokio::time::sleep(DRAIN_POLL).await;
    }
}

fn elapsed_since(instant: Instant) -> Duration {
    Duration::from_micros(clock::now().since(instant))
}
