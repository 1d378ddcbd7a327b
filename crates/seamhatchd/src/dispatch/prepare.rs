//! Steps before the first attempt of a call: its settings, its entry in the retry ledger, its
//! claim, the limits.

use super::digests::{call_fingerprint, request_digest};
use super::ledger_entry::LedgerEntry;
use super::{CallResult, Dispatcher, ReplayBody};
use crate::base::clock;
use crate::filters::{Rejection, RequestState};
use crate::shared::Shared;
use seamhatch_core::identity::Fingerprint;
use seamhatch_core::outcome::Reason;
use seamhatch_core::retry::Dispatch;
use seamhatch_policy::ServiceSettings;
use std::sync::Arc;

/// Prepares a call for its first attempt.
///
/// # Errors
/// Returns the result of a call that is not sent: a rejection, or a recorded answer.
pub(super) async fn prepare<'a>(
    shared: &'a Arc<Shared>,
    request: &'a RequestState,
    body: ReplayBody,
) -> Result<Dispatcher<'a>, CallResult> {
    let content = body.digest();
    let (mut dispatcher, first) = begin(shared, request, body, content).map_err(CallResult::Rejected)?;
    // The claim comes before any check that may refuse: a request with a key is proven `not-run`
    // only while its key is held here.
    dispatcher.claimed = dispatcher.claim(content).await?;
    if let Err(rejection) = dispatcher.check_limits(first) {
        return Err(dispatcher.reject(rejection));
    }
    Ok(dispatcher)
}

/// Enters the call in its parent's retry ledger.
fn begin<'a>(
    shared: &'a Arc<Shared>,
    request: &'a RequestState,
    body: ReplayBody,
    content: Fingerprint,
) -> Result<(Dispatcher<'a>, Dispatch), Rejection> {
    let settings = service_settings(shared, request).ok_or_else(|| {
        Rejection::not_run(Reason::NoRoute, "the service was removed from the configuration")
    })?;
    let parent = request.parent.clone().ok_or_else(|| {
        Rejection::not_run(Reason::BadContext, "the request has no running call it belongs to")
    })?;
    let (ledger_entry, first) = LedgerEntry::begin(&parent, call_fingerprint(request, content))
        .map_err(|error| Rejection::not_run(Reason::RetriesExhausted, error.to_string()))?;
    let dispatcher = Dispatcher {
        shared,
        request,
        started: clock::now(),
        settings,
        repeat: first.repeat || parent.repeats,
        parent,
        digest: request_digest(shared, request, content),
        body,
        ledger_entry,
        claimed: None,
        tried: Vec::new(),
        overload_refusals: 0,
        last_refusal: None,
        may_have_run: false,
    };
    Ok((dispatcher, first))
}

/// Returns the settings of the called service from the configuration that decides the request, or
/// else from the one in force.
fn service_settings(shared: &Shared, request: &RequestState) -> Option<ServiceSettings> {
    let snapshot = shared.snapshot();
    let pinned = request.configuration.as_ref().map(|(_, configuration)| configuration);
    let configuration = pinned.or(snapshot.configuration())?;
    configuration.service(&request.service).copied()
}
