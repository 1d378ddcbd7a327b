//! Retry tokens over a tree of calls: dispatches beyond the distinct calls
//! never exceed the root's tokens, whatever fails and whichever daemon repeats.

use crate::search::{Model, SearchResult, Step, action, search};
use seamhatch_core::identity::Fingerprint;
use seamhatch_core::retry::{ChildEnd, RetryLedger};
use std::collections::BTreeSet;

/// A rule that is left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetriesFault {
    /// None.
    None,
    /// A child gets a copy of its parent's tokens.
    CopiedTokens,
    /// Children of a repeated call are taken for first tries.
    ForgottenRepeat,
    /// A lost answer gives back what went out with the call.
    LostTokensReturn,
    /// What an ended call gives back can still be spent by calls of its that are on their way.
    OpenAfterEnd,
}

/// Bounds of a search.
#[derive(Debug, Clone, Copy)]
pub struct RetriesModel {
    /// Tokens of the root.
    pub tokens: u32,
    /// Levels of calls below the root.
    pub depth: usize,
    /// Distinct calls that each call makes.
    pub fan_out: u8,
    /// Dispatches at most, to keep the search finite.
    pub most_dispatches: usize,
    /// The seeded fault.
    pub fault: RetriesFault,
}

/// Number of a call at its parent, and how often it had succeeded there before.
type CallName = (u8, u8);

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Node {
    /// The calls from the root to here: the same for each repeat.
    path: Vec<CallName>,
    /// How often each of its calls has succeeded: asking again then is another call.
    successes: Vec<u8>,
    ledger: RetryLedger,
    handed_over: u32,
    parent: usize,
    running: bool,
    /// Its sender still waits for it.
    awaited: bool,
}

/// A state of the call tree: the root and every dispatch so far.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct RetriesState {
    nodes: Vec<Node>,
}

fn fingerprint(call: u8) -> Fingerprint {
    Fingerprint(u64::from(call))
}

impl Model for RetriesModel {
    type State = RetriesState;

    fn initial(&self) -> RetriesState {
        let root = Node {
            path: Vec::new(),
            successes: vec![0; self.fan_out.into()],
            ledger: RetryLedger::new(self.tokens, false),
            handed_over: 0,
            parent: 0,
            running: true,
            awaited: true,
        };
        RetriesState { nodes: vec![root] }
    }

    fn steps(&self, state: &RetriesState) -> Vec<Step<RetriesState>> {
        let mut steps = Vec::new();
        for index in 0..state.nodes.len() {
            if !state.nodes[index].running {
                continue;
            }
            self.dispatch_steps(state, index, &mut steps);
            if index > 0 {
                self.end_steps(state, index, &mut steps);
                self.resend_step(state, index, &mut steps);
            }
        }
        steps
    }

    fn violation(&self, state: &RetriesState) -> Option<&'static str> {
        let dispatched = state.nodes.len() - 1;
        let distinct: BTreeSet<&Vec<CallName>> = state.nodes[1..].iter().map(|node| &node.path).collect();
        let beyond = dispatched - distinct.len();
        (beyond > self.tokens as usize).then_some("more repeats than the root's tokens")
    }
}

impl RetriesModel {
    /// Searches all reachable states, at most `limit`.
    ///
    /// Not generic, so that it is compiled with this crate's optimisation also for tests.
    #[must_use]
    pub fn search(&self, limit: usize) -> SearchResult {
        search(self, limit)
    }

