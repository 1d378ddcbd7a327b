//! Checks the promises of docs/GUARANTEES.md over a recorded history.
//!
//! Each check is a pure function of what callers, back ends and operators saw, so a kept history can be judged again. The longer
//! ones are in `contained`, `in_time`, `no_server`, `notices`, `rolls` and `stops`. The command prints what [`check`] finds; the report shows it.

use super::contained::crashes_contained;
use super::fleet::DaemonIndex;
use super::history::{HistoryEvent, NOT_RUN, RequestName, SeenAnswer, executed};
use super::in_time::{configurations_forward, configurations_in_time};
use super::load::DEADLY_PREFIX;
use super::no_server::servers_are_found;
use super::notices::{leaving_back_ends_rest, rates_kept};
use super::promise::violation;
pub use super::promise::{Promise, Violation};
use super::rolls::stops_keep_serving;
use super::stops::stops_cut_nothing;
use seamhatch_core::outcome::Reason;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

/// Retry tokens of a request: what `retries` in documents/harvest.toml returns.
pub const RETRY_TOKENS: usize = 3;
/// Name prefix of the requests that are sent when everything is over.
pub const PROBE_PREFIX: &str = "probe-";

type Check = fn(&[HistoryEvent]) -> Vec<Violation>;

const CHECKS: [Check; 17] = [
    retries_bounded,
    answers_whole,
    refusals_true,
    refusals_advise,
    at_most_once,
    stops_cut_nothing,
    stops_keep_serving,
    configuration_forward,
    configurations_forward,
    configurations_in_time,
    configuration_everywhere,
    servers_are_found,
    crashes_contained,
    rates_kept,
    leaving_back_ends_rest,
    harmless_served,
    recovers,
];

/// Every violation in a history.
#[must_use]
pub fn check(history: &[HistoryEvent]) -> Vec<Violation> {
    CHECKS.iter().flat_map(|check| check(history)).collect()
}

pub(super) fn answers(history: &[HistoryEvent]) -> impl Iterator<Item = (&RequestName, &SeenAnswer)> {
    history.iter().filter_map(|event| match event {
        HistoryEvent::Answered { request, answer, .. } => Some((request, answer)),
        _ => None,
    })
}

fn retries_bounded(history: &[HistoryEvent]) -> Vec<Violation> {
    let mut runs: BTreeMap<&RequestName, (usize, BTreeSet<&str>)> = BTreeMap::new();
    for event in history {
        if let HistoryEvent::Executed { request, trail, .. } = event {
            let (count, distinct) = runs.entry(request).or_default();
            *count += 1;
            distinct.insert(trail);
        }
    }
    let repeats = runs.into_iter().map(|(request, (count, distinct))| (request, count - distinct.len()));
    repeats
        .filter(|(_, repeats)| *repeats > RETRY_TOKENS)
        .map(|(request, repeats)| {
            let detail = format!("{repeats} repeats for {RETRY_TOKENS} tokens");
            violation(Promise::RetriesBounded, request, detail)
        })
        .collect()
}

fn answers_whole(history: &[HistoryEvent]) -> Vec<Violation> {
    answers(history)
        .filter(|(_, answer)| answer.status == 200 && !answer.whole)
        .map(|(request, _)| {
            let detail = "a success without the whole answer to this request".to_owned();
            violation(Promise::AnswersWhole, request, detail)
        })
        .collect()
}

fn refusals_true(history: &[HistoryEvent]) -> Vec<Violation> {
    let ran = executed(history);
    answers(history)
        .filter(|(request, answer)| answer.outcome == NOT_RUN && ran.contains(request))
        .map(|(request, answer)| {
            let detail = format!("refused as not run ({}), but it ran", answer.reason);
            violation(Promise::RefusalsTrue, request, detail)
        })
        .collect()
}

