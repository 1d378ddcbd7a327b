//! Checks that callers of a service are not answered `no-server` for long while it has a living server with a living daemon.
//!
//! Time during which the daemon that was asked, or all daemons of the service, were disturbed by a fault is left out (`Outages`).

use super::exchanges::{Exchange, exchanges};
use super::fault::FaultGroup;
use super::fleet::DaemonIndex;
use super::history::{HistoryEvent, SoakMillis};
use super::promise::{Promise, Violation, violation};
use super::spans::{FaultSpan, fault_spans};
use std::collections::{BTreeMap, BTreeSet};

/// Longest time for which a service with a living server may be answered `no-server`, in milliseconds: what a started daemon waits
/// for the store and other daemons (1.3 s) and for the silence of one that is gone (0.75 s), twice, for a busy machine.
pub const NO_SERVER_BOUND_MS: SoakMillis = 4_000;
/// Time after a fault of a daemon, its links or its server in which the daemon still counts as disturbed, in milliseconds.
const CALM_AFTER_MS: SoakMillis = 4_000;
/// Time for which a daemon that starts waits for the configuration's witnesses, in milliseconds, if two of the three may be lost
/// (docs/GUARANTEES.md, assumptions).
const WITNESS_WAIT_MS: SoakMillis = 10_000;
/// Reason of a daemon that finds no server.
const NO_SERVER: &str = "no-server";

/// Beginning and end, in milliseconds; the end is outside.
type Interval = (SoakMillis, SoakMillis);

/// The callers of a service at one daemon, or at any.
type Callers<'a> = (&'a str, Option<DaemonIndex>);

/// Services that were answered `no-server` for too long.
pub(super) fn servers_are_found(history: &[HistoryEvent]) -> Vec<Violation> {
    let outages = Outages::of(history);
    let mut answered = exchanges(history);
    answered.sort_by_key(|request| request.sent_ms);
    let mut since: BTreeMap<Callers, SoakMillis> = BTreeMap::new();
    let mut reported: BTreeSet<Callers> = BTreeSet::new();
    let mut violations = Vec::new();
    for request in answered {
        for callers in [(request.service, Some(request.daemon)), (request.service, None)] {
            if request.answer.status == 200 {
                since.remove(&callers);
                continue;
            }
            if request.answer.reason != NO_SERVER {
                continue;
            }
            let Some(calm_ms) = outages.calm_since(&request) else { continue };
            let first_ms = since.entry(callers).or_insert(request.sent_ms);
            *first_ms = (*first_ms).max(calm_ms);
            let span_ms = request.sent_ms - *first_ms;
            if span_ms > NO_SERVER_BOUND_MS && reported.insert(callers) {
                let at =
                    callers.1.map_or_else(|| "every daemon".to_owned(), |daemon| format!("daemon {daemon}"));
                let detail =
                    format!("`{NO_SERVER}` at {at} from {first_ms} ms on for {span_ms} ms or longer");
                violations.push(violation(Promise::ServersFound, request.service, detail));
            }
        }
    }
    violations
}

/// When daemons, and whole services, were disturbed by faults.
struct Outages<'a> {
    by_daemon: BTreeMap<DaemonIndex, Vec<Interval>>,
    by_service: BTreeMap<&'a str, Vec<Interval>>,
}

impl<'a> Outages<'a> {
    fn of(history: &'a [HistoryEvent]) -> Self {
        let spans = fault_spans(history);
        let witnesses_lost_ms = witnesses_lost_ms(&spans);
        let mut by_daemon: BTreeMap<DaemonIndex, Vec<Interval>> = BTreeMap::new();
        for span in &spans {
            let Some((from_ms, mut to_ms)) = daemon_outage(span, &spans) else { continue };
            if span.fault.ends_process() && witnesses_lost_ms.is_some_and(|lost_ms| lost_ms <= to_ms) {
                to_ms = to_ms.saturating_add(WITNESS_WAIT_MS);
            }
            let outage = (from_ms, to_ms);
            for daemon in span.fault.daemons() {
                by_daemon.entry(daemon).or_default().push(outage);
            }
        }
        let mut daemons_of: BTreeMap<&str, Vec<DaemonIndex>> = BTreeMap::new();
        for event in history {
            if let HistoryEvent::Daemon { daemon, service, .. } = event {
                daemons_of.entry(service).or_default().push(*daemon);
            }
        }
        let by_service =
            daemons_of.into_iter().map(|(service, daemons)| (service, common_outages(&daemons, &by_daemon)));
        Self { by_service: by_service.collect(), by_daemon }
    }

