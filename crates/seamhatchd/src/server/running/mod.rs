//! The calls that run on the local back end, and the context header that identifies them.
//!
//! [`RunningCalls`] owns the table of running calls, in which the filters look up the parent of a call that the back end
//! makes. A [`RunningCall`] holds what its child calls inherit. A daemon that has restarted does not know the calls that
//! its back end has been running since before; `restored` holds those that their senders hand back, and `earlier` tells
//! until when such calls may run.

mod call;
mod earlier;
mod restored;
mod table;

pub use call::RunningCall;
pub use earlier::EarlierCalls;
pub use restored::RestoredCall;
pub use table::{MissingParent, Registration, RunningCalls};
