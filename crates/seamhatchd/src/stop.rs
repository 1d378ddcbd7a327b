//! A planned stop: drains the daemon when a signal asks for it, and returns when the process may end.
//!
//! First callers and other daemons learn that this daemon leaves, while it serves on, and others take over what it remembers as a witness;
//! then it closes, so that no work is accepted at the very end and cut off. The states are those of
//! [`crate::lifecycle::DaemonLifecycle`]; the control thread announces them. Called by [`crate::startup`].

use crate::base::clock;
use crate::control::DrainTarget;
use crate::intake::RequestProgress;
use crate::listeners::Listeners;
use crate::shared::Shared;
use log::{info, warn};
use seamhatch_core::Instant;
use seamhatch_core::clock::MILLISECOND;
use seamhatch_core::drain::END_MARGIN;
use seamhatch_core::roster::WitnessDuty;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// Longest time for callers and daemons to learn that this one leaves, where the daemon sees no evidence that they have.
const LONGEST_TO_LEARN: Duration = Duration::from_millis(2300);
/// Readiness checks in a row after which load balancers commonly take a daemon out of use. Once so many were answered with "not ready", its
/// callers have learned that it leaves, and other daemons long before, by heartbeat.
const NOT_READY_ANSWERS_TO_LEARN: usize = 2;
/// Longest wait for requests in progress where the settings have no grace period.
const LONGEST_DRAIN: Duration = Duration::from_secs(300);
/// Longest time from the request to stop for others to take over this daemon's shards; the grace period may end before.
const LONGEST_HANDOVER: Duration = Duration::from_secs(30);
/// Pause between two checks whether they have.
const HANDOVER_POLL: Duration = Duration::from_millis(50);
/// Pause between two checks of what is in progress.
const DRAIN_POLL: Duration = Duration::from_millis(10);
/// The process ends once nothing was in progress for this long.
const QUIET_TO_STOP: Duration = Duration::from_millis(100);

/// Waits for a signal to stop, then drains the daemon.
///
/// # Errors
/// Signals can't be received.
pub async fn until_stopped(shared: &Arc<Shared>, mut listeners: Listeners) -> std::io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    info!("stop requested");
    let started = clock::now();
    shared.lifecycle.note_stop_request(started);
    if !shared.control.drain(DrainTarget::Own).await {
        warn!("the control thread is held up: the drain begins without it");
        shared.lifecycle.start_draining();
    }
    // A platform may repeat SIGTERM, and ends a process that takes too long with SIGKILL. Only an interrupt, as from a
    // terminal, cuts a stop short.
    tokio::select! {
        () = drained(shared, &mut listeners, started) => {}
        _ = interrupt.recv() => warn!("interrupted while stopping: work in progress is cut off"),
    }
    shared.control.leave().await;
    Ok(())
}

/// Waits until the work in progress is done, or the stop that began at `started` has taken too long: first while callers are
/// answered that the daemon leaves, then with their new connections and other daemons' calls refused.
async fn drained(shared: &Shared, listeners: &mut Listeners, started: Instant) {
    let longest = shared.settings.grace.map_or(LONGEST_DRAIN, |grace| grace.saturating_sub(END_MARGIN));
    let have_learned = || {
        let not_ready_answers = shared.lifecycle.not_ready_answers();
        not_ready_answers >= NOT_READY_ANSWERS_TO_LEARN || passed_since(started) >= LONGEST_TO_LEARN
    };
    let longest_handover = longest.min(LONGEST_HANDOVER);
    let ((), handed_over) = tokio::join!(
        until_quiet(shared, started, have_learned, longest),
        until_handed_over(shared, started, longest_handover)
    );
    if handed_over {
        // A change of witnesses that was under way when the stop began may have chosen this daemon.
        until_handed_over(shared, started, longest_handover).await;
    }
    let (served, at_close) = (passed_since(started), shared.intake.count());
    listeners.refuse_callers();
    shared.lifecycle.start_closing();
    until_quiet(shared, started, || true, longest).await;
    let unfinished = shared.intake.unfinished();
    info!(
        served_ms = served.as_millis(),
        at_close = at_close,
        closed_ms = passed_since(started).as_millis(),
        at_end = unfinished.len(),
        refused = shared.intake.refused();
        "the stop's phases"
    );
    unfinished.iter().for_each(|request| log_cut(shared, request));
}

/// Counts and logs a request that the end of the process cuts off.
fn log_cut(shared: &Shared, request: &RequestProgress) {
    shared.metrics.cut_requests.inc();
    let stage = request.stage();
    let server = stage.server().map(|server| server.to_string()).unwrap_or_default();
    warn!(
        request = request.name(),
        entry = request.entry.name(),
        stage = stage.name(),
        server = server.as_str(),
        age_ms = clock::now().since(request.since) / MILLISECOND;
        "request cut off by the end of the stop"
    );
}

/// Waits until others `have_learned` that the daemon leaves and nothing was in progress for [`QUIET_TO_STOP`], for at most
/// `longest` since `started`.
async fn until_quiet(shared: &Shared, started: Instant, have_learned: impl Fn() -> bool, longest: Duration) {
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

/// Waits until others have taken over the shards that this daemon witnesses, for at most `longest` since `started`: two daemons that end
/// with what they remember leave a shard that grants nothing until no request of before lives any more. False when they have not.
async fn until_handed_over(shared: &Shared, started: Instant, longest: Duration) -> bool {
    let mut held = 0;
    loop {
        let why = match shared.control.witness_duty().await {
            Some(WitnessDuty::Released) => {
                if held > 0 {
                    let after_ms = passed_since(started).as_millis();
                    info!(shards = held, after_ms = after_ms; "others have taken over this daemon's shards");
                }
                return true;
            }
            Some(WitnessDuty::Held { shards }) if passed_since(started) < longest => {
                held = held.max(shards);
                tokio::time::sleep(HANDOVER_POLL).await;
                continue;
            }
            Some(WitnessDuty::Held { shards }) => {
                format!("{shards} of its shards have no other witness in time")
            }
            Some(WitnessDuty::NoSuccessor { shards }) => {
                format!("nobody else is left to witness {shards} shards")
            }
            None => "the control thread is held up".to_owned(),
        };
        warn!(why = why.as_str(); "the daemon ends before others have taken over its shards");
        return false;
    }
}

fn passed_since(instant: Instant) -> Duration {
    Duration::from_micros(clock::now().since(instant))
}
