//! The registry listener, at which the back end beside the daemon sends heartbeats and deregisters.
//!
//! Decodes and validates these messages and passes them to the control thread, which handles them. Paths and JSON
//! keys are part of the back ends' interface.

use crate::base::metrics::BadInput;
use crate::control::InstanceAnswer;
use crate::intake::RequestEntry;
use crate::listeners::json_http::{json, read_json, with_media_type};
use crate::shared::Shared;
use http::{Method, StatusCode};
use log::warn;
use seamhatch_core::clock::MILLISECOND;
use seamhatch_core::instance::{Heartbeat, InstanceId, InstanceState};
use serde::{Deserialize, Serialize};
use std::convert::Infallible;
use std::sync::Arc;
use xitca_web::WebContext;
use xitca_web::body::RequestBody;
use xitca_web::http::WebResponse;

/// Path prefix of the instances' resources.
const INSTANCES: &str = "/v1/instances/";
/// Maximum size of a heartbeat, in bytes.
const MAX_HEARTBEAT_BYTES: usize = 16 * 1024;
/// Maximum length of an instance's name, in bytes.
const MAX_NAME_BYTES: usize = 200;
/// Maximum warm-up time that an instance may report, in milliseconds.
const MAX_COLD_MS: f64 = 600_000.0;
/// Maximum number of slots that an instance may report.
const MAX_SLOTS: u32 = 100_000;

/// The body of a heartbeat. Unknown fields are ignored, so that back ends may report more.
#[derive(Debug, Deserialize)]
struct HeartbeatBody {
    service: String,
    slots: u32,
    state: StateName,
    #[serde(default)]
    cold_for_ms: f64,
    sequence: u64,
    /// Start time of the instance, in milliseconds since the Unix epoch.
    born: Option<u64>,
}

/// The body of a deregistration; it may be empty.
#[derive(Debug, Default, Deserialize)]
struct DeregistrationBody {
    born: Option<u64>,
}

#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum StateName {
    Ready,
    Draining,
}

#[derive(Debug, Serialize)]
struct Problem<'a> {
    kind: &'static str,
    detail: &'a str,
}

/// Handles one message of a back end.
pub async fn handle(mut context: WebContext<'_, Arc<Shared>>) -> Result<WebResponse, Infallible> {
    let shared = context.state().clone();
    let (parts, extension) = context.take_request().into_parts();
    let (_, body) = extension.replace_body(());
    let name = parts.uri.path().strip_prefix(INSTANCES).filter(|name| is_name(name));
    let Some(name) = name else {
        return Ok(problem(StatusCode::NOT_FOUND, "not-found", "instances are at /v1/instances/NAME"));
    };
    let instance = InstanceId::named(name);
    let Ok(accepted) = shared.intake.accept(RequestEntry::Registry) else {
        let detail = "this daemon ends; tell another one";
        return Ok(problem(StatusCode::SERVICE_UNAVAILABLE, "ending", detail));
    };
    accepted.progress().set_name(instance.name.clone());
    let response = match parts.method {
        Method::PUT => heartbeat(&shared, instance, body).await,
        Method::DELETE => {
            // An unreadable body is treated as empty, since the path names the instance.
            let DeregistrationBody { born } = read_json(body, MAX_HEARTBEAT_BYTES).await.unwrap_or_default();
            answer(shared.control.instance_departs(InstanceId { born, ..instance }).await)
        }
        _ => {
            problem(StatusCode::METHOD_NOT_ALLOWED, "method", "use PUT for a heartbeat, DELETE for a goodbye")
        }
    };
    Ok(response)
}

fn is_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && !name.contains('/')
}

async fn heartbeat(shared: &Shared, instance: InstanceId, body: RequestBody) -> WebResponse {
    let sent: HeartbeatBody = match read_json(body, MAX_HEARTBEAT_BYTES).await {
        Ok(sent) => sent,
        Err(invalid) => {
            shared.metrics.bad_input(BadInput::Heartbeat);
            warn!(instance = instance.name.as_str(), detail = invalid.detail.as_str(); "a back end's heartbeat can't be read and is rejected");
            return problem(invalid.status, "bad-heartbeat", &invalid.detail);
        }
    };
    if sent.service != shared.settings.service {
        let detail =
            "the instance is of another service than this daemon's; check `service` in both settings";
        return problem(StatusCode::CONFLICT, "other-service", detail);
    }
    if sent.slots == 0 || sent.slots > MAX_SLOTS || !(0.0..=MAX_COLD_MS).contains(&sent.cold_for_ms) {
        let detail = "slots must be 1 to 100000 and cold_for_ms 0 to 600000";
        return problem(StatusCode::BAD_REQUEST, "bad-heartbeat", detail);
    }
    let heartbeat = Heartbeat {
        instance: InstanceId { born: sent.born, ..instance },
        sequence: sent.sequence,
        state: match sent.state {
            StateName::Ready => InstanceState::Ready,
            StateName::Draining => InstanceState::Draining,
        },
        slots: sent.slots,
        cold_for: (sent.cold_for_ms * MILLISECOND as f64) as u64,
    };
    answer(shared.control.heartbeat(heartbeat).await)
}

fn answer(answer: InstanceAnswer) -> WebResponse {
    match answer {
        InstanceAnswer::Acknowledged => with_media_type(StatusCode::OK, "application/json", b"{}".to_vec()),
        InstanceAnswer::NotRecorded => problem(
            StatusCode::SERVICE_UNAVAILABLE,
            "not-remembered",
            "the store has not recorded yet that the instance leaves; say it again",
        ),
    }
}

fn problem(status: StatusCode, kind: &'static str, detail: &str) -> WebResponse {
    json(status, &Problem { kind, detail })
}