    /// Since when neither the daemon that a request was sent to nor the whole service was disturbed; none when one of them was at
    /// that time, or the service is not known.
    fn calm_since(&self, request: &Exchange) -> Option<SoakMillis> {
        let entry = self.by_daemon.get(&request.daemon).map_or(&[][..], Vec::as_slice);
        let service = self.by_service.get(request.service)?;
        let mut calm_ms = 0;
        for (from_ms, to_ms) in entry.iter().chain(service) {
            if (*from_ms..*to_ms).contains(&request.sent_ms) {
                return None;
            }
            if *to_ms <= request.sent_ms {
                calm_ms = calm_ms.max(*to_ms);
            }
        }
        Some(calm_ms)
    }
}

/// The time for which a fault disturbs its daemons; none if it doesn't.
fn daemon_outage(span: &FaultSpan, spans: &[FaultSpan]) -> Option<Interval> {
    match span.fault.group() {
        FaultGroup::Kill | FaultGroup::Stop => Some((span.from_ms, after_store_trouble(span.to_ms, spans))),
        FaultGroup::RequestPath => Some((span.from_ms, span.to_ms.saturating_add(CALM_AFTER_MS))),
        FaultGroup::Store | FaultGroup::Control | FaultGroup::Callers => None,
    }
}

/// When a daemon that started at this time could be expected to serve: if the store had a fault then, at the end of that.
fn after_store_trouble(started_ms: SoakMillis, spans: &[FaultSpan]) -> SoakMillis {
    let troubles = spans.iter().filter(|span| span.fault.group() == FaultGroup::Store);
    let during = troubles.filter(|span| (span.from_ms..span.to_ms).contains(&started_ms));
    during.map(|span| span.to_ms).max().unwrap_or(started_ms)
}

/// The first time at which a shard may have lost two of its three witnesses: two daemons were gone at about the same time
/// and could not be replaced as witnesses before, which takes a planned stop and a working store. Such a shard waits for longer
/// than a soak's load lasts.
fn witnesses_lost_ms(spans: &[FaultSpan]) -> Option<SoakMillis> {
    let lost: Vec<&FaultSpan> = spans.iter().filter(|span| loses_witness(span, spans)).collect();
    let together = lost.iter().enumerate().flat_map(|(index, one)| {
        let many = (one.fault.daemons().len() > 1).then_some(one.from_ms);
        let pairs = lost[..index].iter().filter(|other| {
            one.fault.daemons() != other.fault.daemons()
                && one.from_ms <= other.to_ms.saturating_add(CALM_AFTER_MS)
                && other.from_ms <= one.to_ms.saturating_add(CALM_AFTER_MS)
        });
        pairs.map(|other| one.from_ms.max(other.from_ms)).chain(many)
    });
    together.min()
}

fn loses_witness(span: &FaultSpan, spans: &[FaultSpan]) -> bool {
    let is_beside = |other: &FaultSpan| other.from_ms <= span.to_ms && other.to_ms >= span.from_ms;
    match span.fault.group() {
        FaultGroup::Kill => true,
        FaultGroup::Stop => {
            spans.iter().any(|other| other.fault.group() == FaultGroup::Store && is_beside(other))
        }
        _ => false,
    }
}

/// When all of these daemons were disturbed.
fn common_outages(
    daemons: &[DaemonIndex],
    by_daemon: &BTreeMap<DaemonIndex, Vec<Interval>>,
) -> Vec<Interval> {
    let of = |daemon: &DaemonIndex| by_daemon.get(daemon).map_or(&[][..], Vec::as_slice);
    let mut edges: Vec<SoakMillis> =
        daemons.iter().flat_map(of).flat_map(|(from_ms, to_ms)| [*from_ms, *to_ms]).collect();
    edges.sort_unstable();
    edges.dedup();
    let is_out = |daemon: &DaemonIndex, at_ms: SoakMillis| {
        of(daemon).iter().any(|(from_ms, to_ms)| (*from_ms..*to_ms).contains(&at_ms))
    };
    let between = edges.windows(2).map(|pair| (pair[0], pair[1]));
    between.filter(|(from_ms, _)| daemons.iter().all(|daemon| is_out(daemon, *from_ms))).collect()
}
