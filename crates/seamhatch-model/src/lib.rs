//! Specifications of the core protocols as transition systems over the pure
//! functions that the daemon runs, searched exhaustively within stated bounds.
//!
//! `stateright` is not to be had; [`search`] is a breadth-first search of its
//! own. The path to a state that breaks an invariant is the counterexample, and
//! a shortest one.

pub mod claims;
pub mod configuration;
pub mod crashes;
pub mod departures;
pub mod freshness;
pub mod quota_shards;
pub mod retries;
mod search;

pub use search::{Action, Model, SearchResult, Step, action, search};
