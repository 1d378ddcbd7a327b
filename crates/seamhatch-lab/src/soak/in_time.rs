//! The checks that requests are decided by a configuration that is new enough, request by request.
//!
//! Each answer names the configuration that decided its request. A daemon in touch decides no request that is sent later than
//! [`IN_FORCE_MS`] after the acceptance of a configuration by an older one, and in one life of its process it never goes back. Called by
//! `checks`.

use super::exchanges::{Exchange, exchanges};
use super::fault::{FaultGroup, SoakFault};
use super::fleet::DaemonIndex;
use super::history::{HistoryEvent, SoakMillis};
use super::promise::{Promise, Violation, violation};
use super::spans::{FaultSpan, fault_spans};
use std::collections::BTreeMap;

/// Time from the acceptance of a configuration to the first request that no older one may decide, in milliseconds.
pub const IN_FORCE_MS: SoakMillis = 2_000;
/// A daemon is in touch when nothing has disturbed it for this long, in milliseconds.
pub const IN_TOUCH_MS: SoakMillis = 3_000;
/// Time from the answer that shows a configuration to the first request that no older one may decide there, in milliseconds.
pub const BACKWARD_SLACK_MS: SoakMillis = 250;

/// Requests that a daemon in touch decided by a configuration that is too old.
pub(super) fn configurations_in_time(history: &[HistoryEvent]) -> Vec<Violation> {
    let accepted: Vec<(SoakMillis, u64)> = history
        .iter()
        .filter_map(|event| match event {
            HistoryEvent::Accepted { at_ms, generation } => Some((*at_ms, *generation)),
            _ => None,
        })
        .collect();
    let disturbances: Vec<FaultSpan> = fault_spans(history).into_iter().filter(disturbs).collect();
    let decided = exchanges(history).into_iter().filter(|exchange| exchange.answer.generation > 0);
    decided.filter_map(|exchange| too_old(&exchange, &accepted, &disturbances)).collect()
}

fn too_old(
    exchange: &Exchange<'_>,
    accepted: &[(SoakMillis, u64)],
    disturbances: &[FaultSpan],
) -> Option<Violation> {
    let long_ago = accepted.iter().filter(|(at_ms, _)| at_ms + IN_FORCE_MS < exchange.sent_ms);
    let due = long_ago.map(|(_, generation)| *generation).max()?;
    let by = exchange.answer.generation;
    let in_touch = !disturbances.iter().any(|span| is_disturbed_by(exchange, span));
    (by < due && in_touch).then(|| {
        let Exchange { daemon, sent_ms, .. } = exchange;
        let detail =
            format!("decided by generation {by} at daemon {daemon}, {due} was due; sent at {sent_ms} ms");
        violation(Promise::ConfigurationInTime, exchange.request, detail)
    })
}

/// Whether a fault takes daemons out of touch. The store and the machine list don't: a configuration that was accepted needs neither.
fn disturbs(span: &FaultSpan) -> bool {
    match span.fault.group() {
        FaultGroup::Kill | FaultGroup::Stop => true,
        FaultGroup::RequestPath => matches!(
            span.fault,
            SoakFault::Pause { .. }
                | SoakFault::Cut { .. }
                | SoakFault::Reset { .. }
                | SoakFault::Delay { .. }
        ),
        FaultGroup::Store | FaultGroup::Control | FaultGroup::Callers => false,
    }
}

fn is_disturbed_by(exchange: &Exchange<'_>, span: &FaultSpan) -> bool {
    let to_ms = span.to_ms.saturating_add(IN_TOUCH_MS);
    let meets = span.from_ms <= exchange.answered_ms && to_ms >= exchange.sent_ms;
    meets && span.fault.daemons().contains(&exchange.daemon)
}

/// Requests that a daemon decided by an older configuration than one before.
pub(super) fn configurations_forward(history: &[HistoryEvent]) -> Vec<Violation> {
    let ends: Vec<FaultSpan> =
        fault_spans(history).into_iter().filter(|span| span.fault.ends_process()).collect();
    let mut by_daemon: BTreeMap<DaemonIndex, Vec<Exchange<'_>>> = BTreeMap::new();
    for exchange in exchanges(history) {
        if exchange.answer.generation > 0 {
            by_daemon.entry(exchange.daemon).or_default().push(exchange);
        }
    }
    by_daemon.into_values().flat_map(|decided| went_back(decided, &ends)).collect()
}

fn went_back(mut decided: Vec<Exchange<'_>>, ends: &[FaultSpan]) -> Vec<Violation> {
    decided.sort_by_key(|exchange| exchange.sent_ms);
    let mut shown: BTreeMap<SoakMillis, u64> = BTreeMap::new();
    let mut violations = Vec::new();
    for exchange in decided {
        let began_ms = life_began(&exchange, ends);
        let by_ms = exchange.sent_ms.saturating_sub(BACKWARD_SLACK_MS);
        let earlier = (began_ms < by_ms).then(|| shown.range(began_ms..by_ms)).into_iter().flatten();
        let newest = earlier.map(|(_, generation)| *generation).max().unwrap_or_default();
        let by = exchange.answer.generation;
        if by < newest {
            let Exchange { daemon, sent_ms, .. } = exchange;
            let detail =
                format!("decided by generation {by} after {newest} at daemon {daemon}; sent at {sent_ms} ms");
            violations.push(violation(Promise::ConfigurationForward, exchange.request, detail));
        }
        let known = shown.entry(exchange.answered_ms).or_default();
        *known = (*known).max(by);
    }
    violations
}

/// When the last fault ended before a request, or while it was in progress, that may have ended its daemon's process.
fn life_began(exchange: &Exchange<'_>, ends: &[FaultSpan]) -> SoakMillis {
    let own = ends.iter().filter(|span| span.fault.daemons().contains(&exchange.daemon));
    let before = own.filter(|span| span.from_ms <= exchange.answered_ms);
    before.map(|span| span.to_ms.min(exchange.answered_ms)).max().unwrap_or_default()
}
