//! Calls in progress that senders hand back to a daemon that has restarted.
//!
//! A back end may outlive the daemon beside it and go on with its calls. The restarted daemon does not know them, but
//! their senders do. [`SentCalls`] is what a sender remembers of its calls to one daemon: each until it is settled or its
//! deadline has passed. [`RestoredCalls`] is what the restarted daemon has been handed back, and [`EarlierCalls`] tells
//! until when it can't say that a call does not run. All take the time from their caller; the daemon keeps them in
//! `seamhatchd::peer` and `seamhatchd::server::running`, and a model check covers them.

mod earlier;
mod restored;
mod sent;

pub use earlier::EarlierCalls;
pub use restored::RestoredCalls;
pub use sent::{SentCall, SentCalls};
