//! Rejects requests while the daemon drains or has no configuration, and pins the configuration that
//! applies to a request.

use crate::conventions::headers;
use crate::filters::{Rejection, RequestFilter, RequestState};
use crate::shared::Shared;
use seamhatch_core::outcome::Reason;
use seamhatch_core::return_time::RESTART_RETURN;

/// Rejects requests at once while the daemon drains or has no configuration, so that callers go to
/// another daemon.
pub struct Readiness;

impl RequestFilter for Readiness {
    fn apply(&self, shared: &Shared, request: &mut RequestState) -> Result<(), Rejection> {
        let (reason, detail) = if shared.is_draining() {
            (Reason::Draining, "this daemon is leaving; use another one")
        } else if shared.snapshot().configuration().is_none() {
            (
                Reason::NotReady,
                "this daemon has no configuration yet; submit one, or wait until it has read it",
            )
        } else {
            return Ok(());
        };
        Err(not_run_here(request, reason, detail))
    }
}

/// Rejects requests that arrive so late in a planned stop that the end of the process would cut
/// them off. Callers still arrive at that time if too few other daemons are near, and calls of the
/// back end arrive as long as a request runs here.
pub struct BeforeShutdown;

impl RequestFilter for BeforeShutdown {
    fn apply(&self, shared: &Shared, request: &mut RequestState) -> Result<(), Rejection> {
        let state = shared.stop_state();
        let is_accepted = match request.parent {
            Some(_) => state.admits_call(shared.limits.call_times.quantile(request.kind())),
            None => !state.refuses_callers(),
        };
        if is_accepted {
            return Ok(());
        }
        shared.intake.note_refused();
        Err(stopping_rejection(request))
    }
}

/// Returns the rejection of a request that a daemon about to end does not take.
pub fn stopping_rejection(request: &RequestState) -> Rejection {
    let detail = "this daemon is about to end; use another one, or come back after Retry-After";
    not_run_here(request, Reason::Draining, detail).retry_after(RESTART_RETURN)
}

/// States that this daemon has not run the request. If the request has an idempotency key, an
/// earlier attempt may have run, which can't be determined at this point.
fn not_run_here(request: &RequestState, reason: Reason, detail: &str) -> Rejection {
    match request.header(headers::IDEMPOTENCY_KEY) {
        Some(_) => Rejection::unknown(reason, detail),
        None => Rejection::not_run(reason, detail),
    }
}

/// Pins the configuration in force, so that one configuration decides the whole request.
pub struct PinConfiguration;

impl RequestFilter for PinConfiguration {
    fn apply(&self, shared: &Shared, request: &mut RequestState) -> Result<(), Rejection> {
        request.configuration = shared.snapshot().configuration.clone();
        Ok(())
    }
}
