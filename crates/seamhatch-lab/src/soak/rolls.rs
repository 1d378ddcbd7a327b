//! Checks what planned stops owe the callers, also where they come in series and overlap.
//!
//! Daemons that leave in order hand over first what others need. So where nothing but planned stops and changes happens, a request with a
//! key finds a majority of witnesses, and none fails (502) while each service has an open server. What is refused as not run may come
//! back; how long a service may be without a server is judged in `no_server`.

use super::exchanges::{Exchange, exchanges};
use super::fault::FaultGroup;
use super::fleet::DaemonIndex;
use super::history::{FAILED, HistoryEvent, SoakMillis};
use super::promise::{Promise, Violation, violation};
use super::spans::{FaultSpan, fault_spans};
use super::stops::RESTART_WAIT_MS;
use seamhatch_core::outcome::Reason;
use std::collections::{BTreeMap, BTreeSet};

/// Time after a fault other than a planned stop in which it may still act on requests, in milliseconds.
const CALM_AFTER_MS: SoakMillis = 4_000;
/// Time in which the others learn that a daemon is ready, in milliseconds.
const LEARNT_MS: SoakMillis = 1_000;

/// Requests that were owed an answer while daemons were only stopped in order.
pub(super) fn stops_keep_serving(history: &[HistoryEvent]) -> Vec<Violation> {
    let spans = fault_spans(history);
    let fleet = OpenServers::of(history, &spans);
    let is_owed = |exchange: &Exchange| {
        let answer = exchange.answer;
        let lacks_witnesses = answer.reason == Reason::NoClaimMajority.name();
        is_orderly(exchange, &spans)
            && (lacks_witnesses || answer.status == FAILED && fleet.all_open(exchange))
    };
    let owed = exchanges(history).into_iter().filter(is_owed);
    owed.map(|exchange| {
        let Exchange { daemon, sent_ms, answer, .. } = exchange;
        let detail = format!(
            "{} {} at daemon {daemon}, sent at {sent_ms} ms, beside planned stops only",
            answer.status, answer.reason
        );
        violation(Promise::StopsKeepServing, exchange.request, detail)
    })
    .collect()
}

/// Whether no fault but planned stops and changes can have acted on the request.
fn is_orderly(exchange: &Exchange, spans: &[FaultSpan]) -> bool {
    let killed: BTreeSet<DaemonIndex> = spans
        .iter()
        .filter(|span| span.fault.group() == FaultGroup::Kill && span.from_ms <= exchange.answered_ms)
        .flat_map(|span| span.fault.daemons())
        .collect();
    let acts = |span: &&FaultSpan| {
        let after_ms = match span.fault.group() {
            FaultGroup::Stop | FaultGroup::Control => return false,
            // Two lost witnesses of one shard: it waits.
            FaultGroup::Kill if killed.len() > 1 => RESTART_WAIT_MS,
            FaultGroup::Kill | FaultGroup::RequestPath | FaultGroup::Store | FaultGroup::Callers => {
                CALM_AFTER_MS
            }
        };
        span.from_ms <= exchange.answered_ms && span.to_ms.saturating_add(after_ms) >= exchange.sent_ms
    };
    !spans.iter().any(|span| acts(&span))
}

/// The daemons of each service, and when each was known to be open for work.
struct OpenServers<'a> {
    by_service: BTreeMap<&'a str, Vec<DaemonIndex>>,
    /// Reports in which a daemon said that it takes work.
    ready_ms: BTreeMap<DaemonIndex, Vec<SoakMillis>>,
    /// Faults that end processes, by daemon.
    stops: BTreeMap<DaemonIndex, Vec<(SoakMillis, SoakMillis)>>,
}

impl<'a> OpenServers<'a> {
    fn of(history: &'a [HistoryEvent], spans: &[FaultSpan]) -> Self {
        let mut by_service: BTreeMap<&str, Vec<DaemonIndex>> = BTreeMap::new();
        let mut ready_ms: BTreeMap<DaemonIndex, Vec<SoakMillis>> = BTreeMap::new();
        let mut stops: BTreeMap<DaemonIndex, Vec<(SoakMillis, SoakMillis)>> = BTreeMap::new();
        for event in history {
            match event {
                HistoryEvent::Daemon { daemon, service, .. } => {
                    by_service.entry(service).or_default().push(*daemon)
                }
                HistoryEvent::Status { at_ms, daemon, ready: true, .. } => {
                    ready_ms.entry(*daemon).or_default().push(*at_ms);
                }
                _ => {}
            }
        }
        for span in spans.iter().filter(|span| span.fault.ends_process()) {
            for daemon in span.fault.daemons() {
                stops.entry(daemon).or_default().push((span.from_ms, span.to_ms));
            }
        }
        Self { by_service, ready_ms, stops }
    }

    /// Whether each service has a server that was open from long enough before the request until its answer.
    fn all_open(&self, exchange: &Exchange) -> bool {
        let mut services = self.by_service.values();
        !self.by_service.is_empty()
            && services.all(|daemons| daemons.iter().any(|daemon| self.is_open(*daemon, exchange)))
    }

    fn is_open(&self, daemon: DaemonIndex, exchange: &Exchange) -> bool {
        let learnt_ms = exchange.sent_ms.saturating_sub(LEARNT_MS);
        let reports = self.ready_ms.get(&daemon).map_or(&[][..], Vec::as_slice);
        let Some(ready_ms) = reports.iter().rev().find(|at_ms| **at_ms <= learnt_ms) else { return false };
        let stops = self.stops.get(&daemon).map_or(&[][..], Vec::as_slice);
        !stops.iter().any(|(from_ms, to_ms)| *from_ms <= exchange.answered_ms && to_ms >= ready_ms)
    }
}
