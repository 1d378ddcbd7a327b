//! The admin listener: status, metrics, submissions, drains and suspects, over HTTP with JSON bodies.
//!
//! Answers come from the control thread, or from shared state where that suffices. Paths, JSON keys and problem
//! kinds are part of the operators' interface, which the `seamhatch` client uses (docs/OPERATIONS.md).

use crate::control::{DrainTarget, SubmitError, SubmitRequest};
use crate::intake::RequestEntry;
use crate::listeners::json_http::{self, json, with_media_type};
use crate::server::crashes::crash_report;
use crate::shared::Shared;
use http::{Method, StatusCode};
use seamhatch_core::generation::{Generation, SubmissionId};
use seamhatch_core::identity::Address;
use seamhatch_policy::{Sample, StoredConfiguration};
use serde::{Deserialize, Serialize};
use std::convert::Infallible;
use std::sync::Arc;
use xitca_web::WebContext;
use xitca_web::body::RequestBody;
use xitca_web::http::WebResponse;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Media type of the OpenMetrics text format.
const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The body of a configuration submission.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SubmissionBody {
    id: u64,
    author: String,
    document: String,
    expect_generation: Option<u64>,
}

/// The body of a drain request. Without `member`, this daemon drains.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct DrainBody {
    member: Option<Address>,
}

/// The body of a request to clear a suspect, which is identified by its hexadecimal digest.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ClearBody {
    digest: String,
}

#[derive(Debug, Serialize)]
struct Accepted {
    generation: u64,
}

#[derive(Debug, Serialize)]
struct Problem {
    kind: &'static str,
    detail: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    generation: Option<u64>,
}

#[derive(Debug, Serialize)]
struct Explanation {
    generation: u64,
    service: Option<String>,
    class: &'static str,
    retries: u32,
    deadline_ms: u64,
    repeatable: bool,
    failed_functions: Vec<&'static str>,
}

/// Handles one request of an operator.
pub async fn handle(mut context: WebContext<'_, Arc<Shared>>) -> Result<WebResponse, Infallible> {
    let shared = context.state().clone();
    let (parts, extension) = context.take_request().into_parts();
    let (_, body) = extension.replace_body(());
    let response = match (&parts.method, parts.uri.path()) {
        (&Method::GET, "/healthz") => with_media_type(StatusCode::OK, "text/plain", b"ok\n".to_vec()),
        (&Method::GET, "/readyz") => readiness(&shared),
        (&Method::GET, "/metrics") => {
            with_media_type(StatusCode::OK, METRICS_TYPE, shared.metrics.to_text().into_bytes())
        }
        (&Method::GET, "/v1/status") => json(StatusCode::OK, &shared.control.status().await),
        (&Method::GET, "/v1/configuration") => configuration(&shared).await,
        (&Method::POST, "/v1/explain") => explain(&shared, body).await,
        (&Method::GET, "/v1/crashes") => {
            let report = crash_report(&shared.suspects, shared.metrics.crashes.get());
            json(StatusCode::OK, &report)
        }
        (&Method::POST, path) => run_command(&shared, path, body).await,
        _ => not_found(),
    };
    Ok(response)
}

/// Executes a command, which counts as in progress until answered. A daemon that is about to end refuses it.
async fn run_command(shared: &Arc<Shared>, path: &str, body: RequestBody) -> WebResponse {
    let Ok(accepted) = shared.intake.accept(RequestEntry::Operator) else {
        let detail = "this daemon ends; nothing was done: give the order to another one";
        return problem(StatusCode::SERVICE_UNAVAILABLE, "unavailable", detail);
    };
    accepted.progress().set_name(path.to_owned());
    match path {
        "/v1/submissions" => submit(shared, body).await,
        "/v1/drain" => drain(shared, body).await,
        "/v1/crashes/clear" => clear_suspect(shared, body).await,
        _ => not_found(),
    }
}

fn not_found() -> WebResponse {
    problem(StatusCode::NOT_FOUND, "not-found", "no such page; see docs/OPERATIONS.md")
}

fn problem(status: StatusCode, kind: &'static str, detail: impl Into<String>) -> WebResponse {
    json(status, &Problem { kind, detail: detail.into(), generation: None })
}

fn readiness(shared: &Shared) -> WebResponse {
    if shared.accepts_callers() {
        with_media_type(StatusCode::OK, "text/plain", b"ready\n".to_vec())
    } else {
        if shared.is_draining() {
            shared.lifecycle.count_not_ready_answer();
        }
        with_media_type(StatusCode::SERVICE_UNAVAILABLE, "text/plain", b"not ready\n".to_vec())
    }
}

