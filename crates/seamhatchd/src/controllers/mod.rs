//! The controllers of the daemon's state, on a thread of their own.
//!
//! [`control_thread::ControlThread`] owns them all and feeds them events; what
//! they decide is published as a snapshot. Traffic threads talk to them through
//! a [`ControlHandle`] and never wait for them on a request's path.

mod ask;
mod configuration;
mod control_thread;
mod events;
mod follow;
mod handle;
mod machines;
mod membership;
mod publish;
mod registration;
mod roster;
mod roster_change;
mod status;
mod submission;

pub use ask::ask_daemon;
pub use control_thread::ControlThread;
pub use events::{ControlEvent, DrainTarget, InstanceAnswer, SubmitRequest};
pub use handle::ControlHandle;
pub use status::{MemberStatus, ShardStatus, StatusReport};
pub use submission::SubmitError;
