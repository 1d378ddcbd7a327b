//! A planned stop cuts off nothing.

use super::checks::{NOT_RUN, Promise, Violation, executed, violation};
use super::exchanges::{Exchange, exchanges};
use super::fault::{FaultGroup, SoakFault};
use super::fleet::DaemonIndex;
use super::history::{HistoryEvent, RequestName, SeenAnswer, SoakMillis};
use super::spans::{FaultSpan, fault_spans};
use std::collections::HashSet;

/// Reason of a daemon that stops.
const DRAINING: &str = "draining";
/// Reasons of answers that never came to their end: the caller's or a daemon's connection was lost.
const BROKEN_OFF: [&str; 3] = ["connection-lost", "answer-broken-off", "peer-lost"];
/// No other fault may be going on this long before a stop, in milliseconds.
const CALM_BEFORE_MS: SoakMillis = 4_000;

/// What else is under way around a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StopCompany {
    /// Nothing: every answer counts.
    Alone,
    /// Only what breaks off no work in progress: requests may find no server, but none is broken off.
    Gentle,
}

/// A planned stop whose answers are judged.
#[derive(Debug, Clone, Copy)]
struct StopWindow {
    daemon: DaemonIndex,
    from_ms: SoakMillis,
    to_ms: SoakMillis,
    company: StopCompany,
}

/// Requests that a planned stop has cut off.
pub(super) fn stops_cut_nothing(history: &[HistoryEvent]) -> Vec<Violation> {
    let windows = stop_windows(history);
    let ran = executed(history);
    let is_cut = |exchange: &Exchange| {
        let mut during = windows.iter().filter(|stop| stop.meets(exchange));
        during.any(|stop| {
            let alone_there = stop.company == StopCompany::Alone && stop.daemon == exchange.daemon;
            // Nothing beside the stop breaks off requests, whichever daemon they were sent to.
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
    /// Whether the request was under way during the stop: sent before its end, and not answered before it began.
    fn meets(&self, exchange: &Exchange) -> bool {
        exchange.sent_ms <= self.to_ms && exchange.answered_ms >= self.from_ms
    }
}

fn is_cut_alone(request: &RequestName, answer: &SeenAnswer, ran: &HashSet<&RequestName>) -> bool {
    let good = answer.status == 200 && answer.whole;
    let turned_away = answer.outcome == NOT_RUN || answer.reason == "connection-refused";
    // Of a request with a key, a daemon that holds no claim says `unknown`: an earlier attempt may have run.
    let unclaimed = answer.reason == DRAINING && answer.comes_back && !ran.contains(request);
    !(good || turned_away || unclaimed)
}

fn stop_windows(history: &[HistoryEvent]) -> Vec<StopWindow> {
    let spans = fault_spans(history);
    let window = |stop: &FaultSpan| {
        // A request to stop that is repeated is the same stop.
        let (SoakFault::PlannedStop { daemon } | SoakFault::HastyStop { daemon, .. }) = stop.fault else {
            return None;
        };
        let company = company_of(stop, &spans)?;
        Some(StopWindow { daemon, from_ms: stop.from_ms, to_ms: stop.to_ms, company })
    };
    spans.iter().filter_map(window).collect()
}

/// None where something beside the stop may break off requests by itself.
fn company_of(stop: &FaultSpan, spans: &[FaultSpan]) -> Option<StopCompany> {
    let is_beside = |other: &&FaultSpan| {
        other.from_ms <= stop.to_ms && other.to_ms.saturating_add(CALM_BEFORE_MS) >= stop.from_ms
    };
    let mut beside = spans.iter().filter(is_beside).filter(|other| *other != stop).peekable();
    if beside.peek().is_none() {
        return Some(StopCompany::Alone);
    }
    beside.all(|other| is_gentle(&other.fault)).then_some(StopCompany::Gentle)
}

/// Whether requests in progress go on beside this fault.
fn is_gentle(fault: &SoakFault) -> bool {
    matches!(fault.group(), FaultGroup::Stop | FaultGroup::Store | FaultGroup::Control)
}