fn refusals_advise(history: &[HistoryEvent]) -> Vec<Violation> {
    answers(history)
        .filter(|(_, answer)| answer.outcome == NOT_RUN && !answer.comes_back)
        .map(|(request, answer)| {
            let detail = format!("refused ({}) without Retry-After", answer.reason);
            violation(Promise::RefusalsAdvise, request, detail)
        })
        .collect()
}

fn at_most_once(history: &[HistoryEvent]) -> Vec<Violation> {
    let keyed: HashSet<&RequestName> = history
        .iter()
        .filter_map(|event| match event {
            HistoryEvent::Sent { request, keyed: true, .. } => Some(request),
            _ => None,
        })
        .collect();
    let mut runs: BTreeMap<(&RequestName, &str, &str), usize> = BTreeMap::new();
    for event in history {
        if let HistoryEvent::Executed { request, call, trail, .. } = event
            && keyed.contains(request)
            && call.starts_with("POST")
        {
            *runs.entry((request, trail, call)).or_default() += 1;
        }
    }
    runs.into_iter()
        .filter(|(_, count)| *count > 1)
        .map(|((request, _, call), count)| {
            violation(Promise::AtMostOnce, request, format!("{call} ran {count} times"))
        })
        .collect()
}

fn harmless_served(history: &[HistoryEvent]) -> Vec<Violation> {
    let refused = answers(history).filter(|(request, answer)| {
        answer.reason == Reason::CrashesServers.name() && !request.starts_with(DEADLY_PREFIX)
    });
    let detail = "refused for crashes that it did not cause".to_owned();
    refused.map(|(request, _)| violation(Promise::HarmlessServed, request, detail.clone())).collect()
}

fn configuration_forward(history: &[HistoryEvent]) -> Vec<Violation> {
    let mut newest: HashMap<(DaemonIndex, u32), u64> = HashMap::new();
    let mut violations = Vec::new();
    for event in history {
        let HistoryEvent::Status { daemon, restarts, generation, at_ms, .. } = event else { continue };
        let known = newest.entry((*daemon, *restarts)).or_default();
        if generation < known {
            let detail = format!("generation {generation} in force after {known}, at {at_ms} ms");
            violations.push(violation(Promise::ConfigurationForward, format!("daemon {daemon}"), detail));
        }
        *known = (*known).max(*generation);
    }
    violations
}

fn configuration_everywhere(history: &[HistoryEvent]) -> Vec<Violation> {
    let accepted = history.iter().filter_map(|event| match event {
        HistoryEvent::Accepted { generation, .. } => Some(*generation),
        _ => None,
    });
    let Some(newest) = accepted.max() else { return Vec::new() };
    let Some(healed) = history.iter().position(|event| matches!(event, HistoryEvent::Healed { .. })) else {
        return Vec::new();
    };
    history[healed..]
        .iter()
        .filter_map(|event| match event {
            HistoryEvent::Status { daemon, generation, .. } if *generation < newest => {
                let detail = format!("generation {generation} in force after the end, {newest} was accepted");
                Some(violation(Promise::ConfigurationEverywhere, format!("daemon {daemon}"), detail))
            }
            _ => None,
        })
        .collect()
}

fn recovers(history: &[HistoryEvent]) -> Vec<Violation> {
    let not_ready = history.iter().filter_map(|event| match event {
        HistoryEvent::Healed { ready: false, at_ms } => {
            let detail = format!("not all daemons were ready {at_ms} ms after the beginning");
            Some(violation(Promise::Recovers, "deployment", detail))
        }
        _ => None,
    });
    let probes = answers(history).filter(|(request, answer)| {
        request.starts_with(PROBE_PREFIX) && !(answer.status == 200 && answer.whole)
    });
    let unserved = probes.map(|(request, answer)| {
        let detail = format!("not served after the end: {} {}", answer.status, answer.reason);
        violation(Promise::Recovers, request, detail)
    });
    not_ready.chain(unserved).collect()
}
