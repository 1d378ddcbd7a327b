//! The decisions of seamhatch as pure functions and state machines.
//!
//! Nothing in this crate reads a clock, opens a socket or draws a random
//! number: time, randomness and messages are passed in. The daemon, the model
//! checks, the property tests and the emulator therefore run the same code.
//!
//! All times are [`Instant`]s: microseconds of one machine's boot clock.

pub mod admission;
pub mod balance;
pub mod claims;
pub mod clock;
pub mod crashes;
pub mod departure;
pub mod drain;
pub mod entry;
pub mod freshness;
pub mod generation;
pub mod identity;
pub mod instance;
pub mod membership;
pub mod outcome;
pub mod priority;
pub mod quota;
pub mod refusal;
pub mod rendezvous;
pub mod retry;
pub mod return_time;
pub mod roster;
pub mod running_quantile;
pub mod service_floor;

pub use clock::{Instant, Microseconds};