async fn configuration(shared: &Shared) -> WebResponse {
    match shared.control.configuration().await {
        Some(stored) => json(StatusCode::OK, &without_keys(shared, stored)),
        None => problem(StatusCode::NOT_FOUND, "no-configuration", "no configuration yet; submit one"),
    }
}

/// Omits the document if it defines tenants, because it may contain their keys.
fn without_keys(shared: &Shared, stored: StoredConfiguration) -> StoredConfiguration {
    let has_tenants = shared.snapshot().configuration().is_some_and(|known| !known.tenants().is_empty());
    let document = if has_tenants { String::new() } else { stored.document };
    StoredConfiguration { document, ..stored }
}

async fn submit(shared: &Shared, body: RequestBody) -> WebResponse {
    let submission: SubmissionBody = match read_json(body).await {
        Ok(submission) => submission,
        Err(response) => return response,
    };
    let request = SubmitRequest {
        id: SubmissionId(submission.id),
        author: submission.author,
        document: submission.document,
        expect_generation: submission.expect_generation.map(Generation),
    };
    match shared.control.submit(request).await {
        Ok(generation) => json(StatusCode::OK, &Accepted { generation: generation.0 }),
        Err(error) => submit_problem(&error),
    }
}

fn submit_problem(error: &SubmitError) -> WebResponse {
    let (status, kind, generation) = match error {
        SubmitError::Invalid(_) => (StatusCode::UNPROCESSABLE_ENTITY, "invalid", None),
        SubmitError::Conflict { actual, .. } => (StatusCode::CONFLICT, "conflict", Some(actual.0)),
        SubmitError::Unavailable { .. } => (StatusCode::SERVICE_UNAVAILABLE, "unavailable", None),
        SubmitError::Unknown { based_on, .. } => {
            (StatusCode::GATEWAY_TIMEOUT, "unknown", based_on.map(|generation| generation.0))
        }
    };
    json(status, &Problem { kind, detail: error.to_string(), generation })
}

async fn explain(shared: &Shared, body: RequestBody) -> WebResponse {
    let sample: Sample = match read_json(body).await {
        Ok(sample) => sample,
        Err(response) => return response,
    };
    let snapshot = shared.snapshot();
    let Some(configuration) = snapshot.configuration() else {
        return problem(StatusCode::NOT_FOUND, "no-configuration", "no configuration yet; submit one");
    };
    let tenant = match configuration.tenant_of(&sample) {
        Ok(tenant) => tenant,
        Err(error) => return problem(StatusCode::UNPROCESSABLE_ENTITY, "no-tenant", error.to_string()),
    };
    let mut request = configuration.request(&sample.method, &sample.path, sample.headers);
    request.tenant = tenant;
    let decision = configuration.policy().decide(&request);
    let explanation = Explanation {
        generation: snapshot.generation().0,
        service: Some(request.service).filter(|service| !service.is_empty()),
        class: decision.class.name(),
        retries: decision.retries,
        deadline_ms: decision.deadline / 1000,
        repeatable: decision.repeatable,
        failed_functions: decision.failed,
    };
    json(StatusCode::OK, &explanation)
}

async fn drain(shared: &Shared, body: RequestBody) -> WebResponse {
    let request: DrainBody = match read_json(body).await {
        Ok(request) => request,
        Err(response) => return response,
    };
    let target = request.member.map_or(DrainTarget::Own, DrainTarget::Member);
    if shared.control.drain(target).await {
        json(StatusCode::ACCEPTED, &serde_json::json!({ "draining": true }))
    } else {
        problem(
            StatusCode::NOT_FOUND,
            "no-member",
            "no member has this gossip address; see `seamhatch status`",
        )
    }
}

async fn clear_suspect(shared: &Shared, body: RequestBody) -> WebResponse {
    let request: ClearBody = match read_json(body).await {
        Ok(request) => request,
        Err(response) => return response,
    };
    let Ok(digest) = request.digest.parse() else {
        let detail = "a digest is 16 hexadecimal digits, as `seamhatch crashes` shows it";
        return problem(StatusCode::BAD_REQUEST, "bad-digest", detail);
    };
    if !shared.suspects.clear(digest) {
        let detail = "nothing speaks against a request with this digest; see `seamhatch crashes`";
        return problem(StatusCode::NOT_FOUND, "no-suspect", detail);
    }
    shared.control.suspects_changed(vec![digest]);
    json(StatusCode::OK, &serde_json::json!({ "cleared": request.digest }))
}

async fn read_json<T: serde::de::DeserializeOwned>(body: RequestBody) -> Result<T, WebResponse> {
    json_http::read_json(body, MAX_BODY_BYTES).await.map_err(|invalid| {
        let too_large = invalid.status == StatusCode::PAYLOAD_TOO_LARGE;
        problem(invalid.status, if too_large { "too-large" } else { "bad-request" }, invalid.detail)
    })
}
