//! A planned stop: drains the daemon when a signal asks for it, and returns when the process may end.
//!
//! 1. *Serving*: callers and other daemons learn that this daemon leaves, while it serves on, and others take over what it remembers as a witness
//!    ([`handover`]).
//! 2. *Calls only*: callers and other daemons' calls are refused; what was taken goes on, with the calls that it makes.
//! 3. *Closed*, with nothing in progress: all that is read is refused, connections end once they have written, and the process ends. When the
//!    time is up before, what is in progress is given up, counted and logged ([`report`]).
//!
//! The borders are those of [`crate::intake`]; the control thread announces the states of [`crate::lifecycle::DaemonLifecycle`]. Called by
//! [`crate::startup`].

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

/// Longest time for callers and daemons to learn that this one leaves, where the daemon sees no evidence that they have.
const LONGEST_TO_LEARN: Duration = Duration::from_millis(2300);
/// Readiness checks in a row after which load balancers commonly take a daemon out of use. Once so many were answered with "not ready", its
/// callers have learned that it leaves, and other daemons long before, by heartbeat.
const NOT_READY_ANSWERS_TO_LEARN: usize = 2;
/// Longest wait for requests in progress where the settings have no grace period.
const LONGEST_DRAIN: Duration = Duration::from_secs(300);
/// Pause between two checks of what is in progress.
const DRAIN_POLL: Duration = Duration::from_millis(10);
/// The daemon stops serving once nothing was in progress for this long.
const QUIET_TO_STOP: Duration = Duration::from_millis(100);
/// Longest wait for the answers of other daemons to the farewell: releases before it, and frozen ones, don't answer.
const LONGEST_TO_KNOW: Duration = Duration::from_millis(300);
/// Longest time, once nothing is taken any more, for others to take over the answers to claimed calls.
const LONGEST_FOR_ANSWERS: Duration = Duration::from_secs(1);
/// Longest wait, once nothing is taken any more, for connections to end and for the other members to be told.
const LONGEST_ENDING: Duration = Duration::from_millis(200);

/// The signals that ask for a stop. They are to be received before anything listens: until then the system ends the process at once, with
/// whatever it has accepted.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl StopSignals {
    /// Receives them from now on; to be called in a runtime.
    ///
    /// # Errors
    /// Signals can't be received.
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
        warn!("the control thread is held up: the drain begins without it");
        shared.lifecycle.start_draining();
    }
    let mut report = StopReport::begin(started);
    // A platform may repeat SIGTERM, and ends a process that takes too long with SIGKILL. Only an interrupt, as from a
    // terminal, cuts a stop short.
    tokio::select! {
        () = drained(shared, started, &mut report) => {}
        _ = signals.interrupt.recv() => {
            warn!("interrupted while stopping: work in progress is cut off");
            cut_off(shared, &mut report);
        }
    }
    end_connections(shared, &listeners).await;
    // Without a wait from here on: what is read now is refused, or not read at all.
    report.log(shared);
}

/// Waits until nothing is in progress and nothing more is taken; what is in progress when the stop has taken too long is given up.
async fn drained(shared: &Shared, started: Instant, report: &mut StopReport) {
    let longest = shared.settings.grace.map_or(LONGEST_DRAIN, |grace| grace.saturating_sub(END_MARGIN));
    let serving = longest.saturating_sub(ANSWER_MARGIN);
    tokio::join!(until_quiet(shared, started, serving), until_handed_over(shared, started, serving));
    shared.intake.close_to_callers();
    shared.lifecycle.notify_peers();
    report.note_border(shared.intake.count());
    until_peers_know(shared, started, longest).await;
    while !shared.intake.close_if_idle() {
        if passed_since(started) >= longest {
            return cut_off(shared, report);
        }
        tokio::time::sleep(DRAIN_POLL).await;
    }
    report.note_closed(shared, &[]);
    let left = longest.saturating_sub(passed_since(started));
    hand_over_answers(shared, left.min(LONGEST_FOR_ANSWERS)).await;
}

/// Waits until the daemons that send calls here have heard that none are taken any more: what they sent before has come by then. At most until
/// `longest` has passed since `started`.
async fn until_peers_know(shared: &Shared, started: Instant, longest: Duration) {
    let due = longest.min(passed_since(started) + LONGEST_TO_KNOW);
    while shared.farewells.pending() > 0 && passed_since(started) < due {
        tokio::time::sleep(DRAIN_POLL).await;
    }
}

/// Waits until callers and daemons have learned that this one leaves and nothing was in progress for [`QUIET_TO_STOP`], for at most
/// `longest` since `started`.
async fn until_quiet(shared: &Shared, started: Instant, longest: Duration) {
    let have_learned = || {
        let not_ready_answers = shared.lifecycle.not_ready_answers();
        not_ready_answers >= NOT_READY_ANSWERS_TO_LEARN || passed_since(started) >= LONGEST_TO_LEARN
    };
    let mut busy_until = clock::now();
    while passed_since(started) < longest {
        if shared.intake.count() > 0 {
            busy_until = clock::now();
        }
        if have_learned() && passed_since(busy_until) >= QUIET_TO_STOP {
            return;
        }
        tokio::time::sleep(DRAIN_POLL).await;
    }
}

/// Takes nothing more, and gives up what is in progress.
fn cut_off(shared: &Shared, report: &mut StopReport) {
    let unfinished = shared.intake.close_and_cut();
    report.note_closed(shared, &unfinished);
}

/// Ends the connections of callers, each once its last answer is written, writes what is due to other daemons, and tells them that this one has left.
async fn end_connections(shared: &Shared, listeners: &Listeners) {
    listeners.close();
    let ending =
        async { tokio::join!(listeners.until_closed(), shared.control.leave(), until_written(shared)) };
    // What is longer in ending is ended with the process.
    let _ = tokio::time::timeout(LONGEST_ENDING, ending).await;
}

/// Waits until all messages to other daemons are written.
async fn until_written(shared: &Shared) {
    while shared.unwritten.count() > 0 {
        tokio::time::sleep(DRAIN_POLL).await;
    }
}

fn passed_since(instant: Instant) -> Duration {
    Duration::from_micros(clock::now().since(instant))
}
