//! The controllers of the daemon's state, on a thread of their own.
//!
//! [`control_thread::ControlThread`] owns them all and feeds them events; what
//! they decide is published as a snapshot. Traffic threads talk to them through
//! a [`crate::control::ControlHandle`] and never wait for them on a request's path.

mod ask;
mod configuration;
mod control_thread;
mod follow;
mod membership;
mod publish;
mod registration;
mod roster;
mod roster_change;
mod status;
mod submission;

pub use ask::ask_daemon;
pub use control_thread::ControlThread;
