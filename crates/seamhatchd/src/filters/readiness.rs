//! Refuses requests while the daemon is leaving or has no configuration.

use crate::filters::{Rejection, RequestFilter, RequestState};
use crate::headers;
use crate::shared::Shared;
use seamhatch_core::outcome::Reason;

/// Refuses at once, so that the caller goes to another daemon.
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
        if request.header(headers::IDEMPOTENCY_KEY).is_some() {
            // An earlier attempt with this key may have run; this daemon does not find out.
            return Err(Rejection::unknown(reason, detail));
        }
        Err(Rejection::not_run(reason, detail))
    }
}

/// Holds on to the configuration in force, so that one configuration decides the whole request.
pub struct PinConfiguration;

impl RequestFilter for PinConfiguration {
    fn apply(&self, shared: &Shared, request: &mut RequestState) -> Result<(), Rejection> {
        request.configuration = shared.snapshot().configuration().cloned();
        Ok(())
    }
}
