//! Checks that what back ends say of themselves is kept: the rate that one names, and that one leaves.
//!
//! Judged by the runs that back ends saw, from a moment after the first answer that says so. A fault that ends the daemon beside the back
//! end, freezes it or holds up its links leaves less strict bounds, which hold all the same: the others know what it has forgotten.

use super::fault::{FaultGroup, SoakFault};
use super::fleet::DaemonIndex;
use super::history::{HistoryEvent, SoakMillis};
use super::promise::{Promise, Violation, violation};
use super::spans::{FaultSpan, fault_spans};
use std::collections::HashMap;

/// Span over which a rate is judged, in milliseconds.
const WINDOW_MS: SoakMillis = 4_000;
/// Runs on top of what the rate allows in that span.
const BURST: f64 = 3.0;
/// The same, and by how much the rate may be exceeded, where a fault disturbed the daemon beside the back end.
const BURST_IF_DISTURBED: f64 = 5.0;
const FACTOR_IF_DISTURBED: f64 = 1.5;
/// Time after the first run from which its answer counts as known, in milliseconds.
const TOLD_MS: SoakMillis = 2_000;
/// Time after a fault in which the daemon still counts as disturbed, in milliseconds.
const CALM_AFTER_MS: SoakMillis = 2_000;

/// Beginnings of the runs at each back end, in order.
type Runs<'a> = HashMap<&'a str, Vec<SoakMillis>>;

/// Back ends that got more than the rate that they had named.
pub(super) fn rates_kept(history: &[HistoryEvent]) -> Vec<Violation> {
    let spans = fault_spans(history);
    let runs = runs(history);
    let mut violations = Vec::new();
    for span in &spans {
        let SoakFault::ServerNamesRate { daemon, rate_millis } = span.fault else { continue };
        let Some((server, runs)) = runs_at(history, &runs, daemon) else { continue };
        let Some(told_ms) = told_ms(runs, span) else { continue };
        let per_window = f64::from(rate_millis) / 1e3 * WINDOW_MS as f64 / 1e3;
        let counted: Vec<SoakMillis> =
            runs.iter().copied().filter(|at_ms| (told_ms..span.to_ms).contains(at_ms)).collect();
        for (index, from_ms) in counted.iter().enumerate() {
            let to_ms = from_ms + WINDOW_MS;
            let allowed = match Disturbance::of(daemon, (*from_ms, to_ms), &spans) {
                Disturbance::None => per_window + BURST,
                Disturbance::One => FACTOR_IF_DISTURBED * per_window + BURST_IF_DISTURBED,
                Disturbance::Many => continue,
            };
            let count = counted[index..].iter().take_while(|at_ms| **at_ms < to_ms).count();
            if count as f64 > allowed {
                let detail =
                    format!("{count} runs in the {WINDOW_MS} ms from {from_ms} ms on, allowed {allowed}");
                violations.push(violation(Promise::RatesKept, server, detail));
                break;
            }
        }
    }
    violations
}

/// Back ends that got calls after they had said that they leave.
pub(super) fn leaving_back_ends_rest(history: &[HistoryEvent]) -> Vec<Violation> {
    let spans = fault_spans(history);
    let runs = runs(history);
    let mut violations = Vec::new();
    for span in &spans {
        let SoakFault::ServerLeaves { daemon } = span.fault else { continue };
        let Some((server, runs)) = runs_at(history, &runs, daemon) else { continue };
        let Some(told_ms) = told_ms(runs, span) else { continue };
        // Where instances have no names, a daemon that starts again learns it from the next answer.
        if Disturbance::of(daemon, (span.from_ms, span.to_ms), &spans) != Disturbance::None {
            continue;
        }
        let late = runs.iter().filter(|at_ms| (told_ms..span.to_ms).contains(at_ms)).count();
        if late > 0 {
            let detail = format!("{late} runs between {told_ms} and {} ms", span.to_ms);
            violations.push(violation(Promise::LeavingRests, server, detail));
        }
    }
    violations
}

fn runs(history: &[HistoryEvent]) -> Runs<'_> {
    let mut runs = Runs::new();
    for event in history {
        if let HistoryEvent::Executed { server, at_ms, .. } = event {
            runs.entry(server.as_str()).or_default().push(*at_ms);
        }
    }
    runs.values_mut().for_each(|runs| runs.sort_unstable());
    runs
}

/// The back end beside a daemon, and its runs; none where the history does not name machines.
fn runs_at<'a>(
    history: &'a [HistoryEvent],
    runs: &'a Runs,
    daemon: DaemonIndex,
) -> Option<(&'a str, &'a [SoakMillis])> {
    let server = history.iter().find_map(|event| match event {
        HistoryEvent::Daemon { daemon: index, server, .. } if *index == daemon => Some(server.as_str()),
        _ => None,
    })?;
    Some((server, runs.get(server)?.as_slice()))
}

/// When what the back end says since the beginning of the fault must be known: its first run since then has been answered. None where it had
/// no run since, or the fault ends before.
fn told_ms(runs: &[SoakMillis], span: &FaultSpan) -> Option<SoakMillis> {
    let first_ms = runs.iter().find(|at_ms| **at_ms >= span.from_ms)?;
    let told_ms = first_ms + TOLD_MS;
    (told_ms < span.to_ms).then_some(told_ms)
}

/// What happened to the daemon beside a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Disturbance {
    None,
    /// It was ended or held up.
    One,
    /// It was ended together with others, who may be all that were told.
    Many,
}

impl Disturbance {
    fn of(daemon: DaemonIndex, (from_ms, to_ms): (SoakMillis, SoakMillis), spans: &[FaultSpan]) -> Self {
        let is_beside =
            |span: &&FaultSpan| span.from_ms <= to_ms && span.to_ms.saturating_add(CALM_AFTER_MS) >= from_ms;
        let acts = |span: &&FaultSpan| {
            let is_named =
                matches!(span.fault, SoakFault::ServerNamesRate { .. } | SoakFault::ServerLeaves { .. });
            let group = span.fault.group();
            !is_named && matches!(group, FaultGroup::Kill | FaultGroup::Stop | FaultGroup::RequestPath)
        };
        let acting: Vec<&FaultSpan> = spans.iter().filter(is_beside).filter(acts).collect();
        let hits = |span: &&&FaultSpan| span.fault.daemons().contains(&daemon);
        let is_ended = acting.iter().filter(hits).any(|span| span.fault.ends_process());
        let others_end = acting.iter().any(|span| {
            span.fault.ends_process() && span.fault.daemons().iter().any(|other| *other != daemon)
        });
        match acting.iter().filter(hits).count() {
            0 => Self::None,
            _ if is_ended && others_end => Self::Many,
            _ => Self::One,
        }
    }
}
