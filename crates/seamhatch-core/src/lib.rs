//! The decisions of seamhatch as pure functions and state machines.
//!
//! Nothing in this crate reads a clock, opens a socket or draws a random number: time, randomness and messages are
//! passed in. The daemon, the model checks, the property tests and the lab therefore run the same code. All times are
//! [`Instant`]s and spans of [`Microseconds`] of one machine's boot clock, but for grace periods ([`std::time::Duration`]).
//!
//! # The questions, in the order in which a request meets them
//!
//! | question | module |
//! | --- | --- |
//! | Does this daemon still serve callers, and may its back end get calls? | [`drain`], [`intake`] |
//! | When is a request that was sent ahead on its connection read, started and answered? | [`pipeline`] |
//! | May the tenant's key be trusted, or may the configuration be out of date? | [`freshness`] |
//! | How important is the request? | [`priority`] |
//! | What does it cost where a service sheds? | [`chain_cost`] |
//! | Would a service further down refuse it? | [`entry_floor`], from what [`service_floor`] reports |
//! | Is the tenant within its limit? | [`quota`] |
//! | Has it crashed servers, so that it runs alone or not at all? | [`crashes`] |
//! | Has another attempt with its idempotency key run? | [`claims`], by the witnesses of [`roster`] |
//! | May it be sent again, and who pays for that? | [`retry`] |
//! | To which server does it go? | [`balance`] |
//! | Does it run there, wait or get refused? | [`admission`], at a [`rate`] where the back end names one |
//! | What does a refusal prove, and what is the caller told? | [`refusal`] |
//! | When should a refused caller return? | [`return_time`] |
//!
//! And beside the requests:
//!
//! | question | module |
//! | --- | --- |
//! | Which instance of the back end takes calls? | [`instance`], [`departure`] |
//! | What does the back end say of itself in its answers? | [`notice`] |
//! | Which daemons are there? | [`membership`] |
//! | When does a daemon tell another one that it is there? | [`heartbeat`] |
//! | How much of a body may its sender send? | [`body_credit`] |
//! | Which configuration is in force, and has a submission been accepted? | [`generation`] |
//!
//! The rest measures and names things: [`answer_times`], [`clock`], [`identity`], [`outcome`], [`rendezvous`], [`running_quantile`].

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
pub mod heartbeat;
pub mod identity;
pub mod instance;
pub mod intake;
pub mod membership;
pub mod notice;
pub mod outcome;
pub mod pipeline;
pub mod priority;
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
