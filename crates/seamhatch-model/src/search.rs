//! Exhaustive breadth-first search of a transition system.
//!
//! Of a state that was searched only a 128-bit digest is kept, with the step that led to it: searches of this crate reach
//! millions of states, which don't fit into memory whole.

use std::collections::{HashMap, VecDeque};
use std::hash::{Hash, Hasher};
use xxhash_rust::xxh3::Xxh3;

/// A transition system with invariants.
pub trait Model {
    /// One state, with all that the invariants look at.
    type State: Clone + Eq + Hash;

    /// The state in which everything begins.
    fn initial(&self) -> Self::State;

    /// Every step that is possible in a state.
    fn steps(&self, state: &Self::State) -> Vec<Step<Self::State>>;

    /// The invariant that a state breaks, if any.
    fn violation(&self, state: &Self::State) -> Option<&'static str>;
}

/// What happens in a step. It allocates nothing, as millions are made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Action {
    /// In words.
    pub what: &'static str,
    /// Number of the daemon, attempt or process that acts.
    pub who: usize,
    /// Number of the other one; 0 where there is none.
    pub other: usize,
}

/// One step: what happens, and the state it leads to.
#[derive(Debug, Clone)]
pub struct Step<S> {
    /// What happens.
    pub action: Action,
    /// The state afterwards.
    pub state: S,
}

impl<S: Clone + Eq> Step<S> {
    /// Adds the step that `change` makes, unless it changes nothing.
    pub fn add(steps: &mut Vec<Self>, before: &S, action: Action, change: impl FnOnce(&mut S)) {
        let mut state = before.clone();
        change(&mut state);
        if state != *before {
            steps.push(Self { action, state });
        }
    }
}

/// Shorthand for an [`Action`].
#[must_use]
pub fn action(what: &'static str, who: usize, other: usize) -> Action {
    Action { what, who, other }
}

/// What a search found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SearchResult {
    /// No reachable state breaks an invariant.
    Holds {
        /// Distinct states searched.
        states: usize,
    },
    /// A reachable state breaks one.
    Violated {
        /// Which.
        invariant: &'static str,
        /// The shortest way there.
        trace: Vec<Action>,
    },
    /// More states than allowed.
    TooLarge {
        /// The limit.
        limit: usize,
    },
}

type Digest = u128;

/// How a state was first reached: from which, and as which of its steps.
#[derive(Debug, Clone, Copy)]
struct Origin {
    from: Digest,
    step: u32,
}

/// Searches all reachable states, at most `limit`.
pub fn search<M: Model>(model: &M, limit: usize) -> SearchResult {
    let initial = model.initial();
    let root = digest(&initial);
    let mut origins: HashMap<Digest, Origin> = HashMap::new();
    origins.insert(root, Origin { from: root, step: 0 });
    let mut frontier = VecDeque::from([(root, initial)]);
    while let Some((reached, state)) = frontier.pop_front() {
        if let Some(invariant) = model.violation(&state) {
            return SearchResult::Violated { invariant, trace: trace(model, &origins, root, reached) };
        }
        for (number, step) in model.steps(&state).into_iter().enumerate() {
            let next = digest(&step.state);
            if origins.contains_key(&next) {
                continue;
            }
            if origins.len() >= limit {
                return SearchResult::TooLarge { limit };
            }
            origins.insert(next, Origin { from: reached, step: number as u32 });
            frontier.push_back((next, step.state));
        }
    }
    SearchResult::Holds { states: origins.len() }
}

fn digest<S: Hash>(state: &S) -> Digest {
    let mut hasher = DigestHasher(Xxh3::new());
    state.hash(&mut hasher);
    hasher.0.digest128()
}

struct DigestHasher(Xxh3);

impl Hasher for DigestHasher {
    fn write(&mut self, bytes: &[u8]) {
        self.0.update(bytes);
    }

    fn finish(&self) -> u64 {
        self.0.digest()
    }
}

/// Replays the steps from the beginning to the state that was found.
fn trace<M: Model>(model: &M, origins: &HashMap<Digest, Origin>, root: Digest, found: Digest) -> Vec<Action> {
    let mut numbers = Vec::new();
    let mut at = found;
    while at != root {
        let origin = origins[&at];
        numbers.push(origin.step as usize);
        at = origin.from;
    }
    let mut state = model.initial();
    let mut actions = Vec::new();
    for number in numbers.into_iter().rev() {
        let step = model.steps(&state).swap_remove(number);
        actions.push(step.action);
        state = step.state;
    }
    actions
}