    fn dispatch_steps(&self, state: &RetriesState, index: usize, steps: &mut Vec<Step<RetriesState>>) {
        let node = &state.nodes[index];
        if node.path.len() >= self.depth || state.nodes.len() > self.most_dispatches {
            return;
        }
        for call in 0..self.fan_out {
            let mut next = state.clone();
            let parent = &mut next.nodes[index];
            let Ok(dispatch) = parent.ledger.begin(fingerprint(call)) else { continue };
            let tokens = match self.fault {
                RetriesFault::CopiedTokens => parent.ledger.tokens(),
                _ => parent.ledger.hand_over(),
            };
            let repeat = dispatch.repeat && self.fault != RetriesFault::ForgottenRepeat;
            let mut path = parent.path.clone();
            path.push((call, parent.successes[usize::from(call)]));
            next.nodes.push(Node {
                path,
                successes: vec![0; self.fan_out.into()],
                ledger: RetryLedger::new(tokens, repeat),
                handed_over: tokens,
                parent: index,
                running: true,
                awaited: true,
            });
            steps.push(Step { action: action("dispatch from node", index, call.into()), state: next });
        }
    }

    fn end_steps(&self, state: &RetriesState, index: usize, steps: &mut Vec<Step<RetriesState>>) {
        for (end, name) in [(ChildEnd::Succeeded, "node succeeds"), (ChildEnd::Failed, "node fails")] {
            let mut next = state.clone();
            next.answer(index, end, self.fault);
            steps.push(Step { action: action(name, index, 0), state: next });
        }
        if state.nodes[index].awaited {
            // Its sender gives it up, but it runs on and may still make calls.
            let mut next = state.clone();
            next.nodes[index].awaited = false;
            let (parent, call) = next.parent_and_call(index);
            let returned = next.nodes[index].handed_over;
            next.nodes[parent].ledger.finish(call, ChildEnd::Failed);
            if self.fault == RetriesFault::LostTokensReturn {
                next.nodes[parent].ledger.give_back(returned, returned);
            }
            steps.push(Step { action: action("node is given up", index, 0), state: next });
        }
    }
}

impl RetriesModel {
    /// A call whose parent has ended fails, and the daemon that sent it sends it again: it may not know of that end yet.
    fn resend_step(&self, state: &RetriesState, index: usize, steps: &mut Vec<Step<RetriesState>>) {
        let parent = state.nodes[index].parent;
        let orphan = state.nodes[index].awaited && !state.nodes[parent].running;
        if !orphan || state.nodes.len() > self.most_dispatches {
            return;
        }
        let mut next = state.clone();
        let (returned, handed_over) = (next.nodes[index].ledger.close(), next.nodes[index].handed_over);
        next.nodes[index].running = false;
        next.nodes[index].awaited = false;
        let ledger = &mut next.nodes[parent].ledger;
        ledger.give_back(returned, handed_over);
        if ledger.spend().is_err() {
            return;
        }
        let tokens = ledger.hand_over();
        let again = Node {
            ledger: RetryLedger::new(tokens, true),
            handed_over: tokens,
            running: true,
            awaited: true,
            ..state.nodes[index].clone()
        };
        next.nodes.push(again);
        steps.push(Step { action: action("node fails and is sent again", index, parent), state: next });
    }
}

impl RetriesState {
    fn parent_and_call(&self, index: usize) -> (usize, Fingerprint) {
        (self.nodes[index].parent, fingerprint(self.call_number(index)))
    }

    fn call_number(&self, index: usize) -> u8 {
        self.nodes[index].path.last().map(|(call, _)| *call).unwrap_or_default()
    }

    fn answer(&mut self, index: usize, end: ChildEnd, fault: RetriesFault) {
        let (parent, call) = self.parent_and_call(index);
        self.nodes[index].running = false;
        let unspent = match fault {
            RetriesFault::OpenAfterEnd => self.nodes[index].ledger.tokens(),
            _ => self.nodes[index].ledger.close(),
        };
        let handed_over = self.nodes[index].handed_over;
        if self.nodes[index].awaited && self.nodes[parent].running {
            self.nodes[parent].ledger.give_back(unspent, handed_over);
            self.nodes[parent].ledger.finish(call, end);
            let number = usize::from(self.call_number(index));
            self.nodes[parent].successes[number] += u8::from(end == ChildEnd::Succeeded);
        }
        self.nodes[index].awaited = false;
    }
}
