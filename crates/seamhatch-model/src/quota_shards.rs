//! Shards of tenants' limits through late, lost and crossed calls to the store, restarts, planned stops and leases that run out: no two
//! daemons hand out tokens of one shard at the same time.
//!
//! Bounds: one shard, two daemons, few instants. A lease and the key that goes with it are made by one call.

use crate::search::{Model, SearchResult, Step, action, search};
use seamhatch_core::Instant;
use seamhatch_core::quota::ShardLease;
use std::collections::BTreeSet;

/// A rule that is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaShardsFault {
    /// None.
    None,
    /// The holder counts its lease from the answer.
    CountedFromAnswer,
    /// The store lets another daemon in when it has not heard of the holder for half of the lease.
    FreedEarly,
    /// A daemon that stops removes its record while it still hands out tokens.
    LeavesWhileItHolds,
    /// The store removes a record that a later life of the daemon has written.
    RemovesAnyRecord,
}

/// Bounds of a search.
#[derive(Debug, Clone, Copy)]
pub struct QuotaShardsModel {
    /// Last instant.
    pub instants: u64,
    /// Restarts of each daemon.
    pub restarts: u8,
    /// The seeded fault.
    pub fault: QuotaShardsFault,
}

const DAEMONS: usize = 2;
/// How long a lease lasts.
const SPAN: u64 = 2;
/// Calls on their way at a time.
const MOST_CALLS: usize = 3;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Call {
    /// Asks for the shard, or renews its lease.
    Asked { daemon: usize, incarnation: u8, sent: u64 },
    /// The store has done it.
    Done { daemon: usize, incarnation: u8, sent: u64 },
    /// Removes the record of a daemon that stops.
    Left { daemon: usize, incarnation: u8 },
}

/// Who has the shard in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct ShardHolding {
    daemon: usize,
    incarnation: u8,
    until: u64,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct DaemonState {
    incarnation: u8,
    lease: ShardLease,
    /// It stops, and asks for nothing more.
    leaves: bool,
}

/// A state of the store, the daemons and the calls between them.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct QuotaShardsState {
    now: u64,
    holder: Option<ShardHolding>,
    daemons: [DaemonState; DAEMONS],
    calls: BTreeSet<Call>,
}

type Steps = Vec<Step<QuotaShardsState>>;

impl Model for QuotaShardsModel {
    type State = QuotaShardsState;

    fn initial(&self) -> QuotaShardsState {
        QuotaShardsState { now: 1, holder: None, daemons: Default::default(), calls: BTreeSet::new() }
    }

    fn steps(&self, state: &QuotaShardsState) -> Steps {
        let mut steps = Vec::new();
        if state.now < self.instants {
            Step::add(&mut steps, state, action("time passes", 0, 0), |next| next.now += 1);
        }
        for daemon in 0..DAEMONS {
            let incarnation = state.daemons[daemon].incarnation;
            if state.calls.len() < MOST_CALLS && !state.daemons[daemon].leaves {
                Step::add(&mut steps, state, action("asks the store", daemon, 0), |next| {
                    next.calls.insert(Call::Asked { daemon, incarnation, sent: next.now });
                });
                Step::add(&mut steps, state, action("stops", daemon, 0), |next| {
                    let own = &mut next.daemons[daemon];
                    own.leaves = true;
                    if self.fault != QuotaShardsFault::LeavesWhileItHolds {
                        own.lease = ShardLease::default();
                    }
                    next.calls.insert(Call::Left { daemon, incarnation });
                });
            }
            if incarnation < self.restarts {
                Step::add(&mut steps, state, action("restarts", daemon, 0), |next| {
                    next.daemons[daemon] =
                        DaemonState { incarnation: incarnation + 1, ..DaemonState::default() };
                });
            }
        }
        for call in &state.calls {
            Step::add(&mut steps, state, action("a call or its answer arrives", 0, 0), |next| {
                next.calls.remove(call);
                self.deliver(next, *call);
            });
            Step::add(&mut steps, state, action("a call or its answer is lost", 0, 0), |next| {
                next.calls.remove(call);
            });
        }
        steps
    }

    fn violation(&self, state: &QuotaShardsState) -> Option<&'static str> {
        let holders = state.daemons.iter().filter(|daemon| daemon.lease.holds(Instant(state.now)));
        (holders.count() > 1).then_some("two daemons hand out tokens of one shard")
    }
}

impl QuotaShardsModel {
    /// Searches all reachable states, at most `limit`.
    #[must_use]
    pub fn search(&self, limit: usize) -> SearchResult {
        search(self, limit)
    }

    fn deliver(&self, state: &mut QuotaShardsState, call: Call) {
        match call {
            Call::Asked { daemon, incarnation, sent } => {
                let early = if self.fault == QuotaShardsFault::FreedEarly { SPAN / 2 } else { 0 };
                // A write names the record that it replaces: a late one of an earlier life changes nothing.
                let free = state.holder.is_none_or(|holder| {
                    let is_own = holder.daemon == daemon && holder.incarnation <= incarnation;
                    is_own || holder.until <= state.now + early
                });
                if free {
                    state.holder = Some(ShardHolding { daemon, incarnation, until: state.now + SPAN });
                    state.calls.insert(Call::Done { daemon, incarnation, sent });
                }
            }
            Call::Left { daemon, incarnation } => {
                let any = self.fault == QuotaShardsFault::RemovesAnyRecord;
                let is_own = |holder: &ShardHolding| {
                    holder.daemon == daemon && (any || holder.incarnation == incarnation)
                };
                state.holder = state.holder.filter(|holder| !is_own(holder));
            }
            Call::Done { daemon, incarnation, sent } => {
                let now = state.now;
                let daemon = &mut state.daemons[daemon];
                if daemon.incarnation != incarnation || daemon.leaves {
                    return;
                }
                let late = self.fault == QuotaShardsFault::CountedFromAnswer;
                daemon.lease.renewed(Instant(if late { now } else { sent }), SPAN);
            }
        }
    }
}
