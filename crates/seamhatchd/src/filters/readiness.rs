//! Refuses requests while the daemon is leaving or has no configuration.

use crate::filters::{Rejection, RequestFilter, RequestState};
use crate::shared::Shared;
use seamhatch_core::outcome::Reason;

/// Refuses at once, so that the caller goes to another daemon.
pub struct Readiness;

impl RequestFilter for Readiness {
    fn apply(&self, shared: &Shared, _request: &mut RequestState) -> Result<(), Rejection> {
        if shared.is_draining() {
            return Err(Rejection::not_run(Reason::Draining, "this daemon is leaving; use another one"));
        }
        if shared.snapshot().configuration().is_none() {
            let detail = "this daemon has no configuration yet; submit one, or wait until it has read it";
            return Err(Rejection::not_run(Reason::NotReady, detail));
        }
        Ok(())
    }
}
