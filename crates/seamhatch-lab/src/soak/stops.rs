//! A planned stop cuts off nothing.

use super::checks::{NOT_RUN, Promise, Violation, answers, executed, violation};
use super::history::{HistoryEvent, RequestName, SeenAnswer, SoakMillis};
use super::plan::{DaemonIndex, SoakFault};
use super::spans::{FaultSpan, fault_spans};
use std::collections::{HashMap, HashSet};

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
    let stopping = |daemon: DaemonIndex, at_ms: SoakMillis| {
        windows.iter().find(|stop| stop.daemon == daemon && (stop.from_ms..=stop.to_ms).contains(&at_ms))
    };
    let sent_into_stop: HashMap<&RequestName, StopCompany> = history
        .iter()
        .filter_map(|event| match event {
            HistoryEvent::Sent { at_ms, request, daemon, .. } => {
                stopping(*daemon, *at_ms).map(|stop| (request, stop.company))
            }
            _ => None,
        })
        .collect();
    let ran = executed(history);
    let is_cut = |request: &RequestName, answer: &SeenAnswer| match sent_into_stop.get(request) {
        Some(StopCompany::Alone) => is_cut_alone(request, answer, &ran),
        Some(StopCompany::Gentle) => BROKEN_OFF.contains(&answer.reason.as_str()),
        None => false,
    };
    answers(history)
        .filter(|(request, answer)| is_cut(request, answer))
        .map(|(request, answer)| {
            let detail = format!("cut off by a planned stop: {} {}", answer.status, answer.reason);
            violation(Promise::StopsCutNothing, request, detail)
        })
        .collect()
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
        let SoakFault::PlannedStop { daemon } = stop.fault else { return None };
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

fn is_gentle(fault: &SoakFault) -> bool {
    match fault {
        SoakFault::PlannedStop { .. }
        | SoakFault::Reload { .. }
        | SoakFault::Configuration { .. }
        | SoakFault::StoreOut
        | SoakFault::StoreSlow { .. }
        | SoakFault::StoreThrottled { .. }
        | SoakFault::StoreLosesAnswers { .. }
        | SoakFault::MachinesOut => true,
        SoakFault::Kill { .. }
        | SoakFault::Pause { .. }
        | SoakFault::HastyStop { .. }
        | SoakFault::Cut { .. }
        | SoakFault::Reset { .. }
        | SoakFault::Delay { .. }
        | SoakFault::ServerSlow { .. }
        | SoakFault::ServerFails { .. }
        | SoakFault::ServerCuts { .. }
        | SoakFault::ServerForges { .. } => false,
    }
}
