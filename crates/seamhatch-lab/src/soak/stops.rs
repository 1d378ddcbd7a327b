//! Checks that a planned stop cuts off no request.
//!
//! What may be judged depends on the other faults around the stop: with none, each answer of the stopping daemon; with
//! those that leave requests in progress alone, only answers that broke off; with any other, nothing.

use super::exchanges::{Exchange, exchanges};
use super::fault::{FaultGroup, SoakFault};
use super::fleet::DaemonIndex;
use super::history::{
    ANSWERED, FAILED, HistoryEvent, NOT_RUN, RequestName, SeenAnswer, SoakMillis, executed,
};
use super::paths::RequestPaths;
use super::promise::{Promise, Violation, violation};
use super::spans::{FaultSpan, fault_spans};
use crate::connection::{NOT_READ, NOT_SENT};
use seamhatch_core::clock::MILLISECOND;
use seamhatch_core::outcome::Reason;
use seamhatch_core::roster::SHARD_RESTART_WAIT;
use std::collections::HashSet;

/// Reason that a stopping daemon gives.
const DRAINING: &str = "draining";
/// Reasons of answers that broke off: the caller's connection or one between daemons was lost.
const BROKEN_OFF: [&str; 4] = ["connection-lost", NOT_READ, "answer-broken-off", "peer-lost"];
/// A fault that ended this long before a stop, or longer, is not beside it, in milliseconds.
const CALM_BEFORE_MS: SoakMillis = 4_000;
/// Time in which a shard grants no claim after two of its three witnesses were lost, in milliseconds.
pub(super) const RESTART_WAIT_MS: SoakMillis = SHARD_RESTART_WAIT / MILLISECOND;

/// The other faults around a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StopCompany {
    /// None: every answer is judged.
    Alone,
    /// Only faults that leave requests in progress alone: requests may find no server, but none breaks off.
    Gentle,
}

/// A planned stop whose answers can be judged.
#[derive(Debug, Clone, Copy)]
struct StopWindow {
    daemon: DaemonIndex,
    from_ms: SoakMillis,
    to_ms: SoakMillis,
    company: StopCompany,
}

/// Requests that a planned stop cut off.
pub(super) fn stops_cut_nothing(history: &[HistoryEvent]) -> Vec<Violation> {
    let spans = fault_spans(history);
    let windows = stop_windows(&spans);
    let ran = executed(history);
    let daemons = history.iter().filter(|event| matches!(event, HistoryEvent::Daemon { .. })).count();
    let paths = RequestPaths::of(history);
    let is_cut = |exchange: &Exchange| {
        let breaks_off = spans.iter().any(|span| breaks_off(exchange, span, &paths));
        // The caller's system says that the daemon had not read it, and no server contradicts.
        let crossed_the_end = exchange.answer.reason == NOT_READ && !ran.contains(exchange.request);
        if crossed_the_end || breaks_off || may_lack_witnesses(exchange, &spans, daemons, &ran, &paths) {
            return false;
        }
        let mut during = windows.iter().filter(|stop| stop.meets(exchange));
        during.any(|stop| {
            let alone_there = stop.company == StopCompany::Alone && stop.daemon == exchange.daemon;
            // No other fault breaks requests off, whichever daemon they were sent to.
            BROKEN_OFF.contains(&exchange.answer.reason.as_str())
                || alone_there && is_cut_alone(exchange.request, exchange.answer, &ran)
        })
    };
    exchanges(history)
        .into_iter()
        .filter(is_cut)
        .map(|exchange| {
            let SeenAnswer { status, reason, .. } = exchange.answer;
            let detail = format!("cut off by a planned stop: {status} {reason}");
            violation(Promise::StopsCutNothing, exchange.request, detail)
        })
        .collect()
}

impl StopWindow {
    /// Whether the request was in progress during the stop: sent before its end, and not answered before its beginning.
    fn meets(&self, exchange: &Exchange) -> bool {
        exchange.sent_ms <= self.to_ms && exchange.answered_ms >= self.from_ms
    }
}

fn is_cut_alone(request: &RequestName, answer: &SeenAnswer, ran: &HashSet<&RequestName>) -> bool {
    let good = answer.status == 200 && answer.whole;
    let refused = answer.outcome == NOT_RUN || answer.reason == NOT_SENT;
    // For a request with a key, a daemon without a claim answers `unknown`, as an earlier attempt may have run.
    let unclaimed = answer.reason == DRAINING && answer.comes_back && !ran.contains(request);
    !(good || refused || unclaimed)
}

/// Whether a fault during the request, at a daemon that it came to, may have broken it off by itself, also one that began after the
/// stop's end.
fn breaks_off(exchange: &Exchange, span: &FaultSpan, paths: &RequestPaths) -> bool {
    let is_beside = span.from_ms <= exchange.answered_ms && span.to_ms >= exchange.sent_ms;
    !is_gentle(&span.fault) && is_beside && paths.touches(exchange, &span.fault)
}

/// Whether a request with a key, which has not run, was refused while shards wait because one kill took more than half of the daemons, and with
/// them most shards' majorities of witnesses; or failed as a call of its back end was refused so.
fn may_lack_witnesses(
    exchange: &Exchange,
    spans: &[FaultSpan],
    daemons: usize,
    ran: &HashSet<&RequestName>,
    paths: &RequestPaths,
) -> bool {
    let answer = exchange.answer;
    let is_refused = answer.reason == Reason::NoClaimMajority.name() && answer.comes_back;
    let has_failed = answer.status == FAILED && answer.outcome == ANSWERED;
    let is_unclaimed =
        is_refused && !ran.contains(exchange.request) || has_failed && paths.was_unclaimed(exchange.request);
    let waits = |span: &FaultSpan| {
        let took_most =
            matches!(&span.fault, SoakFault::Kill { daemons: killed } if 2 * killed.len() > daemons);
        daemons > 0
            && took_most
            && span.from_ms <= exchange.answered_ms
            && span.to_ms.saturating_add(RESTART_WAIT_MS) >= exchange.sent_ms
    };
    is_unclaimed && spans.iter().any(waits)
}

fn stop_windows(spans: &[FaultSpan]) -> Vec<StopWindow> {
    let window = |stop: &FaultSpan| {
        // A repeated request to stop is part of the same stop.
        let (SoakFault::PlannedStop { daemon } | SoakFault::HastyStop { daemon, .. }) = stop.fault else {
            return None;
        };
        let company = company_of(stop, spans)?;
        Some(StopWindow { daemon, from_ms: stop.from_ms, to_ms: stop.to_ms, company })
    };
    spans.iter().filter_map(window).collect()
}

/// None when another fault around the stop may break requests off by itself. A new configuration is no fault, and excuses nothing.
fn company_of(stop: &FaultSpan, spans: &[FaultSpan]) -> Option<StopCompany> {
    let is_beside = |other: &&FaultSpan| {
        other.from_ms <= stop.to_ms && other.to_ms.saturating_add(CALM_BEFORE_MS) >= stop.from_ms
    };
    let is_change = |other: &&FaultSpan| matches!(other.fault, SoakFault::Configuration { .. });
    let others = spans.iter().filter(|other| *other != stop && !is_change(other));
    let mut beside = others.filter(is_beside).peekable();
    if beside.peek().is_none() {
        return Some(StopCompany::Alone);
    }
    beside.all(|other| is_gentle(&other.fault)).then_some(StopCompany::Gentle)
}

/// Whether this fault leaves requests in progress alone.
fn is_gentle(fault: &SoakFault) -> bool {
    matches!(fault.group(), FaultGroup::Stop | FaultGroup::Store | FaultGroup::Control)
}
