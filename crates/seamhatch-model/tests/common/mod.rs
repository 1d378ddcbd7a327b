//! What the searches have in common: a model holds, or its seeded fault is found.

use seamhatch_model::SearchResult;
use std::fmt::Debug;

/// Fails unless no reachable state within the model's bounds breaks an invariant.
pub fn assert_holds(model: impl Debug, result: &SearchResult) {
    match result {
        SearchResult::Holds { states } => println!("{model:?}: {states} states"),
        other => panic!("{model:?}: {other:#?}"),
    }
}

/// Fails unless the search finds a state that breaks an invariant.
pub fn assert_found(fault: impl Debug, result: &SearchResult) {
    match result {
        SearchResult::Violated { invariant, trace } => println!("{fault:?}: {invariant}: {trace:?}"),
        other => panic!("{fault:?} was not found: {other:?}"),
    }
}
