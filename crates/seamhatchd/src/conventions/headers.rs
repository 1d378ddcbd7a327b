//! Names of the product's HTTP header fields, and the rules for fields that the daemon forwards.

use http::header::{HeaderMap, HeaderName, HeaderValue};
use seamhatch_wire::HeaderField;

/// Prefix of all fields that only daemons set.
pub const PREFIX: &str = "seamhatch-";
/// Opaque context; a back end forwards it with its own calls.
pub const CONTEXT: &str = "seamhatch-context";
/// Deadline of the call, in microseconds of `CLOCK_BOOTTIME`.
pub const DEADLINE: &str = "seamhatch-deadline";
/// Outcome of the call: `answered`, `not-run`, `unknown` or `duplicate`.
pub const OUTCOME: &str = "seamhatch-outcome";
/// Reason why there is no answer of a back end.
pub const REASON: &str = "seamhatch-reason";
/// Generation of the configuration by which the call was decided.
pub const GENERATION: &str = "seamhatch-generation";
/// Root id of the request, for logs.
pub const REQUEST_ID: &str = "seamhatch-request-id";
/// Name of the tenant that sent the request from outside.
pub const TENANT: &str = "seamhatch-tenant";
/// In a back end's answer: the rate in calls per second that it accepts from all daemons together, in effect as long as it is reported.
pub const BACKEND_RATE: &str = "backend-rate";
/// In a back end's answer: it leaves and accepts no new calls.
pub const BACKEND_LEAVING: &str = "backend-leaving";
/// In a back end's answer: its current service time, in percent of the usual.
pub const BACKEND_PACE: &str = "backend-pace";
/// Marks repeats of one request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Fields of a single connection (RFC 2616, section 13.5.1).
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Whether a field applies to a single connection only.
fn is_hop_by_hop(name: &str) -> bool {
    HOP_BY_HOP.contains(&name)
}

/// The fields of a message that are forwarded: those accepted by `passes`, without hop-by-hop fields.
#[must_use]
pub fn passing_fields(headers: &HeaderMap, passes: impl Fn(&str) -> bool) -> Vec<HeaderField> {
    headers
        .iter()
        .filter(|(name, _)| !is_hop_by_hop(name.as_str()) && passes(name.as_str()))
        .map(|(name, value)| HeaderField { name: name.as_str().to_owned(), value: value.as_bytes().to_vec() })
        .collect()
}

/// Adds fields to a message. Fields that aren't valid HTTP are skipped: all fields were read from valid HTTP, so only a faulty peer
/// sends such a field.
pub fn append_fields(headers: &mut HeaderMap, fields: &[HeaderField]) {
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(&field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
}
