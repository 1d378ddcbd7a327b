//! The calls that run on the local back end, and the context header that identifies them.
//!
//! [`RunningCalls`] owns the table of running calls, in which the filters look up the parent of a call that the back end
//! makes. A [`RunningCall`] holds what its child calls inherit. The table also holds the calls that the back end has been
//! running since before this daemon started, as their senders hand them back ([`seamhatch_core::hand_back`]).

mod call;
mod table;

pub use call::RunningCall;
pub use table::{MissingParent, Registration, RunningCalls};
