//! The project's emulator: real daemon processes, with stand-ins for everything around them.
//!
//! - Stand-ins: [`platform`] (store and machine list), [`backends`] with [`relays`] in front, callers ([`client`], [`connection`]).
//! - A deployment of them: [`topology`] says what it consists of, [`deployment`] starts it on loopback addresses from [`network`],
//!   [`process`] runs the daemons, [`fault_proxy`] stands between them.
//! - What is done with one: [`demo`], [`experiment`] (load, a trigger, goodput) and [`soak`] (drawn faults, promises checked).
//! - [`cost`] measures the processor time that daemons use for each call.
//! - [`bound`] computes what any admission could have earned on a day; it starts nothing.
//!
//! Tests of this crate and of the platform's adapter use the same parts.

pub mod backends;
pub mod bodies;
pub mod bound;
pub mod client;
pub mod connection;
pub mod conventions;
pub mod cost;
pub mod demo;
pub mod deployment;
pub mod experiment;
pub mod fault_proxy;
mod http_stand_in;
pub mod load;
pub mod network;
pub mod platform;
pub mod process;
pub mod relays;
pub mod report;
pub mod soak;
pub mod topology;
