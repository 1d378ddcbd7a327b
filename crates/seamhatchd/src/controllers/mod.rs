//! The controllers of the daemon's state, which run on a separate thread.
//!
//! [`ControlThread`] owns all controllers and passes them events; their decisions are published as a snapshot. Threads that
//! carry traffic reach it through a [`crate::control::ControlHandle`] and never wait for it on a request's path. Lower layers
//! do not refer to controllers.

pub mod ask;
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

pub use control_thread::ControlThread;
