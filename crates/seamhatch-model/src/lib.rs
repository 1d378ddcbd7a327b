//! Specifications of the core protocols as transition systems over the functions of `seamhatch-core` that the daemon
//! runs, searched exhaustively within stated bounds.
//!
//! A file for each protocol: its state, its steps, its invariants, and faults that can be seeded to show that the search
//! finds them. [`search`] is breadth-first, so the path to a state that breaks an invariant is a shortest
//! counterexample. The tests run the searches; nothing else depends on this crate.

pub mod claims;
pub mod configuration;
pub mod crashes;
pub mod departures;
pub mod freshness;
pub mod handover;
pub mod learning;
pub mod notices;
pub mod quota_shards;
pub mod retries;
pub mod running_calls;
mod search;
pub mod stops;

pub use search::{Action, Model, SearchResult, Step, action, search};
