//! Which daemons a request's path touches, and which of its calls failed: what a check needs to tell whether a fault can have acted on
//! the request.
//!
//! Calls are known from the back ends that ran them. A call that was lost on its way ran nowhere: where a request has no run at a
//! service that requests of its kind call, it may have been on its way to any daemon of that service.

use super::exchanges::Exchange;
use super::fault::{FaultGroup, SoakFault};
use super::fleet::DaemonIndex;
use super::history::{HistoryEvent, RequestName};
use seamhatch_core::outcome::Reason;
use std::collections::{BTreeSet, HashMap, HashSet};

/// Message of a daemon's log on a call or request without an answer.
const NOT_ANSWERED: &str = "request not answered";

/// The paths of all requests of a history.
#[derive(Default)]
pub(super) struct RequestPaths<'a> {
    services: HashMap<DaemonIndex, &'a str>,
    /// By machine; empty where the history does not name the machines.
    daemons: HashMap<&'a str, DaemonIndex>,
    /// Services that requests were sent to.
    entries: HashMap<&'a RequestName, &'a str>,
    ran_at: HashMap<&'a RequestName, BTreeSet<DaemonIndex>>,
    ran_in: HashMap<&'a RequestName, BTreeSet<&'a str>>,
    /// Services that requests to a service pass.
    chains: HashMap<&'a str, BTreeSet<&'a str>>,
    /// Daemons whose back ends ran a request that crashes them.
    crashed: BTreeSet<DaemonIndex>,
    unclaimed: HashSet<&'a RequestName>,
}

impl<'a> RequestPaths<'a> {
    pub(super) fn of(history: &'a [HistoryEvent]) -> Self {
        let mut paths = Self::default();
        history.iter().for_each(|event| paths.note(event));
        // They refer to daemons and requests, wherever these stand.
        for event in history {
            if let HistoryEvent::Executed { request, service, server, is_deadly, .. } = event {
                paths.note_run(request, service, server, *is_deadly);
            }
        }
        paths
    }

    fn note(&mut self, event: &'a HistoryEvent) {
        match event {
            HistoryEvent::Daemon { daemon, service, server } => {
                self.services.insert(*daemon, service);
                if !server.is_empty() {
                    self.daemons.insert(server, *daemon);
                }
            }
            HistoryEvent::Sent { request, service, .. } => {
                self.entries.insert(request, service);
            }
            HistoryEvent::CallFailed { request, reason, .. } if *reason == Reason::NoClaimMajority.name() => {
                self.unclaimed.insert(request);
            }
            _ => {}
        }
    }

    fn note_run(&mut self, request: &'a RequestName, service: &'a str, server: &str, is_deadly: bool) {
        self.ran_in.entry(request).or_default().insert(service);
        if let Some(entry) = self.entries.get(request) {
            self.chains.entry(entry).or_default().insert(service);
        }
        let daemon = self.daemons.get(server).copied();
        self.ran_at.entry(request).or_default().extend(daemon);
        self.crashed.extend(daemon.filter(|_| is_deadly));
    }

    /// Whether a fault can have acted on the request: at the daemon that it was sent to, or at one that its calls came to.
    pub(super) fn touches(&self, exchange: &Exchange, fault: &SoakFault) -> bool {
        let hit = match fault.group() {
            FaultGroup::Callers => self.crashed.iter().copied().collect(),
            _ => fault.daemons(),
        };
        self.daemons.is_empty() || hit.into_iter().any(|daemon| self.touches_daemon(exchange, daemon))
    }

    fn touches_daemon(&self, exchange: &Exchange, daemon: DaemonIndex) -> bool {
        if daemon == exchange.daemon {
            return true;
        }
        if self.ran_at.get(exchange.request).is_some_and(|daemons| daemons.contains(&daemon)) {
            return true;
        }
        let Some(service) = self.services.get(&daemon) else { return false };
        let is_called = self.chains.get(exchange.service).is_some_and(|chain| chain.contains(service));
        let has_run = self.ran_in.get(exchange.request).is_some_and(|services| services.contains(service));
        is_called && !has_run
    }

    /// Whether a call of the request was refused for want of witnesses.
    pub(super) fn was_unclaimed(&self, request: &RequestName) -> bool {
        self.unclaimed.contains(request)
    }
}

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
