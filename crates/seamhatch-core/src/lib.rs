//! Decision logic of seamhatch, as pure functions and state machines.
//!
//! Nothing in this crate reads a clock, opens a socket or draws a random number: time, randomness and messages are
//! passed in. The daemon, the model checks, the property tests and the lab therefore run the same code. All times are
//! [`Instant`]s and durations in [`Microseconds`] of one machine's boot clock, except grace periods
//! ([`std::time::Duration`]).
//!
//! # Modules, in the order in which they handle a request
//!
//! | question | module |
//! | --- | --- |
//! | Does this daemon still serve callers, and may its back end get calls? | [`drain`], [`intake`] |
//! | When is a pipelined request read, started and answered? | [`pipeline`] |
//! | May the tenant's key be trusted, or may the configuration be out of date? | [`freshness`], [`proof_schedule`] |
//! | Which priority does the request have? | [`priority`] |
//! | What does the request cost at a service that sheds load? | [`chain_cost`] |
//! | Would a service further down its chain of calls refuse it? | [`entry_floor`], from what [`service_floor`] reports |
//! | Is the tenant within its limit? | [`quota`] |
//! | Has it crashed servers, so that it runs alone or not at all? | [`crashes`] |
//! | Has another attempt with its idempotency key run? | [`claims`], by the witnesses of [`roster`] |
//! | May it be retried, and whose retry budget pays for that? | [`retry`] |
//! | Which server gets it? | [`balance`] |
//! | Does the server run it, queue it or refuse it? | [`admission`], at a [`rate`] if the back end names one |
//! | What does a refusal prove, and what is the caller told? | [`refusal`] |
//! | When should a refused caller retry? | [`return_time`] |
//!
//! Modules that do not handle single requests:
//!
//! | question | module |
//! | --- | --- |
//! | Which instance of the back end takes calls? | [`instance`], [`departure`] |
//! | What does the back end report about itself in its answers? | [`notice`] |
//! | Which daemons are live? | [`membership`] |
//! | When does a daemon send a heartbeat to another one? | [`heartbeat`] |
//! | How much of a body may its sender send? | [`body_credit`] |
//! | Which configuration is in force, and has a submission been accepted? | [`generation`] |
//!
//! The other modules hold measurements and identifiers: [`answer_times`], [`clock`], [`identity`], [`outcome`],
//! [`rendezvous`], [`running_quantile`].

pub mod admission;
pub mod answer_times;
pub mod balance;
pub mod body_credit;
pub mod chain_cost;
pub mod claims;
pub mod clock;
pub mod crashes;
pub mod departure;
pub mod drain;
pub mod entry_floor;
pub mod freshness;
pub mod generation;
pub mod hand_back;
pub mod heartbeat;
pub mod identity;
pub mod instance;
pub mod intake;
pub mod membership;
pub mod notice;
pub mod outcome;
pub mod pipeline;
pub mod priority;
pub mod proof_schedule;
pub mod quota;
pub mod rate;
pub mod refusal;
pub mod rendezvous;
pub mod retry;
pub mod return_time;
pub mod roster;
pub mod running_quantile;
pub mod service_floor;
mod wire_number;

pub use clock::{Instant, Microseconds};
