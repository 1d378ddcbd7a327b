//! Seats of tenants' limits through late, lost and crossed calls to the store, restarts and leases that run out: no two
//! daemons hand out tokens of one seat at the same time.
//!
//! Bounds: one seat, two daemons, few instants. A lease and the key that goes with it are made by one call.

use crate::search::{Action, Model, SearchResult, Step, action, search};
use seamhatch_core::Instant;
use seamhatch_core::quota::SeatLease;
use std::collections::BTreeSet;

/// A rule that is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SeatsFault {
    /// None.
    None,
    /// The holder counts its lease from the answer.
    CountedFromAnswer,
    /// The store lets another daemon in when it has not heard of the holder for half of the lease.
    FreedEarly,
}

/// Bounds of a search.
#[derive(Debug, Clone, Copy)]
pub struct SeatsModel {
    /// Last instant.
    pub instants: u64,
    /// Restarts of each daemon.
    pub restarts: u8,
    /// The seeded fault.
    pub fault: SeatsFault,
}

const DAEMONS: usize = 2;
/// How long a lease lasts.
const SPAN: u64 = 2;
/// Calls on their way at a time.
const MOST_CALLS: usize = 3;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Call {
    /// Asks for the seat, or renews its lease.
    Asked { daemon: usize, life: u8, sent: u64 },
    /// The store has done it.
    Done { daemon: usize, life: u8, sent: u64 },
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct DaemonState {
    life: u8,
    lease: SeatLease,
}

/// A state of the store, the daemons and the calls between them.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SeatsState {
    now: u64,
    /// Who has the seat in the store, and until when.
    holder: Option<(usize, u64)>,
    daemons: [DaemonState; DAEMONS],
    calls: BTreeSet<Call>,
}

type Steps = Vec<Step<SeatsState>>;

fn add(steps: &mut Steps, before: &SeatsState, action: Action, change: impl FnOnce(&mut SeatsState)) {
    Step::add(steps, before, action, change);
}

impl Model for SeatsModel {
    type State = SeatsState;

    fn initial(&self) -> SeatsState {
        SeatsState { now: 1, holder: None, daemons: Default::default(), calls: BTreeSet::new() }
    }

    fn steps(&self, state: &SeatsState) -> Steps {
        let mut steps = Vec::new();
        if state.now < self.instants {
            add(&mut steps, state, action("time passes", 0, 0), |next| next.now += 1);
        }
        for daemon in 0..DAEMONS {
            let life = state.daemons[daemon].life;
            if state.calls.len() < MOST_CALLS {
                add(&mut steps, state, action("asks the store", daemon, 0), |next| {
                    next.calls.insert(Call::Asked { daemon, life, sent: next.now });
                });
            }
            if life < self.restarts {
                add(&mut steps, state, action("restarts", daemon, 0), |next| {
                    next.daemons[daemon] = DaemonState { life: life + 1, ..DaemonState::default() };
                });
            }
        }
        for call in &state.calls {
            add(&mut steps, state, action("a call or its answer arrives", 0, 0), |next| {
                next.calls.remove(call);
                self.deliver(next, *call);
            });
            add(&mut steps, state, action("a call or its answer is lost", 0, 0), |next| {
                next.calls.remove(call);
            });
        }
        steps
    }

    fn violation(&self, state: &SeatsState) -> Option<&'static str> {
        let holders = state.daemons.iter().filter(|daemon| daemon.lease.holds(Instant(state.now)));
        (holders.count() > 1).then_some("two daemons hand out tokens of one seat")
    }
}

impl SeatsModel {
    /// Searches all reachable states, at most `limit`.
    #[must_use]
    pub fn search(&self, limit: usize) -> SearchResult {
        search(self, limit)
    }

    fn deliver(&self, state: &mut SeatsState, call: Call) {
        match call {
            Call::Asked { daemon, life, sent } => {
                let early = if self.fault == SeatsFault::FreedEarly { SPAN / 2 } else { 0 };
                let free =
                    state.holder.is_none_or(|(holder, until)| holder == daemon || until <= state.now + early);
                if free {
                    state.holder = Some((daemon, state.now + SPAN));
                    state.calls.insert(Call::Done { daemon, life, sent });
                }
            }
            Call::Done { daemon, life, sent } => {
                let now = state.now;
                let daemon = &mut state.daemons[daemon];
                if daemon.life != life {
                    return;
                }
                let late = self.fault == SeatsFault::CountedFromAnswer;
                daemon.lease.renewed(Instant(if late { now } else { sent }), SPAN);
            }
        }
    }
}
