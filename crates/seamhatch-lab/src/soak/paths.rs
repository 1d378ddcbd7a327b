//! What daemons' logs tell of requests: the calls of back ends that failed.

use super::history::HistoryEvent;

/// Message of a daemon's log on a call or request without an answer.
const NOT_ANSWERED: &str = "request not answered";

/// The calls of back ends that a daemon's log names as not answered.
pub(super) fn failed_calls(log: &str) -> impl Iterator<Item = HistoryEvent> {
    let lines = log.lines().filter(|line| line.contains(NOT_ANSWERED));
    lines.filter_map(|line| {
        let line: serde_json::Value = serde_json::from_str(line).ok()?;
        let text = |key| line.get(key).and_then(serde_json::Value::as_str);
        // A call is named after its request.
        let (request, _) = text("request")?.split_once('.')?;
        Some(HistoryEvent::CallFailed {
            request: request.to_owned(),
            service: text("service")?.to_owned(),
            reason: text("reason")?.to_owned(),
        })
    })
}
