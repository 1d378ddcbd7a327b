//! Pairs the requests of a history with their answers.

use super::fleet::DaemonIndex;
use super::history::{HistoryEvent, RequestName, SeenAnswer, SoakMillis};
use std::collections::HashMap;

/// A request and its answer.
#[derive(Debug, Clone, Copy)]
pub struct Exchange<'a> {
    /// The request.
    pub request: &'a RequestName,
    /// The service that it went to.
    pub service: &'a str,
    /// The daemon that it was sent to.
    pub daemon: DaemonIndex,
    /// When it was sent.
    pub sent_ms: SoakMillis,
    /// When the caller had its answer or gave up.
    pub answered_ms: SoakMillis,
    /// What the caller got.
    pub answer: &'a SeenAnswer,
}

/// The answered requests of a history, in the order of their answers.
#[must_use]
pub fn exchanges(history: &[HistoryEvent]) -> Vec<Exchange<'_>> {
    let mut sent: HashMap<&RequestName, (SoakMillis, &str, DaemonIndex)> = HashMap::new();
    for event in history {
        if let HistoryEvent::Sent { at_ms, request, daemon, service, .. } = event {
            sent.insert(request, (*at_ms, service, *daemon));
        }
    }
    let answered = history.iter().filter_map(|event| {
        let HistoryEvent::Answered { at_ms, request, answer } = event else { return None };
        let (sent_ms, service, daemon) = *sent.get(request)?;
        Some(Exchange { request, service, daemon, sent_ms, answered_ms: *at_ms, answer })
    });
    answered.collect()
}
